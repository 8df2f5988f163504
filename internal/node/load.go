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
	// loadPseudoShard is the candidate-order key for load aggregators, below the keys of the quota
	// coordinators.
	loadPseudoShard = -1 << 20
	// reportInterval is the minimum interval between a node's load reports. With a second such
	// interval between aggregators, plus transit, a view is at most 0.5 s old.
	reportInterval = 150 * time.Millisecond
	// reportBytesPerSecond is a non-aggregating node's budget for load reports and their replies:
	// the remainder of 12 KB/s after its other control traffic (docs/CAPACITY.md).
	reportBytesPerSecond = 3500
	// ownerReportBytesPerSecond is the budget of a node that owns programs, which also receives
	// routes and tenants. At the target size it spends 390 KB/s on reservations (docs/CAPACITY.md).
	ownerReportBytesPerSecond = 12000
	// messageOverhead is the size of the headers of a request and its reply, in bytes.
	messageOverhead = 360
	// shareTimeout bounds one load message. A view stays fresh across two timeouts in a row.
	shareTimeout = 200 * time.Millisecond
	// shareAttempts is how many aggregators are tried per report.
	shareAttempts = 3
	// minAggregatorSuspicion is how long an unresponsive aggregator is skipped at first; the time
	// doubles with each consecutive failure up to maxAggregatorSuspicion. It is short because a
	// slow reply must not separate a node from its zone's aggregator for long.
	minAggregatorSuspicion = 600 * time.Millisecond
	maxAggregatorSuspicion = 5 * time.Second
	// unsupportedSuspicion is how long a node without load sharing is skipped, because its version
	// is older or the feature is disabled. Either lasts until that node restarts.
	unsupportedSuspicion = 30 * time.Second
	// minZoneShare is the fraction of the zone's nodes that a total must cover to be applied.
	// Engines would look idle in a total that covers only a few nodes.
	minZoneShare = 1.0 / 3
)

// loadSharing reports this node's load to its zone's aggregator and applies the returned total. It
// also aggregates the reports that other nodes send to this one.
type loadSharing struct {
	node       *Node
	aggregator *load.Aggregator
	suspects   *suspects
	sequence   atomic.Int64
	// currentAggregator is the last aggregator that replied, viewKnown whether the load view was
	// fresh at the last check. Both serve to log changes.
	currentAggregator string
	viewKnown         bool
	// lastSent is the last report that an aggregator acknowledged.
	lastSent sentReport

	// mutex guards the fields below.
	mutex sync.Mutex
	// failures counts consecutive failures by aggregator.
	failures map[string]int
	// lists holds the engine lists received from aggregators.
	lists map[string]engineList
	// latestTotal is the newest total, previousList the engine list in use before that total's
	// list.
	latestTotal  *totalSnapshot
	previousList engineList
}

// sentReport is a report and the aggregator that received it.
type sentReport struct {
	aggregator string
	report     load.Report
}

func newLoadSharing(node *Node) *loadSharing {
	sharing := &loadSharing{node: node, aggregator: load.NewAggregator(node.settings.Zone), suspects: newSuspects(),
		failures: map[string]int{}, lists: map[string]engineList{}}
	// Sequence numbers must keep increasing across restarts.
	sharing.sequence.Store(time.Now().UnixMicro())
	return sharing
}

// run shares load until ctx ends.
func (sharing *loadSharing) run(ctx context.Context) {
	if !feature.Enabled(feature.LoadSharing) {
		return
	}
	go sharing.exchangeAggregates(ctx)
	for ctx.Err() == nil {
		sent := sharing.reportOnce(ctx)
		sharing.logViewChange(time.Now())
		wait.Sleep(ctx, intervalFor(sent, sharing.bytesPerSecond()))
	}
}

// bytesPerSecond returns this node's budget for sharing load.
func (sharing *loadSharing) bytesPerSecond() int {
	if sharing.node.ownsPrograms() {
		return ownerReportBytesPerSecond
	}
	return reportBytesPerSecond
}

// intervalFor returns the pause after sending a number of bytes that keeps within a byte rate.
func intervalFor(size, perSecond int) time.Duration {
	return max(reportInterval, time.Duration(size)*time.Second/time.Duration(perSecond))
}

