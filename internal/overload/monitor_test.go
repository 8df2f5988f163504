package overload_test

import (
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/overload"
	. "github.com/onsi/gomega"
)

func TestPressureIsTheShareOfTimeWaited(t *testing.T) {
	expect := NewWithT(t)
	monitor := &overload.Monitor{}
	for range 200 {
		monitor.Record(time.Millisecond)
	}
	expect.Expect(monitor.Pressure()).To(BeNumerically("~", 1.0/26, 0.01))
	for range 200 {
		monitor.Record(25 * time.Millisecond)
	}
	expect.Expect(monitor.Pressure()).To(BeNumerically("~", 0.5, 0.01))
	for range 200 {
		monitor.Record(-time.Millisecond)
	}
	expect.Expect(monitor.Pressure()).To(BeNumerically("~", 0, 0.01))
	expect.Expect(monitor.TakeHighest()).To(BeNumerically("~", 0.5, 0.01))
	expect.Expect(monitor.TakeHighest()).To(BeNumerically("~", 0, 0.01))
}

// Guards against a processor quota, under which most samples are on time, passing for an idle processor.
func TestPressureIsSeenWhereOnlySomeSamplesAreDelayed(t *testing.T) {
	expect := NewWithT(t)
	monitor := &overload.Monitor{}
	lowest := 1.0
	for sample := range 400 {
		delay := time.Duration(0)
		if sample%4 == 0 {
			delay = 75 * time.Millisecond
		}
		monitor.Record(delay)
		if sample > 100 {
			lowest = min(lowest, monitor.Pressure())
		}
	}
	expect.Expect(lowest).To(BeNumerically(">", 0.3))
}

// Guards against a single long computation passing for a shortage.
func TestASingleDelayIsNoShortage(t *testing.T) {
	expect := NewWithT(t)
	monitor := &overload.Monitor{}
	monitor.Record(80 * time.Millisecond)
	expect.Expect(monitor.Pressure()).To(BeNumerically("<", 0.25))
}
