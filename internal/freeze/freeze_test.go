package freeze_test

import (
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/freeze"
	. "github.com/onsi/gomega"
)

// steppedClock is a clock that a test sets.
type steppedClock struct{ now time.Time }

func (clock *steppedClock) read() time.Time { return clock.now }

func newWatch() (*freeze.Detector, *steppedClock) {
	clock := &steppedClock{now: time.Now()}
	return freeze.NewDetectorWithClock(clock.read), clock
}

func TestAProcessThatRunsWasNeverFrozen(t *testing.T) {
	expect := NewWithT(t)
	watch, clock := newWatch()
	begun := clock.now
	for range 100 {
		clock.now = clock.now.Add(300 * time.Millisecond)
		expect.Expect(watch.FrozenSince(begun)).To(BeFalse())
	}
	expect.Expect(watch.ClampAge(time.Hour, clock.now)).To(Equal(time.Hour))
}

func TestAFreezeIsSeenByTheFirstWhoAsks(t *testing.T) {
	expect := NewWithT(t)
	watch, clock := newWatch()
	begun := clock.now
	clock.now = clock.now.Add(3 * time.Second)
	woken := clock.now
	expect.Expect(watch.FrozenSince(begun)).To(BeTrue())
	expect.Expect(watch.FrozenSince(woken)).To(BeFalse(), "what began with the wake has seen no freeze")
	clock.now = clock.now.Add(200 * time.Millisecond)
	expect.Expect(watch.FrozenSince(begun)).To(BeTrue())
	expect.Expect(watch.ClampAge(3*time.Second, clock.now)).To(Equal(200 * time.Millisecond))
	expect.Expect(watch.ClampAge(100*time.Millisecond, clock.now)).To(Equal(100 * time.Millisecond))
}

func TestOfNoWatchNothingWasFrozen(t *testing.T) {
	expect := NewWithT(t)
	var watch *freeze.Detector
	expect.Expect(watch.FrozenSince(time.Now().Add(-time.Hour))).To(BeFalse())
	expect.Expect(watch.ClampAge(time.Second, time.Now())).To(Equal(time.Second))
}

func TestATimerBeginsAnewAfterAFreeze(t *testing.T) {
	expect := NewWithT(t)
	watch, clock := newWatch()
	fired := make(chan struct{}, 1)
	const length = 100 * time.Millisecond
	timer := watch.After(length, func() { fired <- struct{}{} })
	defer timer.Stop()
	clock.now = clock.now.Add(time.Second)
	// It goes off once as a timer of a process that has just woken does.
	expect.Consistently(fired, length+length/2).ShouldNot(Receive())
	expect.Eventually(fired, 10*time.Second).Should(Receive())
}

func TestATimerOfAProcessThatRunsFires(t *testing.T) {
	expect := NewWithT(t)
	watch, _ := newWatch()
	fired := make(chan struct{}, 1)
	watch.After(time.Millisecond, func() { fired <- struct{}{} })
	expect.Eventually(fired, 10*time.Second).Should(Receive())
}
