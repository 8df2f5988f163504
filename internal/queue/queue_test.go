package queue_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/queue"
)

// drain pops and grants every item and returns the concatenated values.
func drain(waiting *queue.Queue[string]) string {
	order := ""
	for item := waiting.Pop(); item != nil; item = waiting.Pop() {
		waiting.RecordGrant(item)
		order += item.Value
	}
	return order
}

var _ = Describe("a queue", func() {
	It("serves the highest band first and equal ranks in arrival order", func() {
		waiting := queue.New[string](0)
		waiting.Push("c", queue.Rank{Band: 1, Value: 0})
		waiting.Push("a", queue.Rank{Band: 8, Value: 1})
		waiting.Push("b", queue.Rank{Band: 8, Value: 1})
		Expect(drain(waiting)).To(Equal("abc"))
	})

	It("grants each waiting band its reserved share", func() {
		waiting := queue.New[string](1)
		for range 12 {
			waiting.Push("h", queue.Rank{Band: 3})
			waiting.Push("l", queue.Rank{Band: 1})
		}
		Expect(drain(waiting)[:12]).To(Equal("hhhhlhhhlhhh"))
	})

	It("restores an item at its previous position and removes an item at any position", func() {
		waiting := queue.New[string](0)
		first := waiting.Push("a", queue.Rank{Value: 1})
		removed := waiting.Push("b", queue.Rank{Value: 1})
		waiting.Push("c", queue.Rank{Value: 1})
		waiting.Restore(waiting.Pop())
		waiting.Remove(removed)
		waiting.Remove(removed)
		Expect(waiting.Len()).To(Equal(2))
		Expect(first.Queued()).To(BeTrue())
		Expect(waiting.PeekLast().Value).To(Equal("c"))
		Expect(drain(waiting)).To(Equal("ac"))
	})
})

var _ = Describe("orders", func() {
	rank := func(name string, call queue.Call) queue.Rank {
		order, err := queue.ByName(name)
		Expect(err).NotTo(HaveOccurred())
		return order.Rank(call)
	}

	It("least-attained ranks programs with less attained service and older programs first", func() {
		fresh := rank("", queue.Call{Weight: 1, QueuedAt: time.Minute})
		used := rank("", queue.Call{Weight: 1, QueuedAt: time.Minute, AttainedService: 100000})
		old := rank("", queue.Call{Weight: 1, QueuedAt: time.Minute, ProgramAge: time.Second})
		Expect(fresh.Before(used)).To(BeTrue())
		Expect(old.Before(fresh)).To(BeTrue())
		higher := rank("", queue.Call{Weight: 2, QueuedAt: time.Hour, AttainedService: 100000})
		Expect(higher.Before(old)).To(BeTrue())
	})

	It("fcfs ranks by queueing time only, oracle by remaining service only", func() {
		early := rank("fcfs", queue.Call{Weight: 1, QueuedAt: 1})
		Expect(early.Before(rank("fcfs", queue.Call{Weight: 9, QueuedAt: 2}))).To(BeTrue())
		short := rank("oracle", queue.Call{QueuedAt: 2, RemainingService: 1})
		Expect(short.Before(rank("oracle", queue.Call{Weight: 9, RemainingService: 2}))).To(BeTrue())
	})

	It("rejects an unknown order name", func() {
		_, err := queue.ByName("lifo")
		Expect(err).To(MatchError(ContainSubstring("lifo")))
	})
})
