package scheduler

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
)

const (
	engineClients     = 4
	engineTurns       = 20
	orderLossInterval = 700 * time.Millisecond
	// releaseTime bounds how long cache of a gone program may be held once
	// nothing fails any more.
	releaseTime = 30 * time.Second
)

// loseSomeOrders has orders to release and to load get lost now and then, for as
// long as faults are thrown.
func (cluster *testCluster) loseSomeOrders() {
	for _, name := range sortedKeys(cluster.engines) {
		engine := cluster.engines[name]
		engine.loseOrders = cluster.now < faultTime && cluster.random.Intn(2) == 0
		engine.refuseLoads = cluster.now < faultTime && cluster.random.Intn(3) == 0
	}
	if cluster.now < faultTime {
		cluster.after(orderLossInterval, cluster.loseSomeOrders)
	}
}

// endSurely ends a program, asking again until it is told that it is over.
func (cluster *testCluster) endSurely(program string) bool {
	for range 100 {
		answer, answered := cluster.ask(cluster.leader(program), func(ask AskID) Event {
			return EndAsked{Ask: ask, Request: &schedulerv1.EndProgramRequest{
				ProgramId: program, Caller: &schedulerv1.Caller{Tenant: testTenant},
			}}
		})
		if reply, isReply := answer.message.(*schedulerv1.ProgramReply); answered && isReply && reply.Error == nil {
			return true
		}
		cluster.runFor(100 * time.Millisecond)
	}
	return false
}

// runEngineSchedule runs programs with adapters, ends them amid the faults, and
// returns what was violated.
func runEngineSchedule(seed int64) []string {
	cluster := newTestCluster(seed, 4)
	var clients []*testClient
	for number := range engineClients {
		client := cluster.addClient(fmt.Sprintf("p%d", number), engineTurns)
		client.think = scheduleThinkTime
		client.adapters = true
		clients = append(clients, client)
	}
	thrower := &faults{cluster: cluster}
	cluster.after(faultStart, thrower.throw)
	cluster.after(faultStart, cluster.loseSomeOrders)
	var found []string
	for _, client := range clients {
		if !cluster.runUntil(faultTime+healTime, func() bool { return client.finished }) {
			found = append(found, fmt.Sprintf("%s did not finish: %d calls", client.program, len(client.results)))
		}
		// A program's record is dropped a while after its end.
		found = append(found, client.violations()...)
		if !cluster.endSurely(client.program) {
			found = append(found, client.program+" did not end")
		}
	}
	cluster.runFor(faultTime)
	cluster.runFor(releaseTime)
	for _, client := range clients {
		if holders := cluster.holders(client.program); len(holders) > 0 {
			found = append(found, fmt.Sprintf("%s is over and holds cache on %v", client.program, holders))
		}
	}
	return found
}

var _ = Describe("engines under seeded faults", func() {
	It("serve adapters and hold nothing for programs that are gone", func() {
		for seed := int64(1001); seed <= int64(1000+schedules()); seed++ {
			Expect(runEngineSchedule(seed)).To(BeEmpty(), "seed %d", seed)
		}
	})
})
