package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// machines is the number of machines in three zones.
	machines = 12
	// settleTime is how long the system runs before the conversations begin.
	settleTime = 3 * time.Second
	// downTime is how long the machines that come back are without power.
	downTime = 1300 * time.Millisecond
	// recoveryTime is RecoveryS, finalPeriod the end of it, in which turns have to reach an engine.
	recoveryTime = 12 * time.Second
	finalPeriod  = 4 * time.Second
	// minPause and maxPause bound the time after which a program sends a failed turn anew.
	minPause = 100 * time.Millisecond
	maxPause = 400 * time.Millisecond
	// minTries is how often a turn must have been asked for until then, and minLateTries how often in the last seconds.
	minTries     = 5
	minLateTries = 2
)

// conversation is the number of a program that has a first turn before the fault and goes on after it.
type conversation int

// conversations belong to different shards.
var conversations = []conversation{0, 1, 3, 4}

// lostForGood are the machines that don't come back. They are the first two in the order of nodes for the shard of
// one of the programs.
var lostForGood = map[string]bool{"edge-2": true, "edge-6": true}

// runLostNodes: all machines lose power right after turns were answered, and all but two come back. Programs go on
// there with their next turn.
func runLostNodes(run *deployment, trouble bool) (verdict, error) {
	run.publish(newConfiguration())
	for index := range zones {
		_, err := run.startEngine(fmt.Sprintf("i-llm-%d", index+1), "agent-llm", zoneOf(index), 12, turnWork)
		if err != nil {
			return verdict{}, err
		}
	}
	_, err := run.startEngine("i-meter-1", "meter-app", zoneOf(0), 6, turnWork)
	if err != nil {
		return verdict{}, err
	}
	err = run.startNodes(machines)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	for index, each := range conversations {
		answer := run.send(run.nodes[index%machines], each.firstTurn())
		if answer.status != http.StatusOK {
			return verdict{}, fmt.Errorf("first turn of program %d was not served", each)
		}
	}
	nodes := run.nodes
	if trouble {
		nodes, err = run.losePower()
		if err != nil {
			return verdict{}, err
		}
	}
	back := time.Now()
	var found verdict
	var mutex sync.Mutex
	var group sync.WaitGroup
	for _, each := range conversations {
		group.Go(func() {
			breach := run.goOn(each, nodes, back)
			mutex.Lock()
			defer mutex.Unlock()
			if breach != "" {
				found.breach("%s", breach)
			}
		})
	}
	group.Wait()
	return found, nil
}

// losePower takes the power of all machines at the same moment and lets most of them come back. The others say
// nothing: connections to them hang. It returns those that are back.
func (deployed *deployment) losePower() ([]*nodeProcess, error) {
	for _, node := range deployed.nodes {
		_ = node.command.Process.Signal(syscall.SIGKILL)
	}
	lost := time.Now()
	deployed.record.write("all %d machines lose power", machines)
	var back []*nodeProcess
	for _, node := range deployed.nodes {
		node.end()
		if !lostForGood[node.name] {
			back = append(back, node)
			continue
		}
		err := deployed.silence(node)
		if err != nil {
			return nil, err
		}
		deployed.record.write("%s is lost for good", node.name)
	}
	time.Sleep(downTime - time.Since(lost))
	for _, node := range back {
		err := node.start()
		if err != nil {
			return nil, err
		}
	}
	for _, node := range back {
		err := node.awaitReady()
		if err != nil {
			return nil, err
		}
	}
	deployed.record.write("%d machines are back and ready", len(back))
	return back, nil
}

// turnCall returns a turn of the program. previous is the turn that it goes on from, empty if there is none.
func (each conversation) turnCall(id, previous string) call {
	headers := map[string]string{"Model": "m", "Program-Id": fmt.Sprintf("program-%d", each), "Session-Id": fmt.Sprintf("session-%d", each),
		"Program-Deadline-Ms": "20000", "Token-Budget": "2304", "Token-Usage": "40,80", "Prompt-Prefix": "5c1e07a2:40"}
	if previous != "" {
		headers["Previous-Turn"] = previous
	}
	return call{id: id, method: http.MethodPost, path: "/turns/" + id, body: "question", deadline: turnDeadline, headers: headers}
}

func (each conversation) firstTurn() call {
	return each.turnCall(fmt.Sprintf("first-%d", each), "")
}

// nextTurn returns a try of the turn that goes on from the first one.
func (each conversation) nextTurn(try int) call {
	return each.turnCall(fmt.Sprintf("next-%d-%d", each, try), each.firstTurn().id)
}

// goOn asks for the next turn of a conversation until it is served or the time of recovery is over, each time at
// another node. It returns how LOST is broken, or nothing.
func (deployed *deployment) goOn(each conversation, nodes []*nodeProcess, back time.Time) string {
	first := rand.N(len(nodes))
	tries, late := 0, 0
	for time.Since(back) < recoveryTime {
		if time.Since(back) >= recoveryTime-finalPeriod {
			late++
		}
		answer := deployed.send(nodes[(first+tries)%len(nodes)], each.nextTurn(tries))
		tries++
		if answer.status == http.StatusOK {
			return ""
		}
		if answer.status == http.StatusNotFound || answer.status == http.StatusGone {
			return fmt.Sprintf("LOST: %s got %d though its previous turn was answered whole", each.nextTurn(tries-1).id, answer.status)
		}
		time.Sleep(pauseAfter(answer))
	}
	runs := deployed.runs()
	for try := range tries {
		if len(runs[each.nextTurn(try).id]) > 0 {
			return ""
		}
	}
	if tries < minTries || late < minLateTries {
		return ""
	}
	return fmt.Sprintf("LOST: the turn of program %d that goes on from %s reached no engine in %d tries in %s, %d of them in the last %s",
		each, each.firstTurn().id, tries, recoveryTime, late, finalPeriod)
}

// pauseAfter returns when a program sends a failed turn anew: as the answer asks for, and not before its own pause.
func pauseAfter(answer result) time.Duration {
	pause := minPause + rand.N(maxPause-minPause)
	seconds, err := strconv.ParseFloat(answer.retryAfter, 64)
	if err != nil {
		return pause
	}
	return max(pause, time.Duration(seconds*float64(time.Second)))
}
