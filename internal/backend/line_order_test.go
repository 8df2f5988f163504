package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestLineOrder wakes requests that are all in line, without the wake-ups by time.
func TestLineOrder(t *testing.T) {
	expect := NewWithT(t)
	line := NewLine()
	line.services["s"] = &waiters{armed: true}
	begins := time.Now()
	enter := func(aim time.Time) *waiting {
		entered := &waiting{aim: aim, late: aim.Before(begins), woken: make(chan struct{}, 1)}
		line.enter("s", entered)
		return entered
	}
	late := enter(begins.Add(-time.Hour))
	later := enter(begins.Add(2 * time.Hour))
	leaves := enter(begins.Add(time.Minute))
	soon := enter(begins.Add(time.Hour))
	line.leave("s", leaves)
	for _, next := range []*waiting{soon, later, late} {
		expect.Expect(line.Waits("s")).To(BeTrue())
		line.Wake("s")
		expect.Expect(next.woken).To(Receive())
	}
	expect.Expect(line.Waits("s")).To(BeFalse())
	expect.Expect(leaves.woken).NotTo(Receive())
}
