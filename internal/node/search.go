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

// ask finds the node that owns the shard and asks it. A node that does not
// answer is named to the next one, which may then take the shard over. elsewhere is
// true where other nodes are likely to do better than this one.
func (programs *programs) ask(ctx context.Context, shard int, id string, request *nodev1.ReserveRequest) (reply *nodev1.ReserveReply, elsewhere bool) {
	if refusal := programs.cutOff(shard); refusal != nil {
		return refusal, false
	}
	search := &ownerSearch{programs: programs, shard: shard, id: id, request: request, asked: map[string]bool{}}
	until := time.Now().Add(waitPatience)
	for {
		reply, decided := search.once(ctx)
		if decided || ctx.Err() != nil || time.Now().After(until) || search.cutOff() {
			return reply, search.cutOff()
		}
		wait.Sleep(ctx, searchPause)
		search.asked = map[string]bool{}
		request.Failed = nil
	}
}

// cutOff refuses a turn whose owner is beyond a cut, before callers wait for what this zone
// can't tell; nil where the owner may be asked. Other owners can't be made without the store.
func (programs *programs) cutOff(shard int) *nodev1.ReserveReply {
	now := time.Now()
	if !programs.node.zoneCutOff(now) {
		return nil
	}
	owner := programs.believedOwner(shard).Node
	if owner != "" && programs.node.reaches(owner, now) {
		return nil
	}
	return &nodev1.ReserveReply{Verdict: nodev1.Verdict_VERDICT_UNSURE, RetryAfterMs: forward.IsolatedRetryAfter.Milliseconds(),
		Reason: "this zone is cut off from the others and the store"}
}

// ownerSearch is one reservation on its way to the shard's owner.
type ownerSearch struct {
	programs *programs
	shard    int
	id       string
	request  *nodev1.ReserveRequest
	// asked holds the nodes asked in this round, asks counts all; unanswered counts
	// those in a row that let their time pass.
	asked      map[string]bool
	asks       int
	unanswered int
}

// once asks one node after another. It returns false where none decided.
func (search *ownerSearch) once(ctx context.Context) (*nodev1.ReserveReply, bool) {
	last := &nodev1.ReserveReply{Verdict: nodev1.Verdict_VERDICT_UNSURE, Reason: "no node could be asked"}
	for range askRounds {
		target, found := search.programs.target(search.shard, search.asked)
		if !found || ctx.Err() != nil || search.cutOff() {
			return last, false
		}
		if !search.programs.node.reaches(target, time.Now()) {
			search.asked[target] = true
			search.failed(target)
			continue
		}
		reply, err := search.askOne(ctx, target)
		if err != nil {
			continue
		}
		last = reply
		switch reply.Verdict {
		case nodev1.Verdict_VERDICT_WAITING:
			return reply, false
		case nodev1.Verdict_VERDICT_UNABLE:
			search.failed(target)
		case nodev1.Verdict_VERDICT_NOT_OWNER:
		case nodev1.Verdict_VERDICT_UNSURE:
			return reply, reply.Epoch != 0
		default:
			return reply, true
		}
	}
	return last, false
}

// askOne asks one node, and learns from what it says.
func (search *ownerSearch) askOne(ctx context.Context, target string) (*nodev1.ReserveReply, error) {
	programs := search.programs
	search.asked[target] = true
	search.request.TakeOver = programs.mayTakeOver(search.shard, target)
	search.request.Request = search.id + "/" + strconv.Itoa(search.asks)
	search.asks++
	began := time.Now()
	reply, err := programs.askNode(ctx, search.shard, target, search.request)
	search.noteAnswer(err, time.Since(began))
	if err != nil {
		programs.node.logger.Info("owner not reached", zap.Int("shard", search.shard), zap.String("node", target),
			zap.String("request", search.id), logging.Cause(err))
		search.failed(target)
		// The node may have granted all the same.
		go programs.settleAt(target, &nodev1.Settlement{Program: search.request.Program, Tenant: search.request.Tenant, Request: search.request.Request})
		return nil, err
	}
	if programs.learn(search.shard, target, reply) {
		delete(search.asked, reply.Owner)
	}
	return reply, nil
}

// noteAnswer counts the nodes in a row that let their time pass.
func (search *ownerSearch) noteAnswer(err error, took time.Duration) {
	switch {
	case err == nil:
		search.unanswered = 0
	case took >= peerDialTimeout:
		search.unanswered++
	}
}

// cutOff tells whether this node is likely to reach none. The caller does better to
// try another node than to wait here.
func (search *ownerSearch) cutOff() bool {
	if !feature.Enabled(feature.Isolation) {
		return false
	}
	return search.unanswered >= unansweredAsks || (search.unanswered > 0 && search.programs.node.isolated())
}

// failed notes that a node does not answer, or can't write to the log.
func (search *ownerSearch) failed(target string) {
	search.programs.suspect(search.shard, target)
	search.request.Failed = append(search.request.Failed, target)
}

// mayTakeOver tells whether the node asked should own the shard if no other
// does: it is not the one already believed to.
func (programs *programs) mayTakeOver(shard int, target string) bool {
	programs.mutex.Lock()
	defer programs.mutex.Unlock()
	return programs.owners[shard].Node == "" || programs.owners[shard].Node == target
}

// target is the next node to ask: the owner believed in, then the candidates.
func (programs *programs) target(shard int, asked map[string]bool) (string, bool) {
	believed := programs.believedOwner(shard).Node
	if believed != "" && !asked[believed] {
		return believed, true
	}
	candidates := programs.node.members.candidates(shard)
	now := time.Now()
	for _, member := range candidates {
		if !asked[member.Name] && !programs.suspects.holds(member.Name, now) {
			return member.Name, true
		}
	}
	for _, member := range candidates {
		if !asked[member.Name] {
			return member.Name, true
		}
	}
	return "", false
}

// suspect notes that a node did not answer.
func (programs *programs) suspect(shard int, name string) {
	programs.suspects.note(name, time.Now().Add(suspicion))
	programs.mutex.Lock()
	defer programs.mutex.Unlock()
	if programs.owners[shard].Node == name {
		delete(programs.owners, shard)
	}
}

// learn notes what a node said of the shard's owner, and tells whether that is
// a newer owner than the one believed in.
func (programs *programs) learn(shard int, target string, reply *nodev1.ReserveReply) bool {
	programs.mutex.Lock()
	defer programs.mutex.Unlock()
	believed := programs.owners[shard]
	programs.node.members.learn(reply.Owner, reply.OwnerAddress)
	if reply.Owner != "" && reply.Epoch >= believed.Epoch && reply.Owner != believed.Node {
		programs.owners[shard] = ownership.Owner{Node: reply.Owner, Epoch: reply.Epoch}
		return reply.Owner != target
	}
	if reply.Verdict == nodev1.Verdict_VERDICT_NOT_OWNER && believed.Node == target {
		delete(programs.owners, shard)
	}
	return false
}

// believedOwner returns the owner that this node would ask.
func (programs *programs) believedOwner(shard int) ownership.Owner {
	programs.mutex.Lock()
	defer programs.mutex.Unlock()
	return programs.owners[shard]
}

func (programs *programs) askNode(ctx context.Context, shard int, target string, request *nodev1.ReserveRequest) (*nodev1.ReserveReply, error) {
	if target == programs.node.settings.Name {
		return programs.node.reserveHere(ctx, shard, request), nil
	}
	client, err := programs.node.peers.client(target)
	if err != nil {
		return nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := client.Reserve(bounded, request)
	programs.node.logHealth.hear(reply.GetLogAnswerAgeMs(), time.Now())
	return reply, err
}
