package node

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/quota"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
)

const (
	// shardsPerQuotaGroup relates the number of groups of tenants to that of shards: a
	// keeper bears the asks of some hundred requests a second, and each node meets a
	// group's keeper often enough for its asks to lend its share.
	shardsPerQuotaGroup = 4
	// quotaShard stands for the first group's keeper in the order of candidates; the
	// other groups follow below it.
	quotaShard = -3
	// quotaTimeout is how long a keeper may take to answer.
	quotaTimeout = 200 * time.Millisecond
	// quotaAsks is how many keepers that do not answer are tried for one request.
	quotaAsks = 3
	// unsettledPatience is how long a request waits while its keeper has been lent too
	// little: the time that a lost keeper's loans last and others take to notice.
	unsettledPatience = 2*quota.LeaseDuration + quotaTimeout
	// unsettledPause separates two asks of such a keeper.
	unsettledPause = 50 * time.Millisecond
	// lendPause is how long after its last ask a node lends again: twice that and the
	// way fit into the time for which it lends.
	lendPause = 150 * time.Millisecond
	// lendLook separates two looks whether it is time to.
	lendLook = 30 * time.Millisecond
	// keeperSuspicion is how long a keeper that did not answer is not chosen: about as
	// long as machines freeze or are started anew.
	keeperSuspicion = 3 * time.Second
)

// quotas implements forward.Quotas: it asks the keepers of tenants' limits, is one
// itself, and lends this node's share to those of all groups.
type quotas struct {
	node     *Node
	keeper   *quota.Coordinator
	groups   []*lending
	suspects *suspects
}

// lending is what this node has to do with the keeper of one group.
type lending struct {
	group int
	// mutex guards the fields below.
	mutex  sync.Mutex
	lender quota.Lessor
	// asked is when a keeper was last asked.
	asked time.Time
}

func newQuotas(node *Node) *quotas {
	made := &quotas{
		node: node,
		keeper: quota.NewCoordinator(node.incarnation, time.Now(), quota.Options{
			Tolerance: node.settings.QuotaTolerance, ProgramsFirst: feature.Enabled(feature.ProgramsFirst)}),
		suspects: newSuspects(),
	}
	for group := range max(node.settings.Shards/shardsPerQuotaGroup, 1) {
		made.groups = append(made.groups, &lending{group: group})
	}
	return made
}

// groupOf returns the group of a tenant.
func (quotas *quotas) groupOf(tenantName string) *lending {
	return quotas.groups[xxhash.Sum64String(tenantName)%uint64(len(quotas.groups))]
}

// Admit implements forward.Quotas.
func (quotas *quotas) Admit(ctx context.Context, order *forward.AdmissionRequest) forward.Admission {
	admission := quotas.admit(ctx, order)
	quotas.node.meter.admitted(order.Holder.Name, admission.Verdict)
	return admission
}

