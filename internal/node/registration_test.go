package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

var _ = Describe("A node's membership record", func() {
	const topic = "keyed.nodes"
	registrationTimeout := 20 * time.Second
	before := Member{Name: "node-1", Address: "10.0.0.1:7000", Zone: "a", Incarnation: "before", Capacity: 800}

	// startRegistration runs the registration of a restarted node that has read a given record, and
	// returns a function that counts the records in the log.
	startRegistration := func(log durable.Log, recorded, self Member) func() int64 {
		self.Incarnation = "now"
		registration := newRegistration(log, topic, zap.NewNop(), func() Member { return self }, func() bool { return true })
		registration.observe(recorded)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			registration.run(ctx)
			close(ended)
		}()
		DeferCleanup(func() {
			cancel()
			Eventually(ended, registrationTimeout).Should(BeClosed())
		})
		return func() int64 {
			snapshot, err := log.Latest(context.Background(), topic)
			Expect(err).NotTo(HaveOccurred())
			return snapshot.EndOffset
		}
	}

	It("is not written if the log already holds it", func() {
		recordCount := startRegistration(durable.NewMemory(), before, before)
		Consistently(recordCount, 3*registerCheckInterval).Should(BeZero())
	})

	It("is written if the log holds none", func() {
		recordCount := startRegistration(durable.NewMemory(), Member{}, before)
		Eventually(recordCount, registrationTimeout).Should(BeEquivalentTo(1))
		Consistently(recordCount, 2*registerCheckInterval).Should(BeEquivalentTo(1))
	})

	It("is written if the log holds another address or the draining state", func() {
		readdressed := before
		readdressed.Address = "10.0.0.9:7000"
		Eventually(startRegistration(durable.NewMemory(), before, readdressed), registrationTimeout).Should(BeEquivalentTo(1))
		draining := before
		draining.Draining = true
		Eventually(startRegistration(durable.NewMemory(), draining, before), registrationTimeout).Should(BeEquivalentTo(1))
	})

	It("is rewritten after a late append of an earlier incarnation", func() {
		log := durable.NewMemory()
		registration := newRegistration(log, topic, zap.NewNop(), func() Member { return before }, func() bool { return true })
		registration.observe(before)
		Expect(registration.outdated()).To(BeFalse())
		stale := before
		stale.Draining = true
		Expect(registration.observe(stale)).To(BeTrue())
		Expect(registration.outdated()).To(BeTrue())
		Expect(registration.write(context.Background())).To(BeTrue())
		Expect(registration.outdated()).To(BeFalse())
	})

	It("is not written before the log has been read or registerReadTimeout has passed", func() {
		var read atomic.Bool
		registration := newRegistration(durable.NewMemory(), topic, zap.NewNop(), func() Member { return before }, read.Load)
		waited := make(chan struct{})
		go func() {
			registration.awaitLoaded(context.Background())
			close(waited)
		}()
		Consistently(waited, registerRetryDelay).ShouldNot(BeClosed())
		read.Store(true)
		Eventually(waited, registrationTimeout).Should(BeClosed())
		read.Store(false)
		registration.awaitLoaded(context.Background()) // Returns after registerReadTimeout.
	})
})
