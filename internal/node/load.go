package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/wait"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

const (
	// loadShard stands for the gathering of load in the order of candidates, below the
	// numbers of the keepers of limits.
	loadShard = -1 << 20
	// sharePace separates two reports of a node where they are short: with the same again
	// between gatherers, and for the way back, a view is at most 0.5 s old.
	sharePace = 150 * time.Millisecond
	// shareBytes is what a node that does not gather spends on sharing in a second, both
	// ways: what its other control traffic leaves of 12 KB (docs/CAPACITY.md).
	shareBytes = 3500
	// ownerBytes is the same of a node that owns programs, which gets routes and tenants too.
	// At the target size it spends some 390 KB a second on reservations.
	ownerBytes = 12000
	// messageOverhead is the length of the headers of a request and its answer, bytes: 354
	// counted with empty messages over a kept connection.
	messageOverhead = 360
	// shareTimeout is how long a gatherer may take to answer. Two in a row that do not
	// answer leave a view fresh.
	shareTimeout = 200 * time.Millisecond
	// shareTries is how many gatherers are tried in one round.
	shareTries = 3
	// gathererSuspicion is how long a gatherer that did not answer is passed over; the time
	// doubles each time in a row, up to mostSuspicion. The first is short, for a slow answer
	// must not leave a node with another gatherer than its zone for long.
	gathererSuspicion = 600 * time.Millisecond
	mostSuspicion     = 5 * time.Second
	// withoutSharingPause is how long a node is passed over that does not know of sharing,
	// being of an older version, or has it switched off: it is so until it is restarted.
	// While versions change, a node asks each other one of its zone once in that time.
	withoutSharingPause = 30 * time.Second
	// leastZoneShare of the nodes of its zone must be in a sum for a node to go by it. A
	// node that only itself or few others tell anything would take all engines for idle.
	leastZoneShare = 1.0 / 3
)

// loadSharing tells this node's load to its zone's gatherer and takes in the sum over all
// nodes; and it gathers, where other nodes tell this one theirs.
type loadSharing struct {
	node     *Node
	gatherer *load.Aggregator
	suspects *suspects
	sequence atomic.Int64
	// chosen is the gatherer last asked with success, known whether the view was fresh
	// then, both for the log.
	chosen string
	known  bool
	// told is the report that the gatherer told last holds of this node.
	told told

	// mutex guards the following.
	mutex sync.Mutex
	// failures counts asks in a row that a gatherer did not answer.
	failures map[string]int
	// lists are the lists of engines that gatherers have answered with.
	lists map[string]engineList
	// gathered is the newest sum, former the list before its own.
	gathered *gathered
	former   engineList
}

// told is a report and who was told it.
type told struct {
	gatherer string
	report   load.Report
}

func newLoadSharing(node *Node) *loadSharing {
	sharing := &loadSharing{node: node, gatherer: load.NewAggregator(node.settings.Zone), suspects: newSuspects(),
		failures: map[string]int{}, lists: map[string]engineList{}}
	// A node that is started anew goes on above what it has told before.
	sharing.sequence.Store(time.Now().UnixMicro())
	return sharing
}

// run shares load for as long as the node runs.
func (sharing *loadSharing) run(ctx context.Context) {
	if !feature.Enabled(feature.LoadSharing) {
		return
	}
	go sharing.exchange(ctx)
	for ctx.Err() == nil {
		sent := sharing.round(ctx)
		sharing.noteView(time.Now())
		wait.Sleep(ctx, paceOf(sent, sharing.bytesAllowed()))
	}
}

// bytesAllowed is what this node may spend on sharing in a second.
func (sharing *loadSharing) bytesAllowed() int {
	if sharing.node.ownsPrograms() {
		return ownerBytes
	}
	return shareBytes
}

// paceOf is the pause after a message of a length under a bound of bytes a second.
func paceOf(bytes, perSecond int) time.Duration {
	return max(sharePace, time.Duration(bytes)*time.Second/time.Duration(perSecond))
}

