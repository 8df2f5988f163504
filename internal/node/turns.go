package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/history"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/region"
	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
)

const (
	// findReplyWait is how long an owner searches for a chain before it asks the requester to
	// wait; findTimeout bounds the search itself.
	findReplyWait = 180 * time.Millisecond
	findTimeout   = 4 * time.Second
	// maxRecordNodes is how many nodes are asked to record a turn, recordTimeout how long each may
	// take.
	maxRecordNodes = 3
	recordTimeout  = 500 * time.Millisecond
	// maxGroupWriters is how many nodes are asked to record a turn in a group commit.
	maxGroupWriters = 2
	// firstPendingReply is how long a group writer waits for the log before it first replies that a
	// turn is pending, so that the requester can tell a slow log from an unresponsive node.
	// pendingReplyAfter is how long it waits after each further request.
	firstPendingReply = 60 * time.Millisecond
	pendingReplyAfter = 250 * time.Millisecond
	// firstReplyTimeout bounds a group writer's first reply. Versions that do not know
	// RecordRequest.pending_after_ms wait for pendingReplyAfter. Further replies may take recordTimeout.
	firstReplyTimeout = 400 * time.Millisecond
	// writerStalledAfter is how long the log may not respond to a group writer while appends of other
	// nodes are fast, writerSilenceLimit while it only responds to the requester at once.
	writerStalledAfter = 250 * time.Millisecond
	writerSilenceLimit = 500 * time.Millisecond
)

// findChain finds the chain that ends with a turn. It returns errStillReading after findReplyWait,
// or when ctx ends, while the search continues in the background. Concurrent calls for the same
// turn share one search.
func (node *Node) findChain(ctx context.Context, shard int, key history.Key) (history.LookupResult, error) {
	results := node.searches.DoChan(strconv.Quote(key.Tenant)+key.ID, func() (any, error) {
		searchContext, cancel := context.WithTimeout(context.Background(), findTimeout)
		defer cancel()
		found, err := node.reader.Find(searchContext, shard, key)
		node.logIncompleteChain(shard, err)
		return found, err
	})
	timer := time.NewTimer(findReplyWait)
	defer timer.Stop()
	select {
	case result := <-results:
		return result.Val.(history.LookupResult), result.Err
	case <-timer.C:
		return history.LookupResult{}, errStillReading
	case <-ctx.Done():
		return history.LookupResult{}, errStillReading
	}
}

// logIncompleteChain logs a chain of which a turn is missing in memory and in the log.
func (node *Node) logIncompleteChain(shard int, err error) {
	var incomplete *history.IncompleteChainError
	if !errors.As(err, &incomplete) {
		return
	}
	dropped := node.turns.Dropped()
	node.logger.Warn("chain incomplete", zap.String("turn", incomplete.Turn.ID), zap.String("missing", incomplete.Missing.ID), zap.Int("shard", shard),
		zap.Int("expired", dropped.Expired), zap.Int("evicted", dropped.Evicted), zap.Int("locations", node.turns.DroppedLocations()))
}

// recordAgain records a turn that the log is about to drop. It is the refresher's RecordFunc.
func (node *Node) recordAgain(ctx context.Context, turn *history.Turn) error {
	return node.recorder.Record(ctx, node.programs.shardOf(turn.Program), turn)
}

// refreshChain records the turns of a chain again that the log is about to drop. zones are those of the
// route of the chain's next turn.
func (node *Node) refreshChain(chain []*history.Turn, zones region.ZoneSet) {
	node.refresher.Refresh(chain, zones, time.Now(), func(turn *history.Turn, err error) {
		node.logger.Warn("turn not recorded again", zap.String("turn", turn.ID), zap.String("program", turn.Program), logging.ErrorField(err))
	})
}

