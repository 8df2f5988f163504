package statechart

import (
	"bytes"
	"regexp"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// Definition is one chart file as it is written.
type Definition struct {
	// Name is the chart's name and the file's name without its suffix.
	Name        string `yaml:"name"`
	Description string `yaml:"description"`
	// Initial names the state in which a new entity starts.
	Initial string            `yaml:"initial"`
	Events  []EventDefinition `yaml:"events"`
	States  []StateDefinition `yaml:"states"`
}

// EventDefinition declares one event. Its number is its place in the list.
type EventDefinition struct {
	Name        string `yaml:"name"`
	Description string `yaml:"description"`
}

// StateDefinition declares one state and its answer to every event. Its number
// is its place in the list.
type StateDefinition struct {
	Name        string `yaml:"name"`
	Description string `yaml:"description"`
	// Final marks a state that is never left.
	Final bool `yaml:"final"`
	// Transitions maps an event's name to the next state's name.
	Transitions map[string]string `yaml:"transitions"`
	// Ignore lists the events that change nothing here and are no fault.
	Ignore []string `yaml:"ignore"`
	// Refuse maps a result code's name to the events refused with it.
	Refuse map[string][]string `yaml:"refuse"`
}

// namePattern is the form of chart, state and event names.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`)

// Parse reads a chart file. Unknown keys are an error. The result is not yet
// checked: see Compile.
func Parse(content []byte) (*Definition, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	var definition Definition
	if err := decoder.Decode(&definition); err != nil {
		return nil, eris.Wrap(err, "parse chart")
	}
	return &definition, nil
}
