package history_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/history"
	"github.com/magpielug/magpielug/internal/region"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Refresher", func() {
	const logRetention = 400 * time.Millisecond
	ignoreFailure := func(*history.Turn, error) {}

	// converse runs a conversation for a time at one node, whose log drops old records, and returns the
	// log and the id of the last turn.
	converse := func(duration time.Duration) (*durable.Memory, string, int) {
		log := durable.NewMemory()
		log.SetRetention(logRetention)
		ctx := context.Background()
		store := history.NewStore(1 << 20)
		recorder := history.NewRecorder(log, shards)
		refresher := history.NewRefresher(store, func(ctx context.Context, turn *history.Turn) error { return recorder.Record(ctx, 1, turn) }, logRetention)
		began := time.Now()
		previous, count := "", 0
		for ; time.Since(began) < duration; count++ {
			chain, _, complete := store.Chain(key(previous))
			Expect(complete).To(BeTrue())
			refresher.Refresh(chain, nil, time.Now(), ignoreFailure)
			next := turn(fmt.Sprintf("turn-%d", count), previous, "x", "y\n")
			Expect(recorder.Record(ctx, 1, next)).To(Succeed())
			store.Add(next)
			previous = next.ID
			time.Sleep(40 * time.Millisecond)
		}
		return log, previous, count
	}

	// Guards against conversations that lose their beginning when they go on for longer than the log
	// keeps records and all nodes are lost.
	It("keeps a conversation whole that goes on for longer than the log keeps records", func() {
		log, last, count := converse(4 * logRetention)
		restarted := history.NewReader(log, history.NewStore(1<<20), shards)
		found, err := restarted.Find(context.Background(), 1, key(last))
		Expect(err).NotTo(HaveOccurred())
		Expect(found.Chain).To(HaveLen(count))
	})

	It("loses its beginning without the feature", func() {
		Expect(feature.Disable(string(feature.RefreshTurns))).To(Succeed())
		DeferCleanup(func() { _ = feature.Disable("") })
		log, last, _ := converse(4 * logRetention)
		_, err := history.NewReader(log, history.NewStore(1<<20), shards).Find(context.Background(), 1, key(last))
		Expect(err).To(HaveOccurred())
	})

	It("records a turn once for concurrent turns that continue it, and for permitted zones only", func() {
		const retention = 5 * time.Minute
		recorded := make(chan *history.Turn, 10)
		proceed := make(chan struct{})
		store := history.NewStore(1 << 20)
		refresher := history.NewRefresher(store, func(_ context.Context, turn *history.Turn) error {
			recorded <- turn
			<-proceed
			return nil
		}, retention)
		old := turn("a", "", "x", "y\n")
		store.Add(old)
		now := time.Now().Add(retention - old.Retention)
		zones := region.ZoneSet{"z1"}
		refresher.Refresh([]*history.Turn{old}, zones, now, ignoreFailure)
		Expect((<-recorded).Zones).To(Equal(zones))
		refresher.Refresh([]*history.Turn{old}, zones, now, ignoreFailure)
		close(proceed)
		Eventually(refresher.Refreshed).Should(Equal(1))
		chain, _, _ := store.Chain(key("a"))
		refresher.Refresh(chain, zones, now, ignoreFailure)
		Consistently(recorded, "50ms").ShouldNot(Receive())
	})

	It("records nothing that the log still keeps for long enough", func() {
		var records atomic.Int32
		refresher := history.NewRefresher(history.NewStore(1<<20), func(context.Context, *history.Turn) error {
			records.Add(1)
			return nil
		}, 5*time.Minute)
		fresh := turn("a", "", "x", "y\n")
		refresher.Refresh([]*history.Turn{fresh}, nil, time.Now().Add(3*time.Minute), ignoreFailure)
		Consistently(records.Load, "50ms").Should(BeZero())
	})

	It("reports a turn that could not be recorded, and tries it again with the next turn", func() {
		failures := make(chan error, 2)
		refresher := history.NewRefresher(history.NewStore(1<<20), func(context.Context, *history.Turn) error { return durable.ErrUnavailable }, time.Minute)
		old := turn("a", "", "x", "y\n")
		for range 2 {
			Eventually(func() bool {
				refresher.Refresh([]*history.Turn{old}, nil, time.Now().Add(time.Minute), func(_ *history.Turn, err error) { failures <- err })
				select {
				case err := <-failures:
					return errors.Is(err, durable.ErrUnavailable)
				case <-time.After(time.Second):
					return false
				}
			}).Should(BeTrue())
		}
	})
})
