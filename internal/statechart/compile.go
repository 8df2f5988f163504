package statechart

import (
	"sort"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// Compile validates a definition and builds its table. It returns an error if
// an event is not handled in some state, a name is unknown, or a state can't be
// reached or has no path to a final state.
func Compile[S, E Number](definition *Definition) (*Chart[S, E], error) {
	names, err := indexNames(definition)
	if err != nil {
		return nil, eris.Wrapf(err, "chart %s", definition.Name)
	}
	chart := &Chart[S, E]{
		definition: definition,
		eventCount: len(definition.Events),
		outOfRange: &Refusal{Code: resultcode.Internal, Chart: definition.Name, State: "unknown", Event: "unknown"},
	}
	initial, known := names.states[definition.Initial]
	if !known {
		return nil, eris.Errorf("chart %s: unknown initial state %q", definition.Name, definition.Initial)
	}
	chart.initial = S(initial)
	for number := range definition.States {
		row, err := compileState(definition, names, number)
		if err != nil {
			return nil, eris.Wrapf(err, "chart %s: state %s", definition.Name, definition.States[number].Name)
		}
		chart.cells = append(chart.cells, row...)
		chart.final = append(chart.final, definition.States[number].Final)
	}
	if err := validatePaths(definition); err != nil {
		return nil, eris.Wrapf(err, "chart %s", definition.Name)
	}
	return chart, nil
}

// nameIndexes maps the names of states and events to their indexes.
type nameIndexes struct {
	states map[string]uint8
	events map[string]uint8
}

func indexNames(definition *Definition) (*nameIndexes, error) {
	if len(definition.States) > maxNames || len(definition.Events) > maxNames {
		return nil, eris.Errorf("more than %d states or events", maxNames)
	}
	names := &nameIndexes{states: map[string]uint8{}, events: map[string]uint8{}}
	for number, state := range definition.States {
		if err := addName(names.states, state.Name, state.Description, number); err != nil {
			return nil, eris.Wrap(err, "state")
		}
	}
	for number, event := range definition.Events {
		if err := addName(names.events, event.Name, event.Description, number); err != nil {
			return nil, eris.Wrap(err, "event")
		}
	}
	return names, nil
}

func addName(numbers map[string]uint8, name, description string, number int) error {
	if !namePattern.MatchString(name) {
		return eris.Errorf("invalid name %q", name)
	}
	if description == "" {
		return eris.Errorf("%s has no description", name)
	}
	if _, duplicate := numbers[name]; duplicate {
		return eris.Errorf("%s is declared twice", name)
	}
	numbers[name] = uint8(number)
	return nil
}

// stateRow collects the cells of a state, at most one for each event.
type stateRow struct {
	names   *nameIndexes
	cells   []cell
	defined []bool
}

func (row *stateRow) set(event string, value cell) error {
	number, known := row.names.events[event]
	if !known {
		return eris.Errorf("unknown event %q", event)
	}
	if row.defined[number] {
		return eris.Errorf("event %s is handled twice", event)
	}
	row.defined[number] = true
	row.cells[number] = value
	return nil
}

func compileState(definition *Definition, names *nameIndexes, number int) ([]cell, error) {
	state := definition.States[number]
	row := &stateRow{
		names:   names,
		cells:   make([]cell, len(definition.Events)),
		defined: make([]bool, len(definition.Events)),
	}
	for _, event := range sortedKeys(state.Transitions) {
		next, known := names.states[state.Transitions[event]]
		if !known {
			return nil, eris.Errorf("event %s leads to unknown state %q", event, state.Transitions[event])
		}
		if err := row.set(event, cell{next: next}); err != nil {
			return nil, err
		}
	}
	for _, event := range state.Ignore {
		if err := row.set(event, cell{next: uint8(number), ignored: true}); err != nil {
			return nil, err
		}
	}
	if err := compileRefusals(definition.Name, state, uint8(number), row); err != nil {
		return nil, err
	}
	for event, defined := range row.defined {
		if !defined {
			return nil, eris.Errorf("event %s is not handled", definition.Events[event].Name)
		}
	}
	return row.cells, nil
}

func compileRefusals(chart string, state StateDefinition, number uint8, row *stateRow) error {
	for _, name := range sortedKeys(state.Refuse) {
		code, known := codeByName(name)
		if !known {
			return eris.Errorf("unknown result code %q", name)
		}
		for _, event := range state.Refuse[name] {
			refusal := &Refusal{Code: code, Chart: chart, State: state.Name, Event: event}
			if err := row.set(event, cell{next: number, refusal: refusal}); err != nil {
				return err
			}
		}
	}
	return nil
}

// codeByName returns the result code with the given name, other than OK.
func codeByName(name string) (resultcode.Code, bool) {
	for _, entry := range resultcode.Table {
		if entry.Name == name && entry.Code != resultcode.OK {
			return entry.Code, true
		}
	}
	return resultcode.OK, false
}

func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
