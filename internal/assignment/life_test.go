package assignment_test

import (
	"testing"

	"github.com/magpielug/magpielug/internal/assignment"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/gomega"
)

// TestALineDoesNotFollowAnEngineIntoItsNextLife has an engine that kept a line start again
// under its id: its memory is empty, and the line is placed by the load.
func TestALineDoesNotFollowAnEngineIntoItsNextLife(t *testing.T) {
	expect := NewWithT(t)
	assigner := assignment.New()
	engines := candidates(2)
	engines[0].Incarnation, engines[1].Incarnation = 100, 100
	line := assignment.Session{Program: tenant.Program{ID: "p"}, ID: "p", Zone: "z"}
	kept := assigner.Assign(line, engines, now)
	assigner.UpdateRunning("a", map[string]int{kept: 6}, now)
	expect.Expect(assigner.Assign(line, engines, now)).To(Equal(kept), "a line stays for the sake of the memory")
	for index := range engines {
		if engines[index].ID == kept {
			engines[index].Incarnation = 200
		}
	}
	expect.Expect(assigner.Assign(line, engines, now)).NotTo(Equal(kept))
}
