package node

import (
	"context"
	"errors"
	"slices"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/assignment"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/history"
	"github.com/magpielug/magpielug/internal/ownership"
	"github.com/magpielug/magpielug/internal/region"
	"github.com/magpielug/magpielug/internal/tenant"
	"google.golang.org/protobuf/proto"
)

// reserveHere answers a reservation for which this node is asked.
func (node *Node) reserveHere(ctx context.Context, shard int, request *nodev1.ReserveRequest) *nodev1.ReserveReply {
	ask := askOf(request)
	owner := node.programs.believedOwner(shard)
	if owner.Node != "" && owner.Node != node.settings.Name && !node.ownership.Owns(shard) {
		if !failedFor(request, owner) {
			return &nodev1.ReserveReply{Verdict: nodev1.Verdict_VERDICT_NOT_OWNER, Owner: owner.Node, Epoch: owner.Epoch}
		}
		ask.Claim = true
	}
	reply := &nodev1.ReserveReply{}
	// An owner looks for the chain first, so that no tokens are held meanwhile. One that is
	// still to claim the shard would read its partition for nothing where it does not win.
	if _, owned := node.ownership.OwnedSince(shard); request.NeedsChain && owned && !node.addChain(ctx, shard, request, reply) {
		return reply
	}
	begins := node.admission.begins(request)
	if begins {
		if !node.admission.admits(shard, request, reply) {
			return reply
		}
		defer node.admission.reserved(request)
	}
	answer := node.ownership.Reserve(ctx, shard, ask)
	if answer.Verdict == nodev1.Verdict_VERDICT_NOT_OWNER && failedFor(request, answer.Owner) {
		return node.passOn(ctx, answer.Owner, request)
	}
	reply.Owner = answer.Owner.Node
	reply.OwnerAddress = answer.Owner.Address
	reply.Epoch = answer.Owner.Epoch
	if answer.Verdict == nodev1.Verdict_VERDICT_GRANTED {
		node.admission.turnBegins(request, ask.ExpiresAt, begins)
		node.complete(ctx, shard, request, reply)
		return reply
	}
	reply.Verdict = answer.Verdict
	reply.Reason = answer.Reason
	return reply
}

func askOf(request *nodev1.ReserveRequest) ownership.ReserveRequest {
	return ownership.ReserveRequest{
		Program:   programOf(request),
		RequestID: request.Request,
		Budget:    request.Budget,
		MaxTokens: request.Most,
		ExpiresAt: time.Now().Add(milliseconds(request.TimeLeftMs)),
		Claim:     request.TakeOver,
	}
}

// programOf names the program that a reservation is for.
func programOf(request *nodev1.ReserveRequest) tenant.Program {
	return tenant.Program{Tenant: request.Tenant, ID: request.Program}
}

// failedFor tells whether the asker could not reach an owner, so that this node
// may act in its place. A request that was passed on is not passed on again.
func failedFor(request *nodev1.ReserveRequest, owner ownership.Owner) bool {
	return slices.Contains(request.Failed, owner.Node) && !request.PassedOn
}

// complete adds to a grant what else the turn needs. Where that is not to be had,
// or the asker has given up, nothing stays reserved.
func (node *Node) complete(ctx context.Context, shard int, request *nodev1.ReserveRequest, reply *nodev1.ReserveReply) {
	if ctx.Err() != nil {
		reply.Verdict = nodev1.Verdict_VERDICT_UNSURE
		reply.Reason = "the asker has given up"
		node.endTurn(shard, programOf(request), request.Request, 0)
		return
	}
	if request.NeedsChain && len(reply.Chain) == 0 && !node.addChain(ctx, shard, request, reply) {
		node.endTurn(shard, programOf(request), request.Request, 0)
		return
	}
	reply.Verdict = nodev1.Verdict_VERDICT_GRANTED
	reply.Engine = node.assign(request)
}

// endTurn ends a turn of a program that this node owns.
func (node *Node) endTurn(shard int, program tenant.Program, request string, tokens int64) {
	node.admission.turnEnds(program, request)
	node.ownership.Settle(shard, program, request, tokens)
}

// running returns the node's requests under way by engine, for the owners that
// assign engines: they come with the turn that is to be placed, and are newer than what is
// shared of the load over all nodes. With owners that placed lines by the shared load, 147 of
// 734 programs of a burst on 344 slots were late, 50 with these.
func (node *Node) running() map[string]int32 {
	if !node.engines.UsesAssignment() {
		return nil
	}
	running := node.engines.Running()
	reported := make(map[string]int32, len(running))
	for engine, count := range running {
		reported[engine] = int32(count)
	}
	return reported
}

