package node

import (
	"context"
	"strconv"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/ownership"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
)

// reserveAtOwner finds the owner of a shard and requests a reservation from it. Nodes that do not
// answer are named to the next node, which may then take over the shard. tryOtherNode is true if
// the caller should use another node.
func (programs *programs) reserveAtOwner(ctx context.Context, shard int, id string, request *nodev1.ReserveRequest) (reply *nodev1.ReserveReply, tryOtherNode bool) {
	if refusal := programs.isolationRefusal(shard); refusal != nil {
		return refusal, false
	}
	search := &ownerSearch{programs: programs, shard: shard, requestID: id, request: request, tried: map[string]bool{}}
	deadline := time.Now().Add(ownerSearchTimeout)
	for {
		reply, final := search.searchRound(ctx)
		if final || ctx.Err() != nil || time.Now().After(deadline) || search.isolated() {
			return reply, search.isolated()
		}
		wait.Sleep(ctx, searchRoundDelay)
		search.tried = map[string]bool{}
		request.Failed = nil
	}
}

// isolationRefusal returns a refusal if this zone is isolated and the owner is outside of it, nil
// otherwise. Ownership cannot change without the log, so waiting would be futile.
func (programs *programs) isolationRefusal(shard int) *nodev1.ReserveReply {
	now := time.Now()
	if !programs.node.zoneIsolated(now) {
		return nil
	}
	owner := programs.knownOwner(shard).Node
	if owner != "" && programs.node.nodeReachable(owner, now) {
		return nil
	}
	return &nodev1.ReserveReply{Verdict: nodev1.Verdict_VERDICT_UNSURE, RetryAfterMs: forward.IsolatedRetryAfter.Milliseconds(),
		Reason: "this zone is cut off from the others and the store"}
}

// ownerSearch is the search for a shard's owner on behalf of one reservation.
type ownerSearch struct {
	programs  *programs
	shard     int
	requestID string
	request   *nodev1.ReserveRequest
	// tried holds the nodes tried in this round. attempts counts all requests, unanswered the
	// consecutive ones that timed out, the first of which began at unansweredSince.
	tried           map[string]bool
	attempts        int
	unanswered      int
	unansweredSince time.Time
}

// searchRound tries one node after another. It returns false if none gave a final reply.
func (search *ownerSearch) searchRound(ctx context.Context) (*nodev1.ReserveReply, bool) {
	last := &nodev1.ReserveReply{Verdict: nodev1.Verdict_VERDICT_UNSURE, Reason: "no node could be asked"}
	for range maxNodesPerRound {
		target, found := search.programs.nextTarget(search.shard, search.tried)
		if !found || ctx.Err() != nil || search.isolated() {
			return last, false
		}
		if !search.programs.node.nodeReachable(target, time.Now()) {
			search.tried[target] = true
			search.markFailed(target)
			continue
		}
		reply, err := search.tryNode(ctx, target)
		if err != nil {
			continue
		}
		last = reply
		switch reply.Verdict {
		case nodev1.Verdict_VERDICT_WAITING:
			return reply, false
		case nodev1.Verdict_VERDICT_UNABLE:
			search.markFailed(target)
		case nodev1.Verdict_VERDICT_NOT_OWNER:
		case nodev1.Verdict_VERDICT_UNSURE:
			return reply, reply.Epoch != 0
		default:
			return reply, true
		}
	}
	return last, false
}

// tryNode sends the reservation to one node and records the owner that it names.
func (search *ownerSearch) tryNode(ctx context.Context, target string) (*nodev1.ReserveReply, error) {
	programs := search.programs
	search.tried[target] = true
	search.request.TakeOver = programs.mayTakeOver(search.shard, target)
	search.request.Request = search.requestID + "/" + strconv.Itoa(search.attempts)
	search.attempts++
	started := time.Now()
	reply, err := programs.sendReserve(ctx, search.shard, target, search.request)
	search.recordOutcome(target, err, started)
	if err != nil {
		programs.node.logger.Info("shard owner unreachable", zap.Int("shard", search.shard), zap.String("node", target),
			zap.String("request", search.requestID), logging.ErrorField(err))
		// The node may have granted the reservation before the failure.
		go programs.settleAt(target, &nodev1.Settlement{Program: search.request.Program, Tenant: search.request.Tenant, Request: search.request.Request})
		return nil, err
	}
	if programs.observeOwner(search.shard, target, reply) {
		delete(search.tried, reply.Owner)
	}
	return reply, nil
}

// recordOutcome counts consecutive timeouts, and suspects a node that has failed.
func (search *ownerSearch) recordOutcome(target string, err error, started time.Time) {
	programs := search.programs
	if err == nil {
		search.unanswered = 0
		programs.recordAnswer(target)
		return
	}
	search.markFailed(target)
	if time.Since(started) < peerDialTimeout {
		return
	}
	if search.unanswered == 0 {
		search.unansweredSince = started
	}
	search.unanswered++
	programs.recordSilence(target, search.unansweredSince)
}

