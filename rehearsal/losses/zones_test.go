package losses_test

import (
	"strings"
	"testing"
	"time"

	"github.com/magpielug/magpielug/rehearsal/losses"
	. "github.com/onsi/gomega"
)

func TestProgramsCountInTheZoneOfTheirFirstCall(t *testing.T) {
	expect := NewWithT(t)
	whole := programLines("whole", 2*time.Second, 1500*time.Millisecond, "call answered", "OK")
	refused := programLines("refused", 2*time.Second, 1500*time.Millisecond, "call failed", "NO_LEADER")
	first, second, _ := strings.Cut(refused, "\n")
	lines := strings.ReplaceAll(whole, "took=0s", "took=0s zone=a") + first + " zone=b\n" + strings.TrimSuffix(second, "\n") + " zone=a\n"
	zones, err := losses.ReadZones(strings.NewReader(lines))
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(zones).To(Equal([]losses.ZoneCalls{
		{Zone: "a", Programs: losses.SizeGroup{Programs: 1, Served: 1}, Answered: 2, Failed: map[string]int{"NO_LEADER": 1}},
		{Zone: "b", Programs: losses.SizeGroup{Programs: 1}, Answered: 1, Failed: map[string]int{}},
	}))
	var table strings.Builder
	expect.Expect(losses.WriteZones(&table, zones)).To(Succeed())
	expect.Expect(table.String()).To(ContainSubstring("NO_LEADER"))
}