// round tells one gatherer this node's load and takes in its answer. It returns the bytes
// spent.
func (sharing *loadSharing) round(ctx context.Context) int {
	own := sharing.node.ownLoad()
	spent := 0
	for range shareTries {
		target := sharing.gathererOf(sharing.node.settings.Zone, time.Now())
		if target == sharing.node.settings.Name {
			sharing.gatherHere(own, time.Now())
			sharing.noteChosen(target)
			return spent
		}
		bytes, err := sharing.tell(ctx, target, own)
		spent += bytes
		if err == nil {
			sharing.noteChosen(target)
			return spent
		}
		if ctx.Err() != nil {
			return spent
		}
	}
	return spent
}

// gathererOf returns the node that gathers for a zone: its first candidate that is not
// passed over; of its own zone this node itself where there is none.
func (sharing *loadSharing) gathererOf(zone string, now time.Time) string {
	own := sharing.node.settings
	for _, candidate := range sharing.node.members.candidates(loadShard) {
		if candidate.Zone == zone && (candidate.Name == own.Name || !sharing.suspects.holds(candidate.Name, now)) {
			return candidate.Name
		}
	}
	if zone == own.Zone {
		return own.Name
	}
	return ""
}

// gatherHere takes this node's load in as its own gatherer.
func (sharing *loadSharing) gatherHere(own load.Report, now time.Time) {
	sharing.gatherer.AddReport(load.Origin{Node: sharing.node.settings.Name, Zone: sharing.node.settings.Zone, Sequence: sharing.sequence.Add(1)}, own, now)
	sum, zoneNodes := sharing.gatherer.Total(sharing.node.members.zoneSizes(), now)
	sharing.takeTotal(sum.Report, own, sum.MeanAge, zoneNodes, now)
	sharing.told = told{}
}

// takeTotal makes a sum the node's view, unless too few nodes are in it, or this node can't
// tell since it has not read yet which nodes there are.
func (sharing *loadSharing) takeTotal(total, own load.Report, age time.Duration, zoneNodes int, now time.Time) {
	if !sharing.node.memberView.read() {
		return
	}
	size := sharing.node.members.zoneSizes()[sharing.node.settings.Zone]
	if float64(zoneNodes) < leastZoneShare*float64(size) {
		return
	}
	sharing.node.load.Update(total, own, age, now)
	if sharing.node.loadRenewed != nil {
		sharing.node.loadRenewed()
	}
}

// tell asks a gatherer, and passes it over where that fails. It returns the bytes spent.
func (sharing *loadSharing) tell(ctx context.Context, target string, own load.Report) (int, error) {
	list := sharing.listOf(target)
	request := &nodev1.ShareLoadRequest{
		Node:         sharing.node.settings.Name,
		Zone:         sharing.node.settings.Zone,
		Report:       packed(toLoadReport(own, list)),
		Sequence:     sharing.sequence.Add(1),
		List:         list.digest,
		OwnsPrograms: sharing.node.ownsPrograms(),
	}
	asked := time.Now()
	reply, err := sharing.send(ctx, target, request)
	if err == nil {
		err = sharing.takeAnswer(target, list, reply, asked)
	}
	if err != nil && ctx.Err() == nil {
		sharing.suspect(target, err)
	}
	if err == nil {
		sharing.told = told{gatherer: target, report: own}
	}
	// A list of engines is not counted: it comes where engines do, and a node that then
	// paused for its length would be without a view.
	return messageOverhead + proto.Size(request) + proto.Size(reply.GetTotal()), err
}

// takeAnswer takes in the sum that a gatherer answered with.
func (sharing *loadSharing) takeAnswer(target string, used engineList, reply *nodev1.ShareLoadReply, asked time.Time) error {
	list, err := sharing.noteList(target, used, reply)
	if err != nil {
		return err
	}
	message, err := unpacked(reply.GetTotal())
	if err != nil {
		return err
	}
	total := fromLoadReport(message, list)
	sharing.takeTotal(total, sharing.heldBy(target), milliseconds(reply.GetAgeMs()), int(reply.GetZoneNodes()), asked)
	return nil
}

// heldBy returns this node's part of a gatherer's answer: the sum is older than the report
// that it answers.
func (sharing *loadSharing) heldBy(target string) load.Report {
	if sharing.told.gatherer != target {
		return load.NewReport()
	}
	return sharing.told.report
}

// listOf returns the list of engines that a gatherer goes by, as far as it is known.
func (sharing *loadSharing) listOf(target string) engineList {
	sharing.mutex.Lock()
	defer sharing.mutex.Unlock()
	list, known := sharing.lists[target]
	if known {
		return list
	}
	return newEngineList(sharing.node.engines.IDs())
}

