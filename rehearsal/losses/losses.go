// Package losses finds the programs that were lost in a run from the logs of its
// nodes, with the time and the cause of each loss. The input may interleave the
// logs of several nodes with other text.
//
// A program is lost if the last log line about it is a failure, unless its budget
// was spent, its key was invalid, or it continued a turn that was never answered.
package losses

import (
	"bufio"
	"cmp"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// maxLineBytes is the maximum length of an input line.
const maxLineBytes = 1 << 20

const (
	eventAnswered = "call answered"
	eventFailed   = "call failed"
)

// resultBudgetSpent is the result of calls that the program's budget does not cover.
var resultBudgetSpent = resultcode.ProgramCapReached.String()

// resultBadKey is the result of calls with an unknown or revoked key.
var resultBadKey = resultcode.BadKey.String()

// resultUnknownTurn is the result of turns whose previous turn is unknown.
var resultUnknownTurn = resultcode.UnknownTurn.String()

// unknownTurnPattern matches the message of UnknownTurn errors and captures the
// previous turn's request ID.
var unknownTurnPattern = regexp.MustCompile(`previous turn (\S+) does not exist`)

// fieldPattern matches a key=value pair of a log line.
var fieldPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)

// logEntry holds the relevant fields of a log line.
type logEntry struct {
	timestamp time.Time
	event     string
	request   string
	program   string
	tenant    string
	result    string
	verdict   string
	isTurn    bool
	engine    string
	failure   string
	route     string
	// zone is that of the node.
	zone string
	// took is the duration of the call, programTimeLeft the time from its receipt to the soft deadline of
	// its program.
	took            time.Duration
	programTimeLeft time.Duration
}

// parseEntry parses a log line. It returns false for other text.
func parseEntry(text string) (logEntry, bool) {
	start := strings.Index(text, "time=")
	if start < 0 || !strings.Contains(text, "event=") {
		return logEntry{}, false
	}
	var entry logEntry
	for _, match := range fieldPattern.FindAllStringSubmatch(text[start:], -1) {
		value := match[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		entry.setField(match[1], value)
	}
	return entry, !entry.timestamp.IsZero()
}

func (entry *logEntry) setField(key, value string) {
	switch key {
	case "time":
		entry.timestamp, _ = time.Parse(time.RFC3339Nano, value)
	case "event":
		entry.event = value
	case "request":
		entry.request = value
	case "program":
		entry.program = value
	case "tenant":
		entry.tenant = value
	case "result":
		entry.result = value
	case "verdict":
		entry.verdict = value
		entry.isTurn = true
	case "events":
		entry.isTurn = true
	case "engine":
		entry.engine = value
	case "failure":
		entry.failure = value
	case "route":
		entry.route = value
	case "zone":
		entry.zone = value
	case "took":
		entry.took, _ = time.ParseDuration(value)
	case "program_time_left":
		entry.programTimeLeft, _ = time.ParseDuration(value)
	}
}

// Loss is a lost program.
type Loss struct {
	Program string
	// Tenant is the program's tenant, or empty if unknown.
	Tenant string
	// Request is the program's last request, which failed at At.
	Request string
	At      time.Time
	Cause   Cause
	// Answered is the number of the program's requests that succeeded before.
	Answered int
	Failure  string
}

// Cause classifies losses.
type Cause struct {
	// Turn is true if a model turn failed, false for a tool call.
	Turn bool
	// Result is the name of the result code. Verdict is the shard owner's decision
	// on a turn.
	Result  string
	Verdict string
	// SentToEngine reports whether the request had been sent to an engine.
	SentToEngine bool
}

// String returns the cause as it appears in tables.
func (cause Cause) String() string {
	parts := []string{"tool"}
	if cause.Turn {
		parts = []string{"turn"}
	}
	parts = append(parts, cause.Result)
	if cause.Verdict != "" {
		parts = append(parts, strings.TrimPrefix(cause.Verdict, "VERDICT_"))
	}
	if cause.SentToEngine {
		parts = append(parts, "sent")
	}
	return strings.Join(parts, " ")
}

// programOutcome is a program's last log entry and its number of answered requests.
type programOutcome struct {
	last     logEntry
	answered int
}

// Read reads the logs of a run. It returns the losses sorted by time, and the
// earliest timestamp of any line.
func Read(source io.Reader) ([]Loss, time.Time, error) {
	programs := map[string]*programOutcome{}
	answered := map[string]bool{}
	var first time.Time
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		entry, valid := parseEntry(scanner.Text())
		if !valid {
			continue
		}
		if first.IsZero() || entry.timestamp.Before(first) {
			first = entry.timestamp
		}
		if entry.event == eventAnswered {
			answered[entry.request] = true
		}
		if entry.program != "" && (entry.event == eventAnswered || entry.event == eventFailed) {
			recordOutcome(programs, entry)
		}
	}
	return collectLosses(programs, answered), first, scanner.Err()
}

// isExpected reports whether a failure does not count as a loss: the program's budget was
// spent, its key was invalid, or its previous turn was never answered.
func isExpected(entry logEntry, answered map[string]bool) bool {
	if entry.result == resultUnknownTurn {
		groups := unknownTurnPattern.FindStringSubmatch(entry.failure)
		return groups != nil && !answered[groups[1]]
	}
	return entry.result == resultBudgetSpent || entry.result == resultBadKey
}

func recordOutcome(programs map[string]*programOutcome, entry logEntry) {
	outcome := programs[entry.program]
	if outcome == nil {
		outcome = &programOutcome{}
		programs[entry.program] = outcome
	}
	if entry.event == eventAnswered {
		outcome.answered++
	}
	if !entry.timestamp.Before(outcome.last.timestamp) {
		outcome.last = entry
	}
}

func collectLosses(programs map[string]*programOutcome, answered map[string]bool) []Loss {
	var losses []Loss
	for program, outcome := range programs {
		last := outcome.last
		if last.event != eventFailed || isExpected(last, answered) {
			continue
		}
		losses = append(losses, Loss{
			Program:  program,
			Tenant:   last.tenant,
			Request:  last.request,
			At:       last.timestamp,
			Answered: outcome.answered,
			Failure:  last.failure,
			Cause:    Cause{Turn: last.isTurn, Result: last.result, Verdict: last.verdict, SentToEngine: last.engine != ""},
		})
	}
	slices.SortFunc(losses, func(left, right Loss) int {
		return cmp.Or(left.At.Compare(right.At), cmp.Compare(left.Program, right.Program))
	})
	return losses
}
