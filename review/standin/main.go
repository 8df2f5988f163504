// Command standin runs the cases of the review: it starts a small deployment with nodes as processes,
// disturbs it, and judges one rule by what clients and engines saw. It exits with 0 if the rule held,
// 1 if it was broken, and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// caseTimeout is the longest that a case may run.
	caseTimeout = 118 * time.Second
)

// run is one run of a case.
type run struct {
	deployment *deployment
	client     *client
	record     *record
	// disturbed is false for a run without the disruption.
	disturbed bool
	retention time.Duration
	binary    string
	directory string
}

// cases are the functions of the cases by name. They return whether the rule was broken.
var cases = map[string]func(ctx context.Context, run *run) (bool, error){
	"recover": runRecover,
	"budget":  runBudget,
	"chain":   runChain,
	"expiry":  runExpiry,
	"expect":  runExpect,
	"crash":   runCrash,
	"surplus": runSurplus,
	"stop":    runStop,
}

func main() { os.Exit(execute()) }

func execute() int {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("node", "", "the product's program")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	disturbed := flag.Bool("trouble", true, "disturb the deployment")
	retention := flag.Duration("retention", time.Minute, "how long the store keeps records")
	timeout := flag.Duration("timeout", caseTimeout, "longest time for the case")
	keep := flag.String("keep", "", "directory that keeps the nodes' logs")
	flag.Parse()
	selected := cases[*name]
	if selected == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return exitFailed
	}
	directory := *keep
	if directory == "" {
		created, err := os.MkdirTemp("", "review")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
		defer func() { _ = os.RemoveAll(created) }()
		directory = created
	}
	written, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer written.close()
	ctx, cancel := context.WithTimeout(context.Background(), *timeout)
	defer cancel()
	current := &run{record: written, disturbed: *disturbed, retention: *retention, binary: *binary, directory: directory}
	broken, err := selected(ctx, current)
	if current.deployment != nil {
		current.deployment.close()
		written.runs(current.deployment)
	}
	switch {
	case err != nil:
		written.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		return exitBroken
	}
	return exitHeld
}

// start starts the deployment.
func (run *run) start(chosen options) error {
	chosen.retention = run.retention
	started, err := startDeployment(chosen, run.binary, run.directory)
	run.deployment = started
	run.client = &client{deployment: started, record: run.record}
	if err == nil {
		run.record.note("%d nodes are ready", len(started.nodes))
	}
	return err
}
