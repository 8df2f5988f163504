// Package charts embeds the state charts of programs, calls, shard replicas,
// engines and the ownership of shards, and gives their states and events as typed
// constants. The .yaml files are the only source of the transitions; the
// *_generated.go files follow from them by `go test ./charts -update`, and a test compares.
package charts

import "embed"

//go:embed *.yaml
var files embed.FS

// Names lists the charts, each in the file of that name.
var Names = []string{"program", "call", "replica", "engine", "ownership"}
