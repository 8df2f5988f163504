package node

import (
	"context"
	"slices"
	"sync"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/streamversion"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
)

const (
	// originBatchDelay is how long origins are collected into one message to a node. While a single version
	// of the service is known, streams are resumed without their origins, unless the log is unavailable, and
	// it is soleOriginBatchDelay.
	originBatchDelay     = 5 * time.Millisecond
	soleOriginBatchDelay = time.Second
	// keepOriginsTimeout bounds a message with origins. A node that does not take it in time is passed
	// over for originPeerSuspicion, and another one of its zone keeps the origins.
	keepOriginsTimeout  = 200 * time.Millisecond
	originPeerSuspicion = 500 * time.Millisecond
	// maxRedirects bounds how many nodes are told of an origin in place of its keepers that do not respond.
	maxRedirects = 3
	// findOriginTimeout bounds a search. secondRoundDelay is when the further nodes are asked, unless
	// all of the first round have answered before.
	findOriginTimeout = 300 * time.Millisecond
	secondRoundDelay  = 40 * time.Millisecond
	// memberPollDelay is the delay between checks whether the other nodes are known.
	memberPollDelay = 10 * time.Millisecond
	// A node that knows too few nodes that can keep an origin, as in a fleet's first seconds or while many
	// are lost, looks for more of them each incompleteInterval, for incompleteAge, for at most
	// maxIncomplete origins.
	incompleteInterval = 200 * time.Millisecond
	incompleteAge      = 10 * time.Second
	maxIncomplete      = 4096
	// refillAge is the age up to which origins are sent to a node that has started: callers resume their
	// streams within their deadline, of some seconds.
	refillAge = 20 * time.Second
	// maxOriginsPerMessage bounds a message, to some 200 KB.
	maxOriginsPerMessage = 2048
)

// streamOrigins implements forward.StreamOrigins. Each origin is kept by the node that runs the stream
// and, asynchronously, by nodes that a hash of the stream determines; see package streamversion.
type streamOrigins struct {
	node     *Node
	table    *streamversion.Table
	suspects *suspects
	toNodes  *outboxes[*keptOrigin]
	records  *originRecords
	inUse    *versionsInUse

	// mutex guards incomplete, the origins kept by too few nodes, oldest first.
	mutex      sync.Mutex
	incomplete []incompleteOrigin
}

// incompleteOrigin is a record that fewer than streamversion.Copies nodes keep.
type incompleteOrigin struct {
	streamversion.Record
	since time.Time
	// keepers are the nodes that were told.
	keepers []string
}

// keptOrigin is a record on its way to its keepers.
type keptOrigin struct {
	streamversion.Record
	// mayRedirect is false if no other node is told in place of one that does not take the record.
	mayRedirect bool

	mutex sync.Mutex
	// redirects is how many nodes were told in place of others, told all nodes that were told.
	redirects int
	told      []string
}

// replacement returns the first keeper that was not told yet, false if there is none or enough others were
// told in place of those that did not take the record.
func (origin *keptOrigin) replacement(keepers []string) (string, bool) {
	origin.mutex.Lock()
	defer origin.mutex.Unlock()
	if !origin.mayRedirect || origin.redirects >= maxRedirects {
		return "", false
	}
	untold := slices.IndexFunc(keepers, func(keeper string) bool { return !slices.Contains(origin.told, keeper) })
	if untold < 0 {
		return "", false
	}
	origin.redirects++
	origin.told = append(origin.told, keepers[untold])
	return keepers[untold], true
}

func newStreamOrigins(node *Node) *streamOrigins {
	origins := &streamOrigins{node: node, table: streamversion.NewTable(time.Now()), suspects: newSuspects()}
	origins.toNodes = newOutboxes(maxOriginsPerMessage, origins.deliver)
	origins.records = newOriginRecords(node, origins.table)
	origins.inUse = newVersionsInUse(node, origins.records.relay)
	return origins
}

