package scheduler

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("escrow of a shard", func() {
	It("is asked for again as soon as the last request is answered", func() {
		const calls = 64
		cluster := newTestCluster(8, 3)
		var programs []string
		leader := cluster.leader("p0")
		core := cluster.nodes[leader].core
		host := core.leadingHost("p0")
		for number := 0; len(programs) < calls; number++ {
			program := fmt.Sprintf("p%d", number)
			if core.shardOf(program) != host.number {
				continue
			}
			programs = append(programs, program)
			request := testCall(program, "r1")
			request.SingleCall = true
			cluster.nodes[leader].step(CallAsked{Ask: AskID(calls + number), Request: request})
		}
		// One top-up covers some ten of these calls: asking once per escrowRetry
		// would take seconds for all.
		Expect(cluster.runUntil(escrowRetry/2, func() bool {
			return !slices.ContainsFunc(programs, func(program string) bool {
				known := host.state.Program(program)
				return known == nil || known.Call("r1") == nil
			})
		})).To(BeTrue())
	})
})
