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
	// shardsPerQuotaGroup sets the number of tenant groups relative to that of shards. Fewer
	// groups mean that a node's regular requests suffice to renew its leases; more groups spread
	// the load of the coordinators.
	shardsPerQuotaGroup = 4
	// quotaPseudoShard is the candidate-order key for the coordinator of tenant group 0. The key
	// of group n is quotaPseudoShard - n.
	quotaPseudoShard = -3
	// quotaTimeout bounds one request to a coordinator.
	quotaTimeout = 200 * time.Millisecond
	// maxUnansweredCoordinators is how many consecutive unanswered requests end an admission
	// attempt if no other node is in contact meanwhile, since this node may be isolated.
	maxUnansweredCoordinators = 3
	// undeterminedTimeout bounds the wait for a coordinator that answers and holds enough leases: a lost
	// coordinator's leases must expire and the other nodes must notice.
	undeterminedTimeout = 2*quota.LeaseDuration + quotaTimeout
	// undeterminedRetryDelay is the delay between requests to such a coordinator.
	undeterminedRetryDelay = 50 * time.Millisecond
	// leaseRenewalInterval is the time after the last request at which a node renews its lease.
	// Two intervals and the transit time fit into the lease duration.
	leaseRenewalInterval = 150 * time.Millisecond
	// leasePollInterval is the interval at which due renewals are checked.
	leasePollInterval = 30 * time.Millisecond
)

// quotas implements forward.Quotas. It sends requests to the quota coordinators, leases this
// node's share of the limits to them, and acts as a coordinator itself.
type quotas struct {
	node        *Node
	coordinator *quota.Coordinator
	groups      []*leaseGroup
	silent      *unresponsivePeers
}

// leaseGroup is this node's lease to the coordinator of one group of tenants.
type leaseGroup struct {
	number int
	// mutex guards the fields below.
	mutex  sync.Mutex
	lessor quota.Lessor
	// lastRequest is when a coordinator was last called, unanswered the number of calls since the last answer.
	lastRequest time.Time
	unanswered  int
}

func newQuotas(node *Node) *quotas {
	created := &quotas{
		node: node,
		coordinator: quota.NewCoordinator(node.incarnation, time.Now(), quota.Options{
			Tolerance: node.settings.QuotaTolerance, PreferRunningPrograms: feature.Enabled(feature.ProgramsFirst)}),
		silent: newUnresponsivePeers(coordinatorProbeInterval),
	}
	for group := range max(node.settings.Shards/shardsPerQuotaGroup, 1) {
		created.groups = append(created.groups, &leaseGroup{number: group})
	}
	return created
}

// groupOf returns the group of a tenant.
func (quotas *quotas) groupOf(tenantName string) *leaseGroup {
	return quotas.groups[xxhash.Sum64String(tenantName)%uint64(len(quotas.groups))]
}

// Admit implements forward.Quotas.
func (quotas *quotas) Admit(ctx context.Context, callerRequest *forward.AdmissionRequest) forward.Admission {
	admission := quotas.admit(ctx, callerRequest)
	quotas.node.meter.countAdmission(callerRequest.Tenant.Name, admission.Verdict)
	return admission
}

func (quotas *quotas) admit(ctx context.Context, callerRequest *forward.AdmissionRequest) forward.Admission {
	started := time.Now()
	group := quotas.groupOf(callerRequest.Tenant.Name)
	request := quotas.admitRequest(group, callerRequest)
	deadline := time.Now().Add(undeterminedTimeout)
	unanswered, answeredAt := 0, started
	share := 0.0
	for ctx.Err() == nil && time.Now().Before(deadline) && !quotas.isolated(unanswered, answeredAt) {
		reply, err := quotas.callCoordinator(ctx, group, request)
		switch {
		case err != nil:
			unanswered++
		case reply.Admission == nodev1.Admission_ADMISSION_GRANTED:
			wait.Sleep(ctx, milliseconds(reply.DelayMs))
			return forward.Admission{Verdict: forward.Admitted}
		case reply.Admission == nodev1.Admission_ADMISSION_REFUSED:
			return forward.Admission{Verdict: forward.OverLimit, RetryAfter: milliseconds(reply.RetryAfterMs)}
		default:
			unanswered, answeredAt = 0, time.Now()
			share = reply.Share
			wait.Sleep(ctx, undeterminedRetryDelay)
		}
	}
	quotas.node.logger.Info("tenant limit undetermined", zap.String("request", callerRequest.Call.ID), zap.String("tenant", callerRequest.Tenant.Name),
		zap.Int("group", group.number), zap.String("keeper", group.coordinatorName()), zap.Float64("share", share), zap.Duration("took", time.Since(started)))
	return forward.Admission{Verdict: forward.LimitUnavailable}
}

