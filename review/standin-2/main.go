// Command standin-2 runs the scripted cases of the second review: nodes as separate processes, and stand-ins of
// the store, the engines and the callers in this process. It writes what was sent, answered and run to a file.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// verdict is the result of a case: the breaches of its rule, none if it held.
type verdict struct{ breaches []string }

func (result *verdict) breach(format string, values ...any) {
	result.breaches = append(result.breaches, fmt.Sprintf(format, values...))
}

// caseFunc runs one case. trouble is false if the disruption is to be left out.
type caseFunc func(run *deployment, trouble bool) (verdict, error)

// cases are the scripted cases by the name that their scripts give.
var cases = map[string]caseFunc{
	"late-surplus-refusal": runLateSurplusRefusal,
	"foreign-record":       runForeignRecord,
	"cut-readers":          runCutReaders,
	"lost-nodes":           runLostNodes,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE NODE-BINARY RECORD-FILE (TROUBLE=0 leaves the disruption out)")
		os.Exit(exitCouldNot)
	}
	run, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", os.Args[1])
		os.Exit(exitCouldNot)
	}
	os.Exit(runCase(run, os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

// runCase runs a case in a deployment of its own and returns the exit code.
func runCase(run caseFunc, binary, recordPath string, trouble bool) int {
	record, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer record.close()
	record.write("disruption: %v", trouble)
	result, err := runInDeployment(run, binary, record, trouble)
	if err != nil {
		record.write("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	for _, breach := range result.breaches {
		record.write("BROKEN %s", breach)
		fmt.Println("BROKEN", breach)
	}
	if len(result.breaches) > 0 {
		return exitBroken
	}
	record.write("held")
	fmt.Println("held")
	return exitHeld
}

func runInDeployment(run caseFunc, binary string, record *record, trouble bool) (verdict, error) {
	deployed, err := newDeployment(binary, record)
	if err != nil {
		return verdict{}, err
	}
	defer deployed.stop()
	return run(deployed, trouble)
}
