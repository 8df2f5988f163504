package node

import (
	"context"
	"slices"
	"sync"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/wait"
	"google.golang.org/protobuf/proto"
)

const (
	// exchangeBytes is what a gatherer sends to each other one in a second: at the target
	// size a sum each 0.34 s.
	exchangeBytes = 9000
	// totalReuse is how long a sum serves several askers: a third of the pace.
	totalReuse = sharePace / 3
)

// gathered is a sum over all nodes, ready to be sent.
type gathered struct {
	at        time.Time
	sum       load.Aggregate
	zoneNodes int
	list      engineList
	// whole returns what is sent to nodes that own programs, engines what others get.
	whole, engines func() *nodev1.LoadReport
	// names returns the list as it is sent.
	names func() []byte
}

func newGathered(sum load.Aggregate, zoneNodes int, list engineList, now time.Time) *gathered {
	return &gathered{
		at: now, sum: sum, zoneNodes: zoneNodes, list: list,
		whole:   sync.OnceValue(func() *nodev1.LoadReport { return packed(toLoadReport(sum.Report, list)) }),
		engines: sync.OnceValue(func() *nodev1.LoadReport { return packed(toLoadReport(forEngines(sum.Report), list)) }),
		names:   sync.OnceValue(list.packedNames),
	}
}

// exchange tells other gatherers what this node gathers, for as long as it runs.
func (sharing *loadSharing) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		sent := 0
		if sharing.gatherer.NodeCount(time.Now()) > 0 {
			sent = sharing.tellGatherers(ctx)
		}
		wait.Sleep(ctx, paceOf(sent, exchangeBytes))
	}
}

// tellGatherers sends the sum of what this node hears itself to all other gatherers. It
// returns the length of the longest message.
func (sharing *loadSharing) tellGatherers(ctx context.Context) int {
	sum := sharing.gatherer.ZoneTotal(time.Now())
	targets := sharing.otherGatherers(time.Now())
	spent := make([]int, len(targets)+1)
	waiting := sync.WaitGroup{}
	for index, target := range targets {
		waiting.Go(func() { spent[index] = sharing.tellSum(ctx, target, sum) })
	}
	waiting.Wait()
	return slices.Max(spent)
}

// otherGatherers are those of all zones as far as this node knows, and those that told it
// their sums: nodes may for a while disagree who gathers for a zone.
func (sharing *loadSharing) otherGatherers(now time.Time) []string {
	names := sharing.gatherer.PeerAggregators(now)
	for zone := range sharing.node.members.zoneSizes() {
		names = append(names, sharing.gathererOf(zone, now))
	}
	others := names[:0]
	seen := map[string]bool{"": true, sharing.node.settings.Name: true}
	for _, name := range names {
		if !seen[name] && !sharing.suspects.holds(name, now) {
			seen[name] = true
			others = append(others, name)
		}
	}
	return others
}

// tellSum sends a sum to another gatherer. It returns the bytes spent.
func (sharing *loadSharing) tellSum(ctx context.Context, target string, sum load.Aggregate) int {
	list := sharing.listOf(target)
	request := &nodev1.ShareLoadRequest{
		Node:     sharing.node.settings.Name,
		Zone:     sharing.node.settings.Zone,
		SumsZone: true,
		Report:   packed(toLoadReport(sum.Report, list)),
		Nodes:    uint32(sum.Nodes),
		AgeMs:    sum.MeanAge.Milliseconds(),
		Sequence: sharing.sequence.Add(1),
		List:     list.digest,
	}
	reply, err := sharing.send(ctx, target, request)
	if err == nil {
		_, err = sharing.noteList(target, list, reply)
	}
	if err != nil {
		sharing.suspect(target, err)
	}
	return messageOverhead + proto.Size(request)
}

// answer takes in a report, and returns the sum over all nodes to a node that told its own.
func (sharing *loadSharing) answer(request *nodev1.ShareLoadRequest, now time.Time) (*nodev1.ShareLoadReply, error) {
	total := sharing.total(now)
	err := sharing.takeReport(request, now)
	if err != nil {
		return nil, err
	}
	reply := &nodev1.ShareLoadReply{List: total.list.digest}
	if request.GetList() != total.list.digest {
		reply.Engines = total.names()
	}
	if request.GetSumsZone() {
		return reply, nil
	}
	reply.Total = total.engines()
	if request.GetOwnsPrograms() {
		reply.Total = total.whole()
	}
	reply.AgeMs = (total.sum.MeanAge + now.Sub(total.at)).Milliseconds()
	reply.ZoneNodes = uint32(total.zoneNodes)
	return reply, nil
}

// takeReport takes in a report that goes by a list known here; the sender hears of the
// newest list and goes by that one next time.
func (sharing *loadSharing) takeReport(request *nodev1.ShareLoadRequest, now time.Time) error {
	message, err := unpacked(request.GetReport())
	if err != nil {
		return err
	}
	list, known := sharing.listNamed(request.GetList())
	if !known && message.GetColumns() != nil {
		return nil
	}
	report := fromLoadReport(message, list)
	origin := load.Origin{Node: request.GetNode(), Zone: request.GetZone(), Sequence: request.GetSequence()}
	if request.GetSumsZone() {
		sharing.gatherer.AddAggregate(origin, load.Aggregate{Report: report, Nodes: int(request.GetNodes()), MeanAge: milliseconds(request.GetAgeMs())}, now)
		return nil
	}
	sharing.gatherer.AddReport(origin, report, now)
	return nil
}

// listNamed returns the newest list or the one before, by its digest.
func (sharing *loadSharing) listNamed(digest uint64) (engineList, bool) {
	sharing.mutex.Lock()
	defer sharing.mutex.Unlock()
	if sharing.gathered != nil && sharing.gathered.list.digest == digest {
		return sharing.gathered.list, true
	}
	if sharing.former.digest == digest {
		return sharing.former, true
	}
	return engineList{}, false
}

// total returns the sum over all nodes as it was a moment ago.
func (sharing *loadSharing) total(now time.Time) *gathered {
	sharing.mutex.Lock()
	defer sharing.mutex.Unlock()
	before := sharing.gathered
	if before != nil && now.Sub(before.at) < totalReuse {
		return before
	}
	list := sharing.currentList(before)
	sum, zoneNodes := sharing.gatherer.Total(sharing.node.members.zoneSizes(), now)
	sharing.gathered = newGathered(sum, zoneNodes, list, now)
	if before != nil && before.list.digest != list.digest {
		sharing.former = before.list
	}
	return sharing.gathered
}

// currentList is the list of the engines known, the one of the sum before where that still
// is the same.
func (sharing *loadSharing) currentList(before *gathered) engineList {
	names := sharing.node.engines.IDs()
	if before != nil && slices.Equal(names, before.list.names) {
		return before.list
	}
	return newEngineList(names)
}

// ShareLoad implements nodev1.Node.
func (server *peerServer) ShareLoad(_ context.Context, request *nodev1.ShareLoadRequest) (*nodev1.ShareLoadReply, error) {
	if !feature.Enabled(feature.LoadSharing) {
		return nil, errNoLoad
	}
	return server.node.sharing.answer(request, time.Now())
}
