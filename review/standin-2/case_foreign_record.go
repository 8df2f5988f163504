package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// foreignEvery is how often another writer puts its entry.
	foreignEvery = 5 * time.Second
	// foreignTime is how long callers send turns.
	foreignTime = 30 * time.Second
	// turnCallers is the number of callers of turns, turnInterval the time between two turns of each.
	turnCallers  = 6
	turnInterval = 100 * time.Millisecond
	turnDeadline = 4 * time.Second
	// turnWork is how long a turn runs at an engine.
	turnWork = 50 * time.Millisecond
)

// runForeignRecord: another writer puts an entry under the name of an engine of the tool service. The entry lacks
// a field, so that it names no engine to use.
func runForeignRecord(run *deployment, trouble bool) (verdict, error) {
	run.publish(newConfiguration())
	var victim *engine
	for index := range 2 {
		zone := zoneOf(index)
		_, err := run.startEngine(fmt.Sprintf("i-llm-%d", index+1), "agent-llm", zone, 12, turnWork)
		if err != nil {
			return verdict{}, err
		}
		victim, err = run.startEngine(fmt.Sprintf("i-meter-%d", index+1), "meter-app", zone, 6, turnWork)
		if err != nil {
			return verdict{}, err
		}
	}
	err := run.startNodes(2)
	if err != nil {
		return verdict{}, err
	}
	if trouble {
		go run.writeForeignRecords(victim)
	}
	run.sendTurns()
	return run.judgeServices(), nil
}

// writeForeignRecords puts entries that lack Sequence until the engine ends. All other fields are well formed.
func (deployed *deployment) writeForeignRecords(victim *engine) {
	for {
		entry := map[string]any{
			"Service": "agent-llm", "Address": victim.record.Address, "Zone": victim.record.Zone, "Version": victim.record.Version,
			"Slots": victim.record.Slots, "State": "ready", "ColdLeftMs": 0,
		}
		encoded, err := json.Marshal(entry)
		if err != nil {
			return
		}
		deployed.store.Put("keyed.servers", victim.id, encoded)
		deployed.record.write("another writer puts servers/%s: %s", victim.id, encoded)
		select {
		case <-victim.ended:
			return
		case <-time.After(foreignEvery):
		}
	}
}

// sendTurns sends turns from several callers.
func (deployed *deployment) sendTurns() {
	var number atomic.Int64
	var group sync.WaitGroup
	until := time.Now().Add(foreignTime)
	for caller := range turnCallers {
		node := deployed.nodes[caller%len(deployed.nodes)]
		group.Go(func() {
			for time.Now().Before(until) {
				id := fmt.Sprintf("turn-%d", number.Add(1))
				deployed.send(node, call{
					id: id, method: http.MethodPost, path: "/turns/" + id, body: "question", deadline: turnDeadline,
					headers: map[string]string{"Model": "m", "Program-Id": "program-" + id, "Session-Id": "session-" + id, "Program-Deadline-Ms": "10000",
						"Token-Budget": "2304", "Token-Usage": "40,80", "Prompt-Prefix": "5c1e07a2:40"},
				})
				time.Sleep(turnInterval)
			}
		})
	}
	group.Wait()
}

// judgeServices applies ROUTE: requests run only at engines of the service of their route.
func (deployed *deployment) judgeServices() verdict {
	var found verdict
	for _, engine := range deployed.engines {
		engine.mutex.Lock()
		for _, run := range engine.executions {
			if engine.record.Service == "meter-app" && strings.HasPrefix(run.path, "/turns/") {
				found.breach("ROUTE: %s of service meter-app ran %s of a route that leads to agent-llm", engine.id, run.request)
			}
		}
		engine.mutex.Unlock()
	}
	return found
}
