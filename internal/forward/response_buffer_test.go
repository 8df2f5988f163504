package forward_test

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/heldbytes"
	"github.com/magpielug/magpielug/internal/routing"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

var _ = Describe("Buffered responses", func() {
	// serveSafe serves one safe request with the given limit on buffered bytes.
	serveSafe := func(sender forward.Sender, limiter *heldbytes.Limiter) (response *fakeResponseWriter) {
		directory := backend.NewDirectory()
		for _, id := range []string{"e1", "e2"} {
			directory.Upsert(backend.Instance{ID: id, Service: "s", Address: id}, time.Time{})
		}
		routes := &routing.ActiveConfiguration{}
		routes.Apply(routing.New(1, []*routing.Route{{Name: "safe", Host: "h", Prefix: "/", Kind: routing.Safe, MaxAttempts: 2,
			Shares: []routing.Share{{Service: "s", Weight: 1}}}}, []routing.Service{{Name: "s"}}, routing.Limits{}))
		service := &forward.Service{Routes: routes, Engines: directory, Sender: sender, WaitQueue: backend.NewWaitQueue(),
			Programs: &fakePrograms{}, Metrics: &fakeMetrics{}, Logger: zap.NewNop(), Nodes: func() int { return 1 },
			ViewAge: func() time.Duration { return 0 }, HeldResponses: limiter}
		response = &fakeResponseWriter{}
		defer func() { _ = recover() }()
		service.Serve(context.Background(), &forward.Call{ID: "r", Method: "GET", Host: "h", Path: "/", Received: time.Now(),
			Deadline: time.Now().Add(2 * time.Second)}, response)
		return response
	}
	long := strings.Repeat("0123456789abcdef", 20_000)

	It("are streamed completely if they exceed the limit, and release their bytes", func() {
		limiter := heldbytes.New(16 << 10)
		sender := &fakeSender{responses: []func() (*forward.EngineResponse, error){respondWith(200, strings.NewReader(long))}}
		response := serveSafe(sender, limiter)
		Expect(response.body.String()).To(Equal(long))
		Expect(response.ended).To(BeTrue())
		Expect(limiter.InUse()).To(BeZero())
	})

	It("are retried if interrupted while buffered, and aborted if interrupted while streamed", func() {
		interrupted := func() io.Reader { return interruptedReader{strings.NewReader(long)} }
		sender := &fakeSender{responses: []func() (*forward.EngineResponse, error){respondWith(200, interrupted()), respondWith(200, strings.NewReader(long))}}
		response := serveSafe(sender, heldbytes.New(0))
		Expect(response.body.String()).To(Equal(long))
		Expect(sender.sent).To(HaveLen(2))

		sender = &fakeSender{responses: []func() (*forward.EngineResponse, error){respondWith(200, interrupted()), respondWith(200, strings.NewReader(long))}}
		limiter := heldbytes.New(16 << 10)
		response = serveSafe(sender, limiter)
		Expect(response.aborted).To(BeTrue(), "the caller must not mistake it for complete")
		Expect(sender.sent).To(HaveLen(1))
		Expect(limiter.InUse()).To(BeZero())
	})
})
