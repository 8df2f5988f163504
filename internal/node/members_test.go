package node

import (
	"strconv"

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
		known.put(Member{Name: "node-0", Capacity: 800, Leaving: true})
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

var _ = Describe("A view", func() {
	It("tells others of what changed, not of what was repeated", func() {
		view := newRecordView("t", zap.NewNop(), func(record durable.KeyedRecord) bool { return string(record.Value) != "same" })
		view.take(durable.Update{Records: []durable.KeyedRecord{{Key: "a", Value: []byte("1"), Offset: 0}}, End: 1})
		view.take(durable.Update{Records: []durable.KeyedRecord{{Key: "a", Value: []byte("same"), Offset: 1}}, End: 2})
		records, end := view.since(1)
		Expect(records).To(BeEmpty())
		Expect(end).To(Equal(int64(2)))
		records, _ = view.since(0)
		Expect(records).To(HaveLen(1))
		view.take(durable.Update{Records: []durable.KeyedRecord{{Key: "a", Offset: 2}}, End: 3})
		records, _ = view.since(2)
		Expect(records).To(HaveLen(1))
		Expect(records[0].Value).To(BeEmpty())
	})
})
