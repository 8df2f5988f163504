package backend_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	. "github.com/onsi/gomega"
)

var coldLimit = backend.ColdLimit{PerSecond: 24, Burst: 17}

// senderPositions returns a position function for each node.
func senderPositions(nodes int) func(node int) func(engine string) (int, int, bool) {
	return func(node int) func(engine string) (int, int, bool) {
		return func(engine string) (int, int, bool) {
			order := make([]int, nodes)
			for index := range order {
				order[index] = index
			}
			slices.SortFunc(order, func(left, right int) int {
				return cmp.Compare(backend.RendezvousWeight(engine, fmt.Sprint(right)), backend.RendezvousWeight(engine, fmt.Sprint(left)))
			})
			return slices.Index(order, node), nodes, true
		}
	}
}

// TestColdLimitHoldsWhenZoneRestarts guards against uncoordinated nodes overloading the idle,
// cold engines of a restarted zone beyond the limit within any second.
func TestColdLimitHoldsWhenZoneRestarts(t *testing.T) {
	const nodes, engines, coldEngines = 68, 45, 11
	for seed := range uint64(4) {
		expect := NewWithT(t)
		rng := rand.New(rand.NewPCG(seed, 2))
		senders := senderPositions(nodes)
		var directories []*backend.Directory
		for node := range nodes {
			directory := backend.NewDirectory()
			directory.SetColdLimits(func(string) backend.ColdLimit { return coldLimit }, senders(node))
			for engine := range engines {
				instance := backend.Instance{ID: fmt.Sprint("e", engine), Service: service, Zone: "z", Slots: 6}
				if engine < coldEngines {
					instance.ColdRemaining = 3 * time.Second
				}
				directory.Upsert(instance, now)
			}
			directories = append(directories, directory)
		}
		received := map[string][]time.Duration{}
		for at := time.Duration(0); at < 3*time.Second; at += time.Second / 900 {
			directory := directories[rng.IntN(nodes)]
			engine := directory.Pick(&backend.Request{Service: service, Zone: "z"}, now.Add(at))
			if engine == nil {
				continue
			}
			received[engine.ID] = append(received[engine.ID], at)
			directory.Finish(engine, backend.Succeeded, now.Add(at))
		}
		for engine := range coldEngines {
			times := received[fmt.Sprint("e", engine)]
			expect.Expect(times).NotTo(BeEmpty(), "an engine without requests would fill no cache and remain cold")
			for first, last := 0, 0; last < len(times); last++ {
				for times[last]-times[first] > time.Second {
					first++
				}
				expect.Expect(last-first+1).To(BeNumerically("<=", coldLimit.PerSecond+coldLimit.Burst), "seed %d", seed)
			}
		}
	}
}

func TestColdLimitEndsWithColdRemaining(t *testing.T) {
	expect := NewWithT(t)
	directory := backend.NewDirectory()
	directory.SetColdLimits(func(string) backend.ColdLimit { return coldLimit }, func(string) (int, int, bool) { return 60, 68, true })
	directory.Upsert(backend.Instance{ID: "e", Service: service, Slots: 4, ColdRemaining: 2 * time.Second}, now)
	expect.Expect(pickAssigned(directory, "e")).To(BeNil(), "other nodes send all that the limit allows")
	expect.Expect(directory.FreeCapacity(service, now)).To(BeZero(), "a woken call would find no engine")
	request := &backend.Request{Service: service}
	expect.Expect(directory.Pick(request, now.Add(2*time.Second))).NotTo(BeNil())
	// An engine may become cold again at any time.
	directory.Upsert(backend.Instance{ID: "e", Service: service, Slots: 4, ColdRemaining: time.Second}, now.Add(3*time.Second))
	expect.Expect(directory.Pick(request, now.Add(3500*time.Millisecond))).To(BeNil())
	expect.Expect(directory.Pick(request, now.Add(4*time.Second))).NotTo(BeNil())
}

func TestColdEngineGetsNothingWhileNodesUnknown(t *testing.T) {
	expect := NewWithT(t)
	directory := backend.NewDirectory()
	directory.SetColdLimits(func(string) backend.ColdLimit { return coldLimit }, func(string) (int, int, bool) { return 0, 0, false })
	directory.Upsert(backend.Instance{ID: "e", Service: service, Slots: 4, ColdRemaining: time.Second}, now)
	expect.Expect(pickAssigned(directory, "e")).To(BeNil())
}

func TestHealthyIncludesColdEnginesOnlyIfAllAreCold(t *testing.T) {
	expect := NewWithT(t)
	directory := backend.NewDirectory()
	directory.Upsert(backend.Instance{ID: "cold", Service: service, Slots: 4, ColdRemaining: time.Second}, now)
	expect.Expect(directory.Healthy(service, nil, now)).To(HaveLen(1))
	directory.Upsert(backend.Instance{ID: "warm", Service: service, Slots: 4}, now)
	expect.Expect(directory.Healthy(service, nil, now)[0].ID).To(Equal("warm"))
	expect.Expect(directory.Healthy(service, nil, now.Add(time.Second))).To(HaveLen(2))
}
