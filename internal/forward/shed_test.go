package forward_test

import (
	"context"
	"errors"
	"testing"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

// newProgramsShedder refuses calls of programs that have not begun.
type newProgramsShedder struct{ begun map[string]bool }

func (shedder *newProgramsShedder) Refuses(program string, begun bool, _ time.Time) (time.Duration, bool) {
	return 200 * time.Millisecond, !begun && !shedder.begun[program]
}

func (shedder *newProgramsShedder) Answered(program string, _ time.Time) {
	shedder.begun[program] = true
}

// Guards against a node short of processor time letting all its callers wait until they give up.
func TestANodeShortOfProcessorTimeRefusesNewProgramsAtOnce(t *testing.T) {
	expect := NewWithT(t)
	directory := backend.NewDirectory()
	directory.Upsert(backend.Instance{ID: "e1", Service: "s", Address: "e1", Slots: 8}, time.Time{})
	routes := &routing.ActiveConfiguration{}
	share := []routing.Share{{Service: "s", Weight: 1}}
	routes.Apply(routing.New(1, []*routing.Route{
		{Name: "tool", Host: "h", Prefix: "/tool/", Shares: share},
		{Name: "chat", Host: "h", Prefix: "/chat/", Kind: routing.Streaming, Shares: share},
	}, []routing.Service{{Name: "s"}}, routing.Limits{}))
	waitQueue := backend.NewWaitQueue()
	waitQueue.SetCapacitySource(directory)
	shedder := &newProgramsShedder{begun: map[string]bool{}}
	sender := &blockingSender{release: make(chan struct{})}
	close(sender.release)
	service := &forward.Service{Routes: routes, Engines: directory, WaitQueue: waitQueue, Metrics: &fakeMetrics{}, Logger: zap.NewNop(), Sender: sender,
		Programs: &fakePrograms{reservation: forward.Reservation{Verdict: nodev1.Verdict_VERDICT_GRANTED}},
		Nodes:    func() int { return 1 }, ViewAge: func() time.Duration { return 0 }, Shedder: shedder}
	serve := func(program, path string) error {
		response := &fakeResponseWriter{}
		service.Serve(context.Background(), &forward.Call{ID: "r", Method: "POST", Host: "h", Target: path, Path: path, Received: time.Now(),
			Deadline: time.Now().Add(2 * time.Second), Program: program, Turn: &forward.TurnRequest{Budget: 1000, MaxTokens: 100}}, response)
		return response.failure
	}
	var refusal *resultcode.Error
	expect.Expect(errors.As(serve("new", "/chat/x"), &refusal)).To(BeTrue())
	expect.Expect(refusal.Code).To(Equal(resultcode.ProcessorBusy))
	expect.Expect(refusal.RetryAfter).To(Equal(200 * time.Millisecond))
	expect.Expect(sender.attempts.Load()).To(BeZero(), "nothing was sent")

	_ = serve("new", "/tool/x")
	expect.Expect(sender.attempts.Load()).To(Equal(int64(1)), "calls of tools are served")

	shedder.begun["\x00begun"] = true // Of no tenant.
	failure := serve("begun", "/chat/x")
	expect.Expect(sender.attempts.Load()).To(Equal(int64(2)), "programs that have begun go on")
	expect.Expect(resultcode.CodeOf(failure)).NotTo(Equal(resultcode.ProcessorBusy))
}
