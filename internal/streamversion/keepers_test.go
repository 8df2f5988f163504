package streamversion

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fleet returns nodes spread evenly over zones.
func fleet(nodes, zones int) []Node {
	list := make([]Node, nodes)
	for number := range list {
		list[number] = Node{Name: fmt.Sprintf("node-%d", number), Zone: fmt.Sprintf("zone-%d", number%zones)}
	}
	return list
}

// without returns the nodes that a condition does not hold for.
func without(nodes []Node, lost func(node Node) bool) []Node {
	return slices.DeleteFunc(slices.Clone(nodes), lost)
}

// knownShare returns the share of streams, begun at random nodes, whose origin a random node that is
// left finds. lost holds the nodes that are gone, unseen those that the searching node does not know.
func knownShare(nodes []Node, lost, unseen func(node Node) bool) float64 {
	const streams = 2000
	random := rand.New(rand.NewPCG(1, 2))
	left := without(nodes, lost)
	seen := without(left, unseen)
	known := 0
	for stream := range streams {
		key := NewKey("", fmt.Sprint(stream))
		origin := nodes[random.IntN(len(nodes))]
		holders := append(Keepers(key, nodes, origin.Name, origin.Zone), origin.Name)
		searcher := seen[random.IntN(len(seen))]
		searched, _ := Searched(key, seen, searcher.Name)
		searched = append(searched, searcher.Name)
		if slices.ContainsFunc(searched, func(name string) bool {
			return slices.Contains(holders, name)
		}) {
			known++
		}
	}
	return float64(known) / streams
}

var _ = Describe("Keepers", func() {
	nobody := func(Node) bool { return false }

	It("are one node in the stream's zone and two in other zones", func() {
		nodes := fleet(40, 4)
		for number := range 100 {
			self := nodes[number%len(nodes)]
			names := Keepers(NewKey("", fmt.Sprint(number)), nodes, self.Name, self.Zone)
			Expect(names).To(HaveLen(Copies))
			Expect(names).NotTo(ContainElement(self.Name))
			zones := map[string]bool{}
			for _, name := range names {
				zones[nodes[slices.IndexFunc(nodes, func(node Node) bool { return node.Name == name })].Zone] = true
			}
			Expect(zones).To(HaveLen(Copies))
			Expect(zones).To(HaveKey(self.Zone))
		}
	})

	It("are as many as there are nodes where there are few", func() {
		Expect(Keepers(NewKey("", "a"), fleet(1, 1), "node-0", "zone-0")).To(BeEmpty())
		Expect(Keepers(NewKey("", "a"), fleet(3, 1), "node-0", "zone-0")).To(ConsistOf("node-1", "node-2"))
		Expect(Keepers(NewKey("", "a"), fleet(9, 2), "node-0", "zone-0")).To(HaveLen(Copies))
	})

	It("are spread evenly", func() {
		nodes := fleet(40, 4)
		counts := map[string]int{}
		const streams = 4000
		for number := range streams {
			self := nodes[number%len(nodes)]
			for _, name := range Keepers(NewKey("", fmt.Sprint(number)), nodes, self.Name, self.Zone) {
				counts[name]++
			}
		}
		for _, count := range counts {
			Expect(count).To(BeNumerically("<", 2*Copies*streams/len(nodes)))
		}
	})

	DescribeTable("are found by a search after losses", func(count, zones int, lost, unseen func(Node) bool, least float64) {
		share := knownShare(fleet(count, zones), lost, unseen)
		GinkgoWriter.Printf("%d nodes in %d zones: %.4f of the origins known\n", count, zones, share)
		Expect(share).To(BeNumerically(">=", least))
	},
		Entry("nothing lost", 390, 6, nobody, nobody, 1.0),
		Entry("a zone lost", 390, 6, inZone("zone-0"), nobody, 1.0),
		Entry("a zone lost of two", 40, 2, inZone("zone-0"), nobody, 1.0),
		Entry("one node in ten lost", 390, 6, everyNth(10), nobody, 0.99),
		Entry("half of the nodes lost", 390, 6, everyNth(2), nobody, 0.5),
		Entry("one node in ten not known to the node that searches", 390, 6, nobody, everyNth(10), 0.99),
		Entry("a single zone, one node lost", 12, 1, func(node Node) bool { return node.Name == "node-0" }, nobody, 1.0),
		Entry("two zones lost of four", 84, 4, func(node Node) bool { return node.Zone == "zone-0" || node.Zone == "zone-1" }, nobody, 0.5),
	)
})

func inZone(zone string) func(Node) bool {
	return func(node Node) bool { return node.Zone == zone }
}

// everyNth selects about one node in a number, in all zones.
func everyNth(number uint64) func(Node) bool {
	return func(node Node) bool { return xxhash.Sum64String(node.Name)%number == 0 }
}
