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

// TestTriesOfARefusedProgramOutlastABurst has a program asked for while there is no room: its
// caller comes back when it is told to, twice a turn, and sends the turn anew twice after a
// quarter of a second. Bursts of 2 s are over by its last try.
func TestTriesOfARefusedProgramOutlastABurst(t *testing.T) {
	const (
		tries      = 6
		betweenOwn = 250 * time.Millisecond
		burstTime  = 2 * time.Second
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
	began := now
	for try := range tries {
		// Others ask too, and take what may begin.
		for other := range 300 {
			controller.Decide(admission.Request{Program: tenant.Program{ID: fmt.Sprint(try, "-", other)}, Route: route, Service: models}, state, now)
		}
		order := admission.Request{Program: tenant.Program{ID: "p"}, Route: route, Service: models, UntilSoftDeadline: 500*time.Millisecond - now.Sub(began), HasSoftDeadline: true}
		decision := controller.Decide(order, state, now)
		expect.Expect(decision.Admitted).To(BeFalse())
		expect.Expect(decision.RetryAfter).To(BeNumerically("<=", 1300*time.Millisecond), "callers heed a third of a turn's 4 s")
		if try == tries-1 {
			break
		}
		if try%2 == 0 {
			now = now.Add(decision.RetryAfter)
		} else {
			now = now.Add(betweenOwn)
		}
	}
	expect.Expect(now.Sub(began)).To(BeNumerically(">", burstTime))
}
