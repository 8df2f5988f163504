package command

import (
	"encoding/json"
	"fmt"
	"os"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/encoding/protojson"
)

// readConfiguration reads a YAML or JSON file (JSON is a subset of YAML). Unknown
// fields are an error.
func readConfiguration(path string) (*operatorv1.Configuration, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, &usageError{fmt.Sprintf("configuration: %v", err)}
	}
	var tree any
	err = yaml.Unmarshal(content, &tree)
	if err != nil {
		return nil, &usageError{fmt.Sprintf("%s: %s", path, oneLine(err))}
	}
	encoded, err := json.Marshal(tree)
	if err != nil {
		return nil, &usageError{fmt.Sprintf("%s: %s", path, oneLine(err))}
	}
	configuration := &operatorv1.Configuration{}
	err = protojson.Unmarshal(encoded, configuration)
	if err != nil {
		return nil, &usageError{fmt.Sprintf("%s: %s", path, oneLine(err))}
	}
	return configuration, nil
}
