package node

import (
	"context"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/history"
	"github.com/magpielug/magpielug/internal/tenant"
)

// peerServer serves requests from other nodes.
type peerServer struct{ node *Node }

// Reserve implements nodev1.Node.
func (server *peerServer) Reserve(ctx context.Context, request *nodev1.ReserveRequest) (*nodev1.ReserveReply, error) {
	reply := server.node.handleReserve(ctx, server.node.programs.shardOf(request.Program), request)
	observed := server.node.logHealth.report(time.Now())
	reply.LogAnswerAgeMs = observed.responseAge
	reply.SlowAppendAgeMs = observed.slowAppendAge
	reply.FastAppendAgeMs = observed.fastAppendAge
	return reply, nil
}

// Settle implements nodev1.Node. Settlements of a shard that another node now owns are forwarded
// to it once.
func (server *peerServer) Settle(_ context.Context, request *nodev1.SettleRequest) (*nodev1.SettleReply, error) {
	for _, settlement := range request.Settlements {
		if settlement.Turn != nil {
			server.node.turns.Add(history.FromProto(settlement.Turn))
		}
		if settlement.RecordMs > 0 {
			server.node.logHealth.observeRecording(milliseconds(settlement.RecordMs))
		}
		server.node.settle(settlement, request.PassedOn)
	}
	return &nodev1.SettleReply{}, nil
}

// settle ends a turn at this node, or forwards the settlement to the shard's owner.
func (node *Node) settle(settlement *nodev1.Settlement, passedOn bool) {
	shard := node.programs.shardOf(settlement.Program)
	owner := node.programs.knownOwner(shard).Node
	if node.ownership.OwnsOrClaims(shard) || passedOn || owner == "" || owner == node.settings.Name {
		node.endTurn(shard, tenant.Program{Tenant: settlement.Tenant, ID: settlement.Program}, settlement.Request, settlement.Tokens)
		node.recordFailedEngine(settlement)
		return
	}
	go node.programs.sendSettlements(owner, &nodev1.SettleRequest{Settlements: []*nodev1.Settlement{settlement}, PassedOn: true})
}

// Yield implements nodev1.Node.
func (server *peerServer) Yield(ctx context.Context, request *nodev1.YieldRequest) (*nodev1.YieldReply, error) {
	if int(request.Shard) >= server.node.settings.Shards {
		return nil, errUnknownShard
	}
	return server.node.ownership.HandleHandover(ctx, int(request.Shard), request.Epoch), nil
}

// requestHandover asks the node that made a claim whether it gives up the shard.
func (node *Node) requestHandover(ctx context.Context, claim *nodev1.Claim, shard int) (*nodev1.YieldReply, error) {
	client := node.peers.clientAt(claim.Address)
	return client.Yield(ctx, &nodev1.YieldRequest{Shard: uint32(shard), Epoch: claim.Epoch})
}
