package ownership_test

import (
	"context"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/ownership"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

const patience = 5 * time.Second

var _ = Describe("Manager", func() {
	var log *durable.Memory
	var ctx context.Context
	everyonePresent := func(string, string) bool { return true }

	BeforeEach(func() {
		log = durable.NewMemory()
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
	})

	start := func(store durable.Log, name string) *ownership.Manager {
		manager := ownership.NewManager(ctx, store, zap.NewNop(), name, name+"-1", 1, everyonePresent)
		go manager.Run()
		return manager
	}
	ask := func(manager *ownership.Manager, request string, budget, most int64, failed ...string) ownership.Answer {
		bounded, cancel := context.WithTimeout(ctx, patience)
		defer cancel()
		return manager.Reserve(bounded, 0, ownership.Ask{
			Program: "p", Request: request, Budget: budget, Most: most, Claim: true, Failed: failed,
		})
	}

	It("claims a shard that nobody owns and grants", func() {
		answer := ask(start(log, "a"), "r1", 500, 288)
		Expect(answer.Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		Expect(answer.Owner).To(Equal(ownership.Owner{Node: "a", Epoch: 1}))
	})

	It("leaves an owner in place that is present", func() {
		ask(start(log, "a"), "r1", 500, 100)
		answer := ask(start(log, "b"), "r2", 500, 100)
		Expect(answer.Verdict).To(Equal(nodev1.Verdict_VERDICT_NOT_OWNER))
		Expect(answer.Owner.Node).To(Equal("a"))
	})

	It("fences the former owner, and starts from what it may have granted", func() {
		first := start(log, "a")
		Expect(ask(first, "r1", 1000, 288).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		second := start(log, "b")
		Expect(ask(second, "r2", 1000, 288, "a").Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		// The former owner may use what it wrote ahead, and not more.
		for _, request := range []string{"r3", "r4", "r5", "r6"} {
			ask(first, request, 1000, 288)
		}
		Expect(ask(first, "r7", 1000, 288).Verdict).NotTo(Equal(nodev1.Verdict_VERDICT_GRANTED))
	})

	It("lets one of two nodes that claim at the same place win", func() {
		racing := &racingLog{Memory: log}
		rival := start(log, "b")
		racing.beforeAppend = func() { ask(rival, "r0", 500, 100) }
		answer := ask(start(racing, "a"), "r1", 500, 100)
		Expect(answer.Verdict).To(Equal(nodev1.Verdict_VERDICT_NOT_OWNER))
		Expect(answer.Owner.Node).To(Equal("b"))
	})
})

// racingLog runs a rival's claim between the reading and the append of another.
type racingLog struct {
	*durable.Memory
	beforeAppend func()
}

// Append implements durable.Log.
func (log *racingLog) Append(ctx context.Context, partition durable.Partition, records [][]byte, condition durable.Condition) (durable.Appended, error) {
	if log.beforeAppend != nil {
		race := log.beforeAppend
		log.beforeAppend = nil
		race()
	}
	return log.Memory.Append(ctx, partition, records, condition)
}
