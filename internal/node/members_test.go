package node

import (
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Candidates of a shard", func() {
	const shards = 400
	firsts := func(known *members) map[string]int {
		count := map[string]int{}
		for shard := range shards {
			count[known.candidates(shard)[0].Name]++
		}
		return count
	}

	It("are mostly strong nodes, without leaving a few with everything", func() {
		known := newMembers()
		for number := range 4 {
			known.put(Member{Name: "strong-" + strconv.Itoa(number), Capacity: 800})
		}
		for number := range 14 {
			known.put(Member{Name: "weak-" + strconv.Itoa(number), Capacity: 192})
		}
		count := firsts(known)
		strong := 0
		for number := range 4 {
			strong += count["strong-"+strconv.Itoa(number)]
		}
		Expect(strong).To(BeNumerically(">", shards*3/4))
		Expect(strong).To(BeNumerically("<", shards))
	})

	It("stay where they are when another node leaves", func() {
		known := newMembers()
		for number := range 6 {
			known.put(Member{Name: "node-" + strconv.Itoa(number), Capacity: 800})
		}
		before := make([]string, shards)
		for shard := range shards {
			before[shard] = known.candidates(shard)[0].Name
		}
		known.put(Member{Name: "node-0", Capacity: 800, Leaving: true})
		for shard := range shards {
			if before[shard] != "node-0" {
				Expect(known.candidates(shard)[0].Name).To(Equal(before[shard]))
			}
		}
	})
})
