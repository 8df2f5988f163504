package forward

import (
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/routing"
	. "github.com/onsi/gomega"
)

// newWaitingCall returns a call whose search for an engine starts now. Without a soft deadline,
// untilSoftDeadline is 0.
func newWaitingCall(kind routing.Kind, now time.Time, untilSoftDeadline time.Duration) *inflightCall {
	call := &Call{Program: "p", Received: now}
	if untilSoftDeadline != 0 {
		call.SoftDeadline = now.Add(untilSoftDeadline)
	}
	return &inflightCall{
		call:          call,
		route:         &routing.Route{Kind: kind, Objective: 100 * time.Millisecond},
		deadline:      now.Add(2 * time.Second),
		searchStarted: now,
	}
}

func TestToolCallsWaitLongerThanTurns(t *testing.T) {
	expect := NewWithT(t)
	now := time.Now()
	expect.Expect(newWaitingCall(routing.Unsafe, now, time.Hour).maxEngineWait()).To(Equal(time.Second))
	expect.Expect(newWaitingCall(routing.Streaming, now, time.Hour).maxEngineWait()).To(Equal(80 * time.Millisecond))
	withoutProgram := newWaitingCall(routing.Unsafe, now, 0)
	withoutProgram.call.Program = ""
	expect.Expect(withoutProgram.maxEngineWait()).To(Equal(80 * time.Millisecond))
}

func TestSoftDeadlineInWaitQueue(t *testing.T) {
	expect := NewWithT(t)
	now := time.Now()
	waitEnd := now.Add(time.Second)
	expect.Expect(newWaitingCall(routing.Unsafe, now, 500*time.Millisecond).softDeadline()).To(Equal(now.Add(500*time.Millisecond)), "the program's soft deadline")
	expect.Expect(newWaitingCall(routing.Unsafe, now, time.Hour).softDeadline()).To(Equal(waitEnd), "the end of the maximum wait")
	expect.Expect(newWaitingCall(routing.Unsafe, now, -time.Second).softDeadline()).To(Equal(now.Add(-time.Second)), "a missed deadline, which the queue orders last")
	expect.Expect(newWaitingCall(routing.Unsafe, now, 0).softDeadline()).To(Equal(waitEnd), "no soft deadline")
}

func TestTurnsOfContinuedProgramsWaitLonger(t *testing.T) {
	expect := NewWithT(t)
	turn := newWaitingCall(routing.Streaming, time.Now(), time.Hour)
	expect.Expect(turn.maxEngineWait()).To(Equal(80 * time.Millisecond))
	turn.continuesProgram = true
	expect.Expect(turn.maxEngineWait()).To(Equal(600 * time.Millisecond))
}
