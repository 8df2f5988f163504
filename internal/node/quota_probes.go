package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

// coordinatorProbeInterval is the time between two probes of a node that does not answer as a quota
// coordinator. Other nodes turn to it again when it answers them, so that frequent probes would only make the
// coordinator change more often.
const coordinatorProbeInterval = 3 * time.Second

// coordinatorProbes knows which nodes do not answer as quota coordinators. They are not chosen until they answer a
// probe, so that requests never find out anew that a node is lost. It is safe for concurrent use.
type coordinatorProbes struct {
	mutex sync.Mutex
	// probeAt holds the nodes that did not answer, and when each is probed next.
	probeAt map[string]time.Time
}

func newCoordinatorProbes() *coordinatorProbes {
	return &coordinatorProbes{probeAt: map[string]time.Time{}}
}

// silent reports whether a node did not answer when it was asked last.
func (probes *coordinatorProbes) silent(name string) bool {
	probes.mutex.Lock()
	defer probes.mutex.Unlock()
	_, silent := probes.probeAt[name]
	return silent
}

// recordSilence records that a node did not answer.
func (probes *coordinatorProbes) recordSilence(name string, now time.Time) {
	probes.mutex.Lock()
	defer probes.mutex.Unlock()
	probes.probeAt[name] = now.Add(coordinatorProbeInterval)
}

// recordAnswer records that a node answered.
func (probes *coordinatorProbes) recordAnswer(name string) {
	probes.mutex.Lock()
	defer probes.mutex.Unlock()
	delete(probes.probeAt, name)
}

// due returns the nodes that are to be probed now.
func (probes *coordinatorProbes) due(now time.Time) []string {
	probes.mutex.Lock()
	defer probes.mutex.Unlock()
	var names []string
	for name, at := range probes.probeAt {
		if !now.Before(at) {
			names = append(names, name)
			probes.probeAt[name] = now.Add(coordinatorProbeInterval)
		}
	}
	return names
}

// probe finds out whether a node answers as the coordinator of a group. It leases nothing to it.
func (quotas *quotas) probe(ctx context.Context, name string, group *leaseGroup) {
	wasSilent := quotas.probes.silent(name)
	_, err := quotas.sendAdmit(ctx, name, quotas.leaseRequest(group))
	switch {
	case err == nil && wasSilent:
		quotas.node.logger.Info("quota coordinator reachable", zap.String("node", name))
		quotas.probes.recordAnswer(name)
	case err != nil && ctx.Err() == nil:
		quotas.probes.recordSilence(name, time.Now())
	}
}

// probeNext probes the candidates that come next for a group whose coordinators do not answer, twice as many
// after each that did not. Many nodes may be lost at once.
func (quotas *quotas) probeNext(ctx context.Context, group *leaseGroup, unanswered int) {
	count := 1 << min(unanswered, maxProbeDoublings)
	for _, candidate := range quotas.node.members.candidates(quotaPseudoShard - group.number) {
		if count == 0 {
			return
		}
		if candidate.Name == quotas.node.settings.Name || quotas.probes.silent(candidate.Name) {
			continue
		}
		count--
		go quotas.probe(ctx, candidate.Name, group)
	}
}

// maxProbeDoublings bounds the nodes that are probed at once to 64.
const maxProbeDoublings = 6