// recordRemotely records a turn through another node, as the recorder's relay. It tries the
// shard's owner first, which batches pending turns into one append when the log is slow.
func (node *Node) recordRemotely(ctx context.Context, shard int, turn *history.Turn) error {
	others := node.members.activePeers(node.settings.Name)
	rand.Shuffle(len(others), func(left, right int) { others[left], others[right] = others[right], others[left] })
	others = slices.DeleteFunc(others, func(other Member) bool { return !turn.Zones.Contains(other.Zone) })
	owner := node.programs.knownOwner(shard).Node
	preferred := slices.IndexFunc(others, func(other Member) bool { return other.Name == owner })
	if preferred > 0 {
		others[0], others[preferred] = others[preferred], others[0]
	}
	lastError := errUnknownNode
	for _, other := range others[:min(maxRecordNodes, len(others))] {
		bounded, cancel := context.WithTimeout(ctx, recordTimeout)
		_, err := node.peers.clientAt(other.Address).Record(bounded, &nodev1.RecordRequest{Shard: uint32(shard), Turn: history.ToProto(turn)})
		cancel()
		if turnRejected(err) {
			return eris.Wrapf(durable.ErrRejected, "node %s: %v", other.Name, err)
		}
		if err == nil {
			node.logger.Info("turn recorded by another node", zap.String("request", turn.ID), zap.String("program", turn.Program), zap.String("node", other.Name))
			return nil
		}
		lastError = err
		if ctx.Err() != nil {
			break
		}
	}
	return lastError
}

// recordInGroup records a turn through the node that batches the appends of the shard's partition,
// as the recorder's group relay. It fails if that is this node or if the writers cannot record it.
func (node *Node) recordInGroup(ctx context.Context, shard int, turn *history.Turn) error {
	request := &nodev1.RecordRequest{Shard: uint32(shard), Turn: history.ToProto(turn), AcceptsPending: true}
	lastError := errUnknownNode
	for _, writer := range node.groupWriters(shard, turn) {
		if writer.Name == node.settings.Name {
			return history.ErrGroupWriter
		}
		lastError = node.recordAt(ctx, writer, request)
		if lastError == nil || ctx.Err() != nil {
			return lastError
		}
		if turnRejected(lastError) {
			return eris.Wrapf(durable.ErrRejected, "node %s: %v", writer.Name, lastError)
		}
		node.programs.suspectedWriters.add(writer.Name, time.Now().Add(ownerSuspicion))
		node.logger.Info("group writer failed", zap.String("request", turn.ID), zap.Int("shard", shard),
			zap.String("node", writer.Name), logging.ErrorField(lastError))
	}
	return lastError
}

// turnRejected reports whether a node's answer to a recording request says that the log does not
// accept the turn. That is no fault of the node.
func turnRejected(err error) bool {
	var failure twirp.Error
	return errors.As(err, &failure) && failure.Code() == twirp.InvalidArgument
}

// recordAt repeats a recording request to a group writer while it replies that the turn is pending.
// It fails if the turn stays pending although the log is not slow: the log does not respond to the
// writer then.
func (node *Node) recordAt(ctx context.Context, writer Member, request *nodev1.RecordRequest) error {
	began := time.Now()
	timeout := firstReplyTimeout
	request.PendingAfterMs = firstPendingReply.Milliseconds()
	for {
		reply, err := node.requestRecording(ctx, writer, request, timeout)
		if err != nil {
			return err
		}
		if !reply.Pending {
			return nil
		}
		if node.writerStalled(ctx, began, request, reply) {
			return errWriterStalled
		}
		timeout = recordTimeout
		request.PendingAfterMs = pendingReplyAfter.Milliseconds()
	}
}

// writerStalled reports whether the log does not respond to a group writer that replies that a turn is
// pending, although it is fast for others.
func (node *Node) writerStalled(ctx context.Context, began time.Time, request *nodev1.RecordRequest, reply *nodev1.RecordReply) bool {
	silence := milliseconds(reply.LogSilentMs)
	if reply.LogSilentMs == 0 { // Its version does not report it.
		silence = time.Since(began)
	}
	if silence >= writerStalledAfter && node.logHealth.FastAppendSince(began) {
		return true
	}
	return reply.LogSilentMs > 0 && silence >= writerSilenceLimit && node.recorder.LogRespondsAtOnce(ctx, int(request.Shard))
}

