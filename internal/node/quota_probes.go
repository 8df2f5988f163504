package node

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// coordinatorProbeInterval is the time between the first probes of a node that does not answer as a quota
	// coordinator. Other nodes turn to it again when it answers them, so that frequent probes would only make
	// the coordinator change more often.
	coordinatorProbeInterval = 3 * time.Second
	// maxProbeDoublings bounds the nodes that are probed at once to 64.
	maxProbeDoublings = 6
)

// probe finds out whether a node answers as the coordinator of a group. It leases nothing to it. A node that refuses
// the connection at once may be about to start, and costs those who ask it nothing.
func (quotas *quotas) probe(ctx context.Context, name string, group *leaseGroup) {
	started := time.Now()
	_, err := quotas.sendAdmit(ctx, name, quotas.leaseRequest(group))
	switch {
	case err != nil && ctx.Err() == nil && time.Since(started) >= quotaTimeout:
		quotas.silent.recordSilence(name, time.Now())
	case err == nil && quotas.silent.recordAnswer(name):
		quotas.node.logger.Info("quota coordinator reachable", zap.String("node", name))
	}
}

// probeNext probes the candidates that come next for a group whose coordinators do not answer, twice as many
// after each that did not. Many nodes may be lost at once.
func (quotas *quotas) probeNext(ctx context.Context, group *leaseGroup, unanswered int) {
	now := time.Now()
	count := 1 << min(unanswered, maxProbeDoublings)
	for _, candidate := range quotas.node.members.candidates(quotaPseudoShard - group.number) {
		if count == 0 {
			return
		}
		if candidate.Name == quotas.node.settings.Name || quotas.silent.passesOver(candidate.Name, now) {
			continue
		}
		count--
		go quotas.probe(ctx, candidate.Name, group)
	}
}