// reportOnce sends this node's load to an aggregator and applies its reply. It returns the bytes
// sent and received.
func (sharing *loadSharing) reportOnce(ctx context.Context) int {
	local := sharing.node.localLoad()
	bytes := 0
	for range shareAttempts {
		target := sharing.aggregatorOf(sharing.node.settings.Zone, time.Now())
		if target == sharing.node.settings.Name {
			sharing.aggregateLocally(local, time.Now())
			sharing.setAggregator(target)
			return bytes
		}
		size, err := sharing.sendReport(ctx, target, local)
		bytes += size
		if err == nil {
			sharing.setAggregator(target)
			return bytes
		}
		if ctx.Err() != nil {
			return bytes
		}
	}
	return bytes
}

// aggregatorOf returns the aggregator of a zone: its first candidate that is not suspected.
// Without one it returns this node for its own zone and "" for any other.
func (sharing *loadSharing) aggregatorOf(zone string, now time.Time) string {
	settings := sharing.node.settings
	for _, candidate := range sharing.node.members.candidates(loadPseudoShard) {
		if candidate.Zone == zone && (candidate.Name == settings.Name || !sharing.suspects.contains(candidate.Name, now)) {
			return candidate.Name
		}
	}
	if zone == settings.Zone {
		return settings.Name
	}
	return ""
}

// aggregateLocally adds this node's report to its own aggregator and applies the total.
func (sharing *loadSharing) aggregateLocally(local load.Report, now time.Time) {
	sharing.aggregator.AddReport(load.Origin{Node: sharing.node.settings.Name, Zone: sharing.node.settings.Zone, Sequence: sharing.sequence.Add(1)}, local, now)
	aggregate, zoneNodes := sharing.aggregator.Total(sharing.node.members.nodesPerZone(), now)
	sharing.applyTotal(aggregate.Report, local, aggregate.MeanAge, zoneNodes, now)
	sharing.lastSent = sentReport{}
}

// applyTotal updates the load view, unless the total covers too few nodes of the zone or the
// nodes' records have not been read yet.
func (sharing *loadSharing) applyTotal(total, local load.Report, age time.Duration, zoneNodes int, now time.Time) {
	if !sharing.node.memberView.loaded() {
		return
	}
	size := sharing.node.members.nodesPerZone()[sharing.node.settings.Zone]
	if float64(zoneNodes) < minZoneShare*float64(size) {
		return
	}
	sharing.node.load.Update(total, local, age, now)
	if sharing.node.onLoadUpdate != nil {
		sharing.node.onLoadUpdate()
	}
}

// sendReport sends a report to an aggregator, which it suspects on failure. It returns the bytes
// sent and received.
func (sharing *loadSharing) sendReport(ctx context.Context, target string, local load.Report) (int, error) {
	list := sharing.listFor(target)
	request := &nodev1.ShareLoadRequest{
		Node:         sharing.node.settings.Name,
		Zone:         sharing.node.settings.Zone,
		Report:       compressReport(toLoadReport(local, list)),
		Sequence:     sharing.sequence.Add(1),
		List:         list.digest,
		OwnsPrograms: sharing.node.ownsPrograms(),
	}
	requestedAt := time.Now()
	reply, err := sharing.send(ctx, target, request)
	if err == nil {
		err = sharing.applyReply(target, list, reply, requestedAt)
	}
	if err != nil && ctx.Err() == nil {
		sharing.suspect(target, err)
	}
	if err == nil {
		sharing.lastSent = sentReport{aggregator: target, report: local}
	}
	// Engine lists are excluded from the budget: they are sent when engines join, and a node that
	// paused in proportion to their size would lose its view.
	return messageOverhead + proto.Size(request) + proto.Size(reply.GetTotal()), err
}

// applyReply applies the total in an aggregator's reply.
func (sharing *loadSharing) applyReply(target string, current engineList, reply *nodev1.ShareLoadReply, requestedAt time.Time) error {
	list, err := sharing.updateList(target, current, reply)
	if err != nil {
		return err
	}
	message, err := decompressReport(reply.GetTotal())
	if err != nil {
		return err
	}
	total := fromLoadReport(message, list)
	sharing.applyTotal(total, sharing.lastReportTo(target), milliseconds(reply.GetAgeMs()), int(reply.GetZoneNodes()), requestedAt)
	return nil
}

// lastReportTo returns the last report that an aggregator acknowledged, or an empty one. It is this
// node's contribution to the total in the next reply, which is computed before the new report is
// added.
func (sharing *loadSharing) lastReportTo(target string) load.Report {
	if sharing.lastSent.aggregator != target {
		return load.NewReport()
	}
	return sharing.lastSent.report
}

