package backend_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/feature"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Long-term slowness", func() {
	const typicalLatency = 40 * time.Millisecond
	slownessFactors := []float64{0.7, 0.7, 1.7}

	// recordStream records a finished stream of an engine.
	recordStream := func(directory *backend.Directory, id string, events int, interval time.Duration, at time.Time) {
		engine := directory.Pick(&backend.Request{Service: service, Assigned: id}, at)
		directory.RecordStreamEvents(engine, events, time.Duration(events-1)*interval, at)
		directory.Finish(engine, backend.Succeeded, at)
	}
	// recordStreamsWithFactor records a stream of each of six engines of unequal speed every
	// half second, with those of e0 slowed down by factor. It returns the end time.
	recordStreamsWithFactor := func(directory *backend.Directory, at time.Time, duration time.Duration, factor float64) time.Time {
		random := rand.New(rand.NewPCG(1, 2))
		for until := at.Add(duration); at.Before(until); at = at.Add(500 * time.Millisecond) {
			for number := range 6 {
				interval := float64(typicalLatency) * slownessFactors[number%3] * (0.8 + 0.4*random.Float64())
				if number == 0 {
					interval *= factor
				}
				recordStream(directory, fmt.Sprint("e", number), 5, time.Duration(interval), at)
			}
		}
		return at
	}

	recordStreams := func(directory *backend.Directory, duration time.Duration) time.Time {
		return recordStreamsWithFactor(directory, now, duration, 1)
	}

	It("is learned from the interval between stream events", func() {
		directory := newDirectory(6)
		Expect(directory.SetPolicy("")).To(Succeed())
		at := recordStreams(directory, 10*time.Second)
		fast, slow := directory.Slowness("e0", at), directory.Slowness("e2", at)
		Expect(fast).To(BeNumerically("~", 0.75, 0.1))
		Expect(slow / fast).To(BeNumerically(">", 1.7))
		Expect(slow).To(BeNumerically("<", 2))
		Expect(directory.Slowness("unknown", at)).To(BeNumerically("==", 1))
		Expect(directory.Slowness("e2", at.Add(time.Minute))).To(BeNumerically("~", 1, 0.1), "old observations decay")
	})

	It("is nearly average with few observations, and ignores short streams", func() {
		directory := newDirectory(3)
		recordStream(directory, "e0", 5, typicalLatency, now)
		recordStream(directory, "e1", 5, 17*typicalLatency/10, now)
		Expect(directory.Slowness("e1", now)).To(BeNumerically("<", 1.15))
		for range 20 {
			recordStream(directory, "e2", 2, 2*typicalLatency, now)
		}
		Expect(directory.Slowness("e2", now)).To(BeNumerically("==", 1))
	})

	It("is reported by an aggregating node, and ignores invalid values", func() {
		reporting, aggregating, receiving := newDirectory(6), newDirectory(6), newDirectory(6)
		at := recordStreams(reporting, 10*time.Second)
		aggregating.AddLatencyStats(reporting.DrainLatencyStats(), at)
		receiving.SetRemoteSpeeds(aggregating.Speeds(at), at)
		Expect(receiving.Slowness("e2", at)).To(BeNumerically(">", 1.3))
		Expect(receiving.Slowness("e0", at)).To(BeNumerically("<", 0.9))
		receiving.SetRemoteSpeeds(map[string]float32{"e0": float32(math.NaN()), "e1": -1, "e2": 1000}, at)
		for _, id := range []string{"e0", "e1", "e2", "e3"} {
			Expect(receiving.Slowness(id, at)).To(BeNumerically("==", 1), id)
		}
	})

	It("rises within two seconds for an engine that takes five times as long", func() {
		directory := newDirectory(6)
		at := recordStreamsWithFactor(directory, recordStreams(directory, 10*time.Second), 2*time.Second, 5)
		Expect(directory.Slowness("e0", at)).To(BeNumerically(">", 2.5))
		Expect(directory.Slowness("e0", at.Add(5*time.Second))).To(BeNumerically("<", 1.5), "it may have recovered")
	})

	It("is average when the feature is disabled", func() {
		directory := newDirectory(6)
		at := recordStreams(directory, 10*time.Second)
		Expect(feature.Disable(string(feature.SpeedWeighting))).To(Succeed())
		DeferCleanup(func() { _ = feature.Disable("") })
		Expect(directory.Slowness("e2", at)).To(BeNumerically("==", 1))
		Expect(directory.Speeds(at)).To(BeEmpty())
	})

	It("sends most tool calls to fast engines, and some to slow ones", func() {
		directory := newDirectory(6)
		Expect(directory.SetPolicy(backend.PolicyLeastLoaded)).To(Succeed())
		type call struct {
			engine    *backend.Engine
			startedAt time.Time
		}
		finishingAt := map[time.Time][]call{}
		served := map[string]int{}
		for at := now; at.Sub(now) < 60*time.Second; at = at.Add(2 * time.Millisecond) {
			for _, finished := range finishingAt[at] {
				directory.RecordFirstByte(finished.engine, "tool", at.Sub(finished.startedAt), at)
				directory.Finish(finished.engine, backend.Succeeded, at)
				if at.Sub(now) > 30*time.Second {
					served[finished.engine.ID]++
				}
			}
			delete(finishingAt, at)
			engine := directory.Pick(&backend.Request{Service: service, Zone: "z"}, at)
			var number int
			_, err := fmt.Sscanf(engine.ID, "e%d", &number)
			Expect(err).NotTo(HaveOccurred())
			took := time.Duration(slownessFactors[number%3] * float64(typicalLatency)).Truncate(2 * time.Millisecond)
			finishingAt[at.Add(took)] = append(finishingAt[at.Add(took)], call{engine: engine, startedAt: at})
		}
		slow, fast := served["e2"]+served["e5"], served["e0"]+served["e1"]+served["e3"]+served["e4"]
		Expect(fast / 4).To(BeNumerically(">", slow/2*17/7))
		Expect(slow).To(BeNumerically(">", 100))
	})
})

func TestBufferedStreamsDoNotAffectSlowness(t *testing.T) {
	expect := NewWithT(t)
	now := time.Unix(1000, 0)
	directory := backend.NewDirectory()
	for _, id := range []string{"a", "b"} {
		directory.Upsert(backend.Instance{ID: id, Service: "s", Slots: 6}, time.Time{})
	}
	observe := func(exclude string, interval time.Duration) {
		engine := directory.Pick(&backend.Request{Service: "s", Tried: []string{exclude}}, now)
		directory.RecordStreamEvents(engine, 4, 3*interval, now)
		directory.Finish(engine, backend.Succeeded, now)
	}
	observe("b", 10*time.Microsecond)
	observe("a", 200*time.Microsecond)
	expect.Expect(directory.Slowness("b", now)).To(Equal(directory.Slowness("a", now)))
}
