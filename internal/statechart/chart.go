// Package statechart implements the state machines defined in charts/*.yaml. A
// chart file is the single source of an entity's transitions: it is validated
// and compiled into a table, which Next looks up at run time. Every event in
// every state is a transition, explicitly ignored, or refused with a result
// code.
//
// docs/CHARTS.md has the benchmark of the table against a state machine library.
package statechart

import (
	"fmt"
	"io/fs"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// Number is the type of a state or event: its index in the chart file.
type Number interface{ ~uint8 }

// maxNames is the number of states, and of events, that a Number can represent.
const maxNames = 256

// Refusal is the error for an event that is not accepted in a state. Refusals
// are shared and must not be modified.
type Refusal struct {
	Code  resultcode.Code
	Chart string
	State string
	Event string
}

// Error returns the result code, chart, state and event.
func (refusal *Refusal) Error() string {
	return fmt.Sprintf("%d %s: %s in state %s does not accept event %s",
		refusal.Code, refusal.Code, refusal.Chart, refusal.State, refusal.Event)
}

// cell is the table entry for one event in one state. For an ignored event next
// is the state itself and ignored is set.
type cell struct {
	next    uint8
	ignored bool
	refusal *Refusal
}

// Chart is a compiled state machine. It is immutable and safe for concurrent
// use. S and E are the state and event types of one entity, so that those of
// different entities can't be confused.
type Chart[S, E Number] struct {
	definition *Definition
	initial    S
	final      []bool
	eventCount int
	// cells has one row of eventCount cells for each state.
	cells []cell
	// outOfRange is the refusal for a state or event that the chart does not have.
	outOfRange *Refusal
}

// Load reads, validates and compiles the chart file name.yaml.
func Load[S, E Number](files fs.FS, name string) (*Chart[S, E], error) {
	content, err := fs.ReadFile(files, name+".yaml")
	if err != nil {
		return nil, eris.Wrapf(err, "read chart %s", name)
	}
	definition, err := Parse(content)
	if err != nil {
		return nil, eris.Wrapf(err, "chart %s", name)
	}
	if definition.Name != name {
		return nil, eris.Errorf("chart %s: the file declares name %q", name, definition.Name)
	}
	return Compile[S, E](definition)
}

// MustLoad is like Load but panics on an error. It is for embedded charts.
func MustLoad[S, E Number](files fs.FS, name string) *Chart[S, E] {
	chart, err := Load[S, E](files, name)
	if err != nil {
		panic(err)
	}
	return chart
}

// Next returns the state after event. It returns state itself for an ignored
// event, and state with the refusal for a refused one.
func (chart *Chart[S, E]) Next(state S, event E) (S, *Refusal) {
	found := chart.lookup(state, event)
	if found == nil {
		return state, chart.outOfRange
	}
	return S(found.next), found.refusal
}

// Ignores reports whether state ignores event.
func (chart *Chart[S, E]) Ignores(state S, event E) bool {
	found := chart.lookup(state, event)
	return found != nil && found.ignored
}

// Initial returns the state in which a new entity starts.
func (chart *Chart[S, E]) Initial() S { return chart.initial }

// Final reports whether state is a final state.
func (chart *Chart[S, E]) Final(state S) bool {
	return int(state) < len(chart.final) && chart.final[state]
}

// StateName returns the name of state in the chart file.
func (chart *Chart[S, E]) StateName(state S) string {
	if int(state) >= len(chart.definition.States) {
		return fmt.Sprintf("state(%d)", state)
	}
	return chart.definition.States[state].Name
}

// EventName returns the name of event in the chart file.
func (chart *Chart[S, E]) EventName(event E) string {
	if int(event) >= chart.eventCount {
		return fmt.Sprintf("event(%d)", event)
	}
	return chart.definition.Events[event].Name
}

// ParseState returns the state with the given name, and whether there is one.
func (chart *Chart[S, E]) ParseState(name string) (S, bool) {
	for number, state := range chart.definition.States {
		if state.Name == name {
			return S(number), true
		}
	}
	return 0, false
}

// Definition returns the parsed chart file. It must not be modified.
func (chart *Chart[S, E]) Definition() *Definition { return chart.definition }

func (chart *Chart[S, E]) lookup(state S, event E) *cell {
	index := int(state)*chart.eventCount + int(event)
	if int(event) >= chart.eventCount || index >= len(chart.cells) {
		return nil
	}
	return &chart.cells[index]
}
