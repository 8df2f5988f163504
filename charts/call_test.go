package charts_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/charts"
	"github.com/magpielug/magpielug/internal/resultcode"
)

const (
	callStates = int(charts.CallStateCancelled) + 1
	callEvents = int(charts.CallEventCancel) + 1
)

// edge is a transition between two different states of the call chart.
type edge struct {
	from  charts.CallState
	event charts.CallEvent
	to    charts.CallState
}

func callEdges() []edge {
	var edges []edge
	for from := charts.CallState(0); int(from) < callStates; from++ {
		for event := charts.CallEvent(0); int(event) < callEvents; event++ {
			to, refusal := charts.Call.Next(from, event)
			if refusal == nil && to != from {
				edges = append(edges, edge{from, event, to})
			}
		}
	}
	return edges
}

func beforeDispatch(state charts.CallState) bool { return state < charts.CallStateDispatched }

var _ = Describe("call chart", func() {
	It("enters dispatched only when the intent is committed", func() {
		for _, edge := range callEdges() {
			if edge.to == charts.CallStateDispatched {
				Expect(edge.event).To(Equal(charts.CallEventIntentCommitted))
				Expect(edge.from).To(Equal(charts.CallStateQueued))
			}
		}
	})

	It("refuses only before dispatch", func() {
		for _, edge := range callEdges() {
			if edge.to == charts.CallStateRefused {
				Expect(beforeDispatch(edge.from)).To(BeTrue(), "%v", edge)
			}
		}
	})

	It("requeues a dispatched call only if it is repeatable or did not run", func() {
		for _, edge := range callEdges() {
			if !beforeDispatch(edge.from) && beforeDispatch(edge.to) {
				Expect(edge.to).To(Equal(charts.CallStateQueued))
				if edge.event == charts.CallEventNotRun {
					Expect(edge.from).To(Equal(charts.CallStateDispatched), "a streaming call has run")
					continue
				}
				Expect(edge.event).To(Equal(charts.CallEventOutcomeLostRepeatable))
			}
		}
	})

	It("never leaves the unknown state", func() {
		for event := charts.CallEvent(0); int(event) < callEvents; event++ {
			state, _ := charts.Call.Next(charts.CallStateUnknown, event)
			Expect(state).To(Equal(charts.CallStateUnknown))
		}
		_, refusal := charts.Call.Next(charts.CallStateUnknown, charts.CallEventIntentCommitted)
		Expect(refusal.Code).To(Equal(resultcode.OutcomeUnknown))
	})

	It("does not dispatch a cancelled call", func() {
		_, refusal := charts.Call.Next(charts.CallStateCancelled, charts.CallEventIntentCommitted)
		Expect(refusal.Code).To(Equal(resultcode.CallStopped))
	})

	It("refuses undefined states and events", func() {
		state, refusal := charts.Call.Next(charts.CallState(callStates), charts.CallEventAdmit)
		Expect(state).To(Equal(charts.CallState(callStates)))
		Expect(refusal.Code).To(Equal(resultcode.Internal))
		_, refusal = charts.Call.Next(charts.CallStateReceived, charts.CallEvent(callEvents))
		Expect(refusal.Code).To(Equal(resultcode.Internal))
	})

	It("names its states and events", func() {
		Expect(charts.CallStateDispatched.String()).To(Equal("dispatched"))
		Expect(charts.CallEventIntentCommitted.String()).To(Equal("intent_committed"))
		state, known := charts.Call.ParseState("streaming")
		Expect(known).To(BeTrue())
		Expect(state).To(Equal(charts.CallStateStreaming))
	})
})
