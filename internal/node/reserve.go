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

// handleReserve answers a reservation request for a shard on this node.
func (node *Node) handleReserve(ctx context.Context, shard int, request *nodev1.ReserveRequest) *nodev1.ReserveReply {
	reservation := ownershipRequest(request)
	owner := node.programs.knownOwner(shard)
	if owner.Node != "" && owner.Node != node.settings.Name && !node.ownership.OwnsOrClaims(shard) {
		if !failedForRequester(request, owner) {
			return &nodev1.ReserveReply{Verdict: nodev1.Verdict_VERDICT_NOT_OWNER, Owner: owner.Node, Epoch: owner.Epoch}
		}
		reservation.AllowClaim = true
	}
	reply := &nodev1.ReserveReply{}
	// An owner looks up the chain first, so that no tokens are reserved in the meantime. A node
	// that has yet to claim the shard looks it up after winning the claim.
	if _, owned := node.ownership.OwnedSince(shard); request.NeedsChain && owned && !node.addChain(ctx, shard, request, reply) {
		return reply
	}
	firstTurn := node.admission.isFirstTurn(request)
	if firstTurn {
		if !node.admission.admit(shard, request, reply) {
			return reply
		}
		defer node.admission.finishFirstTurn(request)
	}
	result := node.ownership.Reserve(ctx, shard, reservation)
	if result.Verdict == nodev1.Verdict_VERDICT_NOT_OWNER && failedForRequester(request, result.Owner) {
		return node.forwardToOwner(ctx, result.Owner, request)
	}
	reply.Owner = result.Owner.Node
	reply.OwnerAddress = result.Owner.Address
	reply.Epoch = result.Owner.Epoch
	reply.TurnsGranted = result.TurnsGranted
	if result.Verdict == nodev1.Verdict_VERDICT_GRANTED {
		node.admission.recordTurnStart(request, reservation.ExpiresAt, firstTurn)
		node.completeGrant(ctx, shard, request, reply)
		return reply
	}
	reply.Verdict = result.Verdict
	reply.Reason = result.Reason
	return reply
}

func ownershipRequest(request *nodev1.ReserveRequest) ownership.ReserveRequest {
	return ownership.ReserveRequest{
		Program:    programOf(request),
		RequestID:  request.Request,
		Budget:     request.Budget,
		MaxTokens:  request.Most,
		ExpiresAt:  time.Now().Add(milliseconds(request.TimeLeftMs)),
		AllowClaim: request.TakeOver,
	}
}

// programOf returns the program of a reservation request.
func programOf(request *nodev1.ReserveRequest) tenant.Program {
	return tenant.Program{Tenant: request.Tenant, ID: request.Program}
}

// failedForRequester reports whether the requester could not reach an owner, so that this node may
// act in its place. A forwarded request is not forwarded again.
func failedForRequester(request *nodev1.ReserveRequest, owner ownership.Owner) bool {
	return slices.Contains(request.Failed, owner.Node) && !request.PassedOn
}

// completeGrant adds the chain and the engine to a granted reservation. If the chain is not
// available, or the requester has given up, it releases the reservation.
func (node *Node) completeGrant(ctx context.Context, shard int, request *nodev1.ReserveRequest, reply *nodev1.ReserveReply) {
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
	reply.Engine = node.assignEngine(request)
}

// endTurn ends a turn of a program that this node owns.
func (node *Node) endTurn(shard int, program tenant.Program, request string, tokens int64) {
	node.admission.recordTurnEnd(program, request)
	node.ownership.Settle(shard, program, request, tokens)
}

// runningByEngine returns this node's running requests by engine, for owners that assign engines.
// They are sent with each reservation because they are newer than the shared load view;
// assignments based on older counts make more programs miss their deadlines.
func (node *Node) runningByEngine() map[string]int32 {
	if !node.engines.UsesAssignment() {
		return nil
	}
	counts := node.engines.Running()
	reported := make(map[string]int32, len(counts))
	for engine, count := range counts {
		reported[engine] = int32(count)
	}
	return reported
}

