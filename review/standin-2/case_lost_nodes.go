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
	// machines is the number of machines in three zones. All but the first are lost for good.
	machines = 12
	// settleTime is how long the system runs before the conversations begin.
	settleTime = 3 * time.Second
	// downTime is how long the machine that comes back is without power.
	downTime = 1300 * time.Millisecond
	// recoveryTime is RecoveryS, lastSeconds the end of it, in which turns have to reach an engine.
	recoveryTime = 12 * time.Second
	lastSeconds  = 4 * time.Second
	// minPause and maxPause bound the time after which a program sends a failed turn anew.
	minPause = 100 * time.Millisecond
	maxPause = 400 * time.Millisecond
	// minTries is how often a turn must have been asked for in the last seconds.
	minTries = 3
)

// conversations are the numbers of the programs that have a first turn before the fault and go on after it. They
// belong to different shards.
var conversations = []int{0, 1, 3, 4}

// runLostNodes: all machines lose power right after turns were answered, and only one comes back. Programs go on
// there from the turns of before.
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
	for _, number := range conversations {
		answer := run.send(run.nodes[number%machines], turnCall(number, 1, 0))
		if answer.status != http.StatusOK {
			return verdict{}, fmt.Errorf("first turn of conversation %d was not served", number)
		}
	}
	if trouble {
		err = run.losePower()
		if err != nil {
			return verdict{}, err
		}
	}
	back := time.Now()
	var found verdict
	var mutex sync.Mutex
	var group sync.WaitGroup
	for _, number := range conversations {
		group.Go(func() {
			breach := run.goOn(number, back)
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

// losePower takes the power of all machines and lets the first one come back. A machine without power says
// nothing: a stopped process answers nothing either.
func (deployed *deployment) losePower() error {
	for _, node := range deployed.nodes {
		_ = node.command.Process.Signal(syscall.SIGSTOP)
	}
	deployed.record.write("all %d machines lose power", machines)
	time.Sleep(downTime)
	err := deployed.nodes[0].restart()
	if err != nil {
		return err
	}
	deployed.record.write("%s is back and ready, the others stay silent", deployed.nodes[0].name)
	return nil
}

// turnCall returns a try of a conversation's turn. The second turn goes on from the first.
func turnCall(number, turn, try int) call {
	headers := map[string]string{"Model": "m", "Program-Id": fmt.Sprintf("program-%d", number), "Session-Id": fmt.Sprintf("session-%d", number),
		"Program-Deadline-Ms": "20000", "Token-Budget": "2304", "Token-Usage": "40,80", "Prompt-Prefix": "5c1e07a2:40"}
	id := fmt.Sprintf("turn-%d-%d-%d", number, turn, try)
	if turn > 1 {
		headers["Previous-Turn"] = fmt.Sprintf("turn-%d-1-0", number)
	}
	return call{id: id, method: http.MethodPost, path: "/turns/" + id, body: "question", deadline: turnDeadline, headers: headers}
}

// goOn asks for the second turn of a conversation until it is served or the time of recovery is over. It returns
// how LOST is broken, or nothing.
func (deployed *deployment) goOn(number int, back time.Time) string {
	tries, late := 0, 0
	for time.Since(back) < recoveryTime {
		if time.Since(back) >= recoveryTime-lastSeconds {
			late++
		}
		answer := deployed.send(deployed.nodes[0], turnCall(number, 2, tries))
		tries++
		if answer.status == http.StatusOK {
			return ""
		}
		if answer.status == http.StatusNotFound || answer.status == http.StatusGone {
			return fmt.Sprintf("LOST: turn 2 of conversation %d got %d though its previous turn was answered whole", number, answer.status)
		}
		time.Sleep(pauseAfter(answer))
	}
	runs := deployed.runs()
	for try := range tries {
		if len(runs[turnCall(number, 2, try).id]) > 0 {
			return ""
		}
	}
	if late < minTries {
		return ""
	}
	return fmt.Sprintf("LOST: turn 2 of conversation %d reached no engine in %d tries in %s, %d of them in the last %s", number, tries, recoveryTime, late, lastSeconds)
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