// isolated reports whether this node probably reaches no other node, after a number of requests without an answer
// since a time.
func (quotas *quotas) isolated(unanswered int, since time.Time) bool {
	return unanswered >= maxUnansweredCoordinators && !quotas.node.contact.last.notBefore(since)
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

func (quotas *quotas) admitRequest(group *leaseGroup, callerRequest *forward.AdmissionRequest) *nodev1.AdmitRequest {
	request := quotas.leaseRequest(group)
	request.Tenant = callerRequest.Tenant.Name
	request.Configuration = callerRequest.Configuration
	request.PerSecond = callerRequest.Tenant.Limit.PerSecond
	request.Burst = callerRequest.Tenant.Limit.Burst
	request.Program = callerRequest.Call.Program
	request.Continues = callerRequest.Continues
	request.PatienceMs = callerRequest.MaxWait.Milliseconds()
	request.Request = callerRequest.Call.ID
	return request
}

// leaseRequest returns a request that only renews the lease.
func (quotas *quotas) leaseRequest(group *leaseGroup) *nodev1.AdmitRequest {
	return &nodev1.AdmitRequest{
		Node:  quotas.node.settings.Name,
		Nodes: uint32(quotas.node.members.activeCount()),
		Group: uint32(group.number),
	}
}

// callCoordinator sends one request to the group's coordinator.
func (quotas *quotas) callCoordinator(ctx context.Context, group *leaseGroup, request *nodev1.AdmitRequest) (*nodev1.AdmitReply, error) {
	target, clock, leasedFor := quotas.target(group, time.Now())
	request.Lent = toClock(clock)
	request.HeldMs = leasedFor.Milliseconds()
	reply, err := quotas.sendAdmit(ctx, target, request)
	if err != nil {
		if ctx.Err() == nil {
			quotas.recordSilence(group, target, request, err)
		}
		return nil, err
	}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.unanswered = 0
	group.lessor.ObserveCoordinator(target, fromClock(reply.Clock), time.Now())
	return reply, nil
}

// target returns the coordinator to call, the coordinator time at which the lease starts, and for
// how long the share has been leased to it alone.
func (quotas *quotas) target(group *leaseGroup, now time.Time) (string, quota.CoordinatorTime, time.Duration) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.lastRequest = now
	preferred := quotas.chooseCoordinator(group.number, now)
	coordinator, clock := group.lessor.Target(preferred, !quotas.silent.passesOver(group.lessor.Coordinator(), now), now)
	return coordinator, clock, group.lessor.LeasedFor(now)
}

// chooseCoordinator returns the first candidate that is not known to be silent.
func (quotas *quotas) chooseCoordinator(group int, now time.Time) string {
	for _, candidate := range quotas.node.members.candidates(quotaPseudoShard - group) {
		if !quotas.silent.passesOver(candidate.Name, now) {
			return candidate.Name
		}
	}
	return quotas.node.settings.Name
}

// recordSilence records that a coordinator did not answer, and looks for one that does.
func (quotas *quotas) recordSilence(group *leaseGroup, name string, request *nodev1.AdmitRequest, cause error) {
	quotas.node.logger.Info("quota coordinator unreachable", zap.String("node", name), zap.Uint32("group", request.Group),
		zap.String("tenant", request.Tenant), logging.ErrorField(cause))
	quotas.silent.recordSilence(name, time.Now())
	group.mutex.Lock()
	group.unanswered++
	unanswered := group.unanswered
	group.mutex.Unlock()
	quotas.probeNext(context.Background(), group, unanswered)
}

func (quotas *quotas) sendAdmit(ctx context.Context, target string, request *nodev1.AdmitRequest) (*nodev1.AdmitReply, error) {
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

// renewLeases renews this node's leases while any tenant has a limit, even without requests: a
// coordinator can grant only the shares that nodes have leased to it.
func (quotas *quotas) renewLeases(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, leasePollInterval)
		configuration := quotas.node.routes.Load()
		if configuration == nil || !configuration.Tenants.HasLimits() {
			continue
		}
		now := time.Now()
		for _, name := range quotas.silent.due(quotas.node.members, now) {
			go quotas.probe(ctx, name, quotas.groups[0])
		}
		for _, group := range quotas.groups {
			if group.renewalDue(now) {
				go func() { _, _ = quotas.callCoordinator(ctx, group, quotas.leaseRequest(group)) }() // callCoordinator logs failures.
			}
		}
	}
}

// coordinatorName returns the coordinator that holds this node's lease.
func (group *leaseGroup) coordinatorName() string {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.lessor.Coordinator()
}

// renewalDue reports whether the lease has to be renewed.
func (group *leaseGroup) renewalDue(now time.Time) bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return now.Sub(group.lastRequest) >= leaseRenewalInterval
}
