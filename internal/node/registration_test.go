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

var _ = Describe("A node's own record", func() {
	const topic = "keyed.nodes"
	patience := 20 * time.Second
	before := Member{Name: "node-1", Address: "10.0.0.1:7000", Zone: "a", Incarnation: "before", Capacity: 800}

	// writer runs the registration of a node of its next incarnation, with what the log
	// held of it read already, and returns how many records the log holds then.
	writer := func(log durable.Log, recorded, self Member) func() int64 {
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
			Eventually(ended, patience).Should(BeClosed())
		})
		return func() int64 {
			snapshot, err := log.Latest(context.Background(), topic)
			Expect(err).NotTo(HaveOccurred())
			return snapshot.End
		}
	}

	It("is not written where the log holds it already", func() {
		written := writer(durable.NewMemory(), before, before)
		Consistently(written, 3*registerCheck).Should(BeZero())
	})

	It("is written where the log holds none", func() {
		written := writer(durable.NewMemory(), Member{}, before)
		Eventually(written, patience).Should(BeEquivalentTo(1))
		Consistently(written, 2*registerCheck).Should(BeEquivalentTo(1))
	})

	It("is written where the log holds another address, or that the node leaves", func() {
		moved := before
		moved.Address = "10.0.0.9:7000"
		Eventually(writer(durable.NewMemory(), before, moved), patience).Should(BeEquivalentTo(1))
		left := before
		left.Draining = true
		Eventually(writer(durable.NewMemory(), left, before), patience).Should(BeEquivalentTo(1))
	})

	It("is written again where an append of an earlier life comes late", func() {
		log := durable.NewMemory()
		registration := newRegistration(log, topic, zap.NewNop(), func() Member { return before }, func() bool { return true })
		registration.observe(before)
		Expect(registration.due()).To(BeFalse())
		late := before
		late.Draining = true
		Expect(registration.observe(late)).To(BeTrue())
		Expect(registration.due()).To(BeTrue())
		Expect(registration.write(context.Background())).To(BeTrue())
		Expect(registration.due()).To(BeFalse())
	})

	It("is not written before the log was read, unless that takes too long", func() {
		var read atomic.Bool
		registration := newRegistration(durable.NewMemory(), topic, zap.NewNop(), func() Member { return before }, read.Load)
		waited := make(chan struct{})
		go func() {
			registration.awaitRead(context.Background())
			close(waited)
		}()
		Consistently(waited, registerPause).ShouldNot(BeClosed())
		read.Store(true)
		Eventually(waited, patience).Should(BeClosed())
		read.Store(false)
		registration.awaitRead(context.Background()) // Ends by itself.
	})
})
