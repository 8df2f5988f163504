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
	runBound       = 3 * time.Minute
	// Ports below the ones that the kernel gives out, apart for test processes
	// that run side by side.
	firstPort = 10_000
	portStep  = 25
	portSteps = 800
	// portsOfRun are the ports that one run takes on the platform's address.
	portsOfRun = 8
)

func buildBinaries(directory string) cluster.Binaries {
	output, err := exec.Command("go", "build", "-o", directory+string(os.PathSeparator), "../../cmd/...").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
	return cluster.Binaries{
		Magpielug: filepath.Join(directory, "magpielug"),
		Rehearsal: filepath.Join(directory, "rehearsal"),
	}
}

// outcome is what one run gave.
type outcome struct {
	report *fault.Report
	err    error
}

// runShort runs a scenario at a port of its own.
func runShort(file string, number int, binaries cluster.Binaries, directory string) outcome {
	scenario, err := fault.LoadScenario(file)
	if err != nil {
		return outcome{err: err}
	}
	bounded, cancel := context.WithTimeout(context.Background(), runBound)
	defer cancel()
	report, err := fault.Run(bounded, scenario, fault.Environment{
		Binaries:  binaries,
		Directory: filepath.Join(directory, scenario.Name),
		Port:      firstPort + os.Getpid()%portSteps*portStep + number*portsOfRun,
		Output:    io.Discard,
	})
	return outcome{report, err}
}

// The scenarios run side by side, each with processes of its own.
var _ = Describe("short scenarios on real processes", Ordered, func() {
	files, _ := filepath.Glob(shortScenarios)
	outcomes := make([]chan outcome, len(files))
	directory := ""

	BeforeAll(func() {
		binaries := buildBinaries(GinkgoT().TempDir())
		directory = GinkgoT().TempDir()
		for number, file := range files {
			outcomes[number] = make(chan outcome, 1)
			go func() { outcomes[number] <- runShort(file, number, binaries, directory) }()
		}
	})

	for number, file := range files {
		It("hold in "+filepath.Base(file), func() {
			ended := <-outcomes[number]
			if ended.err != nil {
				printLogs(directory)
			}
			Expect(ended.err).NotTo(HaveOccurred())
			for _, result := range ended.report.Results {
				if len(result.Violations) > 0 && knownRed(file, result.Check) {
					fmt.Println("known red:", result.String())
					continue
				}
				Expect(result.Violations).To(BeEmpty(), result.String())
			}
		})
	}

	It("are found", func() { Expect(files).To(HaveLen(3)) })
})

// printLogs prints how each process ended its log, since its directory goes with the test.
func printLogs(directory string) {
	const mostBytes = 600
	logs, _ := filepath.Glob(filepath.Join(directory, "*", "*.log"))
	for _, name := range logs {
		content, err := os.ReadFile(name)
		if err == nil {
			fmt.Printf("%s: %s\n", name, content[max(len(content)-mostBytes, 0):])
		}
	}
}

// knownRedFile lists the tests that fail for a fault which is not mended yet.
const knownRedFile = "../../KNOWN-RED.txt"

// knownRed tells whether one check of a scenario stands in the list of known
// failures. All its other checks must hold.
func knownRed(file, check string) bool {
	content, err := os.ReadFile(knownRedFile)
	return err == nil && strings.Contains(string(content), "scenarios/ci/"+filepath.Base(file)+" "+check+":")
}
