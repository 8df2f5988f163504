package admission

import (
	"math"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/load"
	. "github.com/onsi/gomega"
)

func TestDivideRateServesUrgentPrioritiesFirstWithoutStarvation(t *testing.T) {
	expect := NewWithT(t)
	cases := []struct {
		name   string
		wanted []float64
		rates  []float64
	}{
		{"enough for all: every priority could use the rest", []float64{10, 20, 30}, []float64{70, 65, 70}},
		{"the most urgent could use everything", []float64{500, 500, 500}, []float64{90, 5, 5}},
		{"the second gets what the first leaves", []float64{40, 500, 0}, []float64{95, 60, 5}},
		{"a priority without demand reserves nothing", []float64{500, 0, 500}, []float64{95, 0, 5}},
	}
	for _, test := range cases {
		for index := range test.wanted {
			rate := divideRate(100, test.wanted, index)
			if test.name == cases[0].name {
				expect.Expect(rate).To(BeNumerically(">=", test.wanted[index]), test.name)
				continue
			}
			if test.wanted[index] > 0 {
				expect.Expect(rate).To(BeNumerically("~", test.rates[index], 0.001), test.name)
			}
		}
	}
}

func TestFairLevel(t *testing.T) {
	expect := NewWithT(t)
	usages := map[string]tenantUsage{"a": {2, 1}, "b": {4, 1}, "c": {30, 1}}
	expect.Expect(fairLevel(usages, 36)).To(Equal(math.Inf(1)), "all programs fit")
	expect.Expect(fairLevel(usages, 26)).To(BeNumerically("~", 20, 0.001), "only the largest tenant is limited")
	expect.Expect(fairLevel(usages, 9)).To(BeNumerically("~", 3.5, 0.001), "2 + 3.5 + 3.5")
	expect.Expect(fairLevel(usages, 3)).To(BeNumerically("~", 1, 0.001))
	weighted := map[string]tenantUsage{"small": {5, 1}, "large": {50, 10}}
	expect.Expect(fairLevel(weighted, 44)).To(BeNumerically("~", 4, 0.001), "shares are proportional to weights")
}

func TestAdjustLimit(t *testing.T) {
	expect := NewWithT(t)
	after := func(limit float64, signals loadSignals, duration time.Duration) float64 {
		const step = 100 * time.Millisecond
		for ; duration > 0; duration -= step {
			limit = adjustLimit(limit, signals, step)
		}
		return limit
	}
	overload := loadSignals{loadPerSlot: 1.6, lateFraction: 0.5, binding: true}
	expect.Expect(after(initialLimit, overload, 400*time.Millisecond)).To(Equal(minLimit), "falls to the minimum within half a second")
	expect.Expect(after(initialLimit, overload, time.Minute)).To(Equal(minLimit))
	expect.Expect(after(minLimit, loadSignals{loadPerSlot: 0.9}, 1100*time.Millisecond)).To(BeNumerically("~", initialLimit, 0.001), "recovers within about a second")
	expect.Expect(after(initialLimit, loadSignals{loadPerSlot: 0.7, lateFraction: 0.9}, time.Minute)).To(Equal(initialLimit), "late programs without a queue")
	expect.Expect(after(initialLimit, loadSignals{loadPerSlot: 1.1, lateFraction: lateThreshold, binding: true}, time.Minute)).To(Equal(initialLimit), "a queue below the threshold")
	expect.Expect(after(initialLimit, loadSignals{loadPerSlot: 1.1, lateFraction: 0.2}, time.Minute)).To(Equal(initialLimit), "late programs while the queue is short")
	expect.Expect(after(initialLimit, loadSignals{loadPerSlot: 1.15, lateFraction: 0.2}, time.Second)).To(Equal(minLimit))
	expect.Expect(after(initialLimit, loadSignals{loadPerSlot: 0.9, binding: true}, time.Minute)).To(Equal(maxLimit), "forecast demand exceeds actual usage")
	expect.Expect(after(maxLimit, loadSignals{loadPerSlot: 0.5}, time.Minute)).To(Equal(initialLimit))
}

func TestExcessLateFractionExcludesLoopingPrograms(t *testing.T) {
	expect := NewWithT(t)
	expect.Expect(excessLateFraction(100, 3)).To(BeZero())
	expect.Expect(excessLateFraction(100, 45)).To(BeNumerically("~", 0.4, 0.001))
	expect.Expect(excessLateFraction(0.2, 1)).To(BeZero(), "too few programs for an estimate")
}

func TestRunningMeanOfFewSamples(t *testing.T) {
	expect := NewWithT(t)
	mean := runningMean{}
	mean.observe(6, time.Second, 500*time.Millisecond)
	expect.Expect(mean.value).To(Equal(6.0), "a sample that covers more than the window")
	mean = runningMean{}
	mean.observe(4, time.Second, 10*time.Second)
	mean.observe(8, time.Second, 10*time.Second)
	expect.Expect(mean.value).To(Equal(6.0))
}

func TestServiceWithoutSlotsDoesNotBlockEstimates(t *testing.T) {
	expect := NewWithT(t)
	estimator := newEstimator()
	state := &State{Known: true, Services: []Service{{Name: "m", Slots: 100, Running: 20}, {Name: "other", Engines: 1}}}
	state.Total.Routes = map[string]load.Route{"r": {Service: "m", Programs: 10, Turns: 10}}
	now := time.Unix(1000, 0)
	sample := func(turns int, duration time.Duration) {
		state.Total.Routes["r"] = load.Route{Service: "m", Programs: 10, Turns: turns}
		for until := now.Add(duration); now.Before(until); now = now.Add(sampleInterval) {
			estimator.observe(state, now)
		}
	}
	sample(10, usageWindow)
	sample(20, 10*usageWindow)
	expect.Expect(estimator.routes["r"].slotsPerProgram()).To(BeNumerically("~", 2, 0.1), "programs use two slots each")
}
