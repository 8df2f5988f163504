package freeze_test

import (
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/freeze"
	. "github.com/onsi/gomega"
)

// manualClock is a clock that only the test advances.
type manualClock struct{ now time.Time }

func (clock *manualClock) read() time.Time { return clock.now }

func newDetector() (*freeze.Detector, *manualClock) {
	clock := &manualClock{now: time.Now()}
	return freeze.NewDetectorWithClock(clock.read), clock
}

func TestRunningProcessIsNeverReportedFrozen(t *testing.T) {
	expect := NewWithT(t)
	detector, clock := newDetector()
	start := clock.now
	for range 100 {
		clock.now = clock.now.Add(300 * time.Millisecond)
		expect.Expect(detector.FrozenSince(start)).To(BeFalse())
	}
	expect.Expect(detector.ClampAge(time.Hour, clock.now)).To(Equal(time.Hour))
}

func TestFreezeIsReportedByTheFirstCallAfterIt(t *testing.T) {
	expect := NewWithT(t)
	detector, clock := newDetector()
	start := clock.now
	clock.now = clock.now.Add(3 * time.Second)
	resumed := clock.now
	expect.Expect(detector.FrozenSince(start)).To(BeTrue())
	expect.Expect(detector.FrozenSince(resumed)).To(BeFalse(), "an operation started at the resume was not frozen")
	clock.now = clock.now.Add(200 * time.Millisecond)
	expect.Expect(detector.FrozenSince(start)).To(BeTrue())
	expect.Expect(detector.ClampAge(3*time.Second, clock.now)).To(Equal(200 * time.Millisecond))
	expect.Expect(detector.ClampAge(100*time.Millisecond, clock.now)).To(Equal(100 * time.Millisecond))
}

func TestNilDetectorReportsNoFreeze(t *testing.T) {
	expect := NewWithT(t)
	var detector *freeze.Detector
	expect.Expect(detector.FrozenSince(time.Now().Add(-time.Hour))).To(BeFalse())
	expect.Expect(detector.ClampAge(time.Second, time.Now())).To(Equal(time.Second))
}

func TestTimerRestartsAfterFreeze(t *testing.T) {
	expect := NewWithT(t)
	detector, clock := newDetector()
	fired := make(chan struct{}, 1)
	const duration = 100 * time.Millisecond
	timer := detector.AfterFunc(duration, func() { fired <- struct{}{} })
	defer timer.Stop()
	clock.now = clock.now.Add(time.Second)
	// The underlying timer expires once right after the resume and must be restarted.
	expect.Consistently(fired, duration+duration/2).ShouldNot(Receive())
	expect.Eventually(fired, 10*time.Second).Should(Receive())
}

func TestTimerFiresWithoutFreeze(t *testing.T) {
	expect := NewWithT(t)
	detector, _ := newDetector()
	fired := make(chan struct{}, 1)
	detector.AfterFunc(time.Millisecond, func() { fired <- struct{}{} })
	expect.Eventually(fired, 10*time.Second).Should(Receive())
}
