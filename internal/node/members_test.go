package node

import (
	"strconv"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
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
		known.put(Member{Name: "node-0", Capacity: 800, Draining: true})
		for shard := range shards {
			if before[shard] != "node-0" {
				Expect(known.candidates(shard)[0].Name).To(Equal(before[shard]))
			}
		}
	})

	It("name a few nodes of each zone that read the store for the others", func() {
		known := newMembers()
		for number := range 40 {
			known.put(Member{Name: "node-" + strconv.Itoa(number), Zone: "zone-" + strconv.Itoa(number%2), Capacity: 800})
		}
		readers := map[string]map[string]bool{"zone-0": {}, "zone-1": {}}
		for number := range 40 {
			member, _ := known.get("node-" + strconv.Itoa(number))
			reader := known.readerFor(member)
			Expect(reader.Zone).To(Equal(member.Zone))
			Expect(known.readerFor(reader)).To(Equal(reader))
			readers[member.Zone][reader.Name] = true
		}
		Expect(readers["zone-0"]).To(HaveLen(3))
		Expect(readers["zone-1"]).To(HaveLen(3))
	})
})

// Configurations came nine seconds late to nodes in three of six zones, which answered 679
// requests with 404 for routes that were in force: 300 nodes before 3,000 engines, of which 38
// read all engines' records from the store, and 19 of those over one link of 60 Mbit/s.
var _ = Describe("The nodes of a zone", func() {
	It("have one of them read the engines' records, however many they are", func() {
		for _, size := range []int{1, 8, 50, 160} {
			known := newMembers()
			for number := range size {
				known.put(Member{Name: "node-" + strconv.Itoa(number), Zone: "zone", Capacity: 800})
			}
			reading := 0
			asked := map[string]int{}
			for number := range size {
				member, _ := known.get("node-" + strconv.Itoa(number))
				sources := known.engineSources(member)
				if len(sources) == 0 {
					reading++
					continue
				}
				asked[sources[0].Name]++
				for _, source := range sources {
					Expect(source).NotTo(Equal(member))
					Expect(known.readerFor(source)).To(Equal(source), "readers are asked")
				}
			}
			Expect(reading).To(Equal(1), "of %d nodes", size)
			for name, askers := range asked {
				Expect(askers).To(BeNumerically("<=", 3*nodesPerReader+size/nodesPerReader), name)
			}
		}
	})
})

var _ = Describe("A view", func() {
	It("is as old as the moment at which its newest update was asked for", func() {
		view := newRecordView("t", zap.NewNop(), func(durable.KeyedRecord) bool { return false })
		first := time.Now()
		const held = 20 * time.Millisecond
		time.Sleep(held)
		view.take(durable.Update{End: 1}, first)
		Expect(view.age()).To(BeNumerically(">=", held))
		view.take(durable.Update{End: 1}, time.Now())
		view.take(durable.Update{End: 1}, first)
		Expect(view.age()).To(BeNumerically("<", time.Since(first)))
	})

	It("is not confirmed by an update that ends before what it knows", func() {
		view := newRecordView("t", zap.NewNop(), func(durable.KeyedRecord) bool { return false })
		first := time.Now()
		view.take(durable.Update{End: 5}, first)
		const later = 20 * time.Millisecond
		time.Sleep(later)
		view.take(durable.Update{End: 4}, time.Now())
		Expect(view.age()).To(BeNumerically(">=", later))
	})

	It("tells others of what changed, not of what was repeated", func() {
		view := newRecordView("t", zap.NewNop(), func(record durable.KeyedRecord) bool { return string(record.Value) != "same" })
		view.take(durable.Update{Records: []durable.KeyedRecord{{Key: "a", Value: []byte("1"), Offset: 0}}, End: 1}, time.Now())
		view.take(durable.Update{Records: []durable.KeyedRecord{{Key: "a", Value: []byte("same"), Offset: 1}}, End: 2}, time.Now())
		records, end := view.since(1)
		Expect(records).To(BeEmpty())
		Expect(end).To(Equal(int64(2)))
		records, _ = view.since(0)
		Expect(records).To(HaveLen(1))
		view.take(durable.Update{Records: []durable.KeyedRecord{{Key: "a", Offset: 2}}, End: 3}, time.Now())
		records, _ = view.since(2)
		Expect(records).To(HaveLen(1))
		Expect(records[0].Value).To(BeEmpty())
	})
})
