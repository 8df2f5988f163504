package overload_test

import (
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/overload"
	. "github.com/onsi/gomega"
)

func TestStandingDelayIsTheSmallestOfAWindow(t *testing.T) {
	expect := NewWithT(t)
	monitor := &overload.Monitor{}
	for range 7 {
		monitor.Record(80 * time.Millisecond)
	}
	expect.Expect(monitor.StandingDelay()).To(BeZero(), "one sample of the window was not delayed")
	monitor.Record(60 * time.Millisecond)
	expect.Expect(monitor.StandingDelay()).To(Equal(60 * time.Millisecond))
	monitor.Record(-time.Millisecond)
	expect.Expect(monitor.StandingDelay()).To(BeZero())
	expect.Expect(monitor.TakeLongest()).To(Equal(60 * time.Millisecond))
	expect.Expect(monitor.TakeLongest()).To(BeZero())
}
