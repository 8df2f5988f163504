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
	turnPath  = records.PathKept + "x"
	plainPath = records.PathPlain + "x"
	toolPath  = records.PathTool + "x"
	safePath  = records.PathSafe + "x"
	// deadline is what a caller allows an attempt, gap how long it waits for the
	// next byte of a stream.
	deadline = 4 * time.Second
	gap      = 2 * time.Second
	// most is the most tokens of a turn, by what the engine's streams hold.
	most = eventsPerStream*tokensPerEvent + 4
	// turnsPerProgram is how many turns a program takes, of which a share begins
	// without an end to its budget in sight.
	turnsPerProgram = 6
	// tightBudget is that of programs that run into it.
	tightBudget = 2*eventsPerStream*tokensPerEvent + most
	wideBudget  = 100 * most
	// attemptsPerTurn bounds the tries of one turn.
	attemptsPerTurn = 40
	// attemptPause follows a failed attempt.
	attemptPause = 150 * time.Millisecond
	// settleTime is how long the end of a turn may take to be known to those that
	// decide about the next one.
	settleTime = time.Second
	toolsEach  = 2
)

// callers run agent programs one after another, several at once.
type callers struct {
	world  *world
	ledger *ledger
	ids    atomic.Int64
	// turns counts turns answered whole.
	turns atomic.Int64
}

// line is a chain of turns: that of a program, or of one of its sub-agents.
type line struct {
	*program
	session string
	random  *rand.Rand
	path    string
	// previous is the last turn answered whole, history the prompt up to it.
	previous string
	history  string
}

// run takes programs to their ends, until ctx ends.
func (callers *callers) run(ctx context.Context, number int, random *rand.Rand) {
	callers.runFor(ctx, number, tenantOf(number), random)
}

// runFor is run for a tenant.
func (callers *callers) runFor(ctx context.Context, number int, tenant string, random *rand.Rand) {
	for round := 0; ctx.Err() == nil; round++ {
		name := fmt.Sprintf("program-%d-%d", number, round)
		running := &line{
			program: &program{name: name, tenant: tenant, budget: wideBudget},
			session: name,
			random:  random,
			path:    turnPath,
		}
		if random.IntN(4) == 0 {
			running.path = plainPath
		}
		if random.IntN(4) == 0 {
			running.budget = tightBudget
		}
		callers.runProgram(ctx, running)
	}
}

func (callers *callers) runProgram(ctx context.Context, running *line) {
	for range turnsPerProgram {
		input := fmt.Sprintf("input of %s after %s;", running.name, running.previous)
		if callers.turn(ctx, running, input) != turnWhole {
			return
		}
		if running.path == turnPath && running.random.IntN(strangerShare) == 0 {
			callers.stranger(ctx, running)
		}
		for range toolsEach {
			callers.tool(ctx, running)
		}
	}
}

// turnEnd is how a turn ended for its caller.
type turnEnd int

const (
	// turnFailed was given up, or its history is gone.
	turnFailed turnEnd = iota
	// turnWhole was answered whole.
	turnWhole
	// turnSpent was refused since the budget leaves no room.
	turnSpent
)

// turn takes one turn to its end.
func (callers *callers) turn(ctx context.Context, running *line, input string) turnEnd {
	for range attemptsPerTurn {
		if ctx.Err() != nil {
			return turnFailed
		}
		attempt := &sent{method: http.MethodPost, target: running.path, prompt: running.history + input, tenant: running.tenant}
		if running.path == turnPath {
			attempt.previous, attempt.historyBytes = running.previous, len(running.history)
		}
		open := running.begin(time.Now())
		callers.send(ctx, running.random, attempt, input, running.header())
		end, decided := callers.turnEnded(running, attempt, open)
		if decided {
			return end
		}
		wait.Sleep(ctx, attemptPause)
	}
	return turnFailed
}

// header is that of the line's next turn.
func (running *line) header() http.Header {
	header := http.Header{}
	header.Set("Program-Id", running.name)
	header.Set("Session-Id", running.session)
	header.Set("Token-Budget", strconv.FormatInt(running.budget, 10))
	header.Set("Token-Usage", "10,"+strconv.Itoa(most))
	if running.path == turnPath && running.previous != "" {
		header.Set("Previous-Turn", running.previous)
	}
	if !running.due.IsZero() {
		header.Set("Program-Deadline-Ms", strconv.FormatInt(time.Until(running.due).Milliseconds(), 10))
	}
	return header
}

