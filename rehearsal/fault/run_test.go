package fault_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/rehearsal/cluster"
	"github.com/magpielug/magpielug/rehearsal/fault"
)

const (
	shortScenarios = "../scenarios/ci/*.yaml"
	runTimeout     = 3 * time.Minute
	// Ports are below the ephemeral range. Each test process has its own range, chosen by
	// its pid, so that concurrent test processes rarely collide.
	firstPort       = 10_000
	portsPerProcess = 25
	processSlots    = 800
	// portsPerRun is the number of ports that one run uses on the platform's address.
	portsPerRun = 8
)

func buildBinaries(directory string) cluster.Binaries {
	output, err := exec.Command("go", "build", "-o", directory+string(os.PathSeparator), "../../cmd/...").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
	return cluster.Binaries{
		Magpielug: filepath.Join(directory, "magpielug"),
		Rehearsal: filepath.Join(directory, "rehearsal"),
	}
}

type runOutcome struct {
	report *fault.Report
	err    error
}

// runScenario runs the scenario file with the given index on ports of its own.
func runScenario(file string, number int, binaries cluster.Binaries, directory string) runOutcome {
	scenario, err := fault.LoadScenario(file)
	if err != nil {
		return runOutcome{err: err}
	}
	bounded, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	report, err := fault.Run(bounded, scenario, fault.Environment{
		Binaries:  binaries,
		Directory: filepath.Join(directory, scenario.Name),
		Port:      firstPort + os.Getpid()%processSlots*portsPerProcess + number*portsPerRun,
		Output:    io.Discard,
	})
	return runOutcome{report, err}
}

// The scenarios run concurrently, each with its own processes.
var _ = Describe("short scenarios on real processes", Ordered, func() {
	files, _ := filepath.Glob(shortScenarios)
	outcomes := make([]chan runOutcome, len(files))
	directory := ""

	BeforeAll(func() {
		binaries := buildBinaries(GinkgoT().TempDir())
		directory = GinkgoT().TempDir()
		for number, file := range files {
			outcomes[number] = make(chan runOutcome, 1)
			go func() { outcomes[number] <- runScenario(file, number, binaries, directory) }()
		}
	})

	for number, file := range files {
		It("hold in "+filepath.Base(file), func() {
			finished := <-outcomes[number]
			if finished.err != nil {
				printLogs(directory)
			}
			Expect(finished.err).NotTo(HaveOccurred())
			for _, result := range finished.report.Results {
				if len(result.Violations) > 0 && isKnownFailure(file, result.Check) {
					fmt.Println("known red:", result.String())
					continue
				}
				Expect(result.Violations).To(BeEmpty(), result.String())
			}
		})
	}

	It("are found", func() { Expect(files).To(HaveLen(3)) })
})

// printLogs prints the end of each process's log: the directory is removed after the
// test.
func printLogs(directory string) {
	const maxBytes = 600
	logs, _ := filepath.Glob(filepath.Join(directory, "*", "*.log"))
	for _, name := range logs {
		content, err := os.ReadFile(name)
		if err == nil {
			fmt.Printf("%s: %s\n", name, content[max(len(content)-maxBytes, 0):])
		}
	}
}

// knownFailuresFile lists the tests that fail because of a known, unfixed fault.
const knownFailuresFile = "../../KNOWN-RED.txt"

// isKnownFailure reports whether one check of a scenario is a known failure. The
// scenario's other checks must pass.
func isKnownFailure(file, check string) bool {
	content, err := os.ReadFile(knownFailuresFile)
	return err == nil && strings.Contains(string(content), "scenarios/ci/"+filepath.Base(file)+" "+check+":")
}
