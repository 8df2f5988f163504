package node

import (
	"time"

	"go.uber.org/zap"
)

// callViews implements forward.Views: how much calls may rely on what the node knows.
type callViews struct{ node *Node }

// Current implements forward.Views. A reading that failed since the wake tells that no newer
// one is to be had soon.
func (views callViews) Current() bool {
	woken, frozen := views.node.freezes.LastResume()
	return !frozen || views.checkedSince(views.node.configurationView, woken) && views.checkedSince(views.node.engineView, woken)
}

// ConfigurationAge implements forward.Views.
func (views callViews) ConfigurationAge() time.Duration { return views.node.configurationView.age() }

func (views callViews) checkedSince(view *recordView, woken time.Time) bool {
	if view.checkedSince(woken) {
		return true
	}
	for _, follower := range views.node.following {
		if follower.name == view.name && follower.failedAsk.since(woken) {
			return true
		}
	}
	return false
}

// awakeAge is the age of a moment without what passed before the process last went on: while it
// was frozen it could hear of nothing, and its silence says nothing of others.
func (node *Node) awakeAge(moment *moment, now time.Time) time.Duration {
	return node.freezes.ClampAge(moment.age(now), now)
}

// logFreeze writes that the process was frozen, once for each freeze.
func (node *Node) logFreeze(seen time.Time) time.Time {
	woken, frozen := node.freezes.LastResume()
	if frozen && woken.After(seen) {
		node.logger.Warn("process was frozen", zap.Time("woken", woken),
			zap.Duration("configuration_age", node.configurationView.age()), zap.Duration("engines_age", node.engineView.age()))
		return woken
	}
	return seen
}