// Began implements forward.StreamOrigins.
func (origins *streamOrigins) Began(record streamversion.Record) {
	now := time.Now()
	origins.table.Put(record, now)
	origins.tellKeepers(incompleteOrigin{Record: record, since: now})
	origins.records.record(record)
}

// tellKeepers tells the keepers of a record that were not told before. If there are too few of them, it
// is done again once there may be others.
func (origins *streamOrigins) tellKeepers(record incompleteOrigin) {
	settings := origins.node.settings
	keepers := streamversion.Keepers(record.Key, origins.candidates(), settings.Name, settings.Zone)
	delay := origins.batchDelay(record.Origin)
	kept := &keptOrigin{Record: record.Record, mayRedirect: true, told: slices.Clone(keepers)}
	for _, keeper := range keepers {
		if !slices.Contains(record.keepers, keeper) {
			origins.toNodes.to(keeper).add([]*keptOrigin{kept}, delay)
		}
	}
	if len(keepers) >= streamversion.Copies {
		return
	}
	record.keepers = keepers
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	if len(origins.incomplete) < maxIncomplete {
		origins.incomplete = append(origins.incomplete, record)
	}
}

// batchDelay returns how long an origin may wait for others that go to the same node.
func (origins *streamOrigins) batchDelay(origin streamversion.Origin) time.Duration {
	if origins.inUse.enabled() && origins.node.engines.IsSoleVersion(origin.Service, origin.Version) {
		return soleOriginBatchDelay
	}
	return originBatchDelay
}

// run looks for further keepers of incomplete origins until ctx ends.
func (origins *streamOrigins) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, incompleteInterval)
		origins.retryIncomplete(time.Now())
	}
}

// retryIncomplete tells the keepers of incomplete origins that this node knows by now.
func (origins *streamOrigins) retryIncomplete(now time.Time) {
	origins.mutex.Lock()
	incomplete := origins.incomplete
	origins.incomplete = nil
	origins.mutex.Unlock()
	for _, record := range incomplete {
		if now.Sub(record.since) < incompleteAge {
			origins.tellKeepers(record)
		}
	}
}

// candidates returns the nodes that may keep origins: those that are not suspected.
func (origins *streamOrigins) candidates() []streamversion.Node {
	now := time.Now()
	members := slices.DeleteFunc(origins.node.members.activePeers(origins.node.settings.Name), func(member Member) bool {
		return origins.suspects.contains(member.Name, now)
	})
	return origins.inRegion(members)
}

// inRegion returns the nodes of this node's region, this node included.
func (origins *streamOrigins) inRegion(peers []Member) []streamversion.Node {
	settings := origins.node.settings
	nodes := []streamversion.Node{originNode(origins.node.self())}
	for _, member := range peers {
		if settings.Regions[member.Zone] == settings.Regions[settings.Zone] {
			nodes = append(nodes, originNode(member))
		}
	}
	return nodes
}

func originNode(member Member) streamversion.Node {
	return streamversion.Node{Name: member.Name, Zone: member.Zone, Capacity: member.Capacity}
}

