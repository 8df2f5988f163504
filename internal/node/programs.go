package node

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/history"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/ownership"
	"go.uber.org/zap"
)

const (
	// reserveTimeout bounds a reservation request to one node before the next is tried. An owner
	// that waits for the log replies within it.
	reserveTimeout = 300 * time.Millisecond
	// forwardTimeout bounds a request forwarded to the owner on behalf of another node.
	forwardTimeout = 150 * time.Millisecond
	// settleTimeout bounds one attempt to send settlements.
	settleTimeout = 800 * time.Millisecond
	// settleAttempts bounds the attempts to send settlements; settleRetryDelay separates them.
	settleAttempts   = 3
	settleRetryDelay = 250 * time.Millisecond
	// maxNodesPerRound is how many nodes are tried per round of an owner search.
	maxNodesPerRound = 6
	// maxUnansweredNodes is the number of consecutive timeouts that ends an owner search if no other
	// node is in contact meanwhile, since this node may be isolated.
	maxUnansweredNodes = 2
	// ownerSearchTimeout bounds an owner search.
	ownerSearchTimeout = 1200 * time.Millisecond
	// searchRoundDelay is the delay between rounds of an owner search.
	searchRoundDelay = 60 * time.Millisecond
	// ownerSuspicion is how long a node that fails is asked last, and silenceSuspicion one that does not
	// answer at all, unless it answers meanwhile. Searches that come seldom would otherwise begin with the
	// same lost nodes each time.
	ownerSuspicion   = 600 * time.Millisecond
	silenceSuspicion = 10 * time.Second
)

// programs implements forward.Programs on top of the owners of the programs' shards.
type programs struct {
	node     *Node
	suspects *suspects
	// silent are nodes that did not answer while others were in contact, unreached those that did not
	// while none was: they count for as long as none is.
	silent, unreached *suspects
	// suspectedWriters are nodes that failed to record turns for this one. They may still own shards.
	suspectedWriters *suspects
	// mutex guards owners.
	mutex  sync.Mutex
	owners map[int]ownership.Owner
}

func newPrograms(node *Node) *programs {
	return &programs{node: node, owners: map[int]ownership.Owner{}, suspects: newSuspects(), silent: newSuspects(), unreached: newSuspects(),
		suspectedWriters: newSuspects()}
}

// shardOf returns the shard of a program.
func (programs *programs) shardOf(program string) int {
	return int(xxhash.Sum64String(program) % uint64(programs.node.settings.Shards))
}

// Reserve implements forward.Programs.
func (programs *programs) Reserve(ctx context.Context, reservation *forward.ReservationRequest) forward.Reservation {
	call := reservation.Call
	request := &nodev1.ReserveRequest{
		Program:  call.Program,
		Tenant:   call.Tenant,
		Budget:   call.Turn.Budget,
		Most:     call.Turn.MaxTokens,
		Prompt:   call.Turn.PromptTokens,
		Previous: call.Turn.Previous,
		Session:  call.Session,
		Service:  reservation.Service,
		Route:    reservation.Route,
		Rank:     int32(reservation.Priority),
		Node:     programs.node.settings.Name,
		Zone:     programs.node.settings.Zone,
		Zones:    reservation.Zones,
		Running:  programs.node.runningByEngine(),
		Avoided:  programs.node.engines.Avoided(time.Now()),
	}
	if deadline, bounded := ctx.Deadline(); bounded {
		request.TimeLeftMs = time.Until(deadline).Milliseconds()
	}
	if !call.SoftDeadline.IsZero() {
		request.HasAim = true
		request.AimLeftMs = time.Until(call.SoftDeadline).Milliseconds()
	}
	var chain []*history.Turn
	if request.Previous != "" {
		stored, _, complete := programs.node.turns.Chain(history.Key{Tenant: call.Tenant, ID: request.Previous})
		chain = stored
		request.NeedsChain = !complete
	}
	if request.NeedsChain && reservation.Zones != nil {
		found, refusal := programs.findChainLocally(ctx, request)
		if refusal != nil {
			return *refusal
		}
		chain = found
		request.NeedsChain = false
	}
	reply, tryOtherNode := programs.reserveAtOwner(ctx, programs.shardOf(call.Program), call.ID, request)
	if request.NeedsChain {
		chain = programs.storeChain(reply.Chain)
	}
	if reply.Verdict == nodev1.Verdict_VERDICT_GRANTED {
		programs.node.refreshChain(chain, reservation.Zones)
	}
	return forward.Reservation{Verdict: reply.Verdict, Chain: chain, Reason: reply.Reason, Engine: reply.Engine, TryOtherNode: tryOtherNode,
		RetryAfter: milliseconds(reply.RetryAfterMs), TurnsGranted: reply.TurnsGranted,
		Grant: forward.Grant{Owner: reply.Owner, Epoch: reply.Epoch, Key: request.Request}}
}

