package assignment_test

import (
	"testing"

	"github.com/magpielug/magpielug/internal/assignment"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/gomega"
)

// Guards against keeping a session on a restarted engine, whose memory is empty.
func TestRestartedEngineLosesItsSessions(t *testing.T) {
	expect := NewWithT(t)
	assigner := assignment.New()
	engines := candidates(2)
	engines[0].Incarnation, engines[1].Incarnation = 100, 100
	session := assignment.Session{Program: tenant.Program{ID: "p"}, ID: "p", Zone: "z"}
	first := assigner.Assign(session, engines, now)
	assigner.UpdateRunning("a", map[string]int{first: 6}, now)
	expect.Expect(assigner.Assign(session, engines, now)).To(Equal(first), "the engine's memory holds the prompt")
	for index := range engines {
		if engines[index].ID == first {
			engines[index].Incarnation = 200
		}
	}
	expect.Expect(assigner.Assign(session, engines, now)).NotTo(Equal(first))
}
