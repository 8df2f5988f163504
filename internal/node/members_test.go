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
	countFirstCandidates := func(nodes *members) map[string]int {
		count := map[string]int{}
		for shard := range shards {
			count[nodes.candidates(shard)[0].Name]++
		}
		return count
	}

	It("are mostly nodes of high capacity, though not exclusively", func() {
		nodes := newMembers()
		for number := range 4 {
			nodes.put(Member{Name: "strong-" + strconv.Itoa(number), Capacity: 800})
		}
		for number := range 14 {
			nodes.put(Member{Name: "weak-" + strconv.Itoa(number), Capacity: 192})
		}
		count := countFirstCandidates(nodes)
		strong := 0
		for number := range 4 {
			strong += count["strong-"+strconv.Itoa(number)]
		}
		Expect(strong).To(BeNumerically(">", shards*3/4))
		Expect(strong).To(BeNumerically("<", shards))
	})

	It("stay the same when another node leaves", func() {
		nodes := newMembers()
		for number := range 6 {
			nodes.put(Member{Name: "node-" + strconv.Itoa(number), Capacity: 800})
		}
		before := make([]string, shards)
		for shard := range shards {
			before[shard] = nodes.candidates(shard)[0].Name
		}
		nodes.put(Member{Name: "node-0", Capacity: 800, Draining: true})
		for shard := range shards {
			if before[shard] != "node-0" {
				Expect(nodes.candidates(shard)[0].Name).To(Equal(before[shard]))
			}
		}
	})

	It("determine a few log readers in each zone", func() {
		nodes := newMembers()
		for number := range 40 {
			nodes.put(Member{Name: "node-" + strconv.Itoa(number), Zone: "zone-" + strconv.Itoa(number%2), Capacity: 800})
		}
		readers := map[string]map[string]bool{"zone-0": {}, "zone-1": {}}
		for number := range 40 {
			member, _ := nodes.get("node-" + strconv.Itoa(number))
			reader := nodes.logReaderFor(member)
			Expect(reader.Zone).To(Equal(member.Zone))
			Expect(nodes.logReaderFor(reader)).To(Equal(reader))
			readers[member.Zone][reader.Name] = true
		}
		Expect(readers["zone-0"]).To(HaveLen(3))
		Expect(readers["zone-1"]).To(HaveLen(3))
	})
})

// Guards against every log reader of a zone reading all engine records, which delays the
// configuration on slow links.
var _ = Describe("The nodes of a zone", func() {
	It("include a single one that reads engine records from the log, regardless of their number", func() {
		for _, size := range []int{1, 8, 50, 160} {
			nodes := newMembers()
			for number := range size {
				nodes.put(Member{Name: "node-" + strconv.Itoa(number), Zone: "zone", Capacity: 800})
			}
			logReaders := 0
			requests := map[string]int{}
			for number := range size {
				member, _ := nodes.get("node-" + strconv.Itoa(number))
				sources := nodes.engineSources(member)
				if len(sources) == 0 {
					logReaders++
					continue
				}
				requests[sources[0].Name]++
				for _, source := range sources {
					Expect(source).NotTo(Equal(member))
					Expect(nodes.logReaderFor(source)).To(Equal(source), "sources are log readers")
				}
			}
			Expect(logReaders).To(Equal(1), "of %d nodes", size)
			for name, count := range requests {
				Expect(count).To(BeNumerically("<=", 3*nodesPerReader+size/nodesPerReader), name)
			}
		}
	})
})

var _ = Describe("A record view", func() {
	It("is as old as the request for its newest update", func() {
		view := newRecordView("t", zap.NewNop(), func(durable.KeyedRecord) bool { return false })
		first := time.Now()
		const held = 20 * time.Millisecond
		time.Sleep(held)
		view.merge(durable.Update{EndOffset: 1}, first)
		Expect(view.age()).To(BeNumerically(">=", held))
		view.merge(durable.Update{EndOffset: 1}, time.Now())
		view.merge(durable.Update{EndOffset: 1}, first)
		Expect(view.age()).To(BeNumerically("<", time.Since(first)))
	})

	It("is not confirmed by an update that ends before its end offset", func() {
		view := newRecordView("t", zap.NewNop(), func(durable.KeyedRecord) bool { return false })
		first := time.Now()
		view.merge(durable.Update{EndOffset: 5}, first)
		const later = 20 * time.Millisecond
		time.Sleep(later)
		view.merge(durable.Update{EndOffset: 4}, time.Now())
		Expect(view.age()).To(BeNumerically(">=", later))
	})

	It("returns changed records, not repeated ones", func() {
		view := newRecordView("t", zap.NewNop(), func(record durable.KeyedRecord) bool { return string(record.Value) != "same" })
		view.merge(durable.Update{Records: []durable.KeyedRecord{{Key: "a", Value: []byte("1"), Offset: 0}}, EndOffset: 1}, time.Now())
		view.merge(durable.Update{Records: []durable.KeyedRecord{{Key: "a", Value: []byte("same"), Offset: 1}}, EndOffset: 2}, time.Now())
		records, end := view.changedSince(1)
		Expect(records).To(BeEmpty())
		Expect(end).To(Equal(int64(2)))
		records, _ = view.changedSince(0)
		Expect(records).To(HaveLen(1))
		view.merge(durable.Update{Records: []durable.KeyedRecord{{Key: "a", Offset: 2}}, EndOffset: 3}, time.Now())
		records, _ = view.changedSince(2)
		Expect(records).To(HaveLen(1))
		Expect(records[0].Value).To(BeEmpty())
	})
})
