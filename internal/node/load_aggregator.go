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
	// exchangeBytesPerSecond is an aggregator's budget for messages to each other aggregator: a
	// total every 0.34 s at the target size (docs/design/load.md).
	exchangeBytesPerSecond = 9000
	// totalTTL is how long a computed total is reused for replies.
	totalTTL = reportInterval / 3
)

// totalSnapshot is the load total over all nodes at one time, encoded on first use.
type totalSnapshot struct {
	computedAt time.Time
	aggregate  load.Aggregate
	zoneNodes  int
	list       engineList
	// full returns the message for nodes that own programs, enginesOnly the one for other nodes.
	full, enginesOnly func() *nodev1.LoadReport
	// encodedNames returns the encoded engine list.
	encodedNames func() []byte
}

func newTotalSnapshot(aggregate load.Aggregate, zoneNodes int, list engineList, now time.Time) *totalSnapshot {
	return &totalSnapshot{
		computedAt: now, aggregate: aggregate, zoneNodes: zoneNodes, list: list,
		full:         sync.OnceValue(func() *nodev1.LoadReport { return compressReport(toLoadReport(aggregate.Report, list)) }),
		enginesOnly:  sync.OnceValue(func() *nodev1.LoadReport { return compressReport(toLoadReport(engineLoadOnly(aggregate.Report), list)) }),
		encodedNames: sync.OnceValue(list.compressedNames),
	}
}

// exchangeAggregates sends this node's zone total to the other aggregators until ctx ends.
func (sharing *loadSharing) exchangeAggregates(ctx context.Context) {
	for ctx.Err() == nil {
		sent := 0
		if sharing.aggregator.NodeCount(time.Now()) > 0 {
			sent = sharing.sendToAggregators(ctx)
		}
		wait.Sleep(ctx, intervalFor(sent, exchangeBytesPerSecond))
	}
}

// sendToAggregators sends the zone total to all other aggregators. It returns the size of the
// largest message in bytes.
func (sharing *loadSharing) sendToAggregators(ctx context.Context) int {
	aggregate := sharing.aggregator.ZoneTotal(time.Now())
	targets := sharing.otherAggregators(time.Now())
	sizes := make([]int, len(targets)+1)
	group := sync.WaitGroup{}
	for index, target := range targets {
		group.Go(func() { sizes[index] = sharing.sendAggregate(ctx, target, aggregate) })
	}
	group.Wait()
	return slices.Max(sizes)
}

// otherAggregators returns the aggregators of all zones that this node knows of, and those that
// sent it their totals: nodes may temporarily disagree on a zone's aggregator.
func (sharing *loadSharing) otherAggregators(now time.Time) []string {
	names := sharing.aggregator.PeerAggregators(now)
	for zone := range sharing.node.members.nodesPerZone() {
		names = append(names, sharing.aggregatorOf(zone, now))
	}
	others := names[:0]
	seen := map[string]bool{"": true, sharing.node.settings.Name: true}
	for _, name := range names {
		if !seen[name] && !sharing.suspects.contains(name, now) {
			seen[name] = true
			others = append(others, name)
		}
	}
	return others
}

// sendAggregate sends a zone total to another aggregator. It returns the bytes sent.
func (sharing *loadSharing) sendAggregate(ctx context.Context, target string, aggregate load.Aggregate) int {
	list := sharing.listFor(target)
	request := &nodev1.ShareLoadRequest{
		Node:     sharing.node.settings.Name,
		Zone:     sharing.node.settings.Zone,
		SumsZone: true,
		Report:   compressReport(toLoadReport(aggregate.Report, list)),
		Nodes:    uint32(aggregate.Nodes),
		AgeMs:    aggregate.MeanAge.Milliseconds(),
		Sequence: sharing.sequence.Add(1),
		List:     list.digest,
	}
	reply, err := sharing.send(ctx, target, request)
	if err == nil {
		_, err = sharing.updateList(target, list, reply)
	}
	if err != nil {
		sharing.suspect(target, err)
	}
	return messageOverhead + proto.Size(request)
}

