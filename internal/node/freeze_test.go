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

// frozenFor is the length of the freeze that has just ended.
const frozenFor = 3 * time.Second

// newResumedNode returns a node that has just resumed from a freeze, with views read before it.
func newResumedNode() *Node {
	node := newLogReader(0)
	before := time.Now().Add(-frozenFor)
	node.configurationView.confirmedAt.set(before)
	node.engineView.confirmedAt.set(before)
	node.freezes = freezetest.JustResumed(frozenFor)
	return node
}

var _ = Describe("A node resumed from a freeze", func() {
	It("has no current views until configuration and engines are read again", func() {
		node := newResumedNode()
		views := callViews{node}
		Expect(views.Current()).To(BeFalse())
		beforeResume := time.Now().Add(-frozenFor / 2)
		node.engineView.merge(durable.Update{EndOffset: 1}, beforeResume)
		node.configurationView.merge(durable.Update{EndOffset: 1}, beforeResume)
		Expect(views.Current()).To(BeFalse(), "responses requested before the resume do not count")
		node.engineView.merge(durable.Update{EndOffset: 1}, time.Now())
		Expect(views.Current()).To(BeFalse())
		node.configurationView.merge(durable.Update{EndOffset: 1}, time.Now())
		Expect(views.Current()).To(BeTrue())
	})

	It("treats a view as current after a read since the resume has failed", func() {
		node := newResumedNode()
		failing := &follower{name: "configuration", logger: zap.NewNop()}
		node.followers = append(node.followers, failing)
		node.engineView.merge(durable.Update{EndOffset: 1}, time.Now())
		failing.recordFailure(context.Background(), time.Now().Add(-frozenFor/2), errors.New("read begun before the resume"))
		Expect(callViews{node}.Current()).To(BeFalse())
		failing.recordFailure(context.Background(), time.Now(), errors.New("no answer"))
		Expect(callViews{node}.Current()).To(BeTrue())
	})

	It("reads at once without waiting for a change", func() {
		reader := &follower{maxWait: configurationMaxWait, freezes: freezetest.JustResumed(frozenFor), lastReadStart: time.Now().Add(-frozenFor)}
		Expect(reader.nextMaxWait()).To(BeZero())
		reader.lastReadStart = time.Now()
		Expect(reader.nextMaxWait()).To(Equal(configurationMaxWait))
	})

	// Guards against mistaking the node's own freeze for an unavailable log or for isolation.
	It("does not take its own freeze for an unresponsive log or unresponsive nodes", func() {
		longAgo := time.Now().Add(-frozenFor)
		node := newNodeLastContacted(longAgo, "a")
		node.recorder = history.NewRecorder(durable.NewMemory(), 1)
		node.zones = reach.NewZones("")
		node.logHealth.lastResponse.set(longAgo)
		Expect(node.recordingUnavailable()).To(BeTrue())
		Expect(node.logUnresponsive(time.Now())).To(BeTrue())
		Expect(node.isolated()).To(BeTrue())
		node.freezes = freezetest.JustResumed(frozenFor)
		Expect(node.recordingUnavailable()).To(BeFalse())
		Expect(node.logUnresponsive(time.Now())).To(BeFalse())
		Expect(node.isolated()).To(BeFalse())
		Expect(node.recordingUnavailableAt(time.Now().Add(logUnavailableAfter + time.Second))).To(BeTrue())
	})
})
