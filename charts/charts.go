// Package charts embeds the state charts of programs, calls, shard replicas, engines and
// shard ownership, and defines their states and events as typed constants. The .yaml files
// are the only source of the transitions. `go test ./charts -update` generates the
// *_generated.go files from them, and a test verifies that they are current.
package charts

import "embed"

//go:embed *.yaml
var files embed.FS

// Names lists the charts; each is defined in the .yaml file of its name.
var Names = []string{"program", "call", "replica", "engine", "ownership"}
