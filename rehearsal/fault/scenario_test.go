package fault_test

import (
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/rehearsal/fault"
)

const scenarioFiles = "../scenarios/*.yaml"

var _ = Describe("scenario files", func() {
	It("are all valid", func() {
		files, err := filepath.Glob(scenarioFiles)
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		for _, file := range files {
			scenario, err := fault.LoadScenario(file)
			Expect(err).NotTo(HaveOccurred())
			Expect(scenario.Name + ".yaml").To(Equal(filepath.Base(file)))
		}
	})

	DescribeTable("with an error are rejected", func(valid, invalid string) {
		content, err := os.ReadFile("../scenarios/leader-kill.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(content)).To(ContainSubstring(valid))
		path := filepath.Join(GinkgoT().TempDir(), "scenario.yaml")
		Expect(os.WriteFile(path, []byte(strings.Replace(string(content), valid, invalid, 1)), 0o644)).To(Succeed())
		_, err = fault.LoadScenario(path)
		Expect(err).To(HaveOccurred())
	},
		Entry("unknown key", "think:", "thinks:"),
		Entry("no duration", "duration: 20s", "duration: 0s"),
		Entry("no zones", "zones: 3", "zones: 0"),
		Entry("share over 1", "tool_share: 0.3", "tool_share: 1.3"),
		Entry("no clients", "clients: 8", "clients: 0"),
		Entry("unknown fault", "kind: kill", "kind: burn"),
		Entry("unknown target", "target: leader", "target: scheduler-9-9"),
		Entry("a fault after the end", "at: 4s", "at: 40s"),
		Entry("a freeze without a duration", "kind: kill, target: leader, for: 3s", "kind: freeze, target: leader"),
		Entry("an injection without an effect", "kind: kill", "kind: inject"),
		Entry("unknown check", "progress,", "progres,"),
	)
})