// requestRecording sends a recording request to a group writer, with what this node knows of the
// log's appends.
func (node *Node) requestRecording(ctx context.Context, writer Member, request *nodev1.RecordRequest, timeout time.Duration) (*nodev1.RecordReply, error) {
	observed := node.logHealth.report(time.Now())
	request.SlowAppendAgeMs = observed.slowAppendAge
	request.FastAppendAgeMs = observed.fastAppendAge
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return node.peers.clientAt(writer.Address).Record(bounded, request)
}

// groupWriters returns the nodes that may batch a shard's appends for all nodes, in order of
// preference: the known owner, then the candidates. Only nodes that may receive the turn and are
// not suspected are included.
func (node *Node) groupWriters(shard int, turn *history.Turn) []Member {
	owner := node.programs.knownOwner(shard).Node
	candidates := slices.Clone(node.members.candidates(shard))
	position := slices.IndexFunc(candidates, func(member Member) bool { return member.Name == owner })
	if position > 0 {
		known := candidates[position]
		candidates = slices.Insert(slices.Delete(candidates, position, position+1), 0, known)
	}
	now := time.Now()
	writers := slices.DeleteFunc(candidates, func(member Member) bool {
		return !node.mayReceiveTurn(member.Name, turn) || node.programs.suspects.contains(member.Name, now) ||
			node.programs.suspectedWriters.contains(member.Name, now)
	})
	return writers[:min(maxGroupWriters, len(writers))]
}

// mayReceiveTurn reports whether a node may receive a turn's content: this node, or one in a zone
// permitted for the turn.
func (node *Node) mayReceiveTurn(name string, turn *history.Turn) bool {
	if turn.Zones == nil || name == node.settings.Name {
		return true
	}
	member, known := node.members.get(name)
	return known && turn.Zones.Contains(member.Zone)
}

// Record implements nodev1.Node. The recording continues if the requester gives up.
func (server *peerServer) Record(ctx context.Context, request *nodev1.RecordRequest) (*nodev1.RecordReply, error) {
	if int(request.Shard) >= server.node.settings.Shards || request.Turn == nil {
		return nil, errUnknownShard
	}
	// A group writer has to know at once that the log is slow: it accepts turns after failures then.
	server.node.logHealth.observeRemote(logObservations{slowAppendAge: request.SlowAppendAgeMs, fastAppendAge: request.FastAppendAgeMs}, time.Now())
	if server.node.rejectsRecordings(request) {
		return nil, errLogRefused
	}
	timeout := recordTimeout
	if request.AcceptsPending {
		timeout = pendingReplyAfter
	}
	if request.PendingAfterMs > 0 {
		timeout = min(milliseconds(request.PendingAfterMs), recordTimeout)
	}
	recording := server.node.recordings.start(server.node.recorder, int(request.Shard), history.FromProto(request.Turn))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-recording.done:
		if errors.Is(recording.err, durable.ErrRejected) {
			return nil, twirp.InvalidArgumentError("turn", recording.err.Error())
		}
		if recording.err != nil {
			return nil, recording.err
		}
		return &nodev1.RecordReply{}, nil
	case <-timer.C:
		if !request.AcceptsPending {
			return nil, context.DeadlineExceeded
		}
		silent := min(server.node.logHealth.lastOwnResponse.age(time.Now()), time.Since(recording.began))
		return &nodev1.RecordReply{Pending: true, LogSilentMs: max(silent.Milliseconds(), 1)}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// rejectsRecordings reports whether this node is unlikely to record other nodes' turns. A group
// writer accepts them after failures while the log is slow: the requesters would append one by one
// and make it slower.
func (node *Node) rejectsRecordings(request *nodev1.RecordRequest) bool {
	if request.AcceptsPending && node.logHealth.AppendsSlow() {
		return false
	}
	return node.recorder.AppendFailedRecently()
}
