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

var _ = Describe("Speed", func() {
	const usual = 40 * time.Millisecond
	speeds := []float64{0.7, 0.7, 1.7}

	// stream has an engine end a stream of some events.
	stream := func(directory *backend.Directory, id string, events int, gap time.Duration, at time.Time) {
		engine := directory.Pick(&backend.Request{Service: service, Assigned: id}, at)
		directory.ObserveEvents(engine, events, time.Duration(events-1)*gap, at)
		directory.Finish(engine, backend.Succeeded, at)
	}
	// learnFrom has streams of six engines of unequal speed end, one of each every half
	// second, those of e0 some times as long. It returns when they are over.
	learnFrom := func(directory *backend.Directory, at time.Time, length time.Duration, factor float64) time.Time {
		random := rand.New(rand.NewPCG(1, 2))
		for until := at.Add(length); at.Before(until); at = at.Add(500 * time.Millisecond) {
			for number := range 6 {
				gap := float64(usual) * speeds[number%3] * (0.8 + 0.4*random.Float64())
				if number == 0 {
					gap *= factor
				}
				stream(directory, fmt.Sprint("e", number), 5, time.Duration(gap), at)
			}
		}
		return at
	}

	learn := func(directory *backend.Directory, length time.Duration) time.Time {
		return learnFrom(directory, now, length, 1)
	}

	It("is learned from the time between the events of streams", func() {
		directory := newDirectory(6)
		Expect(directory.SetPolicy("")).To(Succeed())
		at := learn(directory, 10*time.Second)
		fast, slow := directory.Slowness("e0", at), directory.Slowness("e2", at)
		Expect(fast).To(BeNumerically("~", 0.75, 0.1))
		Expect(slow / fast).To(BeNumerically(">", 1.7))
		Expect(slow).To(BeNumerically("<", 2))
		Expect(directory.Slowness("unknown", at)).To(BeNumerically("==", 1))
		Expect(directory.Slowness("e2", at.Add(time.Minute))).To(BeNumerically("~", 1, 0.1), "what is long ago says little")
	})

	It("counts as nearly usual where little is known, and says nothing of short streams", func() {
		directory := newDirectory(3)
		stream(directory, "e0", 5, usual, now)
		stream(directory, "e1", 5, 17*usual/10, now)
		Expect(directory.Slowness("e1", now)).To(BeNumerically("<", 1.15))
		for range 20 {
			stream(directory, "e2", 2, 2*usual, now)
		}
		Expect(directory.Slowness("e2", now)).To(BeNumerically("==", 1))
	})

	It("is told by a node that hears of more, and passes over what none can have observed", func() {
		observing, gathering, told := newDirectory(6), newDirectory(6), newDirectory(6)
		at := learn(observing, 10*time.Second)
		gathering.AddLatencyStats(observing.DrainLatencyStats(), at)
		told.SetRemoteSpeeds(gathering.Speeds(at), at)
		Expect(told.Slowness("e2", at)).To(BeNumerically(">", 1.3))
		Expect(told.Slowness("e0", at)).To(BeNumerically("<", 0.9))
		told.SetRemoteSpeeds(map[string]float32{"e0": float32(math.NaN()), "e1": -1, "e2": 1000}, at)
		for _, id := range []string{"e0", "e1", "e2", "e3"} {
			Expect(told.Slowness(id, at)).To(BeNumerically("==", 1), id)
		}
	})

	It("makes an engine very slow within two seconds that takes five times as long", func() {
		directory := newDirectory(6)
		at := learnFrom(directory, learn(directory, 10*time.Second), 2*time.Second, 5)
		Expect(directory.Slowness("e0", at)).To(BeNumerically(">", 2.5))
		Expect(directory.Slowness("e0", at.Add(5*time.Second))).To(BeNumerically("<", 1.5), "it may have recovered")
	})

	It("is usual with its gate off", func() {
		directory := newDirectory(6)
		at := learn(directory, 10*time.Second)
		Expect(feature.Disable(string(feature.SpeedWeighting))).To(Succeed())
		DeferCleanup(func() { _ = feature.Disable("") })
		Expect(directory.Slowness("e2", at)).To(BeNumerically("==", 1))
		Expect(directory.Speeds(at)).To(BeEmpty())
	})

	It("has fast engines get most calls of tools, and slow ones some", func() {
		directory := newDirectory(6)
		Expect(directory.SetPolicy(backend.PolicyLeastLoaded)).To(Succeed())
		type call struct {
			engine *backend.Engine
			began  time.Time
		}
		ends := map[time.Time][]call{}
		served := map[string]int{}
		for at := now; at.Sub(now) < 60*time.Second; at = at.Add(2 * time.Millisecond) {
			for _, ended := range ends[at] {
				directory.RecordFirstByte(ended.engine, "tool", at.Sub(ended.began), at)
				directory.Finish(ended.engine, backend.Succeeded, at)
				if at.Sub(now) > 30*time.Second {
					served[ended.engine.ID]++
				}
			}
			delete(ends, at)
			engine := directory.Pick(&backend.Request{Service: service, Zone: "z"}, at)
			var number int
			_, err := fmt.Sscanf(engine.ID, "e%d", &number)
			Expect(err).NotTo(HaveOccurred())
			took := time.Duration(speeds[number%3] * float64(usual)).Truncate(2 * time.Millisecond)
			ends[at.Add(took)] = append(ends[at.Add(took)], call{engine: engine, began: at})
		}
		slow, fast := served["e2"]+served["e5"], served["e0"]+served["e1"]+served["e3"]+served["e4"]
		Expect(fast / 4).To(BeNumerically(">", slow/2*17/7))
		Expect(slow).To(BeNumerically(">", 100))
	})
})

func TestStreamsThatCameAtOnceSayNothingOfTheirEngine(t *testing.T) {
	expect := NewWithT(t)
	now := time.Unix(1000, 0)
	directory := backend.NewDirectory()
	for _, id := range []string{"a", "b"} {
		directory.Upsert(backend.Instance{ID: id, Service: "s", Slots: 6}, time.Time{})
	}
	observe := func(tried string, gap time.Duration) {
		engine := directory.Pick(&backend.Request{Service: "s", Tried: []string{tried}}, now)
		directory.ObserveEvents(engine, 4, 3*gap, now)
		directory.Finish(engine, backend.Succeeded, now)
	}
	observe("b", 10*time.Microsecond)
	observe("a", 200*time.Microsecond)
	expect.Expect(directory.Slowness("b", now)).To(Equal(directory.Slowness("a", now)))
}
