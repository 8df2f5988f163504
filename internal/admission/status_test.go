package admission

import (
	"math"
	"testing"

	"github.com/magpielug/magpielug/internal/load"
	. "github.com/onsi/gomega"
)

func TestTenantSharesListFairShares(t *testing.T) {
	expect := NewWithT(t)
	report := load.NewReport()
	report.Tenants[load.TenantPriority{Tenant: "hot", Priority: 1}] = 60
	report.Tenants[load.TenantPriority{Tenant: "small", Priority: 1}] = 2
	report.Tenants[load.TenantPriority{Tenant: "other", Priority: 1}] = 8
	report.Tenants[load.TenantPriority{Tenant: "urgent", Priority: 0}] = 5
	report.Routes["r"] = load.Route{Service: "s", Priority: 1, Programs: 1, Turns: 1}
	stateWith := func(running int) *State {
		return &State{Total: report, Known: true, OwnerShare: 1, Services: []Service{{Name: "s", Slots: 40, Engines: 4, Running: running}}}
	}
	shares := func(state *State) map[string]float64 {
		controller := NewController(Options{TenantShares: true})
		controller.estimator.service("s").occupancy.value = float64(state.Services[0].Running)
		found := map[string]float64{}
		for _, share := range controller.TenantShares(state) {
			found[share.Tenant] = share.FairShare
		}
		return found
	}

	uncontested := shares(stateWith(10))
	expect.Expect(uncontested["hot"]).To(Equal(math.Inf(1)), "there is capacity for all")
	scarce := shares(stateWith(80))
	expect.Expect(scarce["hot"]).To(And(BeNumerically("<", 60), BeNumerically(">", 8)))
	expect.Expect(scarce["small"]).To(Equal(scarce["hot"]), "tenants of equal weight have equal shares")
	expect.Expect(scarce["urgent"]).To(Equal(math.Inf(1)), "no other tenant has this priority")

	ordered := NewController(Options{}).TenantShares(stateWith(80))
	expect.Expect(ordered[0].Tenant).To(Equal("hot"))
	expect.Expect(ordered[0].FairShare).To(Equal(math.Inf(1)), "tenant shares are disabled")
	expect.Expect(ordered).To(HaveLen(4))
}
