package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// vendWork is how long a vend runs at an engine, and vendDeadline how long its caller waits.
	vendWork     = 104 * time.Millisecond
	vendDeadline = 3 * time.Second
	// vendInterval is the time between two vends of a caller, vendCallers the number of callers.
	vendInterval = 150 * time.Millisecond
	vendCallers  = 16
	// vendTime is how long callers send vends.
	vendTime = 80 * time.Second
	// busyEvery and busyFor are how often and for how long other work takes all places of an engine.
	busyEvery = 400 * time.Millisecond
	busyFor   = 25 * time.Millisecond
	// surplusAfter is from when in that time on a refusal may be sent again: the request comes back soon after it.
	surplusAfter = 12 * time.Millisecond
	// garbleEvery and garbleFor are how often and for how long one of the two engines sends surplus answers, and
	// surplusShare is the largest share of its answers in that time that are followed by one.
	garbleEvery  = 6 * time.Second
	garbleFor    = 5 * time.Second
	surplusShare = 0.03
)

// runLateSurplusRefusal: one of two engines that are full at times sends some of its refusals a second time, late,
// where the next answer on that connection is due. Vends may run at most once.
func runLateSurplusRefusal(run *deployment, trouble bool) (verdict, error) {
	run.publish(newConfiguration())
	start := time.Now()
	for index := range 2 {
		started, err := run.startEngine(fmt.Sprintf("i-meter-%d", index+1), "meter-app", zoneOf(index), 6, vendWork)
		if err != nil {
			return verdict{}, err
		}
		started.full = func() bool { return time.Since(start)%busyEvery < busyFor }
		if trouble && index == 0 {
			started.surplus = func() bool { return started.withinSurplusShare(time.Since(start)) }
		}
	}
	_, err := run.startEngine("i-llm-1", "agent-llm", zoneOf(0), 12, vendWork)
	if err != nil {
		return verdict{}, err
	}
	err = run.startNodes(2)
	if err != nil {
		return verdict{}, err
	}
	answers := run.sendVends()
	time.Sleep(vendDeadline)
	return run.judgeVends(answers), nil
}

// withinSurplusShare reports whether the engine sends surplus answers at a time since the start, and one more stays
// within their share of the answers of that disruption.
func (engine *engine) withinSurplusShare(elapsed time.Duration) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if window := int(elapsed / garbleEvery); window != engine.window {
		engine.window = window
		engine.windowAnswers = engine.answers
		engine.windowSurpluses = engine.surpluses
	}
	answers, surpluses := engine.answers-engine.windowAnswers, engine.surpluses-engine.windowSurpluses
	return elapsed%garbleEvery < garbleFor && elapsed%busyEvery >= surplusAfter && float64(surpluses+1) <= surplusShare*float64(answers)
}

// sendVends sends vends from several callers and returns their answers by request.
func (deployed *deployment) sendVends() map[string]result {
	answers := map[string]result{}
	var mutex sync.Mutex
	var number atomic.Int64
	var group sync.WaitGroup
	until := time.Now().Add(vendTime)
	for caller := range vendCallers {
		node := deployed.nodes[caller%len(deployed.nodes)]
		group.Go(func() {
			for time.Now().Before(until) {
				id := fmt.Sprintf("vend-%d", number.Add(1))
				answer := deployed.send(node, call{id: id, method: http.MethodPost, path: "/receipts/" + id, body: "token for " + id, deadline: vendDeadline})
				mutex.Lock()
				answers[id] = answer
				mutex.Unlock()
				time.Sleep(vendInterval)
			}
		})
	}
	group.Wait()
	return answers
}

// judgeVends applies TWICE and REFUSED to the vends.
func (deployed *deployment) judgeVends(answers map[string]result) verdict {
	var found verdict
	runs := deployed.runs()
	for id, answer := range answers {
		if len(runs[id]) > 1 {
			found.breach("TWICE: %s, which isn't idempotent, ran %d times", id, len(runs[id]))
		}
		if len(runs[id]) > 0 && isPromise(answer.status) {
			found.breach("REFUSED: %s ran and its caller got %d", id, answer.status)
		}
	}
	for _, engine := range deployed.engines {
		deployed.record.write("%s gave %d answers, %d of them refusals, and sent %d of these again", engine.id, engine.answers, engine.refusals, engine.surpluses)
	}
	return found
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
