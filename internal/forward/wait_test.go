package forward

import (
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/routing"
	. "github.com/onsi/gomega"
)

// waitingCall is a program's call that looks for an engine since now, with an aim.
func waitingCall(kind routing.Kind, now time.Time, aim time.Duration) *course {
	call := &Call{Program: "p", Received: now}
	if aim != 0 {
		call.SoftDeadline = now.Add(aim)
	}
	return &course{
		call:      call,
		route:     &routing.Route{Kind: kind, Objective: 100 * time.Millisecond},
		end:       now.Add(2 * time.Second),
		searching: now,
	}
}

func TestToolsWaitLongerThanTurns(t *testing.T) {
	expect := NewWithT(t)
	now := time.Now()
	expect.Expect(waitingCall(routing.Unsafe, now, time.Hour).engineWait()).To(Equal(time.Second))
	expect.Expect(waitingCall(routing.Streaming, now, time.Hour).engineWait()).To(Equal(80 * time.Millisecond))
	alone := waitingCall(routing.Unsafe, now, 0)
	alone.call.Program = ""
	expect.Expect(alone.engineWait()).To(Equal(80 * time.Millisecond))
}

func TestUrgencyInLine(t *testing.T) {
	expect := NewWithT(t)
	now := time.Now()
	givenUp := now.Add(time.Second)
	expect.Expect(waitingCall(routing.Unsafe, now, 500*time.Millisecond).aim()).To(Equal(now.Add(500*time.Millisecond)), "the program's aim")
	expect.Expect(waitingCall(routing.Unsafe, now, time.Hour).aim()).To(Equal(givenUp), "the end of its patience")
	expect.Expect(waitingCall(routing.Unsafe, now, -time.Second).aim()).To(Equal(now.Add(-time.Second)), "late, so that it comes last")
	expect.Expect(waitingCall(routing.Unsafe, now, 0).aim()).To(Equal(givenUp), "no aim")
}

func TestTurnsOfProgramsThatGoOnWaitLonger(t *testing.T) {
	expect := NewWithT(t)
	first := waitingCall(routing.Streaming, time.Now(), time.Hour)
	expect.Expect(first.engineWait()).To(Equal(80 * time.Millisecond))
	first.goesOn = true
	expect.Expect(first.engineWait()).To(Equal(600 * time.Millisecond))
}
