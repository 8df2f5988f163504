package backend_test

import (
	"context"
	"fmt"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Concurrency limit of an engine", func() {
	request := &backend.Request{Service: service}
	// fullBackoff is the backoff after the first refusal.
	const fullBackoff = 25 * time.Millisecond
	// pickUpTo picks up to count engines until none is admitted.
	pickUpTo := func(directory *backend.Directory, count int, at time.Time) []*backend.Engine {
		var picked []*backend.Engine
		for range count {
			engine := directory.Pick(request, at)
			if engine == nil {
				break
			}
			picked = append(picked, engine)
		}
		return picked
	}

	It("does not apply without refusals", func() {
		Expect(pickUpTo(newDirectory(1), 100, now)).To(HaveLen(100))
	})

	It("is set by the number of requests at a refusal, and grows with successes", func() {
		directory := newDirectory(1)
		picked := pickUpTo(directory, 11, now)
		directory.Finish(picked[10], backend.Full, now)
		Expect(directory.Pick(request, now)).To(BeNil())
		for range 4 {
			directory.Finish(picked[0], backend.Succeeded, now)
		}
		Expect(pickUpTo(directory, 100, now)).To(BeEmpty(), "the engine is backing off")
		Expect(pickUpTo(directory, 100, now.Add(fullBackoff))).To(HaveLen(1), "7.7 plus the increase of 4 successes, minus 6 running")
	})

	It("is lowered once by concurrent refusals, and always admits one request", func() {
		directory := newDirectory(1)
		picked := pickUpTo(directory, 20, now)
		for _, engine := range picked {
			directory.Finish(engine, backend.Full, now)
		}
		Expect(pickUpTo(directory, 100, now)).To(BeEmpty(), "the engine is backing off")
		Expect(pickUpTo(directory, 100, now.Add(fullBackoff))).To(HaveLen(14))
		for round := range 50 {
			at := now.Add(time.Duration(round) * time.Second)
			for _, engine := range pickUpTo(directory, 1, at) {
				directory.Finish(engine, backend.Full, at)
			}
		}
	})

	// Guards against a panic in the call that is refused while the engine is avoided for lack of connections.
	It("takes a refusal that follows a lack of connections", func() {
		directory := newDirectory(1)
		picked := pickUpTo(directory, 3, now)
		directory.Finish(picked[0], backend.NoConnection, now)
		directory.Finish(picked[1], backend.Full, now.Add(time.Millisecond))
		Expect(directory.Pick(request, now.Add(2*time.Millisecond))).To(BeNil())
		directory.Finish(picked[2], backend.Succeeded, now.Add(2*time.Millisecond))
		Expect(directory.Pick(request, now.Add(2*fullBackoff))).NotTo(BeNil())
	})

	It("expires some seconds after the last refusal", func() {
		directory := newDirectory(1)
		picked := pickUpTo(directory, 2, now)
		directory.Finish(picked[1], backend.Full, now)
		Expect(directory.Pick(request, now)).To(BeNil())
		Expect(pickUpTo(directory, 100, now.Add(4*time.Second))).To(HaveLen(100))
	})
})

var _ = Describe("WaitQueue", func() {
	const maxWait = 20 * time.Second

	It("wakes the first request without any event, and keeps services separate", func() {
		queue := backend.NewWaitQueue()
		done := make(chan struct{})
		go func() {
			queue.Wait(context.Background(), backend.Waiter{Service: service, SoftDeadline: time.Now()}, maxWait)
			close(done)
		}()
		queue.WakeNext("another")
		Eventually(done, maxWait).Should(BeClosed())
	})

	It("removes a request after its maximum wait or when its caller leaves", func() {
		queue := backend.NewWaitQueue()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for number := range 3 {
			queue.Wait(ctx, backend.Waiter{Service: fmt.Sprint("s", number), SoftDeadline: time.Now()}, maxWait)
			queue.Wait(context.Background(), backend.Waiter{Service: fmt.Sprint("s", number), SoftDeadline: time.Now()}, 0)
			Expect(queue.HasWaiters(fmt.Sprint("s", number))).To(BeFalse())
		}
	})
})