// othersInContact reports whether any other node has been in contact since the first of the consecutive
// timeouts.
func (search *ownerSearch) othersInContact() bool {
	return search.programs.node.contact.last.notBefore(search.unansweredSince)
}

// recordSilence records that a node has not answered since a time. It is asked last for silenceSuspicion, if
// none has answered only while none does.
func (programs *programs) recordSilence(name string, since time.Time) {
	silent := programs.unreached
	if programs.node.contact.last.notBefore(since) {
		silent = programs.silent
	}
	silent.add(name, time.Now().Add(silenceSuspicion))
}

// recordAnswer records that a node has answered.
func (programs *programs) recordAnswer(name string) {
	programs.silent.remove(name)
	programs.unreached.remove(name)
}

// isolated reports whether this node probably reaches no other node, so that the caller should try
// elsewhere instead of waiting. Several nodes may be lost while others are in contact.
func (search *ownerSearch) isolated() bool {
	if !feature.Enabled(feature.Isolation) || search.unanswered == 0 {
		return false
	}
	return search.unanswered >= maxUnansweredNodes && !search.othersInContact() || search.programs.node.isolated()
}

// markFailed records that a node did not answer or cannot write to the log.
func (search *ownerSearch) markFailed(target string) {
	search.programs.suspect(search.shard, target)
	search.request.Failed = append(search.request.Failed, target)
}

// mayTakeOver reports whether the target may claim the shard: no other node is known to own it.
func (programs *programs) mayTakeOver(shard int, target string) bool {
	programs.mutex.Lock()
	defer programs.mutex.Unlock()
	return programs.owners[shard].Node == "" || programs.owners[shard].Node == target
}

// nextTarget returns the next node to try: the known owner, then the candidates, suspected ones
// last.
func (programs *programs) nextTarget(shard int, tried map[string]bool) (string, bool) {
	target, found := programs.nextUnsuspected(shard, tried)
	if found {
		return target, true
	}
	for _, member := range programs.node.members.candidates(shard) {
		if !tried[member.Name] {
			return member.Name, true
		}
	}
	return "", false
}

// nextUnsuspected returns the next node to try: the known owner, then the candidates that are not suspected.
func (programs *programs) nextUnsuspected(shard int, tried map[string]bool) (string, bool) {
	known := programs.knownOwner(shard).Node
	if known != "" && !tried[known] {
		return known, true
	}
	now := time.Now()
	for _, member := range programs.node.members.candidates(shard) {
		if !tried[member.Name] && !programs.isSuspected(member.Name, now) {
			return member.Name, true
		}
	}
	return "", false
}

// isSuspected reports whether a node is asked last.
func (programs *programs) isSuspected(name string, now time.Time) bool {
	return programs.suspects.contains(name, now) || programs.silent.contains(name, now) ||
		programs.unreached.contains(name, now) && programs.node.peersUnresponsive(now)
}

// suspect records that a node did not answer.
func (programs *programs) suspect(shard int, name string) {
	programs.suspects.add(name, time.Now().Add(ownerSuspicion))
	programs.mutex.Lock()
	defer programs.mutex.Unlock()
	if programs.owners[shard].Node == name {
		delete(programs.owners, shard)
	}
}

// observeOwner records the owner named in a reply, and reports whether it is newer than the known
// one and not the target itself.
func (programs *programs) observeOwner(shard int, target string, reply *nodev1.ReserveReply) bool {
	programs.mutex.Lock()
	defer programs.mutex.Unlock()
	known := programs.owners[shard]
	programs.node.members.addIfUnknown(reply.Owner, reply.OwnerAddress)
	if reply.Owner != "" && reply.Epoch >= known.Epoch && reply.Owner != known.Node {
		programs.owners[shard] = ownership.Owner{Node: reply.Owner, Epoch: reply.Epoch}
		return reply.Owner != target
	}
	if reply.Verdict == nodev1.Verdict_VERDICT_NOT_OWNER && known.Node == target {
		delete(programs.owners, shard)
	}
	return false
}

// knownOwner returns the owner that this node believes to be current, the zero Owner if it knows
// none.
func (programs *programs) knownOwner(shard int) ownership.Owner {
	programs.mutex.Lock()
	defer programs.mutex.Unlock()
	return programs.owners[shard]
}

func (programs *programs) sendReserve(ctx context.Context, shard int, target string, request *nodev1.ReserveRequest) (*nodev1.ReserveReply, error) {
	if target == programs.node.settings.Name {
		return programs.node.handleReserve(ctx, shard, request), nil
	}
	client, err := programs.node.peers.client(target)
	if err != nil {
		return nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reply, err := client.Reserve(bounded, request)
	programs.node.logHealth.observeRemote(logObservations{responseAge: reply.GetLogAnswerAgeMs(), slowAppendAge: reply.GetSlowAppendAgeMs(), fastAppendAge: reply.GetFastAppendAgeMs()}, time.Now())
	return reply, err
}
