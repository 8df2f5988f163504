package main

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/rehearsal/standin/logstore"
)

const (
	// zoneMachines is the number of machines, all of one zone.
	zoneMachines = 10
	// cutTime is how long machines are cut off from the store, drainAfter when after its begin an engine says that it
	// leaves, and servesOn how long that engine serves on.
	cutTime    = 6 * time.Second
	drainAfter = 300 * time.Millisecond
	servesOn   = 7 * time.Second
	// drainTime is DrainMs.
	drainTime = 2 * time.Second
	// readingWork is how long a reading runs at an engine, readingDeadline how long its caller waits.
	readingWork     = 26 * time.Millisecond
	readingDeadline = 1200 * time.Millisecond
	readingInterval = 60 * time.Millisecond
)

// runCutReaders: two machines of ten are cut off from the store just before an engine leaves. Callers use the others.
func runCutReaders(run *deployment, trouble bool) (verdict, error) {
	run.publish(newConfiguration())
	var leaving *engine
	for index := range 3 {
		started, err := run.startEngine(fmt.Sprintf("i-meter-%d", index+1), "meter-app", zoneOf(0), 6, readingWork)
		if err != nil {
			return verdict{}, err
		}
		leaving = started
	}
	err := run.startNodesIn(zoneMachines, func(int) string { return zoneOf(0) })
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * settleTime)
	readers := run.logReaders()
	if len(readers) > 2 {
		return verdict{}, fmt.Errorf("%d nodes read for others, 2 at the most are expected", len(readers))
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var number atomic.Int64
	for _, node := range run.nodes {
		if !readers[node.name] {
			group.Go(func() { run.sendReadings(node, &number, stop) })
		}
	}
	time.Sleep(time.Second)
	if trouble {
		run.cut(readers)
	}
	time.Sleep(drainAfter)
	taken := leaving.drain(run)
	time.Sleep(servesOn)
	close(stop)
	group.Wait()
	return run.judgeDrain(leaving, taken), nil
}

var readerLine = regexp.MustCompile(`log reader changed.* node=(edge-\d+)`)

// logReaders returns the nodes that read the store for others, by the nodes' logs.
func (deployed *deployment) logReaders() map[string]bool {
	readers := map[string]bool{}
	for _, node := range deployed.nodes {
		content, err := os.ReadFile(node.output.Name())
		if err != nil {
			continue
		}
		lines := readerLine.FindAllSubmatch(content, -1)
		if len(lines) > 0 {
			readers[string(lines[len(lines)-1][1])] = true
		}
	}
	return readers
}

// cut cuts nodes off from the store for a while: it says nothing to them.
func (deployed *deployment) cut(names map[string]bool) {
	for _, node := range deployed.nodes {
		if names[node.name] {
			node.link.SetFaults(logstore.Faults{Stall: true})
			deployed.record.write("%s is cut off from the store", node.name)
			time.AfterFunc(cutTime, func() { node.link.SetFaults(logstore.Faults{}) })
		}
	}
}

// sendReadings sends readings to a node until it is told to stop.
func (deployed *deployment) sendReadings(node *nodeProcess, number *atomic.Int64, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(readingInterval):
		}
		id := fmt.Sprintf("reading-%d", number.Add(1))
		deployed.send(node, call{id: id, method: http.MethodGet, path: "/readings/" + id, deadline: readingDeadline})
	}
}

// judgeDrain applies DRAIN: nothing reaches a leaving engine later than DrainMs after the store has taken its word.
func (deployed *deployment) judgeDrain(leaving *engine, taken time.Time) verdict {
	var found verdict
	leaving.mutex.Lock()
	defer leaving.mutex.Unlock()
	late := 0
	var last time.Duration
	for _, run := range leaving.executions {
		if after := run.began.Sub(taken); after > drainTime {
			late++
			last = after
		}
	}
	if late > 0 {
		found.breach("DRAIN: %d requests reached %s later than %s after the store had taken that it leaves, the last one %.2f s after", late, leaving.id, drainTime, last.Seconds())
	}
	return found
}