// searched returns the nodes to ask for an origin, and how many belong to the first round. Nodes that
// are suspected or draining are asked in the second one: what they kept before is still theirs.
func (origins *streamOrigins) searched(key streamversion.Key) (names []string, firstRound int) {
	self := origins.node.settings.Name
	names, firstRound = streamversion.Searched(key, origins.candidates(), self)
	others, _ := streamversion.Searched(key, origins.inRegion(origins.node.members.allPeers(self)), self)
	for _, name := range others {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names, firstRound
}

// deliver sends records to a node. If it does not take them, other nodes get them in its place.
func (origins *streamOrigins) deliver(name string, records []*keptOrigin) {
	message := &nodev1.KeepStreamOriginsRequest{Origins: make([]*nodev1.StreamOrigin, len(records))}
	for index, record := range records {
		message.Origins[index] = originToProto(record.Record)
	}
	err := origins.send(name, message)
	origins.node.meter.countOriginMessage(originsKept, err)
	if err == nil {
		return
	}
	origins.suspects.add(name, time.Now().Add(originPeerSuspicion))
	origins.node.logger.Info("stream origins not kept", zap.String("node", name), zap.Int("streams", len(records)), logging.ErrorField(err))
	// Messages that were sent at the same time end at the same time: by then all that failed are suspected.
	time.AfterFunc(originBatchDelay, func() { origins.redirect(records) })
}

// refill sends recent origins to a node that has started, and of whose memory nothing is left. Otherwise
// nodes that are lost and start again one after another would take all copies of an origin.
func (origins *streamOrigins) refill(member Member) {
	if !feature.Enabled(feature.StreamVersions) || member.Draining {
		return
	}
	nodes := origins.candidates()
	started := originNode(member)
	var records []*keptOrigin
	for _, record := range origins.table.PutSince(time.Now().Add(-refillAge)) {
		if streamversion.IsFirstOfZone(record.Key, started, nodes) {
			records = append(records, &keptOrigin{Record: record})
		}
	}
	if len(records) > 0 {
		origins.toNodes.to(member.Name).add(records, 0)
	}
}

func (origins *streamOrigins) send(name string, message *nodev1.KeepStreamOriginsRequest) error {
	client, err := origins.node.peers.client(name)
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(context.Background(), keepOriginsTimeout)
	defer cancel()
	_, err = client.KeepStreamOrigins(bounded, message)
	return err
}

// redirect sends each record to one node in place of another that did not take it. Nodes that are short of
// processor time do not respond in time either: those that were told before are not told again.
func (origins *streamOrigins) redirect(records []*keptOrigin) {
	settings := origins.node.settings
	candidates := origins.candidates()
	for _, record := range records {
		keeper, found := record.replacement(streamversion.Keepers(record.Key, candidates, settings.Name, settings.Zone))
		if found {
			origins.toNodes.to(keeper).add([]*keptOrigin{record}, 0)
		}
	}
}

// Find implements forward.StreamOrigins.
func (origins *streamOrigins) Find(ctx context.Context, key streamversion.Key, service string) (streamversion.Origin, bool) {
	origin, known := origins.findRecorded(ctx, key)
	if known {
		return origin, true
	}
	return origins.inUse.findSole(ctx, service)
}

// findRecorded returns the origin of a stream that this node, other nodes or the log know.
func (origins *streamOrigins) findRecorded(ctx context.Context, key streamversion.Key) (streamversion.Origin, bool) {
	origin, known := origins.table.Find(key, time.Now())
	if known {
		return origin, true
	}
	bounded, cancel := context.WithTimeout(ctx, findOriginTimeout)
	defer cancel()
	origins.awaitMembers(bounded)
	names, firstRound := origins.searched(key)
	origin, known = origins.search(bounded, key, names, firstRound)
	if !known {
		origin, known = origins.records.find(ctx, key)
	}
	if known {
		origins.table.Put(streamversion.Record{Key: key, Origin: origin}, time.Now())
	}
	return origin, known
}

// awaitMembers waits until a newly started node has read the other nodes' records, or ctx ends.
func (origins *streamOrigins) awaitMembers(ctx context.Context) {
	for !origins.node.memberView.loaded() && ctx.Err() == nil {
		wait.Sleep(ctx, memberPollDelay)
	}
}

// search asks nodes in two rounds and returns the first origin that one of them knows.
func (origins *streamOrigins) search(ctx context.Context, key streamversion.Key, names []string, firstRound int) (streamversion.Origin, bool) {
	answers := make(chan *streamversion.Origin, len(names))
	ask := func(names []string) {
		for _, name := range names {
			go func() { answers <- origins.askNode(ctx, name, key) }()
		}
	}
	ask(names[:firstRound])
	outstanding, remaining := firstRound, names[firstRound:]
	secondRound := time.NewTimer(secondRoundDelay)
	defer secondRound.Stop()
	for outstanding > 0 || len(remaining) > 0 {
		startSecondRound := outstanding == 0
		if !startSecondRound {
			select {
			case origin := <-answers:
				if origin != nil {
					return *origin, true
				}
				outstanding--
				startSecondRound = outstanding == 0
			case <-secondRound.C:
				startSecondRound = true
			case <-ctx.Done():
				return streamversion.Origin{}, false
			}
		}
		if startSecondRound {
			ask(remaining)
			outstanding += len(remaining)
			remaining = nil
		}
	}
	return streamversion.Origin{}, false
}

// askNode returns the origin that a node knows, nil if it knows none or does not answer.
func (origins *streamOrigins) askNode(ctx context.Context, name string, key streamversion.Key) *streamversion.Origin {
	origin, err := origins.ask(ctx, name, &nodev1.FindStreamOriginRequest{Key: key[:]})
	if err != nil && ctx.Err() == nil {
		origins.node.logger.Info("stream origin not answered", zap.String("node", name), logging.ErrorField(err))
	}
	return origin
}

// ask returns a node's answer, nil if it knows no origin.
func (origins *streamOrigins) ask(ctx context.Context, name string, request *nodev1.FindStreamOriginRequest) (*streamversion.Origin, error) {
	client, err := origins.node.peers.client(name)
	if err != nil {
		return nil, err
	}
	reply, err := client.FindStreamOrigin(ctx, request)
	origins.node.meter.countOriginMessage(originsAsked, err)
	if err != nil || reply.Origin == nil {
		return nil, err
	}
	return &streamversion.Origin{Service: reply.Origin.Service, Version: reply.Origin.Version}, nil
}

// KeepStreamOrigins implements nodev1.Node.
func (server *peerServer) KeepStreamOrigins(_ context.Context, request *nodev1.KeepStreamOriginsRequest) (*nodev1.KeepStreamOriginsReply, error) {
	if !feature.Enabled(feature.StreamVersions) {
		return nil, errNoStreamOrigins
	}
	now := time.Now()
	for _, origin := range request.Origins {
		record, valid := originFromProto(origin)
		if valid {
			server.node.origins.table.Put(record, now)
			if request.Record {
				server.node.origins.records.toLog.add([]streamversion.Record{record}, 0)
			}
		}
	}
	return &nodev1.KeepStreamOriginsReply{}, nil
}

// FindStreamOrigin implements nodev1.Node.
func (server *peerServer) FindStreamOrigin(ctx context.Context, request *nodev1.FindStreamOriginRequest) (*nodev1.FindStreamOriginReply, error) {
	if !feature.Enabled(feature.StreamVersions) || len(request.Key) != len(streamversion.Key{}) {
		return nil, errNoStreamOrigins
	}
	key := streamversion.Key(request.Key)
	origin, known := server.node.origins.table.Find(key, time.Now())
	if !known && request.Recall {
		bounded, cancel := context.WithTimeout(ctx, recallTimeout)
		defer cancel()
		server.node.origins.records.recall(bounded)
		origin, known = server.node.origins.table.Find(key, time.Now())
	}
	if !known {
		return &nodev1.FindStreamOriginReply{}, nil
	}
	return &nodev1.FindStreamOriginReply{Origin: originToProto(streamversion.Record{Key: key, Origin: origin})}, nil
}

func originToProto(record streamversion.Record) *nodev1.StreamOrigin {
	return &nodev1.StreamOrigin{Key: slices.Clone(record.Key[:]), Service: record.Origin.Service, Version: record.Origin.Version}
}

// originFromProto decodes a record. It returns false if its key has another length.
func originFromProto(message *nodev1.StreamOrigin) (streamversion.Record, bool) {
	if len(message.Key) != len(streamversion.Key{}) {
		return streamversion.Record{}, false
	}
	return streamversion.Record{Key: streamversion.Key(message.Key), Origin: streamversion.Origin{Service: message.Service, Version: message.Version}}, true
}
