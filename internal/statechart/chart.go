// Package statechart runs the state charts of charts/*.yaml. A chart file is
// the only source of an entity's transitions: the loader checks it and compiles
// it into a table, which Next reads at run time. Every event in every state is
// a transition, an explicit ignore, or a refusal with a numbered result code.
//
// Why a table: docs/CHARTS.md gives the benchmark against a state machine
// library that runs the same files.
package statechart

import (
	"fmt"
	"io/fs"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// Number is the form of a state or an event: its place in the chart file.
type Number interface{ ~uint8 }

// maximumNames bounds the states, and the events, that a Number can hold.
const maximumNames = 256

// Refusal tells why an event is not taken. It is shared and never changed.
type Refusal struct {
	Code  resultcode.Code
	Chart string
	State string
	Event string
}

// Error returns the refusal on one line.
func (refusal *Refusal) Error() string {
	return fmt.Sprintf("%d %s: %s in state %s does not take event %s",
		refusal.Code, refusal.Code, refusal.Chart, refusal.State, refusal.Event)
}

// cell is the answer of one state to one event. A nil refusal with next equal
// to the state itself and ignored set means that the event changes nothing.
type cell struct {
	next    uint8
	ignored bool
	refusal *Refusal
}

// Chart answers every event in every state. It is immutable and safe for
// concurrent use. S and E are the state and event types of one entity, so that
// the states of two entities cannot be mixed.
type Chart[S, E Number] struct {
	definition *Definition
	initial    S
	final      []bool
	eventCount int
	// cells holds one row of eventCount cells for each state.
	cells []cell
	// invalid answers a state or event number that the chart does not have.
	invalid *Refusal
}

// Load reads, checks and compiles the chart file name.yaml.
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
		return nil, eris.Errorf("chart %s: the file names itself %q", name, definition.Name)
	}
	return Compile[S, E](definition)
}

// MustLoad is Load for charts that are embedded in the program: a fault in one
// is a fault of the build.
func MustLoad[S, E Number](files fs.FS, name string) *Chart[S, E] {
	chart, err := Load[S, E](files, name)
	if err != nil {
		panic(err)
	}
	return chart
}

// Next returns the state that follows state on event. An ignored event returns
// state itself. A refused one returns state and the refusal.
func (chart *Chart[S, E]) Next(state S, event E) (S, *Refusal) {
	found := chart.cell(state, event)
	if found == nil {
		return state, chart.invalid
	}
	return S(found.next), found.refusal
}

// Ignores reports whether the chart says that event changes nothing in state.
func (chart *Chart[S, E]) Ignores(state S, event E) bool {
	found := chart.cell(state, event)
	return found != nil && found.ignored
}

// Initial returns the state in which a new entity starts.
func (chart *Chart[S, E]) Initial() S { return chart.initial }

// Final reports whether state is never left.
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

// ParseState returns the state of that name, as read from a snapshot.
func (chart *Chart[S, E]) ParseState(name string) (S, bool) {
	for number, state := range chart.definition.States {
		if state.Name == name {
			return S(number), true
		}
	}
	return 0, false
}

// Definition returns the chart file's content, for documentation. It must not
// be changed.
func (chart *Chart[S, E]) Definition() *Definition { return chart.definition }

func (chart *Chart[S, E]) cell(state S, event E) *cell {
	index := int(state)*chart.eventCount + int(event)
	if int(event) >= chart.eventCount || index >= len(chart.cells) {
		return nil
	}
	return &chart.cells[index]
}
