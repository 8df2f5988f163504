package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/admission"
	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/gomega"
)

// Guards against a refused program using up its retries within a 2 s burst. The caller follows
// RetryAfter for two attempts per turn, and sends the turn again twice after 250 ms.
func TestRetriesOfRefusedProgramOutlastBurst(t *testing.T) {
	const (
		attempts            = 6
		callerRetryInterval = 250 * time.Millisecond
		burstDuration       = 2 * time.Second
	)
	expect := NewWithT(t)
	controller := admission.NewController(admission.Options{})
	route := admission.RouteName("r", models, 0)
	total := load.NewReport()
	total.Routes[route] = load.Route{Service: models, Programs: 900, Turns: 900, ProgramsStarted: 300}
	state := &admission.State{Total: total, Known: true, OwnerShare: 1, Services: []admission.Service{{Name: models, Slots: 270, Engines: 45, Running: 400}}}
	start := time.Unix(1000, 0)
	now := start
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		controller.Observe(state, now)
	}
	firstAttempt := now
	for attempt := range attempts {
		// Other programs compete for the start rate.
		for other := range 300 {
			controller.Decide(admission.Request{Program: tenant.Program{ID: fmt.Sprint(attempt, "-", other)}, Route: route, Service: models}, state, now)
		}
		request := admission.Request{Program: tenant.Program{ID: "p"}, Route: route, Service: models, UntilSoftDeadline: 500*time.Millisecond - now.Sub(firstAttempt), HasSoftDeadline: true}
		decision := controller.Decide(request, state, now)
		expect.Expect(decision.Admitted).To(BeFalse())
		expect.Expect(decision.RetryAfter).To(BeNumerically("<=", 1300*time.Millisecond), "callers accept waits up to a third of a turn's 4 s timeout")
		if attempt == attempts-1 {
			break
		}
		if attempt%2 == 0 {
			now = now.Add(decision.RetryAfter)
		} else {
			now = now.Add(callerRetryInterval)
		}
	}
	expect.Expect(now.Sub(firstAttempt)).To(BeNumerically(">", burstDuration))
}
