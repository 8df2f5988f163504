package node

import (
	"time"

	"go.uber.org/zap"
)

// callViews implements forward.Views.
type callViews struct{ node *Node }

// Loaded implements forward.Views.
func (views callViews) Loaded() bool {
	node := views.node
	return node.configurationView.loaded() && node.engineView.loaded() && node.memberView.loaded()
}

// Current implements forward.Views. After a freeze, a view counts as current once it was read
// again or a read has failed, since no newer state is available then.
func (views callViews) Current() bool {
	resumedAt, frozen := views.node.freezes.LastResume()
	return !frozen || views.confirmedSince(views.node.configurationView, resumedAt) && views.confirmedSince(views.node.engineView, resumedAt)
}

// ConfigurationAge implements forward.Views.
func (views callViews) ConfigurationAge() time.Duration { return views.node.configurationView.age() }

func (views callViews) confirmedSince(view *recordView, resumedAt time.Time) bool {
	if view.confirmedSince(resumedAt) {
		return true
	}
	for _, follower := range views.node.followers {
		if follower.name == view.name && follower.lastFailedReadStart.notBefore(resumedAt) {
			return true
		}
	}
	return false
}

// ageExcludingFreeze returns the age of a recorded time, not counting the time before the process
// last resumed: missing responses during a freeze say nothing about other nodes.
func (node *Node) ageExcludingFreeze(recorded *atomicTime, now time.Time) time.Duration {
	return node.freezes.ClampAge(recorded.age(now), now)
}

// logFreeze logs each freeze once. seen is the resume time of the last freeze logged; it returns
// the new one.
func (node *Node) logFreeze(seen time.Time) time.Time {
	resumedAt, frozen := node.freezes.LastResume()
	if frozen && resumedAt.After(seen) {
		node.logger.Warn("process resumed after a freeze", zap.Time("woken", resumedAt),
			zap.Duration("configuration_age", node.configurationView.age()), zap.Duration("engines_age", node.engineView.age()))
		return resumedAt
	}
	return seen
}
