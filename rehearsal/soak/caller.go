package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/wait"
	"github.com/magpielug/magpielug/rehearsal/standin/records"
)

const (
	retainedTurnPath = records.PathRetained + "x"
	plainTurnPath    = records.PathPlain + "x"
	unsafeToolPath   = records.PathUnsafe + "x"
	safeToolPath     = records.PathSafe + "x"
	// attemptDeadline is the deadline of an attempt, idleTimeout the maximum time
	// without receiving data.
	attemptDeadline = 4 * time.Second
	idleTimeout     = 2 * time.Second
	// maxTurnTokens is the token bound declared for each turn, slightly above what an
	// engine generates.
	maxTurnTokens   = eventsPerStream*tokensPerEvent + 4
	turnsPerProgram = 6
	// smallBudget is exhausted within turnsPerProgram turns, largeBudget is not.
	smallBudget        = 2*eventsPerStream*tokensPerEvent + maxTurnTokens
	largeBudget        = 100 * maxTurnTokens
	maxAttemptsPerTurn = 40
	// unlimitedBudget is that of a program without a budget, whose turns name none.
	unlimitedBudget = 1 << 60
	retryDelay      = 150 * time.Millisecond
	// settlementDelay is the time within which the end of a turn must be accounted for
	// in decisions about the program's next turns.
	settlementDelay      = time.Second
	toolCallPairsPerTurn = 2
)

// caller runs agent programs against the cluster. Its request IDs are numbered from
// requestNumber.
type caller struct {
	cluster       *cluster
	recorder      *recorder
	requestNumber atomic.Int64
	// completedTurns counts turns that received their complete response.
	completedTurns atomic.Int64
}

// session is a sequence of turns, each continuing the previous one: a program's or one
// of its sub-agents'.
type session struct {
	*program
	id     string
	random *rand.Rand
	path   string
	// previousTurn is the ID of the last completed turn, history the prompt and output
	// up to and including it.
	previousTurn string
	history      string
	// previousEndedAt is when the last turn completed. It is retained for retention from then on.
	previousEndedAt time.Time
	retention       time.Duration
}

// run runs programs one after another until ctx ends.
func (caller *caller) run(ctx context.Context, number int, random *rand.Rand) {
	caller.runAsTenant(ctx, number, callerTenant(number), random)
}

// runAsTenant runs programs of a tenant one after another until ctx ends.
func (caller *caller) runAsTenant(ctx context.Context, number int, tenant string, random *rand.Rand) {
	for round := 0; ctx.Err() == nil; round++ {
		name := fmt.Sprintf("program-%d-%d", number, round)
		current := &session{
			program: &program{name: name, tenant: tenant, budget: largeBudget},
			id:      name,
			random:  random,
			path:    retainedTurnPath,
		}
		if random.IntN(4) == 0 {
			current.path = plainTurnPath
		}
		if random.IntN(4) == 0 {
			current.budget = smallBudget
		}
		caller.runProgram(ctx, current)
	}
}

func (caller *caller) runProgram(ctx context.Context, current *session) {
	for range turnsPerProgram {
		input := fmt.Sprintf("input of %s after %s;", current.name, current.previousTurn)
		if caller.runTurn(ctx, current, input) != turnCompleted {
			return
		}
		if current.path == retainedTurnPath && current.random.IntN(crossTenantInterval) == 0 {
			caller.tryCrossTenantTurn(ctx, current)
		}
		for range toolCallPairsPerTurn {
			caller.callTools(ctx, current)
		}
	}
}

// turnResult is the final result of a turn.
type turnResult int

const (
	// turnFailed means that all attempts failed, or that the previous turn was unknown.
	turnFailed turnResult = iota
	// turnCompleted means that the complete response was received.
	turnCompleted
	// turnBudgetExhausted means that the turn was refused because the program's budget
	// does not cover it.
	turnBudgetExhausted
)

// runTurn attempts a turn until it completes or fails permanently.
func (caller *caller) runTurn(ctx context.Context, current *session, input string) turnResult {
	for range maxAttemptsPerTurn {
		if ctx.Err() != nil {
			return turnFailed
		}
		attempt := &callAttempt{method: http.MethodPost, target: current.path, prompt: current.history + input, tenant: current.tenant}
		if current.path == retainedTurnPath {
			attempt.previousTurn, attempt.historyBytes = current.previousTurn, len(current.history)
		}
		pending := current.beginAttempt(time.Now())
		caller.send(ctx, current.random, attempt, input, current.requestHeader())
		result, final := caller.recordAttempt(current, attempt, pending)
		if final {
			return result
		}
		wait.Sleep(ctx, retryDelay)
	}
	return turnFailed
}

// requestHeader returns the header of the session's next turn.
func (current *session) requestHeader() http.Header {
	header := http.Header{}
	header.Set("Program-Id", current.name)
	header.Set("Session-Id", current.id)
	if current.budget != unlimitedBudget {
		header.Set("Token-Budget", strconv.FormatInt(current.budget, 10))
	}
	header.Set("Token-Usage", "10,"+strconv.Itoa(maxTurnTokens))
	if current.path == retainedTurnPath && current.previousTurn != "" {
		header.Set("Previous-Turn", current.previousTurn)
	}
	if !current.softDeadline.IsZero() {
		header.Set("Program-Deadline-Ms", strconv.FormatInt(time.Until(current.softDeadline).Milliseconds(), 10))
	}
	return header
}

