package node

import (
	"context"
	"errors"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/freeze/freezetest"
	"github.com/magpielug/magpielug/internal/history"
	"github.com/magpielug/magpielug/internal/reach"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

// frozenFor is how long the nodes of these tests were frozen, up to now.
const frozenFor = 3 * time.Second

// wokenNode is a node that was frozen until now, with views that it read before the freeze.
func wokenNode() *Node {
	node := newReader(0)
	before := time.Now().Add(-frozenFor)
	node.configurationView.checked.set(before)
	node.engineView.checked.set(before)
	node.freezes = freezetest.JustWoken(frozenFor)
	return node
}

var _ = Describe("A node that was frozen", func() {
	It("has no current views before configuration and engines were asked for anew", func() {
		node := wokenNode()
		views := callViews{node}
		Expect(views.Current()).To(BeFalse())
		heldUp := time.Now().Add(-frozenFor / 2)
		node.engineView.take(durable.Update{End: 1}, heldUp)
		node.configurationView.take(durable.Update{End: 1}, heldUp)
		Expect(views.Current()).To(BeFalse(), "answers that lay in the sockets are from before the wake")
		node.engineView.take(durable.Update{End: 1}, time.Now())
		Expect(views.Current()).To(BeFalse())
		node.configurationView.take(durable.Update{End: 1}, time.Now())
		Expect(views.Current()).To(BeTrue())
	})

	It("does without what a reading after the wake did not get", func() {
		node := wokenNode()
		failing := &follower{name: "configuration", logger: zap.NewNop()}
		node.following = append(node.following, failing)
		node.engineView.take(durable.Update{End: 1}, time.Now())
		failing.failed(context.Background(), time.Now().Add(-frozenFor/2), errors.New("of a reading from before"))
		Expect(callViews{node}.Current()).To(BeFalse())
		failing.failed(context.Background(), time.Now(), errors.New("no answer"))
		Expect(callViews{node}.Current()).To(BeTrue())
	})

	It("asks for a view at once, and does not wait for a change of it", func() {
		following := &follower{wait: configurationWait, freezes: freezetest.JustWoken(frozenFor), lastAsk: time.Now().Add(-frozenFor)}
		Expect(following.waitNow()).To(BeZero())
		following.lastAsk = time.Now()
		Expect(following.waitNow()).To(Equal(configurationWait))
	})

	// At the wake everything that the node had heard was as old as the freeze was long. A kept
	// turn that came then was refused with LOG_AWAY, and the node took itself for cut off.
	It("takes its own silence neither for the log's nor for the other nodes'", func() {
		longAgo := time.Now().Add(-frozenFor)
		node := lonelyNode(longAgo, "a")
		node.recorder = history.NewRecorder(durable.NewMemory(), 1)
		node.zones = reach.NewZones("")
		node.logHealth.answered.set(longAgo)
		Expect(node.recordingAway()).To(BeTrue())
		Expect(node.storeSilent(time.Now())).To(BeTrue())
		Expect(node.isolated()).To(BeTrue())
		node.freezes = freezetest.JustWoken(frozenFor)
		Expect(node.recordingAway()).To(BeFalse())
		Expect(node.storeSilent(time.Now())).To(BeFalse())
		Expect(node.isolated()).To(BeFalse())
		Expect(node.recordingAwayAt(time.Now().Add(logAwayAfter + time.Second))).To(BeTrue())
	})
})