// turnEnded notes what an attempt of a turn came to, and tells whether it decided the turn.
func (callers *callers) turnEnded(running *line, attempt *sent, open *turnAttempt) (end turnEnd, decided bool) {
	ledger := callers.ledger
	room := running.room(open)
	answered := attempt.status == http.StatusOK
	given := 0
	if answered {
		ledger.checkStream(attempt)
		given = tokensPerEvent * strings.Count(attempt.body, "data:")
	}
	total := running.end(open, answered && attempt.whole, promisesNotRun(attempt.status), int64(given))
	if total > running.budget+most {
		ledger.violated(promiseBudget, "%s got %d tokens of %d", running.name, total, running.budget)
	}
	switch attempt.status {
	case http.StatusOK:
		if !attempt.whole {
			return turnFailed, false
		}
		callers.turns.Add(1)
		running.previous = attempt.id
		if running.path == turnPath {
			running.history = attempt.prompt + said(attempt.id)
		}
		return turnWhole, true
	case http.StatusPaymentRequired:
		if running.refusedTooEarly(room) {
			ledger.violated(promiseSpent, "%s was told 402 for %s with room for %d of %d", running.name, attempt.id, room, running.budget)
		}
		return turnSpent, true
	case http.StatusNotFound:
		ledger.violated(promiseHistory, "%s was told 404 for %s after %q: %s", running.name, attempt.id, running.previous, attempt.body)
		return turnFailed, true
	}
	return turnFailed, false
}

// said is what a whole turn adds to the history.
func said(id string) string {
	var text strings.Builder
	for event := 1; event <= eventsPerStream; event++ {
		fmt.Fprintf(&text, "%s-%d\n", id, event)
	}
	return text.String()
}

// tool makes one call that may not be repeated, and one that may.
func (callers *callers) tool(ctx context.Context, running *line) {
	attempt := &sent{method: http.MethodPost, target: toolPath, prompt: "tool input", tenant: running.tenant}
	callers.send(ctx, running.random, attempt, attempt.prompt, http.Header{})
	callers.ledger.checkAnswer(attempt)
	safe := &sent{method: http.MethodGet, target: safePath, repeatable: true, tenant: running.tenant}
	callers.send(ctx, running.random, safe, "", http.Header{})
	callers.ledger.checkAnswer(safe)
}

// send sends an attempt to any node, with an id of its own.
func (callers *callers) send(ctx context.Context, random *rand.Rand, attempt *sent, body string, header http.Header) {
	target := callers.world.nodes[random.IntN(len(callers.world.nodes))]
	callers.sendTo(ctx, target, attempt, body, header)
}

func (callers *callers) sendTo(ctx context.Context, target *node, attempt *sent, body string, header http.Header) {
	attempt.id = fmt.Sprintf("request-%d", callers.ids.Add(1))
	attempt.sentAt = time.Now()
	callers.ledger.begin(attempt)
	defer callers.ledger.end(attempt)
	bounded, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, attempt.method, "http://"+target.front+attempt.target, strings.NewReader(body))
	if err != nil {
		return
	}
	request.Host = callers.world.options.Host
	request.Header = header
	request.Header.Set("Request-Id", attempt.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	key := attempt.key
	if key == "" {
		key = keyOf(attempt.tenant)
	}
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set("Tenant", other(attempt.tenant)) // A forged one.
	client := &http.Client{Transport: transportOf(attempt)}
	waiting := time.AfterFunc(gap, cancel)
	defer waiting.Stop()
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(bodyOf(attempt, &timedReader{reader: response.Body, timer: waiting}))
	attempt.body = string(content)
	attempt.whole = err == nil
	attempt.status = response.StatusCode
}

// transportOf makes a connection for an attempt alone.
func transportOf(attempt *sent) *http.Transport {
	transport := &http.Transport{DisableKeepAlives: true}
	if attempt.slow {
		transport.DialContext = dialSlow
	}
	return transport
}

// bodyOf reads as fast as the attempt's caller does.
func bodyOf(attempt *sent, reader io.Reader) io.Reader {
	if attempt.slow {
		return &slowReader{reader: reader}
	}
	return reader
}

// timedReader sets a timer back at each read.
type timedReader struct {
	reader io.Reader
	timer  *time.Timer
}

// Read implements io.Reader.
func (timed *timedReader) Read(buffer []byte) (int, error) {
	count, err := timed.reader.Read(buffer)
	timed.timer.Reset(gap)
	return count, err
}