// recordAttempt checks and records the response to an attempt. It returns the turn's
// result, and whether it is final.
func (caller *caller) recordAttempt(current *session, attempt *callAttempt, pending *turnAttempt) (result turnResult, final bool) {
	recorder := caller.recorder
	available := current.availableBudget(pending)
	answered := attempt.status == http.StatusOK
	receivedTokens := 0
	if answered {
		recorder.checkStream(attempt)
		receivedTokens = tokensPerEvent * strings.Count(attempt.body, "data:")
	}
	total := current.endAttempt(pending, answered && attempt.complete, guaranteesNotRun(attempt.status), int64(receivedTokens))
	if total > current.budget+maxTurnTokens {
		recorder.addViolation(invariantBudget, "%s received %d tokens with a budget of %d", current.name, total, current.budget)
	}
	caller.checkMissingLink(current, attempt)
	switch attempt.status {
	case http.StatusOK:
		if !attempt.complete {
			return turnFailed, false
		}
		caller.completedTurns.Add(1)
		current.previousTurn = attempt.id
		current.previousEndedAt = time.Now()
		current.retention = caller.cluster.options.turnRetention()
		if current.path == retainedTurnPath {
			current.history = attempt.prompt + turnOutput(attempt.id)
		}
		return turnCompleted, true
	case http.StatusPaymentRequired:
		if current.isPrematureRefusal(available) {
			recorder.addViolation(invariantBudgetRefusal, "%s got 402 for %s with %d of %d tokens available", current.name, attempt.id, available, current.budget)
		}
		return turnBudgetExhausted, true
	case http.StatusNotFound:
		if !current.isRetained(attempt.sentAt) {
			return turnFailed, true
		}
		recorder.addViolation(invariantHistory, "%s got 404 for %s, which continues %q: %s", current.name, attempt.id, current.previousTurn, attempt.body)
		return turnFailed, true
	}
	return turnFailed, false
}

// turnOutput returns the output that a completed turn appends to the history.
func turnOutput(id string) string {
	var text strings.Builder
	for event := 1; event <= eventsPerStream; event++ {
		fmt.Fprintf(&text, "%s-%d\n", id, event)
	}
	return text.String()
}

// callTools makes one non-repeatable and one repeatable tool call.
func (caller *caller) callTools(ctx context.Context, current *session) {
	attempt := &callAttempt{method: http.MethodPost, target: unsafeToolPath, prompt: "tool input", tenant: current.tenant}
	caller.send(ctx, current.random, attempt, attempt.prompt, http.Header{})
	caller.recorder.checkResponse(attempt)
	safe := &callAttempt{method: http.MethodGet, target: safeToolPath, repeatable: true, tenant: current.tenant}
	caller.send(ctx, current.random, safe, "", http.Header{})
	caller.recorder.checkResponse(safe)
}

// send sends an attempt to a random node.
func (caller *caller) send(ctx context.Context, random *rand.Rand, attempt *callAttempt, body string, header http.Header) {
	target := caller.cluster.nodes[random.IntN(len(caller.cluster.nodes))]
	caller.sendTo(ctx, target, attempt, body, header)
}

func (caller *caller) sendTo(ctx context.Context, target *node, attempt *callAttempt, body string, header http.Header) {
	attempt.id = fmt.Sprintf("request-%d", caller.requestNumber.Add(1))
	attempt.sentAt = time.Now()
	attempt.node = target.name
	caller.recorder.recordStart(attempt)
	defer caller.recorder.recordEnd(attempt)
	attemptCtx, cancel := context.WithTimeout(ctx, attemptDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(attemptCtx, attempt.method, "http://"+target.callerAddress+attempt.target, strings.NewReader(body))
	if err != nil {
		return
	}
	request.Host = caller.cluster.options.Host
	request.Header = header
	request.Header.Set("Request-Id", attempt.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(attemptDeadline.Milliseconds(), 10))
	key := attempt.key
	if key == "" {
		key = tenantKey(attempt.tenant)
	}
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set("Tenant", otherTenant(attempt.tenant)) // Forged; nodes must ignore it.
	client := &http.Client{Transport: newTransport(attempt)}
	idleTimer := time.AfterFunc(idleTimeout, cancel)
	defer idleTimer.Stop()
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(responseReader(attempt, &idleTimeoutReader{reader: response.Body, timer: idleTimer}))
	attempt.body = string(content)
	attempt.complete = err == nil
	attempt.status = response.StatusCode
}

// newTransport returns a transport with a connection of its own.
func newTransport(attempt *callAttempt) *http.Transport {
	transport := &http.Transport{DisableKeepAlives: true}
	if attempt.slow {
		transport.DialContext = dialSmallBuffer
	}
	return transport
}

// responseReader limits the read rate of slow attempts.
func responseReader(attempt *callAttempt, reader io.Reader) io.Reader {
	if attempt.slow {
		return &slowReader{reader: reader}
	}
	return reader
}

// idleTimeoutReader resets the idle timer after each read.
type idleTimeoutReader struct {
	reader io.Reader
	timer  *time.Timer
}

// Read implements io.Reader.
func (reader *idleTimeoutReader) Read(buffer []byte) (int, error) {
	count, err := reader.reader.Read(buffer)
	reader.timer.Reset(idleTimeout)
	return count, err
}
