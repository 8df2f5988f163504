package node

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/history"
)

var _ = Describe("The log's health", func() {
	longAgo := time.Now().Add(-time.Hour)

	// waitingNode is one whose log last answered anybody at a time.
	waitingNode := func(answered time.Time) *Node {
		node := &Node{recorder: history.NewRecorder(durable.NewMemory(), 1)}
		node.logHealth.answered.set(answered)
		return node
	}

	It("is away once it has answered nobody for long", func() {
		Expect(waitingNode(longAgo).recordingAway()).To(BeTrue())
		Expect(waitingNode(time.Now()).recordingAway()).To(BeFalse())
	})

	It("is known from answers, refusals among them, and not from failures", func() {
		for _, answer := range []error{nil, durable.ErrConflict, durable.ErrFenced, durable.ErrOutOfSequence, &durable.TrimmedError{}} {
			node := waitingNode(longAgo)
			node.logHealth.observe(answer)
			Expect(node.recordingAway()).To(BeFalse(), "%v", answer)
		}
		for _, failure := range []error{durable.ErrUnavailable, errors.New("no answer")} {
			node := waitingNode(longAgo)
			node.logHealth.observe(failure)
			Expect(node.recordingAway()).To(BeTrue(), "%v", failure)
		}
	})

	It("is not away for a node that hears of another one's answers", func() {
		node := waitingNode(longAgo)
		node.logHealth.hear(0, time.Now())
		Expect(node.recordingAway()).To(BeTrue(), "the other node knows of no answer")
		node.logHealth.hear(300, time.Now())
		Expect(node.recordingAway()).To(BeFalse())
		node.logHealth.hear(90_000, time.Now())
		Expect(node.recordingAway()).To(BeFalse(), "older than what is known")
	})

	It("tells others of no answer before there was one", func() {
		var health logHealth
		Expect(health.ageMilliseconds(time.Now())).To(BeZero())
		health.observe(nil)
		Expect(health.ageMilliseconds(time.Now())).To(BeNumerically(">=", 1))
	})
})
