package admission_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/magpielug/magpielug/internal/admission"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Sustained overload", func() {
	const (
		span     = 45 * time.Second
		interval = 15 * time.Second
		tenants  = 12
	)
	// Requests are spread evenly over the tenants.
	anyTenant := func(_ time.Duration, random *rand.Rand) string { return fmt.Sprint("t", random.IntN(tenants)) }
	type tenantOf = func(time.Duration, *rand.Rand) string
	// threePriorities returns three priorities with more demand than capacity. Of the last,
	// "expensive" needs twenty times the work of "cheap".
	threePriorities := func(tenant tenantOf) []*programClass {
		return []*programClass{
			{route: "urgent", priority: 0, rate: steadyRate(400), lifetime: time.Second, concurrentTurns: 1, tenant: tenant},
			{route: "usual", priority: 1, rate: steadyRate(200), lifetime: time.Second, concurrentTurns: 1, tenant: tenant},
			{route: "cheap", priority: 2, rate: steadyRate(200), lifetime: time.Second, concurrentTurns: 1, tenant: tenant},
			{route: "expensive", priority: 2, rate: steadyRate(20), lifetime: 8 * time.Second, concurrentTurns: 4, tenant: tenant},
		}
	}
	// onePriority returns the last two classes only.
	onePriority := func(tenant tenantOf) []*programClass {
		classes := threePriorities(tenant)[2:]
		classes[0].rate = steadyRate(600)
		return classes
	}
	// started returns the number of programs of a route that start in an interval.
	started := func(sim *simulation, route string, from time.Duration) int {
		sum := sim.between(from, from+interval)
		count := 0
		for tenant := range tenants {
			key := fmt.Sprint(route, "t", tenant)
			count += sum.requested[key] - sum.refused[key]
		}
		return count
	}

	for name, classes := range map[string]func(tenantOf) []*programClass{"three priorities": threePriorities, "one priority": onePriority} {
		for _, shares := range []bool{false, true} {
			It(fmt.Sprintf("still starts programs of each route, with %s, tenant shares %t", name, shares), func() {
				for seed := range uint64(2) {
					sim := &simulation{classes: classes(anyTenant), owners: 14, viewAge: 300 * time.Millisecond, seed: seed, options: admission.Options{TenantShares: shares}}
					sim.run(span)
					for _, class := range sim.classes {
						for from := interval; from < span; from += interval {
							GinkgoWriter.Println(seed, class.route, from, "started", started(sim, class.route, from), "demand", sim.between(from, from+interval).demand)
							Expect(started(sim, class.route, from)).To(BeNumerically(">", 0), "%s from %s, seed %d", class.route, from, seed)
						}
					}
				}
			})
		}
	}
})
