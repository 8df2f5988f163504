package report

import (
	"encoding/csv"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/rehearsal/experiment"
)

// sampleResult returns a result in which the candidate has half the p95 and half
// the waste of the baseline, and the same mean.
func sampleResult() experiment.Result {
	cell := func(policy string, mean, p95, wasted float64) experiment.Cell {
		latency := experiment.Summary{Count: 10, Mean: mean, P50: mean, P95: p95, P99: p95}
		return experiment.Cell{
			Policy: policy, Load: 0.8, Seed: 1,
			Tiers: []experiment.Tier{{Tier: "top", Latency: latency, Delay: latency, Arrived: 10, Completed: 10}},
			All:   experiment.Tier{Tier: "all", Latency: latency, Arrived: 10, Completed: 10},
			Cache: experiment.Cache{WastedShare: wasted, WastedBlockSeconds: wasted * 1000},
		}
	}
	cells := []experiment.Cell{
		cell("base", 100, 400, 0.6), cell("mine", 100, 200, 0.3), cell("bound", 50, 100, 0.3),
	}
	return experiment.Result{
		Name: "hand-made", Workload: "namibia", Loads: []float64{0.8}, Seeds: []uint64{1},
		Policies: []string{"base", "mine", "bound"},
		Baseline: "base", Candidate: "mine", Oracle: "bound",
		Cells: cells, Runs: cells,
	}
}

var _ = Describe("Report", func() {
	It("compares the candidate with its target in each measure", func() {
		comparisons := CompareWithTargets(sampleResult())
		Expect(comparisons).To(HaveLen(6))
		met := []bool{}
		for _, comparison := range comparisons {
			met = append(met, comparison.MeetsTarget())
		}
		Expect(met).To(Equal([]bool{true, true, true, false, false, false}))
		Expect(comparisons[5].Ratio()).To(BeNumerically("~", 2, 1e-9))
	})

	It("writes every file", func() {
		folder := filepath.Join(GinkgoT().TempDir(), "new")
		Expect(Write(folder, sampleResult())).To(Succeed())

		content, err := os.ReadFile(filepath.Join(folder, jsonName))
		Expect(err).NotTo(HaveOccurred())
		var result experiment.Result
		Expect(json.Unmarshal(content, &result)).To(Succeed())
		Expect(result).To(Equal(sampleResult()))

		file, err := os.Open(filepath.Join(folder, csvName))
		Expect(err).NotTo(HaveOccurred())
		defer file.Close()
		rows, err := csv.NewReader(file).ReadAll()
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveLen(1 + 3*2))

		page, err := os.ReadFile(filepath.Join(folder, markdownName))
		Expect(err).NotTo(HaveOccurred())
		for _, plot := range []string{"mean.png", "wasted.png", "p95-top.png"} {
			Expect(string(page)).To(ContainSubstring("](" + plot + ")"))
			Expect(filepath.Join(folder, plot)).To(BeAnExistingFile())
		}
	})

	It("reports that the folder can't be created", func() {
		path := filepath.Join(GinkgoT().TempDir(), "taken")
		Expect(os.WriteFile(path, nil, fileMode)).To(Succeed())
		Expect(Write(path, sampleResult())).To(MatchError(ContainSubstring("report folder")))
	})

	It("renders rows with as many cells as the header", func() {
		for _, section := range sections(sampleResult()) {
			for _, row := range section.table.rows {
				Expect(row).To(HaveLen(len(section.table.header)), section.title)
			}
		}
		Expect(strings.Count(Text(sampleResult()), "mine")).To(BeNumerically(">=", 3))
	})
})
