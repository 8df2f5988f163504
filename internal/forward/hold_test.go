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

var _ = Describe("answers held until they are whole", func() {
	// serveSafe answers one repeatable request while all answers together may hold most bytes.
	serveSafe := func(sender forward.Sender, held *heldbytes.Limiter) (answer *fakeAnswer) {
		directory := backend.NewDirectory()
		for _, id := range []string{"e1", "e2"} {
			directory.Upsert(backend.Instance{ID: id, Service: "s", Address: id}, time.Time{})
		}
		routes := &routing.ActiveConfiguration{}
		routes.Apply(routing.New(1, []*routing.Route{{Name: "safe", Host: "h", Prefix: "/", Kind: routing.Safe, MaxAttempts: 2,
			Shares: []routing.Share{{Service: "s", Weight: 1}}}}, []routing.Service{{Name: "s"}}, routing.Limits{}))
		service := &forward.Service{Routes: routes, Engines: directory, Sender: sender, WaitQueue: backend.NewWaitQueue(),
			Programs: &fakePrograms{}, Meter: &fakeMeter{}, Logger: zap.NewNop(), Nodes: func() int { return 1 },
			ViewAge: func() time.Duration { return 0 }, HeldResponses: held}
		answer = &fakeAnswer{}
		defer func() { _ = recover() }()
		service.Serve(context.Background(), &forward.Call{ID: "r", Method: "GET", Host: "h", Path: "/", Received: time.Now(),
			Deadline: time.Now().Add(2 * time.Second)}, answer)
		return answer
	}
	long := strings.Repeat("0123456789abcdef", 20_000)

	It("passes a long answer on as it comes where there is no room to hold it, whole and counted no more afterwards", func() {
		held := heldbytes.New(16 << 10)
		sender := &fakeSender{replies: []func() (*forward.EngineResponse, error){answerOf(200, strings.NewReader(long))}}
		answer := serveSafe(sender, held)
		Expect(answer.body.String()).To(Equal(long))
		Expect(answer.ended).To(BeTrue())
		Expect(held.InUse()).To(BeZero())
	})

	It("tries a broken answer elsewhere while it was held, and ends it as broken once it was passed on", func() {
		broken := func() io.Reader { return brokenReader{strings.NewReader(long)} }
		sender := &fakeSender{replies: []func() (*forward.EngineResponse, error){answerOf(200, broken()), answerOf(200, strings.NewReader(long))}}
		answer := serveSafe(sender, heldbytes.New(0))
		Expect(answer.body.String()).To(Equal(long))
		Expect(sender.sent).To(HaveLen(2))

		sender = &fakeSender{replies: []func() (*forward.EngineResponse, error){answerOf(200, broken()), answerOf(200, strings.NewReader(long))}}
		held := heldbytes.New(16 << 10)
		answer = serveSafe(sender, held)
		Expect(answer.aborted).To(BeTrue(), "it must not look complete")
		Expect(sender.sent).To(HaveLen(1))
		Expect(held.InUse()).To(BeZero())
	})
})
