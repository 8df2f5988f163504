package node

import (
	"context"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/quota"
	"github.com/magpielug/magpielug/internal/tenant"
	"go.uber.org/zap"
)

// decide answers a request as the coordinator of its group.
func (quotas *quotas) decide(request *nodev1.AdmitRequest) *nodev1.AdmitReply {
	decision := quotas.coordinator.Decide(quota.Request{
		Node:                 request.Node,
		Nodes:                int(request.Nodes),
		Group:                int(request.Group),
		LeaseStart:           fromClock(request.Lent),
		LeasedFor:            milliseconds(request.HeldMs),
		Tenant:               request.Tenant,
		Limit:                tenant.Limit{PerSecond: request.PerSecond, Burst: request.Burst},
		ConfigurationVersion: request.Configuration,
		Program:              request.Program,
		Continues:            request.Continues,
		MaxWait:              milliseconds(request.PatienceMs),
	}, time.Now())
	if decision.Verdict == quota.Refused {
		quotas.node.logger.Info("request over limit", zap.String("request", request.Request), zap.String("tenant", request.Tenant),
			zap.String("program", request.Program), zap.Bool("continues", request.Continues), zap.String("asker", request.Node),
			zap.Int64("configuration", request.Configuration), zap.Float64("per_second", request.PerSecond), zap.Float64("burst", request.Burst),
			zap.Float64("share", decision.Share), zap.Float64("room", decision.Available),
			zap.Duration("retry_after", decision.RetryAfter))
	}
	return &nodev1.AdmitReply{
		Clock:        toClock(decision.Clock),
		Admission:    admissionByVerdict[decision.Verdict],
		DelayMs:      decision.Delay.Milliseconds(),
		RetryAfterMs: decision.RetryAfter.Milliseconds(),
		Share:        decision.Share,
	}
}

var admissionByVerdict = map[quota.Verdict]nodev1.Admission{
	quota.Granted:      nodev1.Admission_ADMISSION_GRANTED,
	quota.Refused:      nodev1.Admission_ADMISSION_REFUSED,
	quota.Undetermined: nodev1.Admission_ADMISSION_UNSETTLED,
}

func toClock(clock quota.CoordinatorTime) *nodev1.KeeperClock {
	if clock == (quota.CoordinatorTime{}) {
		return nil
	}
	return &nodev1.KeeperClock{Incarnation: clock.Incarnation, Micros: clock.Elapsed.Microseconds()}
}

func fromClock(message *nodev1.KeeperClock) quota.CoordinatorTime {
	return quota.CoordinatorTime{Incarnation: message.GetIncarnation(), Elapsed: time.Duration(message.GetMicros()) * time.Microsecond}
}

// Admit implements nodev1.Node.
func (server *peerServer) Admit(_ context.Context, request *nodev1.AdmitRequest) (*nodev1.AdmitReply, error) {
	if request.Tenant != "" && request.PerSecond <= 0 {
		return nil, errNoLimit
	}
	return server.node.quotas.decide(request), nil
}
