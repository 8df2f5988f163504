package statechart_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/qmuntal/stateless"

	"github.com/magpielug/magpielug/charts"
	"github.com/magpielug/magpielug/internal/statechart"
)

// libraryMachine builds a state machine of package stateless from a chart file,
// with external storage and numbers as states and events.
func libraryMachine(definition *statechart.Definition, state *int) *stateless.StateMachine {
	numbers := map[string]int{}
	for number, declared := range definition.States {
		numbers[declared.Name] = number
	}
	machine := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return *state, nil },
		func(_ context.Context, next stateless.State) error { *state = next.(int); return nil },
		stateless.FiringImmediate)
	for number, declared := range definition.States {
		configuration := machine.Configure(number)
		for eventNumber, event := range definition.Events {
			if next, moves := declared.Transitions[event.Name]; moves {
				configuration.Permit(eventNumber, numbers[next])
			}
		}
		for eventNumber, event := range definition.Events {
			for _, ignored := range declared.Ignore {
				if ignored == event.Name {
					configuration.Ignore(eventNumber)
				}
			}
		}
	}
	return machine
}

var _ = Describe("the compiled table", func() {
	It("matches the state machine of package stateless for every event in every state", func() {
		definition := charts.Call.Definition()
		state := 0
		machine := libraryMachine(definition, &state)
		for from := range definition.States {
			for event := range definition.Events {
				state = from
				failure := machine.Fire(event)
				next, refusal := charts.Call.Next(charts.CallState(from), charts.CallEvent(event))
				Expect(refusal == nil).To(Equal(failure == nil))
				Expect(int(next)).To(Equal(state))
			}
		}
	})
})

// callPath is the event sequence of a successful call.
var callPath = []charts.CallEvent{
	charts.CallEventAdmit, charts.CallEventEnqueue, charts.CallEventIntentCommitted,
	charts.CallEventFirstChunk, charts.CallEventFinish,
}

func BenchmarkTableTransition(b *testing.B) {
	b.ReportAllocs()
	for step := 0; step < b.N; {
		state := charts.Call.Initial()
		for _, event := range callPath {
			state, _ = charts.Call.Next(state, event)
			step++
		}
		if !charts.Call.Final(state) {
			b.Fatal("callPath does not end in a final state")
		}
	}
}

func BenchmarkLibraryTransition(b *testing.B) {
	state := 0
	machine := libraryMachine(charts.Call.Definition(), &state)
	b.ReportAllocs()
	for step := 0; step < b.N; {
		state = 0
		for _, event := range callPath {
			if err := machine.Fire(int(event)); err != nil {
				b.Fatal(err)
			}
			step++
		}
	}
}
