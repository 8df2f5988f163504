package losses_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/magpielug/magpielug/rehearsal/losses"
	. "github.com/onsi/gomega"
)

// programLines returns the lines of a program's first and last call, which are a time apart.
func programLines(program string, softDeadline, apart time.Duration, lastEvent, result string) string {
	first := time.Date(2026, 1, 1, 0, 0, 1, 0, time.UTC)
	line := func(at time.Time, event, result string, left time.Duration) string {
		return fmt.Sprintf("n1 time=%s event=%q request=r route=chat result=%s took=0s program=%s program_time_left=%s events=1\n",
			at.Format(time.RFC3339Nano), event, result, program, left)
	}
	return line(first, "call answered", "OK", softDeadline) + line(first.Add(apart), lastEvent, result, softDeadline-apart)
}

func TestSizes(t *testing.T) {
	expect := NewWithT(t)
	var output strings.Builder
	for number := range 10 {
		output.WriteString(programLines(fmt.Sprint("small-", number), 2*time.Second, 1500*time.Millisecond, "call answered", "OK"))
	}
	for number := range 6 {
		output.WriteString(programLines(fmt.Sprint("refused-", number), 5*time.Second, 3*time.Second, "call failed", "NO_LEADER"))
	}
	output.WriteString(programLines("cut-off", 12*time.Second, 2*time.Second, "call answered", "OK"))
	output.WriteString(programLines("late", 11*time.Second, 25*time.Second, "call answered", "OK"))
	output.WriteString(programLines("whole", 10*time.Second, 8*time.Second, "call answered", "OK"))
	output.WriteString(programLines("large", 9*time.Second, 8*time.Second, "call answered", "OK"))
	output.WriteString(programLines("loop", 90*time.Second, 8*time.Second, "call failed", "PROGRAM_CAP_REACHED"))
	sizes, err := losses.ReadSizes(strings.NewReader(output.String()))
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(sizes).To(HaveLen(1))
	expect.Expect(sizes[0].All).To(Equal(losses.SizeGroup{Programs: 20, Served: 12}))
	expect.Expect(sizes[0].Largest).To(Equal(losses.SizeGroup{Programs: 2, Served: 0}), "one cut off, one too late")
	expect.Expect(sizes[0].Next).To(Equal(losses.SizeGroup{Programs: 4, Served: 2}))
	expect.Expect(sizes[0].Ratio()).To(BeZero())

	var table strings.Builder
	expect.Expect(losses.WriteSizes(&table, sizes)).To(Succeed())
	expect.Expect(table.String()).To(ContainSubstring("0.600 of 20"))
}
