package admission

import (
	"strconv"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/tenant"
)

// targetState has the size that docs/DEVELOPERS.md names: 320 tenants, 20 routes and 56,000
// turns on 7 models.
func targetState() *State {
	report := load.NewReport()
	for number := range 20 {
		service := "s" + strconv.Itoa(number%7)
		report.Routes[RouteName("r"+strconv.Itoa(number), service, number%3)] = load.Route{Service: service, Priority: number % 3, Programs: 4350, Turns: 2800, ProgramsStarted: 10}
	}
	for number := range 320 {
		report.Tenants[load.TenantPriority{Tenant: "t" + strconv.Itoa(number), Priority: number % 3}] = 270
	}
	state := &State{Total: report, Known: true, Age: 400 * time.Millisecond, OwnerShare: 1.0 / 8}
	for number := range 7 {
		state.Services = append(state.Services, Service{Name: "s" + strconv.Itoa(number), Slots: 8000, Engines: 85, Running: 8000})
	}
	return state
}

func BenchmarkDecideAtTargetSize(b *testing.B) {
	state := targetState()
	controller := NewController(Options{TenantShares: true, MemoryLimit: true})
	now := time.Unix(1000, 0)
	for number := range b.N {
		now = now.Add(time.Millisecond)
		program := tenant.Program{Tenant: "t1", ID: strconv.Itoa(number)}
		controller.Decide(Request{Program: program, Route: RouteName("r1", "s1", 1), Service: "s1", Priority: 1}, state, now)
	}
}

// BenchmarkTablePrograms measures the bytes that an owner holds per program.
func BenchmarkTablePrograms(b *testing.B) {
	b.ReportAllocs()
	table := NewTable()
	now := time.Unix(1000, 0)
	for number := range b.N {
		name := strconv.Itoa(number)
		table.RecordTurnStart(Turn{Program: tenant.Program{Tenant: "t", ID: name}, RequestID: name + "/0", Session: name, Route: "r", Service: "s", PromptTokens: 700,
			ExpiresAt: now.Add(time.Second), FirstTurn: true}, now)
	}
}
