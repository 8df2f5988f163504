package backend_test

import (
	"context"
	"fmt"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The bound of requests at an engine", func() {
	request := &backend.Request{Service: service}
	// pause is when an engine that has refused may be asked again.
	const pause = 25 * time.Millisecond
	// take picks until nothing has room, and returns what it got.
	take := func(directory *backend.Directory, most int, at time.Time) []*backend.Engine {
		var taken []*backend.Engine
		for range most {
			engine := directory.Pick(request, at)
			if engine == nil {
				break
			}
			taken = append(taken, engine)
		}
		return taken
	}

	It("is none while nothing is refused", func() {
		Expect(take(newDirectory(1), 100, now)).To(HaveLen(100))
	})

	It("follows what the engine took when it refused one, and grows with answers", func() {
		directory := newDirectory(1)
		taken := take(directory, 11, now)
		directory.Finish(taken[10], backend.Full, now)
		Expect(directory.Pick(request, now)).To(BeNil())
		for range 4 {
			directory.Finish(taken[0], backend.Succeeded, now)
		}
		Expect(take(directory, 100, now)).To(BeEmpty(), "it has refused just now")
		Expect(take(directory, 100, now.Add(pause))).To(HaveLen(1), "7.7 and what 4 answers add, less 6 under way")
	})

	It("counts refusals that come together once, and always lets one request through", func() {
		directory := newDirectory(1)
		taken := take(directory, 20, now)
		for _, engine := range taken {
			directory.Finish(engine, backend.Full, now)
		}
		Expect(take(directory, 100, now)).To(BeEmpty(), "it has refused just now")
		Expect(take(directory, 100, now.Add(pause))).To(HaveLen(14))
		for round := range 50 {
			at := now.Add(time.Duration(round) * time.Second)
			for _, engine := range take(directory, 1, at) {
				directory.Finish(engine, backend.Full, at)
			}
		}
	})

	It("is forgotten some seconds after the last refusal", func() {
		directory := newDirectory(1)
		taken := take(directory, 2, now)
		directory.Finish(taken[1], backend.Full, now)
		Expect(directory.Pick(request, now)).To(BeNil())
		Expect(take(directory, 100, now.Add(4*time.Second))).To(HaveLen(100))
	})
})

var _ = Describe("WaitQueue", func() {
	const patience = 20 * time.Second

	It("wakes its first though nothing ends, and keeps services apart", func() {
		queue := backend.NewWaitQueue()
		done := make(chan struct{})
		go func() {
			queue.Wait(context.Background(), backend.Waiter{Service: service, SoftDeadline: time.Now()}, patience)
			close(done)
		}()
		queue.WakeNext("another")
		Eventually(done, patience).Should(BeClosed())
	})

	It("is left by a request whose patience is over or whose caller is gone", func() {
		queue := backend.NewWaitQueue()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for number := range 3 {
			queue.Wait(ctx, backend.Waiter{Service: fmt.Sprint("s", number), SoftDeadline: time.Now()}, patience)
			queue.Wait(context.Background(), backend.Waiter{Service: fmt.Sprint("s", number), SoftDeadline: time.Now()}, 0)
			Expect(queue.HasWaiters(fmt.Sprint("s", number))).To(BeFalse())
		}
	})
})