func (quotas *quotas) admit(ctx context.Context, order *forward.AdmissionRequest) forward.Admission {
	began := time.Now()
	lent := quotas.groupOf(order.Holder.Name)
	request := quotas.request(lent, order)
	until := time.Now().Add(unsettledPatience)
	unanswered := 0
	share := 0.0
	for ctx.Err() == nil && unanswered < quotaAsks && time.Now().Before(until) {
		reply, err := quotas.ask(ctx, lent, request)
		switch {
		case err != nil:
			unanswered++
		case reply.Admission == nodev1.Admission_ADMISSION_GRANTED:
			wait.Sleep(ctx, milliseconds(reply.DelayMs))
			return forward.Admission{Verdict: forward.Admitted}
		case reply.Admission == nodev1.Admission_ADMISSION_REFUSED:
			return forward.Admission{Verdict: forward.OverLimit, RetryAfter: milliseconds(reply.RetryAfterMs)}
		default:
			unanswered = 0
			share = reply.Share
			wait.Sleep(ctx, unsettledPause)
		}
	}
	quotas.node.logger.Info("limit not known", zap.String("request", order.Call.ID), zap.String("tenant", order.Holder.Name),
		zap.Int("group", lent.group), zap.String("keeper", lent.keeperAsked()), zap.Float64("share", share), zap.Duration("took", time.Since(began)))
	return forward.Admission{Verdict: forward.LimitUnavailable}
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

func (quotas *quotas) request(lent *lending, order *forward.AdmissionRequest) *nodev1.AdmitRequest {
	request := quotas.loan(lent)
	request.Tenant = order.Holder.Name
	request.Configuration = order.Configuration
	request.PerSecond = order.Holder.Limit.PerSecond
	request.Burst = order.Holder.Limit.Burst
	request.Program = order.Call.Program
	request.Continues = order.Continues
	request.PatienceMs = order.MaxWait.Milliseconds()
	request.Request = order.Call.ID
	return request
}

// loan is an ask that only lends.
func (quotas *quotas) loan(lent *lending) *nodev1.AdmitRequest {
	return &nodev1.AdmitRequest{
		Node:  quotas.node.settings.Name,
		Nodes: uint32(quotas.node.members.staying()),
		Group: uint32(lent.group),
	}
}

// ask asks the group's keeper once.
func (quotas *quotas) ask(ctx context.Context, lent *lending, request *nodev1.AdmitRequest) (*nodev1.AdmitReply, error) {
	target, clock, held := quotas.target(lent, time.Now())
	request.Lent = toClock(clock)
	request.HeldMs = held.Milliseconds()
	reply, err := quotas.send(ctx, target, request)
	if err != nil {
		if ctx.Err() == nil {
			quotas.suspect(target, request, err)
		}
		return nil, err
	}
	lent.mutex.Lock()
	defer lent.mutex.Unlock()
	lent.lender.ObserveCoordinator(target, fromClock(reply.Clock), time.Now())
	return reply, nil
}

// target returns the keeper to ask, the moment from which on the share is lent, and for how
// long it was lent to no other keeper.
func (quotas *quotas) target(lent *lending, now time.Time) (string, quota.CoordinatorTime, time.Duration) {
	lent.mutex.Lock()
	defer lent.mutex.Unlock()
	lent.asked = now
	wanted := quotas.choose(lent.group, now)
	present, clock := lent.lender.Target(wanted, !quotas.suspects.holds(lent.lender.Coordinator(), now), now)
	return present, clock, lent.lender.LeasedFor(now)
}

// choose returns the first candidate that answers.
func (quotas *quotas) choose(group int, now time.Time) string {
	for _, candidate := range quotas.node.members.candidates(quotaShard - group) {
		if !quotas.suspects.holds(candidate.Name, now) {
			return candidate.Name
		}
	}
	return quotas.node.settings.Name
}

func (quotas *quotas) suspect(name string, request *nodev1.AdmitRequest, cause error) {
	quotas.node.logger.Info("keeper not reached", zap.String("node", name), zap.Uint32("group", request.Group),
		zap.String("tenant", request.Tenant), logging.Cause(cause))
	quotas.suspects.note(name, time.Now().Add(keeperSuspicion))
}

func (quotas *quotas) send(ctx context.Context, target string, request *nodev1.AdmitRequest) (*nodev1.AdmitReply, error) {
	if target == quotas.node.settings.Name {
		return quotas.decide(request), nil
	}
	client, err := quotas.node.peers.client(target)
	if err != nil {
		return nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	return client.Admit(bounded, request)
}

// lend lends this node's share of each group to its keeper for as long as there are
// limits, also while it has nothing to ask: a keeper grants only what it was lent.
func (quotas *quotas) lend(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, lendLook)
		configuration := quotas.node.routes.Load()
		if configuration == nil || !configuration.Tenants.HasLimits() {
			continue
		}
		now := time.Now()
		for _, lent := range quotas.groups {
			if lent.due(now) {
				go func() { _, _ = quotas.ask(ctx, lent, quotas.loan(lent)) }() // A failure is logged where it is noticed.
			}
		}
	}
}

// keeperAsked returns whom the group's share is lent to.
func (lent *lending) keeperAsked() string {
	lent.mutex.Lock()
	defer lent.mutex.Unlock()
	return lent.lender.Coordinator()
}

// due tells whether it is time to lend again.
func (lent *lending) due(now time.Time) bool {
	lent.mutex.Lock()
	defer lent.mutex.Unlock()
	return now.Sub(lent.asked) >= lendPause
}
