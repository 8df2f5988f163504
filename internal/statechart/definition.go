package statechart

import (
	"bytes"
	"regexp"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// Definition is the content of a chart file.
type Definition struct {
	// Name is the chart's name: the file name without its extension.
	Name        string `yaml:"name"`
	Description string `yaml:"description"`
	// Initial is the name of the initial state.
	Initial string            `yaml:"initial"`
	Events  []EventDefinition `yaml:"events"`
	States  []StateDefinition `yaml:"states"`
}

// EventDefinition declares one event. Its number is its index in the list.
type EventDefinition struct {
	Name        string `yaml:"name"`
	Description string `yaml:"description"`
}

// StateDefinition declares one state and how it handles each event. Its number
// is its index in the list.
type StateDefinition struct {
	Name        string `yaml:"name"`
	Description string `yaml:"description"`
	// Final marks a state without transitions.
	Final bool `yaml:"final"`
	// Transitions maps event names to the name of the next state.
	Transitions map[string]string `yaml:"transitions"`
	// Ignore lists the events that are accepted and change nothing.
	Ignore []string `yaml:"ignore"`
	// Refuse maps result code names to the events that are refused with them.
	Refuse map[string][]string `yaml:"refuse"`
}

// namePattern matches chart, state and event names.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`)

// Parse parses a chart file. Unknown keys are an error. Compile validates the
// result.
func Parse(content []byte) (*Definition, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	var definition Definition
	if err := decoder.Decode(&definition); err != nil {
		return nil, eris.Wrap(err, "parse chart")
	}
	return &definition, nil
}