// listFor returns the engine list used with an aggregator, or the local one if none was received.
func (sharing *loadSharing) listFor(target string) engineList {
	sharing.mutex.Lock()
	defer sharing.mutex.Unlock()
	list, known := sharing.lists[target]
	if known {
		return list
	}
	return newEngineList(sharing.node.engines.IDs())
}

// maxLists bounds the engine lists held: an aggregator and two standbys for each of a few zones.
const maxLists = 32

// updateList returns the engine list that a reply refers to, and stores it if it is new.
func (sharing *loadSharing) updateList(target string, current engineList, reply *nodev1.ShareLoadReply) (engineList, error) {
	if reply.GetList() == current.digest {
		return current, nil
	}
	list, err := readEngineList(reply.GetList(), reply.GetEngines())
	if err != nil {
		return engineList{}, err
	}
	sharing.mutex.Lock()
	defer sharing.mutex.Unlock()
	if len(sharing.lists) >= maxLists {
		clear(sharing.lists)
	}
	sharing.lists[target] = list
	return list, nil
}

// send sends one message and records its outcome.
func (sharing *loadSharing) send(ctx context.Context, target string, request *nodev1.ShareLoadRequest) (*nodev1.ShareLoadReply, error) {
	reply, err := sharing.sendOnce(ctx, target, request)
	sharing.node.meter.countLoadMessage(request.GetSumsZone(), err)
	if err != nil {
		return nil, err
	}
	sharing.clearFailures(target)
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

func (sharing *loadSharing) clearFailures(target string) {
	sharing.mutex.Lock()
	defer sharing.mutex.Unlock()
	delete(sharing.failures, target)
}

// suspect skips an aggregator for a while, unless it is already suspected.
func (sharing *loadSharing) suspect(target string, cause error) {
	sharing.mutex.Lock()
	if sharing.suspects.contains(target, time.Now()) {
		sharing.mutex.Unlock()
		return
	}
	pause := sharing.suspicionAfter(target, cause)
	sharing.suspects.add(target, time.Now().Add(pause))
	sharing.mutex.Unlock()
	sharing.node.logger.Info("load aggregator unreachable", zap.String("node", target), zap.Duration("passed_over", pause), logging.ErrorField(cause))
}

// suspicionAfter returns how long to skip an aggregator after a failure, and counts the failure.
// The caller holds the mutex.
func (sharing *loadSharing) suspicionAfter(target string, cause error) time.Duration {
	var twirpError twirp.Error
	if errors.As(cause, &twirpError) && (twirpError.Code() == twirp.BadRoute || twirpError.Code() == twirp.Unimplemented) {
		return unsupportedSuspicion
	}
	failures := sharing.failures[target]
	sharing.failures[target] = failures + 1
	const maxDoublings = 4
	return min(minAggregatorSuspicion<<min(failures, maxDoublings), maxAggregatorSuspicion)
}

// setAggregator records the aggregator in use and logs a change.
func (sharing *loadSharing) setAggregator(target string) {
	if sharing.currentAggregator == target {
		return
	}
	sharing.currentAggregator = target
	sharing.node.logger.Info("load aggregator changed", zap.String("node", target))
}

// logViewChange logs when the load view becomes stale and when it is fresh again.
func (sharing *loadSharing) logViewChange(now time.Time) {
	_, known := sharing.node.load.Total(now)
	if sharing.viewKnown == known {
		return
	}
	sharing.viewKnown = known
	sharing.node.logger.Info("load view changed", zap.Bool("known", known))
}

// localLoad returns this node's own load report.
func (node *Node) localLoad() load.Report {
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

// standbyOwners is how many first candidates of a shard receive routes and tenants. The next owner
// needs them before it claims the shard, or it would count no programs at first.
const standbyOwners = 2

// ownsPrograms reports whether this node owns a shard or is a standby for one.
func (node *Node) ownsPrograms() bool {
	for shard := range node.settings.Shards {
		candidates := node.members.candidates(shard)
		standbys := candidates[:min(len(candidates), standbyOwners)]
		if node.ownership.OwnsOrClaims(shard) || slices.ContainsFunc(standbys, func(member Member) bool { return member.Name == node.settings.Name }) {
			return true
		}
	}
	return false
}
