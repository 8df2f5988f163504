package main

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/magpielug/magpielug/rehearsal/standin/logstore"
)

const (
	// stopCallers is the number of clients of each node that keep their connections.
	stopCallers = 8
	// turnedAwayTime is how long the store turns a node away, stopAfter how long it has done so when the
	// platform stops that node.
	turnedAwayTime = 9 * time.Second
	stopAfter      = 500 * time.Millisecond
)

// runStop stops one node as planned work while the store turns that node away, and counts the calls that
// the node cuts.
func runStop(ctx context.Context, run *run) (bool, error) {
	err := run.start(options{nodes: 3, engines: 4, tools: 4, eventsPerTurn: 5, eventDelay: 40 * time.Millisecond})
	if err != nil {
		return false, err
	}
	pause(ctx, 2*time.Second) // The nodes know each other by then, and share the programs.
	if err := run.serveAllShards(ctx, 0); err != nil {
		return false, err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	cut := &cutCounter{}
	var group sync.WaitGroup
	for _, node := range run.deployment.nodes {
		for range stopCallers {
			group.Go(func() { run.keepCalling(traffic, node, cut) })
		}
	}
	pause(ctx, 3*time.Second)
	stopped := run.deployment.nodes[0]
	began := time.Now()
	if run.disturbed {
		run.record.note("the store turns %s away: each of its calls gets 503", stopped.name)
		stopped.store.SetFaults(logstore.Faults{Unavailable: true})
	}
	pause(ctx, stopAfter)
	run.record.note("%s gets SIGTERM", stopped.name)
	terminated := time.Now()
	_ = stopped.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-stopped.exited:
		run.record.note("%s has ended %.3f s after SIGTERM", stopped.name, time.Since(terminated).Seconds())
	case <-time.After(graceSeconds * time.Second):
		run.record.note("%s is killed after GraceS", stopped.name)
		stopped.kill()
	}
	pause(ctx, turnedAwayTime-time.Since(began))
	stopped.store.SetFaults(logstore.Faults{Delay: appendDelay})
	stop()
	group.Wait()
	run.record.note("LOST: %d calls on kept connections had run, and their connections closed without an answer", cut.count())
	return cut.count() > 0, nil
}
