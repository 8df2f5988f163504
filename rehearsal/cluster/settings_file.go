package cluster

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// settingsFile holds the settings that a plan defines; all other keys keep their
// defaults.
type settingsFile struct {
	Node struct {
		ID        string `yaml:"id"`
		Role      string `yaml:"role"`
		Region    string `yaml:"region"`
		Zone      string `yaml:"zone"`
		Listen    string `yaml:"listen"`
		Advertise string `yaml:"advertise"`
		Source    string `yaml:"source"`
	} `yaml:"node"`
	Platform struct {
		Log      string `yaml:"log"`
		Machines string `yaml:"machines"`
		Weights  string `yaml:"weights"`
	} `yaml:"platform"`
	Scheduler struct {
		Shards int `yaml:"shards"`
	} `yaml:"scheduler"`
	Log struct {
		Level string `yaml:"level"`
	} `yaml:"log"`
	OperatorKeySHA256 string `yaml:"operator_key_sha256"`
}

// writeSettings writes a machine's settings file and returns its path.
func (plan Plan) writeSettings(directory string, machine Machine) (string, error) {
	var file settingsFile
	file.Node.ID = machine.ID
	file.Node.Role = string(machine.Role)
	file.Node.Region = Region
	file.Node.Zone = machine.Zone
	file.Node.Listen = machine.Listen
	file.Node.Advertise = machine.Address
	file.Node.Source = machine.Host
	file.Platform.Log = "http://" + plan.LogAddress()
	file.Platform.Machines = "http://" + plan.MachinesAddress()
	file.Platform.Weights = "http://" + plan.WeightsAddress()
	file.Scheduler.Shards = plan.Shards
	file.Log.Level = plan.LogLevel
	file.OperatorKeySHA256 = keyDigest(OperatorKey)
	content, err := yaml.Marshal(file)
	if err != nil {
		return "", eris.Wrap(err, "encode settings")
	}
	path := filepath.Join(directory, machine.ID+".yaml")
	return path, eris.Wrap(os.WriteFile(path, content, 0o644), "write settings")
}