// assign chooses the engine that keeps a line of turns of a program that this
// node owns.
func (node *Node) assign(request *nodev1.ReserveRequest) string {
	if !node.engines.UsesAssignment() || request.Session == "" {
		return ""
	}
	now := time.Now()
	if request.Node != "" {
		running := make(map[string]int, len(request.Running))
		for engine, count := range request.Running {
			running[engine] = int(count)
		}
		node.assigner.UpdateRunning(request.Node, running, now)
	}
	node.engines.AddReported(request.Avoided, now)
	instances := node.engines.Healthy(request.Service, zonesOf(request), now)
	memory := node.memoryOf(request.Service)
	own := node.ownMemory(memory)
	candidates := make([]assignment.Candidate, 0, len(instances))
	for _, instance := range instances {
		candidates = append(candidates, assignment.Candidate{
			ID:                instance.ID,
			Incarnation:       instance.Incarnation,
			Zone:              instance.Zone,
			Slots:             instance.Slots,
			MemoryTokens:      memory,
			OwnerMemoryTokens: own,
			TieBreak:          backend.RendezvousWeight(request.Session, instance.ID),
			Slowness:          node.engines.Slowness(instance.ID, now),
		})
	}
	line := assignment.Session{Program: programOf(request), ID: request.Session, Zone: request.Zone, PromptTokens: int(request.Prompt)}
	return node.assigner.Assign(line, candidates, now)
}

// zonesOf returns the zones in which a turn may be served.
func zonesOf(request *nodev1.ReserveRequest) region.ZoneSet {
	if len(request.Zones) == 0 {
		return nil
	}
	return request.Zones
}

// ownMemory is the part of an engine's memory that goes to programs of this node's shards.
func (node *Node) ownMemory(memory int) int {
	if memory == 0 || !feature.Enabled(feature.MemoryAdmission) {
		return 0
	}
	return int(node.admission.share() * float64(memory))
}

// noteFailedEngine has a program that this node owns leave the engine that failed its turn.
func (node *Node) noteFailedEngine(settlement *nodev1.Settlement) {
	if settlement.FailedEngine == "" || !feature.Enabled(feature.EngineBreaker) {
		return
	}
	line := assignment.Session{Program: tenant.Program{Tenant: settlement.Tenant, ID: settlement.Program}, ID: settlement.Session}
	node.assigner.RecordFailure(line, settlement.FailedEngine, time.Now())
}

// memoryOf returns how many tokens an engine of a service holds, 0 where the configuration
// does not say.
func (node *Node) memoryOf(service string) int {
	configuration := node.routes.Load()
	if configuration == nil {
		return 0
	}
	return configuration.Services[service].MemoryTokens
}

// passOn asks an owner that keeps the shard for a node that can't reach it.
func (node *Node) passOn(ctx context.Context, owner ownership.Owner, request *nodev1.ReserveRequest) *nodev1.ReserveReply {
	refusal := &nodev1.ReserveReply{Verdict: nodev1.Verdict_VERDICT_UNSURE, Reason: "the owner does not answer"}
	client := node.peers.at(owner.Address)
	bounded, cancel := context.WithTimeout(ctx, passOnTimeout)
	defer cancel()
	passed := proto.Clone(request).(*nodev1.ReserveRequest)
	passed.PassedOn = true
	passed.TakeOver = false
	passed.Failed = nil
	reply, err := client.Reserve(bounded, passed)
	if err != nil {
		return refusal
	}
	return reply
}

// addChain puts the turns before the one asked for into the reply, or the
// reason why it can't.
func (node *Node) addChain(ctx context.Context, shard int, request *nodev1.ReserveRequest, reply *nodev1.ReserveReply) bool {
	found, err := node.find(ctx, shard, history.Key{Tenant: request.Tenant, ID: request.Previous})
	if errors.Is(err, errStillReading) {
		reply.Verdict = nodev1.Verdict_VERDICT_WAITING
		reply.Reason = err.Error()
		return false
	}
	if err != nil {
		reply.Verdict = nodev1.Verdict_VERDICT_UNSURE
		reply.Reason = err.Error()
		return false
	}
	if !found.Found {
		reply.Verdict = nodev1.Verdict_VERDICT_NO_SUCH_TURN
		return false
	}
	reply.Chain = history.ToProtos(found.Chain)
	return true
}