// mostLists bounds the lists held: a gatherer and two that follow it, of a few zones.
const mostLists = 32

// noteList returns the list that an answer goes by, and keeps it where it is a new one.
func (sharing *loadSharing) noteList(target string, used engineList, reply *nodev1.ShareLoadReply) (engineList, error) {
	if reply.GetList() == used.digest {
		return used, nil
	}
	list, err := readEngineList(reply.GetList(), reply.GetEngines())
	if err != nil {
		return engineList{}, err
	}
	sharing.mutex.Lock()
	defer sharing.mutex.Unlock()
	if len(sharing.lists) >= mostLists {
		clear(sharing.lists)
	}
	sharing.lists[target] = list
	return list, nil
}

// send sends one message.
func (sharing *loadSharing) send(ctx context.Context, target string, request *nodev1.ShareLoadRequest) (*nodev1.ShareLoadReply, error) {
	reply, err := sharing.sendOnce(ctx, target, request)
	sharing.node.meter.loadMessage(request.GetSumsZone(), err)
	if err != nil {
		return nil, err
	}
	sharing.answered(target)
	return reply, nil
}

func (sharing *loadSharing) sendOnce(ctx context.Context, target string, request *nodev1.ShareLoadRequest) (*nodev1.ShareLoadReply, error) {
	client, err := sharing.node.peers.client(target)
	if err != nil {
		return nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	return client.ShareLoad(bounded, request)
}

func (sharing *loadSharing) answered(target string) {
	sharing.mutex.Lock()
	defer sharing.mutex.Unlock()
	delete(sharing.failures, target)
}

// suspect passes a gatherer over for a while, unless it is already.
func (sharing *loadSharing) suspect(target string, cause error) {
	sharing.mutex.Lock()
	if sharing.suspects.holds(target, time.Now()) {
		sharing.mutex.Unlock()
		return
	}
	pause := sharing.pauseAfter(target, cause)
	sharing.suspects.note(target, time.Now().Add(pause))
	sharing.mutex.Unlock()
	sharing.node.logger.Info("load gatherer not reached", zap.String("node", target), zap.Duration("passed_over", pause), logging.Cause(cause))
}

// pauseAfter is how long to pass a gatherer over for a failure, which it counts. The caller
// holds the mutex.
func (sharing *loadSharing) pauseAfter(target string, cause error) time.Duration {
	var answer twirp.Error
	if errors.As(cause, &answer) && (answer.Code() == twirp.BadRoute || answer.Code() == twirp.Unimplemented) {
		return withoutSharingPause
	}
	failures := sharing.failures[target]
	sharing.failures[target] = failures + 1
	const mostDoublings = 4
	return min(gathererSuspicion<<min(failures, mostDoublings), mostSuspicion)
}

// noteChosen logs a change of the gatherer.
func (sharing *loadSharing) noteChosen(target string) {
	if sharing.chosen == target {
		return
	}
	sharing.chosen = target
	sharing.node.logger.Info("load gathered by", zap.String("node", target))
}

// noteView logs when the view of the load is lost and when it is there again.
func (sharing *loadSharing) noteView(now time.Time) {
	_, known := sharing.node.load.Total(now)
	if sharing.known == known {
		return
	}
	sharing.known = known
	sharing.node.logger.Info("view of the load", zap.Bool("known", known))
}

// ownLoad is what this node has under way.
func (node *Node) ownLoad() load.Report {
	report := load.NewReport()
	report.Engines = node.engines.Load()
	if node.waitingCalls != nil {
		report.Waiting = node.waitingCalls()
	}
	if node.programLoad != nil {
		report.Routes, report.Tenants = node.programLoad()
	}
	return report
}

// nextOwners is how many first candidates of a shard hear of routes and tenants: the one
// that comes next must not take all programs for over in the moment that it claims.
const nextOwners = 2

// ownsPrograms tells whether this node owns a shard, or is next in line for one.
func (node *Node) ownsPrograms() bool {
	for shard := range node.settings.Shards {
		candidates := node.members.candidates(shard)
		next := candidates[:min(len(candidates), nextOwners)]
		if node.ownership.Owns(shard) || slices.ContainsFunc(next, func(member Member) bool { return member.Name == node.settings.Name }) {
			return true
		}
	}
	return false
}
