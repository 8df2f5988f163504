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

// callAttempt is an attempt of a call and its response.
type callAttempt struct {
	id     string
	method string
	target string
	// prompt is the request body that an engine must receive.
	prompt string
	// previousTurn is the turn that the attempt continues, historyBytes the length of
	// its history.
	previousTurn string
	historyBytes int
	// repeatable attempts may run more than once.
	repeatable bool
	// tenant sent the attempt at sentAt. key is its API key; empty for the tenant's
	// permanent key.
	tenant string
	key    string
	sentAt time.Time
	// slow attempts limit the rate at which the response is read.
	slow bool
	// probe attempts only test the active configuration and do not count as failed
	// attempts.
	probe bool
	// crash names the request that ends engines which this is an attempt of, empty for others.
	crash string
	// several is true if the request may reach several engines before the first of them ends.
	several bool
	// byPrograms is true if each try belongs to another program.
	byPrograms bool
	// node received the attempt, which ended at endedAt; zero while it is under way.
	node    string
	endedAt time.Time
	// streamAttempt is set if the attempt begins or resumes a resumable stream.
	streamAttempt *streamAttempt
	// status is 0 if no response was received. complete is false if the response was
	// truncated.
	status   int
	complete bool
	body     string
}

// Violation is an observed violation of an invariant.
type Violation struct {
	Invariant string
	Detail    string
}

// String formats the violation on one line.
func (violation Violation) String() string { return violation.Invariant + ": " + violation.Detail }

// Names of the invariants.
const (
	invariantResponse      = "responses are complete and belong to their requests"
	invariantHistory       = "program histories are neither lost nor mixed up"
	invariantAtMostOnce    = "non-repeatable requests run at most once"
	invariantRefusal       = "requests refused as not run do not run"
	invariantRequest       = "engines receive requests unmodified"
	invariantBudget        = "programs exceed their budgets by at most one turn"
	invariantBudgetRefusal = "402 is returned only if the budget does not cover a turn"
	invariantConfiguration = "processes never revert to an older configuration"
	invariantTenant        = "engines receive the tenant of the key, and no keys"
	invariantKey           = "revoked keys are not accepted"
	invariantTenantLimit   = "tenants stay within their rate limits across all nodes"
	invariantRecovery      = "programs make progress after the faults"
	invariantCompletion    = "every program completes"
	invariantEndless       = "endless programs are stopped by their budgets"
	invariantEngineEnds    = "a request under which three engines have ended is sent to no further one"
	invariantStreamVersion = "the events of a stream come from engines of one software version"
	invariantResumption    = "streams that callers resume go on"
	invariantQuarantine    = "requests are quarantined only after three engines have ended while they were there"
)

// maxViolations is the maximum number of violations recorded per run.
const maxViolations = 50

// recorder records all attempts and the violations found in them. It is safe for
// concurrent use.
type recorder struct {
	mutex      sync.Mutex
	attempts   map[string]*callAttempt
	violations []Violation
	statuses   map[int]int
	// failedAttempts counts attempts with a status other than 200 by cause, without
	// probes.
	failedAttempts map[string]int
	// resumedStreams counts the streams that callers resumed, continuedStreams those that went on.
	resumedStreams, continuedStreams int
}

func newRecorder() *recorder {
	return &recorder{attempts: map[string]*callAttempt{}, statuses: map[int]int{}, failedAttempts: map[string]int{}}
}

func (recorder *recorder) recordStart(attempt *callAttempt) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.attempts[attempt.id] = attempt
}

func (recorder *recorder) recordEnd(attempt *callAttempt) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	attempt.endedAt = time.Now()
	recorder.statuses[attempt.status]++
	if attempt.status != http.StatusOK && !attempt.probe {
		recorder.failedAttempts[failureCause(attempt)]++
	}
}

// failureCause classifies a failed attempt by its result code or status.
func failureCause(attempt *callAttempt) string {
	if attempt.status == 0 {
		return "no response"
	}
	var body httpserver.ErrorBody
	err := json.Unmarshal([]byte(attempt.body), &body)
	if err != nil || body.Error.Name == "" {
		return fmt.Sprintf("status %d", attempt.status)
	}
	return fmt.Sprintf("%d %s", body.Error.Code, body.Error.Name)
}

func (recorder *recorder) addViolation(invariant, format string, values ...any) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if len(recorder.violations) < maxViolations {
		recorder.violations = append(recorder.violations, Violation{Invariant: invariant, Detail: fmt.Sprintf(format, values...)})
	}
}

// checkStream checks that a stream consists of the events of its own request in order,
// and of all of them if it is complete.
func (recorder *recorder) checkStream(attempt *callAttempt) { recorder.checkEvents(attempt, 0) }

// checkEvents is checkStream for a stream that is resumed after an event; 0 for a new one.
func (recorder *recorder) checkEvents(attempt *callAttempt, lastEvent int) {
	var expected strings.Builder
	for event := lastEvent + 1; event <= eventsPerStream; event++ {
		fmt.Fprintf(&expected, "id: %d\ndata: %s-%d\n\n", event, attempt.id, event)
	}
	if attempt.complete && attempt.body != expected.String() {
		recorder.addViolation(invariantResponse, "%s received %q as a complete response", attempt.id, attempt.body)
	}
	if !strings.HasPrefix(expected.String(), attempt.body) {
		recorder.addViolation(invariantResponse, "%s received %q", attempt.id, attempt.body)
	}
}

// checkResponse checks that a non-streamed response belongs to its request.
func (recorder *recorder) checkResponse(attempt *callAttempt) {
	if attempt.status == http.StatusOK && attempt.complete && !strings.HasSuffix(attempt.body, " to "+attempt.id) {
		recorder.addViolation(invariantResponse, "%s received %q", attempt.id, attempt.body)
	}
}

// guaranteesNotRun reports whether a status guarantees that the request did not run and
// never will.
func guaranteesNotRun(status int) bool {
	switch status {
	case http.StatusPaymentRequired, http.StatusNotFound, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkRuns compares what engines ran with what callers sent and received.
func (recorder *recorder) checkRuns(runs []agentengine.Run) {
	recorder.mutex.Lock()
	attempts := recorder.attempts
	recorder.mutex.Unlock()
	count := map[string]int{}
	for _, run := range runs {
		count[run.ID]++
		attempt := attempts[run.ID]
		switch {
		case attempt == nil:
			recorder.addViolation(invariantRequest, "%s ran but was never sent", run.ID)
			continue
		case run.Method != attempt.method || run.Target != attempt.target:
			recorder.addViolation(invariantRequest, "%s ran as %s %s", run.ID, run.Method, run.Target)
		case run.Body != attempt.prompt:
			recorder.addViolation(invariantHistory, "%s ran with a prompt of %d bytes that differs from the expected %d bytes", run.ID, len(run.Body), len(attempt.prompt))
		}
		recorder.checkTenant(run, attempt)
		if guaranteesNotRun(attempt.status) {
			recorder.addViolation(invariantRefusal, "%s was refused with %d but ran", run.ID, attempt.status)
		}
		if count[run.ID] == 2 && !attempt.repeatable {
			recorder.addViolation(invariantAtMostOnce, "%s ran twice", run.ID)
		}
	}
}
