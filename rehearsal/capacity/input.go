package capacity

import (
	"bytes"
	"embed"
	"io/fs"
	"math"
	"os"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

//go:embed target.yaml designs.yaml slopes.yaml
var defaults embed.FS

// Names of the input files.
const (
	TargetFile  = "target.yaml"
	DesignsFile = "designs.yaml"
	SlopesFile  = "slopes.yaml"
)

// Figure is a named number with the words that name it in the arithmetic.
type Figure struct {
	Name  string  `yaml:"name"`
	Value float64 `yaml:"value"`
	// Label names the value and its unit in the arithmetic.
	Label string `yaml:"label"`
	// Estimated marks an assumption that the target does not give.
	Estimated bool `yaml:"estimated"`
}

// Choice is a setting of the design with its value now and as planned.
type Choice struct {
	Name    string  `yaml:"name"`
	Label   string  `yaml:"label"`
	Today   float64 `yaml:"today"`
	Planned float64 `yaml:"planned"`
	// Change says what is planned, empty where nothing is.
	Change string `yaml:"change"`
}

// Slope is a cost of one unit of work or state.
type Slope struct {
	Name     string  `yaml:"name"`
	Value    float64 `yaml:"value"`
	Label    string  `yaml:"label"`
	Measured bool    `yaml:"measured"`
	// Source is the command that measured the value, or what the estimate rests
	// on.
	Source string `yaml:"source"`
}

// Inputs are all numbers that the tables follow from.
type Inputs struct {
	Target  []Figure
	Designs []Choice
	Slopes  []Slope
}

// Load reads the inputs from folder, or the embedded ones for an empty folder.
func Load(folder string) (*Inputs, error) {
	var files fs.FS = defaults
	if folder != "" {
		files = os.DirFS(folder)
	}
	inputs := &Inputs{}
	if err := readList(files, TargetFile, &inputs.Target); err != nil {
		return nil, err
	}
	if err := readList(files, DesignsFile, &inputs.Designs); err != nil {
		return nil, err
	}
	if err := readList(files, SlopesFile, &inputs.Slopes); err != nil {
		return nil, err
	}
	return inputs, inputs.check()
}

func readList[T any](files fs.FS, name string, list *[]T) error {
	content, err := fs.ReadFile(files, name)
	if err != nil {
		return eris.Wrapf(err, "read %s", name)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	return eris.Wrapf(decoder.Decode(list), "parse %s", name)
}

func (inputs *Inputs) check() error {
	seen := map[string]bool{}
	check := func(name, label string, values ...float64) error {
		if name == "" || label == "" || seen[name] {
			return eris.Errorf("input %q: a name or label is missing, or the name stands twice", name)
		}
		seen[name] = true
		for _, value := range values {
			if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
				return eris.Errorf("input %s: bad value %v", name, value)
			}
		}
		return nil
	}
	for _, figure := range inputs.Target {
		if err := check(figure.Name, figure.Label, figure.Value); err != nil {
			return err
		}
	}
	for _, choice := range inputs.Designs {
		if err := check(choice.Name, choice.Label, choice.Today, choice.Planned); err != nil {
			return err
		}
		if (choice.Today != choice.Planned) != (choice.Change != "") {
			return eris.Errorf("input %s: a planned value and its change go together", choice.Name)
		}
	}
	for _, slope := range inputs.Slopes {
		if err := check(slope.Name, slope.Label, slope.Value); err != nil {
			return err
		}
		if slope.Source == "" {
			return eris.Errorf("input %s: no source", slope.Name)
		}
	}
	return nil
}
