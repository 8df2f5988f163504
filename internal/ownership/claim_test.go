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

const timeout = 5 * time.Second

var program = tenant.Program{ID: "p"}

var _ = Describe("Manager", func() {
	var log *durable.Memory
	var ctx context.Context
	var managers map[string]*ownership.Manager
	var unreachable map[string]bool
	var logUnavailable map[string]bool
	// frozen is the total time for which the nodes were suspended, in nanoseconds.
	var frozen atomic.Int64

	BeforeEach(func() {
		frozen.Store(0)
		logUnavailable = map[string]bool{}
		log = durable.NewMemory()
		managers = map[string]*ownership.Manager{}
		unreachable = map[string]bool{}
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
	})

	start := func(store durable.Log, name string) *ownership.Manager {
		identity := ownership.Identity{Node: name, Incarnation: name + "-1", Address: name}
		requestHandover := func(ctx context.Context, claim *nodev1.Claim, shard int) (*nodev1.YieldReply, error) {
			if unreachable[claim.Node] {
				return nil, errUnreachable
			}
			return managers[claim.Node].HandleHandover(ctx, shard, claim.Epoch), nil
		}
		freezes := freeze.NewDetectorWithClock(func() time.Time { return time.Now().Add(time.Duration(frozen.Load())) })
		manager := ownership.NewManager(ctx, store, zap.NewNop(), identity, 1,
			ownership.Dependencies{RequestHandover: requestHandover, LogUnavailable: func() bool { return logUnavailable[name] }, FreezeDetector: freezes})
		managers[name] = manager
		go manager.Run()
		return manager
	}
	reserve := func(manager *ownership.Manager, requestID string, budget, maxTokens int64) ownership.ReserveResult {
		bounded, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return manager.Reserve(bounded, 0, ownership.ReserveRequest{
			Program: program, RequestID: requestID, Budget: budget, MaxTokens: maxTokens, AllowClaim: true,
			ExpiresAt: time.Now().Add(timeout),
		})
	}

	It("claims a shard without an owner and grants", func() {
		result := reserve(start(log, "a"), "r1", 500, 288)
		Expect(result.Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		Expect(result.Owner).To(Equal(ownership.Owner{Node: "a", Epoch: 1, Address: "a"}))
	})

	It("returns when it became a shard's owner, and nothing once it is not", func() {
		manager := start(log, "a")
		_, owns := manager.OwnedSince(0)
		Expect(owns).To(BeFalse())
		before := time.Now()
		reserve(manager, "r1", 500, 100)
		since, owns := manager.OwnedSince(0)
		Expect(owns).To(BeTrue())
		Expect(since).To(BeTemporally(">=", before))
		Expect(since).NotTo(Equal(since.Round(0)), "it keeps the monotonic clock reading")
		reserve(manager, "r2", 500, 100)
		again, _ := manager.OwnedSince(0)
		Expect(again).To(Equal(since))
		manager.Release(ctx)
		_, owns = manager.OwnedSince(0)
		Expect(owns).To(BeFalse())
	})

	It("leaves the shard to an owner that answers", func() {
		reserve(start(log, "a"), "r1", 500, 100)
		result := reserve(start(log, "b"), "r2", 500, 100)
		Expect(result.Verdict).To(Equal(nodev1.Verdict_VERDICT_NOT_OWNER))
		Expect(result.Owner.Node).To(Equal("a"))
	})

	It("fences the former owner, and charges what it may have granted", func() {
		first := start(log, "a")
		Expect(reserve(first, "r1", 1000, 288).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		unreachable["a"] = true
		second := start(log, "b")
		Expect(reserve(second, "r2", 1000, 288).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		// The former owner may grant up to its logged ceiling and no more.
		for _, request := range []string{"r3", "r4", "r5", "r6"} {
			reserve(first, request, 1000, 288)
		}
		Expect(reserve(first, "r7", 1000, 288).Verdict).NotTo(Equal(nodev1.Verdict_VERDICT_GRANTED))
	})

	// After a freeze, an owner still charges the maximum of turns that a new owner may have
	// settled. It must not refuse a program for its budget based on this stale state.
	It("refuses no program for its budget after a freeze until an append confirms its ownership", func() {
		first := start(log, "a")
		Expect(reserve(first, "r1", 500, 288).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		Expect(reserve(first, "r2", 500, 288).Verdict).To(Equal(nodev1.Verdict_VERDICT_SPENT), "r1 is open")
		unreachable["a"] = true
		second := start(log, "b")
		Expect(reserve(second, "other", 5000, 100).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		unreachable["a"] = false
		frozen.Store(int64(3 * time.Second))
		result := reserve(first, "r3", 500, 288)
		Expect(result.Verdict).To(Equal(nodev1.Verdict_VERDICT_NOT_OWNER))
		Expect(result.Owner.Node).To(Equal("b"))
	})

	It("refuses a program after a freeze once an append has confirmed its ownership, and waits until then", func() {
		store := &unresponsiveLog{Memory: log}
		first := start(store, "a")
		Expect(reserve(first, "r1", 500, 288).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		frozen.Store(int64(3 * time.Second))
		store.unresponsive.Store(true)
		Expect(reserve(first, "r2", 500, 288).Verdict).To(Equal(nodev1.Verdict_VERDICT_WAITING))
		store.unresponsive.Store(false)
		Eventually(func() nodev1.Verdict { return reserve(first, "r2", 500, 288).Verdict }, timeout).
			Should(Equal(nodev1.Verdict_VERDICT_SPENT))
	})

	It("reserves nothing for a caller that gave up while the shard was being claimed", func() {
		racing := &racingLog{Memory: log}
		manager := start(racing, "a")
		racing.beforeAppend = func() { manager.Settle(0, program, "r1", 0) }
		Expect(reserve(manager, "r1", 500, 288).Verdict).To(Equal(nodev1.Verdict_VERDICT_UNSURE))
		Expect(reserve(manager, "r2", 500, 288).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
	})

	It("takes over the exact state of an owner that can't write", func() {
		store := &unresponsiveLog{Memory: log}
		first := start(store, "a")
		Expect(reserve(first, "r1", 700, 288).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		// Exceeds the claim's allowance of a third of the budget.
		first.Settle(0, program, "r1", 288)
		store.unresponsive.Store(true)
		// Exceeds the acknowledged ceiling, so the owner has to append, which fails.
		Eventually(func() nodev1.Verdict { return reserve(first, "r2", 700, 400).Verdict }, timeout).
			Should(Equal(nodev1.Verdict_VERDICT_UNABLE))
		second := start(log, "b")
		Expect(reserve(second, "r3", 700, 412).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED), "288 + 412 = 700")
		Expect(reserve(first, "r4", 700, 1).Verdict).To(Equal(nodev1.Verdict_VERDICT_NOT_OWNER))
	})

	// countGranted requests turns of 100 until one is not granted, and returns how many were.
	countGranted := func(manager *ownership.Manager, name string, budget int64) int {
		count := 0
		for reserve(manager, name+strconv.Itoa(count), budget, 100).Verdict == nodev1.Verdict_VERDICT_GRANTED {
			count++
		}
		return count
	}

	It("grants turns within its claim's allowance while the log is unavailable", func() {
		store := &unresponsiveLog{Memory: log}
		first := start(store, "a")
		reserve(first, "r0", 900, 100)
		store.unresponsive.Store(true)
		Expect(countGranted(first, "a", 900)).To(Equal(2), "three turns begin within 299 of 900")
	})

	It("charges a lost owner's allowance, also to programs without a logged ceiling", func() {
		store := &unresponsiveLog{Memory: log}
		first := start(store, "a")
		reserve(first, "r0", 900, 100)
		store.unresponsive.Store(true)
		Expect(countGranted(first, "a", 900)).To(Equal(2))
		unreachable["a"] = true
		Expect(countGranted(start(log, "b"), "b", 900)).To(Equal(6), "300 + 600 of 900")
	})

	It("leaves a successor its own allowance after a planned stop", func() {
		first := start(log, "a")
		Expect(countGranted(first, "a", 1000)).To(Equal(10))
		first.Settle(0, program, "a0", 0)
		first.Settle(0, program, "a1", 0)
		first.Release(ctx)
		store := &unresponsiveLog{Memory: log}
		second := start(store, "b")
		Expect(reserve(second, "r1", 1000, 100).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		store.unresponsive.Store(true)
		Expect(reserve(second, "r2", 1000, 100).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
	})

	It("keeps the accounts that an owner handed over if its successor is lost", func() {
		store := &unresponsiveLog{Memory: log}
		first := start(store, "a")
		reserve(first, "r0", 900, 100)
		store.unresponsive.Store(true)
		Expect(countGranted(first, "a", 900)).To(Equal(2))
		Eventually(func() nodev1.Verdict { return reserve(first, "r2", 900, 100).Verdict }, timeout).
			Should(Equal(nodev1.Verdict_VERDICT_UNABLE))
		Expect(reserve(start(log, "b"), "b", 900, 100).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		unreachable["b"] = true
		Expect(countGranted(start(log, "c"), "c", 900)).To(BeNumerically("<=", 5))
	})

	It("makes no claim while the log is unavailable to the node", func() {
		logUnavailable["a"] = true
		Expect(reserve(start(log, "a"), "r1", 500, 100).Verdict).To(Equal(nodev1.Verdict_VERDICT_UNABLE))
		Expect(reserve(start(log, "b"), "r1", 500, 100).Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
	})

	It("makes no claim for some time after the log has refused one", func() {
		var refusing atomic.Bool
		refusing.Store(true)
		log.Intercept = func(string, durable.Partition) error {
			if refusing.Load() {
				return durable.ErrUnavailable
			}
			return nil
		}
		first := start(log, "a")
		verdict := func() nodev1.Verdict { return reserve(first, "r1", 500, 100).Verdict }
		Eventually(verdict, timeout).Should(Equal(nodev1.Verdict_VERDICT_UNABLE))
		refusing.Store(false)
		Eventually(verdict, timeout).Should(Equal(nodev1.Verdict_VERDICT_GRANTED))
	})

	It("returns UNABLE while its claim is not answered", func() {
		store := &unresponsiveLog{Memory: log}
		store.unresponsive.Store(true)
		first := start(store, "a")
		Eventually(func() nodev1.Verdict { return reserve(first, "r1", 500, 100).Verdict }, timeout).
			Should(Equal(nodev1.Verdict_VERDICT_UNABLE))
	})

	It("lets exactly one of two concurrent claims succeed", func() {
		racing := &racingLog{Memory: log}
		rival := start(log, "b")
		racing.beforeAppend = func() { reserve(rival, "r0", 500, 100) }
		result := reserve(start(racing, "a"), "r1", 500, 100)
		Expect(result.Verdict).To(Equal(nodev1.Verdict_VERDICT_NOT_OWNER))
		Expect(result.Owner.Node).To(Equal("b"))
	})
})

var errUnreachable = errors.New("unreachable")

// unresponsiveLog answers no appends while it is unresponsive.
type unresponsiveLog struct {
	*durable.Memory
	unresponsive atomic.Bool
}

// Append implements durable.Log.
func (log *unresponsiveLog) Append(ctx context.Context, partition durable.Partition, records [][]byte, condition durable.Condition) (durable.AppendResult, error) {
	if log.unresponsive.Load() {
		<-ctx.Done()
		return durable.AppendResult{}, ctx.Err()
	}
	return log.Memory.Append(ctx, partition, records, condition)
}

// racingLog runs beforeAppend once before an append, after the claimant has read.
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
