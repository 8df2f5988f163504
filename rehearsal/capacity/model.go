package capacity

import "github.com/rotisserie/eris"

// Design is one of the two designs that the tables compare.
type Design int

// The designs.
const (
	Today Design = iota
	Planned
)

// inputModel gives the inputs of one design by name and remembers which were used.
type inputModel struct {
	factors map[string]Factor
	used    map[string]bool
	unknown []string
}

func newModel(inputs *Inputs, design Design) *inputModel {
	model := &inputModel{factors: map[string]Factor{}, used: map[string]bool{}}
	for _, figure := range inputs.Target {
		basis := Given
		if figure.Estimated {
			basis = Estimated
		}
		model.factors[figure.Name] = Factor{Value: figure.Value, Label: figure.Label, Basis: basis}
	}
	for _, choice := range inputs.Designs {
		value := choice.Today
		if design == Planned {
			value = choice.Planned
		}
		model.factors[choice.Name] = Factor{Value: value, Label: choice.Label, Basis: Chosen}
	}
	for _, slope := range inputs.Slopes {
		basis := Estimated
		if slope.Measured {
			basis = Measured
		}
		model.factors[slope.Name] = Factor{Value: slope.Value, Label: slope.Label, Basis: basis}
	}
	return model
}

// get returns the input of that name.
func (model *inputModel) get(name string) Factor {
	factor, known := model.factors[name]
	if !known {
		model.unknown = append(model.unknown, name)
	}
	model.used[name] = true
	return factor
}

// per returns the input of that name as a divisor.
func (model *inputModel) per(name string) Factor { return Per(model.get(name)) }

// check fails where a row names an input that is missing, or no row uses one.
func (model *inputModel) check() error {
	if len(model.unknown) > 0 {
		return eris.Errorf("unknown inputs: %v", model.unknown)
	}
	for name := range model.factors {
		if !model.used[name] {
			return eris.Errorf("input %s is used by no row", name)
		}
	}
	return nil
}
