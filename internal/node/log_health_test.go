package node

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/history"
)

var _ = Describe("The health of the durable log", func() {
	longAgo := time.Now().Add(-time.Hour)

	// nodeWithLogResponse returns a node whose log last answered any node at a given time.
	nodeWithLogResponse := func(answered time.Time) *Node {
		node := &Node{recorder: history.NewRecorder(durable.NewMemory(), 1)}
		node.logHealth.lastResponse.set(answered)
		return node
	}

	It("is unavailable after it has answered no node for long", func() {
		Expect(nodeWithLogResponse(longAgo).recordingUnavailable()).To(BeTrue())
		Expect(nodeWithLogResponse(time.Now()).recordingUnavailable()).To(BeFalse())
	})

	It("is derived from answers, including rejections, and not from failures", func() {
		for _, answer := range []error{nil, durable.ErrConflict, durable.ErrFenced, durable.ErrOutOfSequence, &durable.TrimmedError{}} {
			node := nodeWithLogResponse(longAgo)
			node.logHealth.observe(durable.OperationRead, 0, answer)
			Expect(node.recordingUnavailable()).To(BeFalse(), "%v", answer)
		}
		for _, failure := range []error{durable.ErrUnavailable, errors.New("no answer")} {
			node := nodeWithLogResponse(longAgo)
			node.logHealth.observe(durable.OperationRead, 0, failure)
			Expect(node.recordingUnavailable()).To(BeTrue(), "%v", failure)
		}
	})

	It("counts answers that other nodes report", func() {
		node := nodeWithLogResponse(longAgo)
		node.logHealth.observeRemote(logObservations{}, time.Now())
		Expect(node.recordingUnavailable()).To(BeTrue(), "the other node reports no answer")
		node.logHealth.observeRemote(logObservations{responseAge: 300}, time.Now())
		Expect(node.recordingUnavailable()).To(BeFalse())
		node.logHealth.observeRemote(logObservations{responseAge: 90_000}, time.Now())
		Expect(node.recordingUnavailable()).To(BeFalse(), "older than the last known answer")
	})

	It("reports no answer before the first one", func() {
		var health logHealth
		Expect(health.report(time.Now()).responseAge).To(BeZero())
		health.observe(durable.OperationRead, 0, nil)
		Expect(health.report(time.Now()).responseAge).To(BeNumerically(">=", 1))
	})
})
