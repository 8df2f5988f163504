package charts_test

import (
	"flag"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/charts"
	"github.com/magpielug/magpielug/internal/statechart"
)

var update = flag.Bool("update", false, "rewrite the files generated from the charts")

const (
	pagePath    = "../docs/CHARTS.md"
	beginMarker = "<!-- generated from charts/*.yaml: begin -->\n"
	endMarker   = "<!-- generated from charts/*.yaml: end -->\n"
)

func readDefinition(name string) *statechart.Definition {
	content, err := os.ReadFile(name + ".yaml")
	Expect(err).NotTo(HaveOccurred())
	definition, err := statechart.Parse(content)
	Expect(err).NotTo(HaveOccurred())
	return definition
}

// expectFile compares a generated file with its expected content. With -update it writes the
// content first.
func expectFile(path, want string) {
	GinkgoHelper()
	if *update {
		Expect(os.WriteFile(path, []byte(want), 0o644)).To(Succeed())
	}
	got, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(got) == want).To(BeTrue(), "%s is out of date; run go test ./charts -update", path)
}

var _ = Describe("files generated from the charts", func() {
	It("has current constants", func() {
		for _, name := range charts.Names {
			source, err := statechart.Constants(readDefinition(name))
			Expect(err).NotTo(HaveOccurred())
			expectFile(name+"_generated.go", string(source))
		}
	})

	It("has current diagrams in the page", func() {
		page, err := os.ReadFile(pagePath)
		Expect(err).NotTo(HaveOccurred())
		before, rest, found := strings.Cut(string(page), beginMarker)
		Expect(found).To(BeTrue())
		_, after, found := strings.Cut(rest, endMarker)
		Expect(found).To(BeTrue())
		var sections []string
		for _, name := range charts.Names {
			sections = append(sections, statechart.Mermaid(readDefinition(name)))
		}
		expectFile(pagePath, before+beginMarker+strings.Join(sections, "\n")+endMarker+after)
	})

	It("has one chart for each file", func() {
		entries, err := os.ReadDir(".")
		Expect(err).NotTo(HaveOccurred())
		var files []string
		for _, entry := range entries {
			if name, isChart := strings.CutSuffix(entry.Name(), ".yaml"); isChart {
				files = append(files, name)
			}
		}
		Expect(files).To(ConsistOf(charts.Names))
	})
})