// handleReport adds a report or a zone total. Its reply to a report carries the total over all
// nodes.
func (sharing *loadSharing) handleReport(request *nodev1.ShareLoadRequest, now time.Time) (*nodev1.ShareLoadReply, error) {
	total := sharing.total(now)
	err := sharing.addReport(request, now)
	if err != nil {
		return nil, err
	}
	reply := &nodev1.ShareLoadReply{List: total.list.digest}
	if request.GetList() != total.list.digest {
		reply.Engines = total.encodedNames()
	}
	if request.GetSumsZone() {
		return reply, nil
	}
	reply.Total = total.enginesOnly()
	if request.GetOwnsPrograms() {
		reply.Total = total.full()
	}
	reply.AgeMs = (total.aggregate.MeanAge + now.Sub(total.computedAt)).Milliseconds()
	reply.ZoneNodes = uint32(total.zoneNodes)
	return reply, nil
}

// addReport adds a report whose engine list is known here. A report with another list is ignored:
// the reply carries the newest list, which the sender uses next time.
func (sharing *loadSharing) addReport(request *nodev1.ShareLoadRequest, now time.Time) error {
	message, err := decompressReport(request.GetReport())
	if err != nil {
		return err
	}
	list, known := sharing.listByDigest(request.GetList())
	if !known && message.GetColumns() != nil {
		return nil
	}
	report := fromLoadReport(message, list)
	origin := load.Origin{Node: request.GetNode(), Zone: request.GetZone(), Sequence: request.GetSequence()}
	if request.GetSumsZone() {
		sharing.aggregator.AddAggregate(origin, load.Aggregate{Report: report, Nodes: int(request.GetNodes()), MeanAge: milliseconds(request.GetAgeMs())}, now)
		return nil
	}
	sharing.aggregator.AddReport(origin, report, now)
	return nil
}

// listByDigest returns the newest or the previous engine list if it has the digest.
func (sharing *loadSharing) listByDigest(digest uint64) (engineList, bool) {
	sharing.mutex.Lock()
	defer sharing.mutex.Unlock()
	if sharing.latestTotal != nil && sharing.latestTotal.list.digest == digest {
		return sharing.latestTotal.list, true
	}
	if sharing.previousList.digest == digest {
		return sharing.previousList, true
	}
	return engineList{}, false
}

// total returns the total over all nodes, at most totalTTL old.
func (sharing *loadSharing) total(now time.Time) *totalSnapshot {
	sharing.mutex.Lock()
	defer sharing.mutex.Unlock()
	previous := sharing.latestTotal
	if previous != nil && now.Sub(previous.computedAt) < totalTTL {
		return previous
	}
	list := sharing.currentList(previous)
	aggregate, zoneNodes := sharing.aggregator.Total(sharing.node.members.nodesPerZone(), now)
	sharing.latestTotal = newTotalSnapshot(aggregate, zoneNodes, list, now)
	if previous != nil && previous.list.digest != list.digest {
		sharing.previousList = previous.list
	}
	return sharing.latestTotal
}

// currentList returns the list of known engines, reusing the previous total's list if it is
// unchanged.
func (sharing *loadSharing) currentList(previous *totalSnapshot) engineList {
	names := sharing.node.engines.IDs()
	if previous != nil && slices.Equal(names, previous.list.names) {
		return previous.list
	}
	return newEngineList(names)
}

// ShareLoad implements nodev1.Node.
func (server *peerServer) ShareLoad(_ context.Context, request *nodev1.ShareLoadRequest) (*nodev1.ShareLoadReply, error) {
	if !feature.Enabled(feature.LoadSharing) {
		return nil, errNoLoadSharing
	}
	return server.node.sharing.handleReport(request, time.Now())
}