// findChainLocally finds the chain of a turn that is restricted to certain zones. Its content must
// not be sent to the program's owner, which may be in another zone. It returns a refusal if the
// chain cannot be found.
func (programs *programs) findChainLocally(ctx context.Context, request *nodev1.ReserveRequest) ([]*history.Turn, *forward.Reservation) {
	key := history.Key{Tenant: request.Tenant, ID: request.Previous}
	found, err := programs.node.findChain(ctx, programs.shardOf(request.Program), key)
	switch {
	case err != nil:
		return nil, &forward.Reservation{Verdict: nodev1.Verdict_VERDICT_UNSURE, Reason: err.Error()}
	case !found.Found:
		return nil, &forward.Reservation{Verdict: nodev1.Verdict_VERDICT_NO_SUCH_TURN}
	}
	return found.Chain, nil
}

// storeChain stores turns received from another node.
func (programs *programs) storeChain(messages []*nodev1.Turn) []*history.Turn {
	chain := history.FromProtos(messages)
	for _, turn := range chain {
		programs.node.turns.Add(turn)
	}
	return chain
}

// Settle implements forward.Programs.
func (programs *programs) Settle(call *forward.Call, grant forward.Grant, end forward.TurnResult) {
	settlement := &nodev1.Settlement{Program: call.Program, Tenant: call.Tenant, Request: grant.Key, Tokens: end.Tokens,
		Session: call.Session, FailedEngine: end.FailedEngine, RecordMs: end.RecordTime.Milliseconds()}
	if end.Turn != nil {
		programs.node.turns.Add(end.Turn)
		if programs.node.mayReceiveTurn(grant.Owner, end.Turn) {
			settlement.Turn = history.ToProto(end.Turn)
		}
	}
	if grant.Owner == programs.node.settings.Name {
		programs.node.settle(settlement, false)
		return
	}
	go programs.settleAt(grant.Owner, settlement)
}

func (programs *programs) settleAt(owner string, settlement *nodev1.Settlement) {
	programs.sendSettlements(owner, &nodev1.SettleRequest{Settlements: []*nodev1.Settlement{settlement}})
}

// sendSettlements sends settlements to an owner. If all attempts fail they are lost, and the owner
// charges the turn its full reservation when that expires.
func (programs *programs) sendSettlements(owner string, request *nodev1.SettleRequest) {
	var err error
	for range settleAttempts {
		err = programs.sendSettlementsOnce(owner, request)
		if err == nil {
			return
		}
		time.Sleep(settleRetryDelay)
	}
	programs.node.logger.Info("settlement lost", zap.String("key", request.Settlements[0].Request),
		zap.String("program", request.Settlements[0].Program), zap.String("owner", owner), logging.ErrorField(err))
}

func (programs *programs) sendSettlementsOnce(owner string, request *nodev1.SettleRequest) error {
	client, err := programs.node.peers.client(owner)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	_, err = client.Settle(ctx, request)
	return err
}

// Record implements forward.Programs.
func (programs *programs) Record(ctx context.Context, turn *history.Turn) error {
	return programs.node.recorder.Record(ctx, programs.shardOf(turn.Program), turn)
}
