package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/rehearsal/standin/agentengine"
)

// sent is one attempt of a caller, and what came of it.
type sent struct {
	id     string
	method string
	target string
	// prompt is the body that an engine is to get.
	prompt string
	// previous is the turn that it goes on from, whose history has so many bytes.
	previous     string
	historyBytes int
	// repeatable attempts may run more than once.
	repeatable bool
	// tenant sends it at sentAt, with a key of its own where key is empty.
	tenant string
	key    string
	sentAt time.Time
	// slow attempts are read slowly.
	slow bool
	// probe attempts ask which configuration is in force, and are no work.
	probe bool
	// status is 0 where no answer came; whole is false where it broke off.
	status int
	whole  bool
	body   string
}

// Violation is a promise that did not hold.
type Violation struct {
	Promise string
	Detail  string
}

// String shows the violation on one line.
func (violation Violation) String() string { return violation.Promise + ": " + violation.Detail }

// Names of promises.
const (
	promiseWhole    = "every answer whole and its own request's"
	promiseHistory  = "a program's history is neither lost nor mixed"
	promiseOnce     = "what may not be repeated runs once"
	promiseRefusal  = "what was refused as not run did not run"
	promiseUnasked  = "engines run what was asked, unaltered"
	promiseBudget   = "a program stays in its budget and one turn"
	promiseSpent    = "402 only where the budget leaves no room"
	promiseVersion  = "a process never goes back to an older configuration"
	promiseTenant   = "engines are told the tenant that holds the key, and no key"
	promiseKey      = "a key that was taken away is taken no more"
	promiseLimit    = "a tenant stays in its limit over all nodes"
	promiseRecovery = "programs go on after the faults"
	promiseEnd      = "every program comes to its end"
	promiseStop     = "a program that loops is stopped by its budget"
)

// mostViolations bounds what is kept of one run.
const mostViolations = 50

// ledger holds every attempt of the callers and what was found wrong. It is
// safe for concurrent use.
type ledger struct {
	mutex      sync.Mutex
	attempts   map[string]*sent
	violations []Violation
	statuses   map[int]int
	// refusals counts attempts that were not answered with 200, by cause.
	refusals map[string]int
}

func newLedger() *ledger {
	return &ledger{attempts: map[string]*sent{}, statuses: map[int]int{}, refusals: map[string]int{}}
}

func (ledger *ledger) begin(attempt *sent) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.attempts[attempt.id] = attempt
}

func (ledger *ledger) end(attempt *sent) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.statuses[attempt.status]++
	if attempt.status != http.StatusOK && !attempt.probe {
		ledger.refusals[causeOf(attempt)]++
	}
}

// causeOf names why an attempt got no answer of an engine.
func causeOf(attempt *sent) string {
	if attempt.status == 0 {
		return "no answer"
	}
	var body httpserver.ErrorBody
	err := json.Unmarshal([]byte(attempt.body), &body)
	if err != nil || body.Error.Name == "" {
		return fmt.Sprintf("status %d", attempt.status)
	}
	return fmt.Sprintf("%d %s", body.Error.Code, body.Error.Name)
}

func (ledger *ledger) violated(promise, format string, values ...any) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if len(ledger.violations) < mostViolations {
		ledger.violations = append(ledger.violations, Violation{Promise: promise, Detail: fmt.Sprintf(format, values...)})
	}
}

// checkStream checks what a caller got of a stream: events of its own request in
// order from the first on, all of them where the answer is whole.
func (ledger *ledger) checkStream(attempt *sent) {
	var expected strings.Builder
	for event := 1; event <= eventsPerStream; event++ {
		fmt.Fprintf(&expected, "id: %d\ndata: %s-%d\n\n", event, attempt.id, event)
	}
	if attempt.whole && attempt.body != expected.String() {
		ledger.violated(promiseWhole, "%s got %q as whole", attempt.id, attempt.body)
	}
	if !strings.HasPrefix(expected.String(), attempt.body) {
		ledger.violated(promiseWhole, "%s got %q", attempt.id, attempt.body)
	}
}

// checkAnswer checks a plain answer.
func (ledger *ledger) checkAnswer(attempt *sent) {
	if attempt.status == http.StatusOK && attempt.whole && !strings.HasSuffix(attempt.body, " to "+attempt.id) {
		ledger.violated(promiseWhole, "%s got %q", attempt.id, attempt.body)
	}
}

// promisesNotRun tells whether a status says that the request did not run and
// never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusPaymentRequired, http.StatusNotFound, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkRuns compares what engines ran with what callers asked and were told.
func (ledger *ledger) checkRuns(runs []agentengine.Run) {
	ledger.mutex.Lock()
	attempts := ledger.attempts
	ledger.mutex.Unlock()
	count := map[string]int{}
	for _, run := range runs {
		count[run.ID]++
		attempt := attempts[run.ID]
		switch {
		case attempt == nil:
			ledger.violated(promiseUnasked, "%s ran and nobody asked", run.ID)
			continue
		case run.Method != attempt.method || run.Target != attempt.target:
			ledger.violated(promiseUnasked, "%s ran as %s %s", run.ID, run.Method, run.Target)
		case run.Body != attempt.prompt:
			ledger.violated(promiseHistory, "%s ran on %d bytes that are not its %d", run.ID, len(run.Body), len(attempt.prompt))
		}
		ledger.checkTenant(run, attempt)
		if promisesNotRun(attempt.status) {
			ledger.violated(promiseRefusal, "%s was answered %d and ran", run.ID, attempt.status)
		}
		if count[run.ID] == 2 && !attempt.repeatable {
			ledger.violated(promiseOnce, "%s ran twice", run.ID)
		}
	}
}
