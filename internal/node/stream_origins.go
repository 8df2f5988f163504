package node

import (
	"context"
	"slices"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/streamversion"
	"go.uber.org/zap"
)

const (
	// keepOriginsTimeout bounds a message with origins. A node that does not take it in time is passed
	// over for originPeerSuspicion, and another one of its zone keeps the origins.
	keepOriginsTimeout  = 200 * time.Millisecond
	originPeerSuspicion = 2 * time.Second
	// findOriginTimeout bounds a search. secondRoundDelay is when the further nodes are asked, unless
	// all of the first round have answered before.
	findOriginTimeout = 300 * time.Millisecond
	secondRoundDelay  = 40 * time.Millisecond
	// maxOriginsPerMessage bounds a message, to some 200 KB.
	maxOriginsPerMessage = 2048
)

// streamOrigins implements forward.StreamOrigins. Each origin is kept by the node that runs the stream
// and, asynchronously, by nodes that a hash of the stream determines; see package streamversion.
type streamOrigins struct {
	node     *Node
	table    *streamversion.Table
	suspects *suspects
	toNodes  *outboxes[keptOrigin]
}

// keptOrigin is a record on its way to a node. redirected is true if another node did not take it.
type keptOrigin struct {
	streamversion.Record
	redirected bool
}

func newStreamOrigins(node *Node) *streamOrigins {
	origins := &streamOrigins{node: node, table: streamversion.NewTable(time.Now()), suspects: newSuspects()}
	origins.toNodes = newOutboxes(maxOriginsPerMessage, origins.deliver)
	return origins
}

// Began implements forward.StreamOrigins.
func (origins *streamOrigins) Began(record streamversion.Record) {
	origins.table.Put(record, time.Now())
	settings := origins.node.settings
	for _, keeper := range streamversion.Keepers(record.Key, origins.candidates(), settings.Name, settings.Zone) {
		origins.toNodes.to(keeper).add([]keptOrigin{{Record: record}}, 0)
	}
}

// candidates returns the nodes that may keep origins: those of this node's region that are not
// suspected, this node included.
func (origins *streamOrigins) candidates() []streamversion.Node {
	settings := origins.node.settings
	now := time.Now()
	members := append(origins.node.members.activePeers(settings.Name), origins.node.self())
	nodes := make([]streamversion.Node, 0, len(members))
	for _, member := range members {
		sameRegion := settings.Regions[member.Zone] == settings.Regions[settings.Zone]
		if sameRegion && !origins.suspects.contains(member.Name, now) {
			nodes = append(nodes, streamversion.Node{Name: member.Name, Zone: member.Zone})
		}
	}
	return nodes
}

// deliver sends records to a node. If it does not take them, other nodes get them in its place.
func (origins *streamOrigins) deliver(name string, records []keptOrigin) {
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
	for _, record := range records {
		if !record.redirected {
			origins.redirect(record, name)
		}
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

// redirect sends a record to the nodes that keep it now that one is suspected. Those that have it
// already are not changed by it.
func (origins *streamOrigins) redirect(record keptOrigin, failed string) {
	settings := origins.node.settings
	record.redirected = true
	for _, keeper := range streamversion.Keepers(record.Key, origins.candidates(), settings.Name, settings.Zone) {
		if keeper != failed {
			origins.toNodes.to(keeper).add([]keptOrigin{record}, 0)
		}
	}
}

// Find implements forward.StreamOrigins.
func (origins *streamOrigins) Find(ctx context.Context, key streamversion.Key) (streamversion.Origin, bool) {
	origin, known := origins.table.Find(key, time.Now())
	if known {
		return origin, true
	}
	bounded, cancel := context.WithTimeout(ctx, findOriginTimeout)
	defer cancel()
	names, firstRound := streamversion.Searched(key, origins.candidates(), origins.node.settings.Name)
	origin, known = origins.search(bounded, key, names, firstRound)
	if known {
		origins.table.Put(streamversion.Record{Key: key, Origin: origin}, time.Now())
	}
	return origin, known
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
	client, err := origins.node.peers.client(name)
	if err != nil {
		return nil
	}
	reply, err := client.FindStreamOrigin(ctx, &nodev1.FindStreamOriginRequest{Key: key[:]})
	origins.node.meter.countOriginMessage(originsAsked, err)
	if err != nil {
		if ctx.Err() == nil {
			origins.node.logger.Info("stream origin not answered", zap.String("node", name), logging.ErrorField(err))
		}
		return nil
	}
	if reply.Origin == nil {
		return nil
	}
	return &streamversion.Origin{Service: reply.Origin.Service, Version: reply.Origin.Version}
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
		}
	}
	return &nodev1.KeepStreamOriginsReply{}, nil
}

// FindStreamOrigin implements nodev1.Node.
func (server *peerServer) FindStreamOrigin(_ context.Context, request *nodev1.FindStreamOriginRequest) (*nodev1.FindStreamOriginReply, error) {
	if !feature.Enabled(feature.StreamVersions) || len(request.Key) != len(streamversion.Key{}) {
		return nil, errNoStreamOrigins
	}
	key := streamversion.Key(request.Key)
	origin, known := server.node.origins.table.Find(key, time.Now())
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
