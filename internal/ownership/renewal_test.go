package ownership_test

import (
	"context"
	"fmt"
	"strconv"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/freeze"
	"github.com/magpielug/magpielug/internal/ownership"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

var _ = Describe("Manager with a log that drops old records", func() {
	const retention = time.Second
	const budget, largestTurn = 3000, 300
	var log *durable.Memory
	var ctx context.Context

	// startOwner starts a manager that no other one can ask for a handover. It ends with stop.
	startOwner := func(store durable.Log, name string) (manager *ownership.Manager, stop context.CancelFunc) {
		bounded, cancel := context.WithCancel(ctx)
		DeferCleanup(cancel)
		manager = ownership.NewManager(bounded, store, zap.NewNop(), ownership.Identity{Node: name, Incarnation: name, Address: name}, 1, ownership.Dependencies{
			RequestHandover: func(context.Context, *nodev1.Claim, int) (*nodev1.YieldReply, error) { return nil, errUnreachable },
			LogUnavailable:  func() bool { return false },
			FreezeDetector:  freeze.NewDetector(),
			LogRetention:    retention,
		})
		go manager.Run()
		return manager, cancel
	}
	// spend reserves and settles turns of a program until one is not granted, and returns the tokens.
	spend := func(manager *ownership.Manager, id string, turns int) int64 {
		spent := int64(0)
		for number := range turns {
			requestID := id + "-" + strconv.Itoa(number)
			var result ownership.ReserveResult
			Eventually(func() nodev1.Verdict {
				result = manager.Reserve(ctx, 0, ownership.ReserveRequest{Program: tenant.Program{ID: id}, RequestID: requestID, Budget: budget,
					MaxTokens: largestTurn, ExpiresAt: time.Now().Add(time.Minute), AllowClaim: true})
				return result.Verdict
			}, timeout).ShouldNot(BeElementOf(nodev1.Verdict_VERDICT_WAITING, nodev1.Verdict_VERDICT_UNSURE, nodev1.Verdict_VERDICT_UNABLE))
			if result.Verdict != nodev1.Verdict_VERDICT_GRANTED {
				break
			}
			spent += largestTurn
			manager.Settle(0, tenant.Program{ID: id}, requestID, largestTurn)
		}
		return spent
	}

	BeforeEach(func() {
		log = durable.NewMemory()
		log.SetRetention(retention)
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
	})

	// Guards against budgets that are granted anew after the loss of an owner that was calm for long.
	It("keeps what programs have spent for a successor", func() {
		first, stop := startOwner(log, "first")
		spent := spend(first, "within-allowance", 3)
		spentMore := spend(first, "beyond-allowance", 8)
		time.Sleep(2 * retention)
		stop()
		second, _ := startOwner(log, "second")
		Expect(spent + spend(second, "within-allowance", 12)).To(BeNumerically("<=", budget+largestTurn))
		Expect(spentMore + spend(second, "beyond-allowance", 12)).To(BeNumerically("<=", budget+largestTurn))
	})

	// Guards against records that leave the log although the shard has had an owner all the time.
	It("keeps what programs have spent over a series of owners that are lost soon", func() {
		const owners = 10
		first, stop := startOwner(log, "first")
		spent := spend(first, "returns", 8)
		stop()
		for number := range owners {
			owner, stop := startOwner(log, fmt.Sprintf("owner-%d", number))
			spend(owner, fmt.Sprintf("other-%d", number), 1)
			time.Sleep(retention / 5)
			stop()
		}
		last, _ := startOwner(log, "last")
		Expect(spent + spend(last, "returns", 12)).To(BeNumerically("<=", budget+largestTurn))
	})

	// Guards against a former owner's allowance that is forgotten once its claim has left the log.
	It("keeps the allowances of former owners for a successor", func() {
		first, stop := startOwner(log, "first")
		spent := spend(first, "returns", 3)
		stop()
		second, stop := startOwner(log, "second")
		spend(second, "other", 1)
		time.Sleep(2 * retention)
		stop()
		third, _ := startOwner(log, "third")
		Expect(spent + spend(third, "returns", 12)).To(BeNumerically("<=", budget+largestTurn))
		spentOther := spend(third, "new", 12)
		Expect(spentOther).To(BeNumerically("<=", budget+largestTurn))
	})

	// Guards against shards that no node can claim any more.
	It("claims a shard whose claims have left the log, after any number of owners", func() {
		const owners = 40
		for number := range owners {
			owner, stop := startOwner(log, fmt.Sprintf("owner-%d", number))
			Expect(spend(owner, fmt.Sprintf("program-%d", number), 1)).To(BeNumerically(">", 0))
			stop()
		}
		Eventually(func() int64 {
			batch, err := log.Read(ctx, durable.Partition{Topic: ownership.Topic}, durable.UnknownEnd, 0)
			Expect(err).NotTo(HaveOccurred())
			return batch.EndOffset - batch.FirstOffset
		}, timeout).Should(BeZero())
		last, _ := startOwner(log, "last")
		Expect(spend(last, "program", 1)).To(BeNumerically(">", 0))
	})

	// Guards against a former owner that grants by ceilings that its successor could not read.
	It("grants nothing by ceilings that the log may have dropped", func() {
		unreachable := durable.NewMemory()
		store := &switchedLog{Log: log}
		first, _ := startOwner(store, "first")
		Expect(spend(first, "p", 8)).To(BeNumerically(">", 0))
		unreachable.Intercept = func(string, durable.Partition) error { return durable.ErrUnavailable }
		store.replace(unreachable)
		time.Sleep(retention)
		result := first.Reserve(ctx, 0, ownership.ReserveRequest{Program: tenant.Program{ID: "p"}, RequestID: "late", Budget: budget,
			MaxTokens: 1, ExpiresAt: time.Now().Add(time.Minute), AllowClaim: true})
		Expect(result.Verdict).NotTo(Equal(nodev1.Verdict_VERDICT_GRANTED))
	})

	It("grants budgets anew without the feature", func() {
		Expect(feature.Disable(string(feature.RenewClaims))).To(Succeed())
		DeferCleanup(func() { _ = feature.Disable("") })
		first, stop := startOwner(log, "first")
		spent := spend(first, "p", 8)
		time.Sleep(2 * retention)
		stop()
		second, _ := startOwner(log, "second")
		Expect(spent + spend(second, "p", 12)).To(BeNumerically(">", budget+largestTurn))
	})
})