// assignEngine chooses the engine for a session of a program that this node owns.
func (node *Node) assignEngine(request *nodev1.ReserveRequest) string {
	if !node.engines.UsesAssignment() || request.Session == "" {
		return ""
	}
	now := time.Now()
	if request.Node != "" {
		counts := make(map[string]int, len(request.Running))
		for engine, count := range request.Running {
			counts[engine] = int(count)
		}
		node.assigner.UpdateRunning(request.Node, counts, now)
	}
	node.engines.AddReported(request.Avoided, now)
	instances := node.engines.Healthy(request.Service, zonesOf(request), now)
	memory := node.engineMemoryTokens(request.Service)
	ownedMemory := node.ownedMemoryTokens(memory)
	candidates := make([]assignment.Candidate, 0, len(instances))
	for _, instance := range instances {
		candidates = append(candidates, assignment.Candidate{
			ID:                instance.ID,
			Incarnation:       instance.Incarnation,
			Zone:              instance.Zone,
			Slots:             instance.Slots,
			MemoryTokens:      memory,
			OwnerMemoryTokens: ownedMemory,
			TieBreak:          backend.RendezvousWeight(request.Session, instance.ID),
			Slowness:          node.engines.Slowness(instance.ID, now),
		})
	}
	session := assignment.Session{Program: programOf(request), ID: request.Session, Zone: request.Zone, PromptTokens: int(request.Prompt)}
	return node.assigner.Assign(session, candidates, now)
}

// zonesOf returns the zones in which a turn may be served.
func zonesOf(request *nodev1.ReserveRequest) region.ZoneSet {
	if len(request.Zones) == 0 {
		return nil
	}
	return request.Zones
}

// ownedMemoryTokens returns the part of an engine's memory available to programs of this node's
// shards.
func (node *Node) ownedMemoryTokens(memory int) int {
	if memory == 0 || !feature.Enabled(feature.MemoryAdmission) {
		return 0
	}
	return int(node.admission.ownedShardShare() * float64(memory))
}

// recordFailedEngine moves a session of a program that this node owns off the engine that failed
// its turn.
func (node *Node) recordFailedEngine(settlement *nodev1.Settlement) {
	if settlement.FailedEngine == "" || !feature.Enabled(feature.EngineBreaker) {
		return
	}
	session := assignment.Session{Program: tenant.Program{Tenant: settlement.Tenant, ID: settlement.Program}, ID: settlement.Session}
	node.assigner.RecordFailure(session, settlement.FailedEngine, time.Now())
}

// engineMemoryTokens returns the memory of a service's engines in tokens, 0 if it is not
// configured.
func (node *Node) engineMemoryTokens(service string) int {
	configuration := node.routes.Load()
	if configuration == nil {
		return 0
	}
	return configuration.Services[service].MemoryTokens
}

// forwardToOwner forwards a request to the shard's owner for a node that cannot reach it.
func (node *Node) forwardToOwner(ctx context.Context, owner ownership.Owner, request *nodev1.ReserveRequest) *nodev1.ReserveReply {
	refusal := &nodev1.ReserveReply{Verdict: nodev1.Verdict_VERDICT_UNSURE, Reason: "the owner does not answer"}
	client := node.peers.clientAt(owner.Address)
	bounded, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	forwarded := proto.Clone(request).(*nodev1.ReserveRequest)
	forwarded.PassedOn = true
	forwarded.TakeOver = false
	forwarded.Failed = nil
	reply, err := client.Reserve(bounded, forwarded)
	if err != nil {
		return refusal
	}
	return reply
}

// addChain adds the requested chain to the reply. It returns false, with the reason in the reply,
// if the chain is not available.
func (node *Node) addChain(ctx context.Context, shard int, request *nodev1.ReserveRequest, reply *nodev1.ReserveReply) bool {
	found, err := node.findChain(ctx, shard, history.Key{Tenant: request.Tenant, ID: request.Previous})
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
