package streamversion

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Table", func() {
	start := time.Unix(1_000_000, 0)
	first := Origin{Service: "models", Version: "v1"}
	second := Origin{Service: "models", Version: "v2"}

	It("keeps an origin for one to two generations", func() {
		table := NewTable(start)
		key := NewKey("tenant", "attempt")
		table.Put(Record{Key: key, Origin: first}, start)
		for _, age := range []time.Duration{0, GenerationAge - 1, GenerationAge, 2*GenerationAge - 1} {
			found, known := table.Find(key, start.Add(age))
			Expect(known).To(BeTrue(), age.String())
			Expect(found).To(Equal(first))
		}
		_, known := table.Find(key, start.Add(2*GenerationAge))
		Expect(known).To(BeFalse())
		Expect(table.Size()).To(BeZero())
	})

	It("forgets all after a long time without a call", func() {
		table := NewTable(start)
		key := NewKey("tenant", "attempt")
		table.Put(Record{Key: key, Origin: first}, start)
		_, known := table.Find(key, start.Add(3*GenerationAge))
		Expect(known).To(BeFalse())
	})

	It("keeps an origin longer that is put again", func() {
		table := NewTable(start)
		key := NewKey("tenant", "attempt")
		table.Put(Record{Key: key, Origin: first}, start)
		table.Put(Record{Key: key, Origin: first}, start.Add(GenerationAge+1))
		found, known := table.Find(key, start.Add(2*GenerationAge+2))
		Expect(known).To(BeTrue())
		Expect(found).To(Equal(first))
	})

	It("does not know a stream that was put with different origins", func() {
		table := NewTable(start)
		key := NewKey("tenant", "attempt")
		for _, origin := range []Origin{first, second, first} {
			table.Put(Record{Key: key, Origin: origin}, start)
		}
		_, known := table.Find(key, start)
		Expect(known).To(BeFalse())
	})

	It("keeps the streams of tenants apart that use the same ID", func() {
		table := NewTable(start)
		table.Put(Record{Key: NewKey("a", "bc"), Origin: first}, start)
		table.Put(Record{Key: NewKey("ab", "c"), Origin: second}, start)
		found, _ := table.Find(NewKey("a", "bc"), start)
		Expect(found).To(Equal(first))
		found, _ = table.Find(NewKey("ab", "c"), start)
		Expect(found).To(Equal(second))
	})

	It("is bounded", func() {
		table := NewTable(start)
		for number := range 3 * maxGenerationRecords {
			table.Put(Record{Key: NewKey("", fmt.Sprint(number)), Origin: first}, start)
		}
		Expect(table.Size()).To(BeNumerically("<=", 2*maxGenerationRecords))
		_, known := table.Find(NewKey("", fmt.Sprint(3*maxGenerationRecords-1)), start)
		Expect(known).To(BeTrue(), "the newest is kept")
	})
})
