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
	// askTimeout is how long another node may take to answer before the next
	// one is asked; the owner may have to wait for the log meanwhile, which it
	// says in time.
	askTimeout = 300 * time.Millisecond
	// passOnTimeout bounds a request passed on to the owner for another node.
	passOnTimeout = 150 * time.Millisecond
	// settleTimeout bounds one handing over of what was spent.
	settleTimeout = 800 * time.Millisecond
	// settleTries bounds the tries, settlePause separates two of them.
	settleTries = 3
	settlePause = 250 * time.Millisecond
	// askRounds is how many nodes are asked for one reservation.
	askRounds = 6
	// unansweredAsks in a row let a search end: this node may be cut off.
	unansweredAsks = 2
	// waitPatience is how long a turn waits for its program's owner in all.
	waitPatience = 1200 * time.Millisecond
	// searchPause separates two rounds over the nodes.
	searchPause = 60 * time.Millisecond
	// suspicion is how long an owner that did not answer is not asked first.
	suspicion = 600 * time.Millisecond
)

// programs implements forward.Programs: it finds a program's owner, here or at
// another node.
type programs struct {
	node     *Node
	suspects *suspects
	// mutex guards owners.
	mutex  sync.Mutex
	owners map[int]ownership.Owner
}

func newPrograms(node *Node) *programs {
	return &programs{node: node, owners: map[int]ownership.Owner{}, suspects: newSuspects()}
}

// shardOf returns the shard of a program.
func (programs *programs) shardOf(program string) int {
	return int(xxhash.Sum64String(program) % uint64(programs.node.settings.Shards))
}

// Reserve implements forward.Programs.
func (programs *programs) Reserve(ctx context.Context, order *forward.ReservationRequest) forward.Reservation {
	call := order.Call
	request := &nodev1.ReserveRequest{
		Program:  call.Program,
		Tenant:   call.Tenant,
		Budget:   call.Turn.Budget,
		Most:     call.Turn.MaxTokens,
		Prompt:   call.Turn.PromptTokens,
		Previous: call.Turn.Previous,
		Session:  call.Session,
		Service:  order.Service,
		Route:    order.Route,
		Rank:     int32(order.Priority),
		Node:     programs.node.settings.Name,
		Zone:     programs.node.settings.Zone,
		Zones:    order.Zones,
		Running:  programs.node.running(),
		Avoided:  programs.node.engines.Avoided(time.Now()),
	}
	if until, bounded := ctx.Deadline(); bounded {
		request.TimeLeftMs = time.Until(until).Milliseconds()
	}
	if !call.SoftDeadline.IsZero() {
		request.HasAim = true
		request.AimLeftMs = time.Until(call.SoftDeadline).Milliseconds()
	}
	var chain []*history.Turn
	if request.Previous != "" {
		held, _, complete := programs.node.turns.Chain(history.Key{Tenant: call.Tenant, ID: request.Previous})
		chain = held
		request.NeedsChain = !complete
	}
	if request.NeedsChain && order.Zones != nil {
		found, refusal := programs.findHere(ctx, request)
		if refusal != nil {
			return *refusal
		}
		chain = found
		request.NeedsChain = false
	}
	reply, elsewhere := programs.ask(ctx, programs.shardOf(call.Program), call.ID, request)
	if request.NeedsChain {
		chain = programs.takeChain(reply.Chain)
	}
	return forward.Reservation{Verdict: reply.Verdict, Chain: chain, Reason: reply.Reason, Engine: reply.Engine, TryOtherNode: elsewhere,
		RetryAfter: milliseconds(reply.RetryAfterMs),
		Grant:      forward.Grant{Owner: reply.Owner, Epoch: reply.Epoch, Key: request.Request}}
}

// findHere looks for the turns before one that is bound to some zones: its program's owner may
// stand in another, and is not sent what was said. It returns a refusal where that fails.
func (programs *programs) findHere(ctx context.Context, request *nodev1.ReserveRequest) ([]*history.Turn, *forward.Reservation) {
	key := history.Key{Tenant: request.Tenant, ID: request.Previous}
	found, err := programs.node.find(ctx, programs.shardOf(request.Program), key)
	switch {
	case err != nil:
		return nil, &forward.Reservation{Verdict: nodev1.Verdict_VERDICT_UNSURE, Reason: err.Error()}
	case !found.Found:
		return nil, &forward.Reservation{Verdict: nodev1.Verdict_VERDICT_NO_SUCH_TURN}
	}
	return found.Chain, nil
}

// takeChain keeps turns that another node sent.
func (programs *programs) takeChain(messages []*nodev1.Turn) []*history.Turn {
	chain := history.FromProtos(messages)
	for _, turn := range chain {
		programs.node.turns.Add(turn)
	}
	return chain
}

// Settle implements forward.Programs.
func (programs *programs) Settle(call *forward.Call, grant forward.Grant, end forward.TurnEnd) {
	settlement := &nodev1.Settlement{Program: call.Program, Tenant: call.Tenant, Request: grant.Key, Tokens: end.Tokens,
		Session: call.Session, FailedEngine: end.FailedEngine}
	if end.Turn != nil {
		programs.node.turns.Add(end.Turn)
		if programs.node.mayGet(grant.Owner, end.Turn) {
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
	programs.send(owner, &nodev1.SettleRequest{Settlements: []*nodev1.Settlement{settlement}})
}

// send hands settlements over. One that can't be handed over in a few tries is
// lost: the owner then counts the turn at its most once its time is over.
func (programs *programs) send(owner string, request *nodev1.SettleRequest) {
	var err error
	for range settleTries {
		err = programs.sendOnce(owner, request)
		if err == nil {
			return
		}
		time.Sleep(settlePause)
	}
	programs.node.logger.Info("settlement lost", zap.String("key", request.Settlements[0].Request),
		zap.String("program", request.Settlements[0].Program), zap.String("owner", owner), logging.Cause(err))
}

func (programs *programs) sendOnce(owner string, request *nodev1.SettleRequest) error {
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
