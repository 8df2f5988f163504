package command

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"

	"github.com/magpielug/magpielug/internal/configuration"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/settings"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// result is the exit code and output of a command line.
type result struct {
	code           int
	output, errors string
}

func runWith(runners Runners, arguments ...string) result {
	var output, failures bytes.Buffer
	streams := Streams{Input: strings.NewReader(""), Output: &output, Errors: &failures}
	code := Run(context.Background(), arguments, streams, "v1", runners)
	return result{code: code, output: output.String(), errors: failures.String()}
}

func run(arguments ...string) result { return runWith(Runners{}, arguments...) }

// expectOneLine checks the exit code and the single-line error of a failed command.
func expectOneLine(got result, code int, text string) {
	GinkgoHelper()
	Expect(got.code).To(Equal(code), got.errors)
	Expect(got.errors).To(ContainSubstring(text))
	Expect(strings.Count(got.errors, "\n")).To(Equal(1), got.errors)
	Expect(got.output).To(BeEmpty())
}

const (
	example     = "../../examples/namibia/scheduler.yaml"
	nodeExample = "../../examples/node.toml"
)

var _ = Describe("Run", func() {
	It("shows help for each command", func() {
		for _, command := range []string{"", "gateway", "scheduler", "node", "check-settings", "load", "operator", "operator publish", "operator explain"} {
			got := run(append(strings.Fields(command), "--help")...)
			Expect(got.code).To(Equal(ExitOK))
			Expect(got.output).To(ContainSubstring("Usage: magpielug " + command))
		}
		Expect(run("--help").output).To(ContainSubstring("check-settings"))
		Expect(run("operator", "--help").output).To(And(ContainSubstring("stop-program"), ContainSubstring("--key-file")))
		Expect(run("--version").output).To(Equal("magpielug v1\n"))
	})

	It("rejects invalid command lines with exit code 2", func() {
		for _, line := range []string{"", "fly", "operator", "operator explain p", "gateway --colour", "operator programs --limit many"} {
			Expect(run(strings.Fields(line)...).code).To(Equal(ExitUsage), line)
		}
	})

	It("passes validated settings to the process, with flags over the file", func() {
		var given settings.Settings
		runners := Runners{Scheduler: func(_ context.Context, version string, loaded settings.Settings) error {
			Expect(version).To(Equal("v1"))
			given = loaded
			return nil
		}}
		got := runWith(runners, "scheduler", "--settings", example, "--id", "7", "--zone", "zone-2", "--listen", "127.2.0.1:7100",
			"--log-level", "debug", "--set", "scheduler.shards=8", "--set", "node.zone=zone-3")
		Expect(got.code).To(Equal(ExitOK), got.errors)
		Expect(given.Node.ID).To(Equal("7"))
		Expect(given.Node.Zone).To(Equal("zone-2"))
		Expect(given.Scheduler.Shards).To(BeEquivalentTo(8))
		Expect(given.Log.Level).To(Equal("debug"))
	})

	It("runs a node with the settings of its file, or as PlatformNode without a file", func() {
		var given []settings.NodeSettings
		platform := 0
		runners := Runners{
			Node: func(_ context.Context, version string, loaded settings.NodeSettings) error {
				Expect(version).To(Equal("v1"))
				given = append(given, loaded)
				return nil
			},
			PlatformNode: func(context.Context, string) error { platform++; return nil },
		}
		got := runWith(runners, "node", "--settings", nodeExample, "--set", "node.name=node-7")
		Expect(got.code).To(Equal(ExitOK), got.errors)
		Expect(given).To(HaveLen(1))
		Expect(given[0].Node.Name).To(Equal("node-7"))
		Expect(runWith(runners, "node").code).To(Equal(ExitOK))
		Expect(platform).To(Equal(1))
		expectOneLine(runWith(runners, "node", "--set", "node.name=node-7"), ExitUsage, "requires --settings")
		expectOneLine(runWith(runners, "node", "--settings", nodeExample, "--set", "node.seeds=a"), ExitUsage, "node.seeds: unknown key")
		expectOneLine(run("check-settings", "--role", "node", "--settings", "absent.toml"), ExitUsage, "absent.toml")
		expectOneLine(run("check-settings", "--role", "node", "--settings", nodeExample, "--zone", "z"), ExitUsage, "only --set KEY=VALUE")
		Expect(given).To(HaveLen(1))
	})

	It("reports a process's failure by a single line and an exit code", func() {
		for failure, code := range map[error]int{
			resultcode.New(resultcode.AddressInUse, "127.0.0.1:1 is taken"): ExitUsage,
			errors.New("fault"): ExitRefused,
		} {
			runners := Runners{Scheduler: func(context.Context, string, settings.Settings) error { return failure }}
			expectOneLine(runWith(runners, "scheduler", "--settings", example), code, failure.Error())
		}
	})

	It("reports an invalid key on a single line", func() {
		expectOneLine(run("gateway", "--settings", example), ExitUsage, `node.role: is "scheduler"`)
		expectOneLine(run("scheduler", "--settings", "absent.yaml"), ExitUsage, "absent.yaml")
		expectOneLine(run("scheduler", "--settings", example, "--set", "limits.body=5"), ExitUsage, "limits.body: 5 needs a unit")
		expectOneLine(run("scheduler", "--settings", example, "--set", "limits"), ExitUsage, "not KEY=VALUE")
		expectOneLine(run("check-settings", "--settings", example, "--listen", "here"), ExitUsage, "node.listen")
	})

	It("lists all keys", func() {
		Expect(run("check-settings", "--keys").output).To(Equal(settings.Markdown(settings.Table())))
		Expect(run("check-settings", "--role", "node", "--keys").output).To(Equal(settings.Markdown(settings.NodeTable())))
	})
})

var _ = Describe("examples", func() {
	It("have valid settings and configurations", func() {
		got := run("check-settings", "--role", "node", "--settings", nodeExample)
		Expect(got.code).To(Equal(ExitOK), got.errors)
		Expect(got.output).To(ContainSubstring("node node-1 in zone zone-1"))
		for _, place := range []string{"namibia", "cairo"} {
			directory := filepath.Join("../../examples", place)
			for _, role := range []string{"gateway", "scheduler"} {
				got := run("check-settings", "--settings", filepath.Join(directory, role+".yaml"))
				Expect(got.code).To(Equal(ExitOK), got.errors)
			}
			content, err := readConfiguration(filepath.Join(directory, "configuration.yaml"))
			Expect(err).NotTo(HaveOccurred())
			Expect(configuration.Validate(content)).To(Succeed())
		}
	})

	It("use the keys given in their comments", func() {
		content, err := readConfiguration("../../examples/namibia/configuration.yaml")
		Expect(err).NotTo(HaveOccurred())
		_, found := configuration.NewSnapshot(1, content).TierByKey("kiosk-key")
		Expect(found).To(BeTrue())
		content, err = readConfiguration("../../examples/cairo/configuration.yaml")
		Expect(err).NotTo(HaveOccurred())
		_, found = configuration.NewSnapshot(1, content).TierByKey("nile-minutes-key")
		Expect(found).To(BeTrue())
	})

	It("are rejected with an unknown field", func() {
		path := filepath.Join(GinkgoT().TempDir(), "configuration.yaml")
		Expect(os.WriteFile(path, []byte("tiers: [{nmae: kiosk}]"), 0o600)).To(Succeed())
		_, err := readConfiguration(path)
		Expect(err).To(MatchError(ContainSubstring("nmae")))
	})
})
