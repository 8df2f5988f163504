package ownership_test

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/freeze"
	"github.com/magpielug/magpielug/internal/ownership"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

const patience = 5 * time.Second

var program = tenant.Program{ID: "p"}

var _ = Describe("Manager", func() {
	var log *durable.Memory
	var ctx context.Context
	var managers map[string]*ownership.Manager
	var unreachable map[string]bool
	var away map[string]bool
	// frozen is how long the nodes were frozen, in all.
	var frozen atomic.Int64

	BeforeEach(func() {
		frozen.Store(0)
		away = map[string]bool{}
		log = durable.NewMemory()
		managers = map[string]*ownership.Manager{}
		unreachable = map[string]bool{}
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
	})

	start := func(store durable.Log, name string) *ownership.Manager {
		identity := ownership.Identity{Node: name, Incarnation: name + "-1", Address: name}
		yield := func(ctx context.Context, claim *nodev1.Claim, shard int) (*nodev1.YieldReply, error) {
			if unreachable[claim.Node] {
				return nil, errUnreachable
			}
			return managers[claim.Node].HandleHandover(ctx, shard, claim.Epoch), nil
		}
		freezes := freeze.NewDetectorWithClock(func() time.Time { return time.Now().Add(time.Duration(frozen.Load())) })
		manager := ownership.NewManager(ctx, store, zap.NewNop(), identity, 1,
			ownership.Dependencies{RequestHandover: yield, LogUnavailable: func() bool { return away[name] }, FreezeDetector: freezes})
		managers[name] = manager
		go manager.Run()
		return manager
	}
	ask := func(manager *ownership.Manager, request string, budget, most int64) ownership.ReserveResult {
		bounded, cancel := context.WithTimeout(ctx, patience)
		defer cancel()
		return manager.Reserve(bounded, 0, ownership.ReserveRequest{
			Program: program, RequestID: request, Budget: budget, MaxTokens: most, Claim: true,
			ExpiresAt: time.Now().Add(patience),
		})
	}

	It("claims a shard that nobody owns and grants", func() {
		answer := ask(start(log, "a"), "r1", 500, 288)
		Expect(answer.Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		Expect(answer.Owner).To(Equal(ownership.Owner{Node: "a", Epoch: 1, Address: "a"}))
	})

	It("tells since when it owns a shard, and that it does no more", func() {
		manager := start(log, "a")
		_, owns := manager.OwnedSince(0)
		Expect(owns).To(BeFalse())
		before := time.Now()
		ask(manager, "r1", 500, 100)
		since, owns := manager.OwnedSince(0)
		Expect(owns).To(BeTrue())
		Expect(since).To(BeTemporally(">=", before))
		Expect(since).NotTo(Equal(since.Round(0)), "it holds the monotonic clock's reading")
		ask(manager, "r2", 500, 100)
		again, _ := manager.OwnedSince(0)
		Expect(again).To(Equal(since))
		manager.Release(ctx)
		_, owns = manager.OwnedSince(0)
		Expect(owns).To(BeFalse())
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
		unreachable["a"] = true
		second := start(log, "b")
		Expect(ask(second, "r2", 1000, 288).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		// The former owner may use what it wrote ahead, and not more.
		for _, request := range []string{"r3", "r4", "r5", "r6"} {
			ask(first, request, 1000, 288)
		}
		Expect(ask(first, "r7", 1000, 288).Verdict).NotTo(Equal(nodev1.Verdict_VERDICT_GRANTED))
	})

	// An owner that wakes does not know that another one has its shard, nor what turns ended
	// meanwhile: it counts them at their most. A program was refused for good by such books.
	It("refuses no program for its budget after a freeze before the log says that it still owns the shard", func() {
		first := start(log, "a")
		Expect(ask(first, "r1", 500, 288).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		Expect(ask(first, "r2", 500, 288).Verdict).To(Equal(nodev1.Verdict_VERDICT_SPENT), "r1 is open")
		unreachable["a"] = true
		second := start(log, "b")
		Expect(ask(second, "other", 5000, 100).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		unreachable["a"] = false
		frozen.Store(int64(3 * time.Second))
		answer := ask(first, "r3", 500, 288)
		Expect(answer.Verdict).To(Equal(nodev1.Verdict_VERDICT_NOT_OWNER))
		Expect(answer.Owner.Node).To(Equal("b"))
	})

	It("refuses a program after a freeze once the log has said so, and waits while it says nothing", func() {
		cut := &cutLog{Memory: log}
		first := start(cut, "a")
		Expect(ask(first, "r1", 500, 288).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		frozen.Store(int64(3 * time.Second))
		cut.silent.Store(true)
		Expect(ask(first, "r2", 500, 288).Verdict).To(Equal(nodev1.Verdict_VERDICT_WAITING))
		cut.silent.Store(false)
		Eventually(func() nodev1.Verdict { return ask(first, "r2", 500, 288).Verdict }, patience).
			Should(Equal(nodev1.Verdict_VERDICT_SPENT))
	})

	It("reserves nothing for an asker that gave up while the shard was being claimed", func() {
		racing := &racingLog{Memory: log}
		manager := start(racing, "a")
		racing.beforeAppend = func() { manager.Settle(0, program, "r1", 0) }
		Expect(ask(manager, "r1", 500, 288).Verdict).To(Equal(nodev1.Verdict_VERDICT_UNSURE))
		Expect(ask(manager, "r2", 500, 288).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
	})

	It("takes over exactly from an owner that can't write", func() {
		cut := &cutLog{Memory: log}
		first := start(cut, "a")
		Expect(ask(first, "r1", 700, 288).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		// More than the claim's allowance, a third of the budget.
		first.Settle(0, program, "r1", 288)
		cut.silent.Store(true)
		// More than the log has acknowledged: the owner has to write, and can't.
		Eventually(func() nodev1.Verdict { return ask(first, "r2", 700, 400).Verdict }, patience).
			Should(Equal(nodev1.Verdict_VERDICT_UNABLE))
		second := start(log, "b")
		Expect(ask(second, "r3", 700, 412).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED), "288 + 412 = 700")
		Expect(ask(first, "r4", 700, 1).Verdict).To(Equal(nodev1.Verdict_VERDICT_NOT_OWNER))
	})

	// granted asks for turns of 100 until one is not granted, and returns how many were.
	granted := func(manager *ownership.Manager, name string, budget int64) int {
		count := 0
		for ask(manager, name+strconv.Itoa(count), budget, 100).Verdict == nodev1.Verdict_VERDICT_GRANTED {
			count++
		}
		return count
	}

	It("lets programs begin and go on while the log is away, within its claim's allowance", func() {
		cut := &cutLog{Memory: log}
		first := start(cut, "a")
		ask(first, "r0", 900, 100)
		cut.silent.Store(true)
		Expect(granted(first, "a", 900)).To(Equal(2), "three turns begin below 299 of 900")
	})

	It("counts a lost owner's allowance, also of programs that the log does not name", func() {
		cut := &cutLog{Memory: log}
		first := start(cut, "a")
		ask(first, "r0", 900, 100)
		cut.silent.Store(true)
		Expect(granted(first, "a", 900)).To(Equal(2))
		unreachable["a"] = true
		Expect(granted(start(log, "b"), "b", 900)).To(Equal(6), "300 + 600 of 900")
	})

	It("leaves a successor an allowance of its own after a planned stop", func() {
		first := start(log, "a")
		Expect(granted(first, "a", 1000)).To(Equal(10))
		first.Settle(0, program, "a0", 0)
		first.Settle(0, program, "a1", 0)
		first.Release(ctx)
		cut := &cutLog{Memory: log}
		second := start(cut, "b")
		Expect(ask(second, "r1", 1000, 100).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		cut.silent.Store(true)
		Expect(ask(second, "r2", 1000, 100).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
	})

	It("loses nothing of an owner that yielded when the one that took over is lost", func() {
		cut := &cutLog{Memory: log}
		first := start(cut, "a")
		ask(first, "r0", 900, 100)
		cut.silent.Store(true)
		Expect(granted(first, "a", 900)).To(Equal(2))
		Eventually(func() nodev1.Verdict { return ask(first, "r2", 900, 100).Verdict }, patience).
			Should(Equal(nodev1.Verdict_VERDICT_UNABLE))
		Expect(ask(start(log, "b"), "b", 900, 100).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		unreachable["b"] = true
		Expect(granted(start(log, "c"), "c", 900)).To(BeNumerically("<=", 5))
	})

	It("claims nothing while the log does not answer the node", func() {
		away["a"] = true
		Expect(ask(start(log, "a"), "r1", 500, 100).Verdict).To(Equal(nodev1.Verdict_VERDICT_UNABLE))
		Expect(ask(start(log, "b"), "r1", 500, 100).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
	})

	It("leaves claims to others after the log has refused one, and claims again later", func() {
		var refusing atomic.Bool
		refusing.Store(true)
		log.Intercept = func(string, durable.Partition) error {
			if refusing.Load() {
				return durable.ErrUnavailable
			}
			return nil
		}
		first := start(log, "a")
		verdict := func() nodev1.Verdict { return ask(first, "r1", 500, 100).Verdict }
		Eventually(verdict, patience).Should(Equal(nodev1.Verdict_VERDICT_UNABLE))
		refusing.Store(false)
		Eventually(verdict, patience).Should(Equal(nodev1.Verdict_VERDICT_GRANTED))
	})

	It("says that it is unable while its claim gets no answer", func() {
		cut := &cutLog{Memory: log}
		cut.silent.Store(true)
		first := start(cut, "a")
		Eventually(func() nodev1.Verdict { return ask(first, "r1", 500, 100).Verdict }, patience).
			Should(Equal(nodev1.Verdict_VERDICT_UNABLE))
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

var errUnreachable = errors.New("unreachable")

// cutLog takes no more appends once it is silent.
type cutLog struct {
	*durable.Memory
	silent atomic.Bool
}

// Append implements durable.Log.
func (log *cutLog) Append(ctx context.Context, partition durable.Partition, records [][]byte, condition durable.Condition) (durable.AppendResult, error) {
	if log.silent.Load() {
		<-ctx.Done()
		return durable.AppendResult{}, ctx.Err()
	}
	return log.Memory.Append(ctx, partition, records, condition)
}

// racingLog runs a rival's claim between the reading and the append of another.
type racingLog struct {
	*durable.Memory
	beforeAppend func()
}

// Append implements durable.Log.
func (log *racingLog) Append(ctx context.Context, partition durable.Partition, records [][]byte, condition durable.Condition) (durable.AppendResult, error) {
	if log.beforeAppend != nil {
		race := log.beforeAppend
		log.beforeAppend = nil
		race()
	}
	return log.Memory.Append(ctx, partition, records, condition)
}
