package membership_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/membership"
)

const (
	shards = 3900
	// removalStride selects removalCount of the 390 processes, removed one at a time.
	removalStride = 13
	removalCount  = 30
)

// processesIn returns count processes, assigned round-robin to zones given as
// {region, zone} pairs.
func processesIn(count int, zones ...[2]string) []membership.Process {
	processes := []membership.Process{}
	for number := range count {
		zone := zones[number%len(zones)]
		processes = append(processes, membership.Process{
			ID: fmt.Sprintf("10.0.%d.%d:7000", number/250, number%250), Region: zone[0], Zone: zone[1],
		})
	}
	return processes
}

func threeZones() [][2]string {
	return [][2]string{{"r", "a"}, {"r", "b"}, {"r", "c"}}
}

func sixZones() [][2]string {
	return [][2]string{{"r1", "a"}, {"r1", "b"}, {"r2", "c"}, {"r2", "d"}, {"r3", "e"}, {"r3", "f"}}
}

func nearest(region string) []string {
	return map[string][]string{"r1": {"r2", "r3"}, "r2": {"r1", "r3"}, "r3": {"r2", "r1"}}[region]
}

func idsOf(group []membership.Process) []string {
	ids := []string{}
	for _, process := range group {
		ids = append(ids, process.ID)
	}
	return ids
}

func zonesOf(group []membership.Process) []string {
	zones := []string{}
	for _, process := range group {
		zones = append(zones, process.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// countMoved counts the group members removed between two placements, over all
// shards.
func countMoved(before, after *membership.Placement) int {
	count := 0
	for shard := range uint32(shards) {
		kept := idsOf(after.GroupOf(shard))
		for _, id := range idsOf(before.GroupOf(shard)) {
			if !slices.Contains(kept, id) {
				count++
			}
		}
	}
	return count
}

var _ = Describe("A placement of shards", func() {
	It("places each group in three zones if there is one region", func() {
		placement := membership.NewPlacement(64, processesIn(60, threeZones()...), nil)
		for shard := range uint32(shards) {
			Expect(zonesOf(placement.GroupOf(shard))).To(HaveLen(membership.GroupSize))
		}
	})

	It("places two members in the home region and one in the nearest other region", func() {
		placement := membership.NewPlacement(256, processesIn(390, sixZones()...), nearest)
		for shard := range uint32(256) {
			group := placement.GroupOf(shard)
			Expect(zonesOf(group)).To(HaveLen(membership.GroupSize))
			Expect(group[1].Region).To(Equal(group[0].Region))
			Expect(group[2].Region).To(Equal(nearest(group[0].Region)[0]))
			home, found := placement.LeaderOf(shard)
			Expect(found).To(BeTrue())
			Expect(home.Region).To(Equal(group[0].Region))
		}
	})

	It("bounds the number of peers and shards per process", func() {
		processes := processesIn(390, threeZones()...)
		placement := membership.NewPlacement(membership.CopysetCount(len(processes)), processes, nil)
		hosted := map[string]int{}
		for shard := range uint32(shards) {
			for _, id := range idsOf(placement.GroupOf(shard)) {
				hosted[id]++
			}
		}
		peers, most, largest := 0, 0, 0
		for _, process := range processes {
			count := len(placement.PeersOf(process.ID))
			peers += count
			most = max(most, count)
			largest = max(largest, hosted[process.ID])
		}
		GinkgoWriter.Printf("390 processes: %.1f peers on average, %d at most; %d shards on average, %d at most\n",
			float64(peers)/390, most, shards*membership.GroupSize/390, largest)
		Expect(float64(peers) / 390).To(And(BeNumerically(">=", 3), BeNumerically("<=", 8)))
		Expect(most).To(BeNumerically("<=", 8))
		Expect(largest).To(BeNumerically("<=", 2*shards*membership.GroupSize/390))
	})

	It("moves at most twice a removed process's share of replicas on average", func() {
		processes := processesIn(390, threeZones()...)
		copysets := membership.CopysetCount(len(processes))
		before := membership.NewPlacement(copysets, processes, nil)
		total, worst := 0, 0
		for left := 0; left < len(processes); left += removalStride {
			after := membership.NewPlacement(copysets, slices.Delete(slices.Clone(processes), left, left+1), nil)
			count := countMoved(before, after)
			total += count
			worst = max(worst, count)
		}
		share := shards * membership.GroupSize / 390
		GinkgoWriter.Printf("after removing one process: %d members moved on average, %d at most; average members per process: %d\n",
			total/removalCount, worst, share)
		Expect(total / removalCount).To(BeNumerically("<=", 2*share))
	})

	It("does not depend on the order of the list or on duplicates", func() {
		processes := processesIn(30, threeZones()...)
		reversed := slices.Clone(processes)
		slices.Reverse(reversed)
		one := membership.NewPlacement(32, processes, nil)
		other := membership.NewPlacement(32, append(reversed, processes[0]), nil)
		Expect(countMoved(one, other)).To(BeZero())
	})

	It("falls back to fewer zones and smaller groups in small clusters", func() {
		two := membership.NewPlacement(8, processesIn(6, [2]string{"r", "a"}, [2]string{"r", "b"}), nil)
		Expect(two.GroupOf(1)).To(HaveLen(3))
		Expect(zonesOf(two.GroupOf(1))).To(HaveLen(2))
		one := membership.NewPlacement(8, processesIn(1, [2]string{"r", "a"}), nil)
		Expect(one.GroupOf(1)).To(HaveLen(1))
		_, found := membership.NewPlacement(8, nil, nil).LeaderOf(1)
		Expect(found).To(BeFalse())
	})
})

var _ = Describe("Pools of engines", func() {
	engines := func(count int) []membership.Engine {
		list := []membership.Engine{}
		for number := range count {
			list = append(list, membership.Engine{ID: fmt.Sprintf("e%d", number), Model: "m", Region: "r"})
		}
		return list
	}
	poolOf := func(list []membership.Engine) map[string]string {
		pools := map[string]string{}
		for _, pool := range membership.AssignPools(list) {
			Expect(len(pool.Engines)).To(BeNumerically("<=", membership.MaxPoolEngines))
			for _, engine := range pool.Engines {
				pools[engine] = pool.Name
			}
		}
		return pools
	}

	It("assigns every engine, respects the pool size limit and moves few engines on removal", func() {
		before := poolOf(engines(100))
		after := poolOf(engines(99))
		Expect(before).To(HaveLen(100))
		changed := 0
		for engine, pool := range after {
			if before[engine] != pool {
				changed++
			}
		}
		Expect(changed).To(BeNumerically("<=", 5))
	})

	It("separates models and regions", func() {
		pools := membership.AssignPools([]membership.Engine{
			{ID: "1", Model: "m", Region: "r"}, {ID: "2", Model: "n", Region: "r"}, {ID: "3", Model: "m", Region: "s"},
		})
		Expect(pools).To(HaveLen(3))
	})
})

var _ = Describe("The shard of a program", func() {
	It("is in range and shared with its sub-agents", func() {
		shard := membership.ShardOf("program-1", 16)
		Expect(shard).To(BeNumerically("<", 16))
		Expect(membership.ShardOf("program-1.child", 16)).To(Equal(shard))
	})
})
