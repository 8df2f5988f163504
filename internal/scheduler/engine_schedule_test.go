package scheduler

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
)

const (
	engineClients       = 4
	engineTurns         = 20
	commandLossInterval = 700 * time.Millisecond
	// releaseTime bounds how long the cache of an ended program may be held after the last
	// fault.
	releaseTime = 30 * time.Second
)

// loseRandomCommands makes engines lose release commands and refuse load commands at random
// while faults are injected.
func (cluster *testCluster) loseRandomCommands() {
	for _, name := range sortedKeys(cluster.engines) {
		engine := cluster.engines[name]
		engine.loseReleases = cluster.now < faultTime && cluster.random.Intn(2) == 0
		engine.refuseLoads = cluster.now < faultTime && cluster.random.Intn(3) == 0
	}
	if cluster.now < faultTime {
		cluster.after(commandLossInterval, cluster.loseRandomCommands)
	}
}

// endWithRetry ends a program, and repeats the request until it is confirmed.
func (cluster *testCluster) endWithRetry(program string) bool {
	for range 100 {
		answer, answered := cluster.ask(cluster.leader(program), func(replyTo ReplyID) Event {
			return EndRequested{ReplyTo: replyTo, Request: &schedulerv1.EndProgramRequest{
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

// runEngineSchedule runs programs with adapters under faults, ends them, and returns the
// violations.
func runEngineSchedule(seed int64) []string {
	cluster := newTestCluster(seed, 4)
	var clients []*testClient
	for number := range engineClients {
		client := cluster.addClient(fmt.Sprintf("p%d", number), engineTurns)
		client.maximumThinkTime = scheduleThinkTime
		client.adapters = true
		clients = append(clients, client)
	}
	injector := &faults{cluster: cluster}
	cluster.after(faultStart, injector.inject)
	cluster.after(faultStart, cluster.loseRandomCommands)
	var found []string
	for _, client := range clients {
		if !cluster.runUntil(faultTime+completionTime, func() bool { return client.finished }) {
			found = append(found, fmt.Sprintf("%s did not finish: %d calls answered", client.program, len(client.results)))
		}
		// Check before the program's record is removed.
		found = append(found, client.violations()...)
		if !cluster.endWithRetry(client.program) {
			found = append(found, client.program+" did not end")
		}
	}
	cluster.runFor(faultTime)
	cluster.runFor(releaseTime)
	for _, client := range clients {
		if holders := cluster.holders(client.program); len(holders) > 0 {
			found = append(found, fmt.Sprintf("%s has ended and holds cache on %v", client.program, holders))
		}
	}
	return found
}

var _ = Describe("engines under seeded faults", func() {
	It("serve adapters and hold no cache for ended programs", func() {
		for seed := int64(1001); seed <= int64(1000+scheduleCount()); seed++ {
			Expect(runEngineSchedule(seed)).To(BeEmpty(), "seed %d", seed)
		}
	})
})
