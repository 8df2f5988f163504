package experiment

import (
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// tinyFile is a complete experiment file with a short run time.
const tinyFile = `
name: tiny
workload: namibia
engines: 2
endless_programs: 1
lose_engine_at: 0.5
loads: [0.8, 1.3]
seeds: [1, 2]
duration: 8s
warm_up: 1s
capacity_rate: 6
engine:
  block_tokens: 16
  blocks: 6144
  running_limit: 4
  prefill_tokens_per_step: 512
  step_base: 3ms
  step_per_sequence: 20us
  step_per_prefill_token: 20us
policies:
  - {name: first-come, queue: fcfs, placement: round-robin, cache: none}
  - {name: attained, queue: least-attained, placement: affinity-balanced, cache: predictive, affinity_percent: 50}
  - {name: single, queue: oracle, placement: least-loaded, cache: keep, engines_per_keeper: 1}
  - {name: hashed, queue: fcfs, placement: affinity, cache: release, engines_per_keeper: 1, keeper_binding: hash}
baseline: first-come
candidate: attained
`

var _ = Describe("File", func() {
	It("parses a complete file", func() {
		file, err := ParseFile([]byte(tinyFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(file.Policies).To(HaveLen(4))
		Expect(file.Engine.StepBase.String()).To(Equal("3ms"))
	})

	It("parses every experiment file in the repository", func() {
		paths, err := filepath.Glob("../experiments/*.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(paths).NotTo(BeEmpty())
		for _, path := range paths {
			_, err := ReadFile(path)
			Expect(err).NotTo(HaveOccurred(), path)
		}
	})

	DescribeTable("rejects an invalid file and names the key",
		func(from, to, key string) {
			Expect(tinyFile).To(ContainSubstring(from))
			_, err := ParseFile([]byte(strings.Replace(tinyFile, from, to, 1)))
			Expect(resultcode.CodeOf(err)).To(Equal(resultcode.InvalidSettings))
			Expect(err.Error()).To(ContainSubstring(key))
		},
		Entry("unknown key", "engines: 2", "engine_count: 2", "engine_count"),
		Entry("no name", "name: tiny", "name: ''", "name"),
		Entry("unknown workload", "workload: namibia", "workload: mars", "workload"),
		Entry("negative engines", "engines: 2", "engines: -2", "engines"),
		Entry("unknown tier", "engines: 2", "only_tier: gold", "only_tier"),
		Entry("negative endless", "endless_programs: 1", "endless_programs: -1", "endless_programs"),
		Entry("loss after the end", "lose_engine_at: 0.5", "lose_engine_at: 1.5", "lose_engine_at"),
		Entry("no loads", "loads: [0.8, 1.3]", "loads: []", "loads"),
		Entry("load of zero", "loads: [0.8, 1.3]", "loads: [0]", "loads"),
		Entry("no seeds", "seeds: [1, 2]", "seeds: []", "seeds"),
		Entry("no duration", "duration: 8s", "duration: 0s", "duration"),
		Entry("duration without unit", "duration: 8s", "duration: 8 parsecs", "parsecs"),
		Entry("warm-up over duration", "warm_up: 1s", "warm_up: 9s", "warm_up"),
		Entry("negative capacity", "capacity_rate: 6", "capacity_rate: -6", "capacity_rate"),
		Entry("unknown capacity policy", "capacity_rate: 6", "capacity_policy: best", "capacity_policy"),
		Entry("no blocks", "blocks: 6144", "blocks: 0", "engine.blocks"),
		Entry("negative step", "step_per_sequence: 20us", "step_per_sequence: -1us", "engine"),
		Entry("duplicate policy name", "name: attained,", "name: first-come,", "policies[1].name"),
		Entry("unknown queue", "queue: fcfs", "queue: lifo", "policies[0]"),
		Entry("unknown placement", "placement: round-robin", "placement: dice", "policies[0]"),
		Entry("unknown cache", "cache: none", "cache: all", "policies[0]"),
		Entry("negative pool", "engines_per_keeper: 1", "engines_per_keeper: -1", "engines_per_keeper"),
		Entry("unknown binding", "engines_per_keeper: 1", "keeper_binding: luck", "keeper_binding"),
		Entry("no baseline", "baseline: first-come", "", "baseline"),
		Entry("unknown candidate", "candidate: attained", "candidate: best", "candidate"),
	)
})
