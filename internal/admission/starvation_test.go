package admission_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/magpielug/magpielug/internal/admission"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Overload without an end", func() {
	const (
		span = 45 * time.Second
		part = 15 * time.Second
		// tenants is how many there are.
		tenants = 12
	)
	// All tenants ask for programs of all kinds alike.
	anyTenant := func(_ time.Duration, random *rand.Rand) string { return fmt.Sprint("t", random.IntN(tenants)) }
	type tenantOf = func(time.Duration, *rand.Rand) string
	// crowded are three ranks that all ask for more than there is. Of the last one "dear"
	// needs twenty times the work of "cheap".
	crowded := func(tenant tenantOf) []*kind {
		return []*kind{
			{route: "urgent", rank: 0, rate: steadyRate(400), life: time.Second, width: 1, tenant: tenant},
			{route: "usual", rank: 1, rate: steadyRate(200), life: time.Second, width: 1, tenant: tenant},
			{route: "cheap", rank: 2, rate: steadyRate(200), life: time.Second, width: 1, tenant: tenant},
			{route: "dear", rank: 2, rate: steadyRate(20), life: 8 * time.Second, width: 4, tenant: tenant},
		}
	}
	// alone are the last two kinds only.
	alone := func(tenant tenantOf) []*kind {
		kinds := crowded(tenant)[2:]
		kinds[0].rate = steadyRate(600)
		return kinds
	}
	// begun is how many programs of a route begin in a part of the run.
	begun := func(run *replay, route string, from time.Duration) int {
		sum := run.within(from, from+part)
		count := 0
		for tenant := range tenants {
			key := fmt.Sprint(route, "t", tenant)
			count += sum.asked[key] - sum.refused[key]
		}
		return count
	}

	for name, kinds := range map[string]func(tenantOf) []*kind{"three ranks": crowded, "one rank": alone} {
		for _, shares := range []bool{false, true} {
			It(fmt.Sprintf("still has programs of each route begin, with %s, shares of tenants %t", name, shares), func() {
				for seed := range uint64(2) {
					run := &replay{kinds: kinds(anyTenant), owners: 14, age: 300 * time.Millisecond, seed: seed, options: admission.Options{TenantShares: shares}}
					run.play(span)
					for _, each := range run.kinds {
						for from := part; from < span; from += part {
							GinkgoWriter.Println(seed, each.route, from, "begun", begun(run, each.route, from), "demand", run.within(from, from+part).demand)
							Expect(begun(run, each.route, from)).To(BeNumerically(">", 0), "%s from %s, seed %d", each.route, from, seed)
						}
					}
				}
			})
		}
	}
})
