package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/wait"
	"github.com/magpielug/magpielug/rehearsal/standin/agentengine"
)

const (
	// maxEngineEnds is the number of engines that may end under one request.
	maxEngineEnds = 3
	// crashAttempts is how often a caller sends a request that ends engines, with pauses between
	// minCrashPause and maxCrashPause.
	crashAttempts = 10
	minCrashPause = 50 * time.Millisecond
	maxCrashPause = 400 * time.Millisecond
	// endedEngineRecord is how long the record of an engine that ended stays, and
	// endedEngineReplacement when another engine starts.
	endedEngineRecord      = 1500 * time.Millisecond
	endedEngineReplacement = 400 * time.Millisecond
)

// crashFaults are the kinds of faults whose requests end engines. They are drawn from separate
// random streams, so that they do not change the other faults of a seed.
var crashFaults = []fault{{"request that ends engines", (*injector).sendCrashRequest}}

// crashes are the ways in which engines end under a request.
var crashes = []agentengine.Crash{
	{},
	{Delay: 60 * time.Millisecond},
	{Delay: 300 * time.Millisecond},
	{AfterEvents: 2},
	{Delay: 60 * time.Millisecond, Silent: true},
	{AfterEvents: 1, Silent: true},
}

// crashesAfterAnswers are further ways, in runs that lose all nodes.
var crashesAfterAnswers = []agentengine.Crash{{Delay: 80 * time.Millisecond, AnswerStatus: http.StatusInternalServerError}}

// crashOf returns how the engine with the given number ends.
func (cluster *cluster) crashOf(number int, target *engine) agentengine.Crash {
	ways := crashes
	if cluster.options.TotalLossWorkers > 0 {
		ways = slices.Concat(ways, crashesAfterAnswers)
	}
	if cluster.options.EndWorkers > 0 {
		ways = slices.Concat(ways, crashesAfterAnswers, cluster.explainedCrashes(target))
	}
	return ways[number%len(ways)]
}

// handleEnd refuses connections to an engine that ends by itself, unless it is silent, and replaces it.
func (cluster *cluster) handleEnd(ended *engine) {
	if end, _ := ended.Ended(); !end.Silent {
		ended.proxy.Close()
	}
	go cluster.replaceEnded(ended)
}

// replaceEnded replaces an engine that has ended by itself.
func (cluster *cluster) replaceEnded(old *engine) {
	time.Sleep(endedEngineReplacement)
	cluster.mutex.Lock()
	closed := cluster.closed
	cluster.mutex.Unlock()
	if closed {
		return
	}
	_ = cluster.addEngineOf(old.service, old.zone, old.Version) // The run reports missing engines as lost progress.
	time.Sleep(endedEngineRecord - endedEngineReplacement)
	cluster.removeEngine(old)
}

// sendCrashRequest sends one request that ends engines again and again, as a caller does that does not
// give up.
func (injector *injector) sendCrashRequest(ctx context.Context, random *rand.Rand) string {
	return injector.repeatCrashRequest(ctx, random, crashAttempts, maxCrashPause)
}

// repeatCrashRequest sends one request that ends engines a number of times, at most maxPause apart.
func (injector *injector) repeatCrashRequest(ctx context.Context, random *rand.Rand, count int, maxPause time.Duration) string {
	extra, number := injector.newExtraCaller()
	name := fmt.Sprintf("crash-%d", number)
	mark := fmt.Sprintf("%s %s;", agentengine.CrashMark, name)
	attempt := func() *callAttempt {
		return &callAttempt{method: http.MethodPost, prompt: mark, tenant: tenantUnlimited, crash: name}
	}
	targets := []string{retainedTurnPath, plainTurnPath, unsafeToolPath, safeToolPath}
	target := targets[random.IntN(len(targets))]
	statuses := make([]int, 0, count)
	for len(statuses) < count && ctx.Err() == nil {
		current := attempt()
		current.target = target
		current.repeatable = target == safeToolPath
		extra.send(ctx, random, current, mark, crashHeader(name, target))
		statuses = append(statuses, current.status)
		wait.Sleep(ctx, randomDuration(random, minCrashPause, maxPause))
	}
	return fmt.Sprintf("%s at %s, statuses %v", name, target, statuses)
}

// crashHeader returns the header of a request that ends engines, of a program with a name.
func crashHeader(name, target string) http.Header {
	return (&session{program: &program{name: name, tenant: tenantUnlimited, budget: largeBudget}, id: name, path: target}).requestHeader()
}

// nodeOutage is a time in which nodes did not run, or were being stopped.
type nodeOutage struct {
	from, until time.Time
	nodes       []string
	// all is true if these are all nodes.
	all bool
}

// recordOutage records an outage of nodes that ends now.
func (injector *injector) recordOutage(from time.Time, nodes ...*node) {
	outage := nodeOutage{from: from, until: time.Now(), all: len(nodes) == len(injector.cluster.nodes)}
	for _, each := range nodes {
		outage.nodes = append(outage.nodes, each.name)
	}
	injector.mutex.Lock()
	defer injector.mutex.Unlock()
	injector.outages = append(injector.outages, outage)
}

// storeOutage is a time in which the store did not respond as usual.
type storeOutage struct{ from, until time.Time }

// recordStoreOutage records an outage of the store that ends now.
func (injector *injector) recordStoreOutage(from time.Time) {
	injector.mutex.Lock()
	defer injector.mutex.Unlock()
	injector.storeOutages = append(injector.storeOutages, storeOutage{from: from, until: time.Now()})
}

// outageLog holds the outages of a run.
type outageLog struct {
	nodes []nodeOutage
	store []storeOutage
}

// allOutages returns all outages that have ended.
func (injector *injector) allOutages() outageLog {
	injector.mutex.Lock()
	defer injector.mutex.Unlock()
	return outageLog{nodes: slices.Clone(injector.outages), store: slices.Clone(injector.storeOutages)}
}

// allowedEngineEnds returns how many engines may end under a request that was sent between two
// times. A node that does not run may be the only one that saw an engine end. If all nodes were lost
// while the store could not record what they knew, none remembers.
func (outages *outageLog) allowedEngineEnds(first, last time.Time) int {
	allowed := maxEngineEnds
	for _, outage := range outages.nodes {
		if outage.from.After(last) || outage.until.Before(first) {
			continue
		}
		allowed++
		if outage.all && outages.storeWasOut(first, outage.until) {
			allowed += maxEngineEnds - 1
		}
	}
	return allowed
}

// storeWasOut reports whether the store did not respond as usual at any time between two times.
func (outages *outageLog) storeWasOut(first, last time.Time) bool {
	return slices.ContainsFunc(outages.store, func(outage storeOutage) bool {
		return !outage.from.After(last) && !outage.until.Before(first)
	})
}

// checkEngineEnds checks that requests which end engines are stopped after three, and that a request
// is refused for that only if three engines have ended while it was there.
func (recorder *recorder) checkEngineEnds(engines []*engine, removed map[*engine]bool, outages outageLog) {
	recorder.mutex.Lock()
	attempts := recorder.attempts
	recorder.mutex.Unlock()
	recorder.checkCrashRequests(attempts, engines, outages)
	enginesEnded := map[string]int{}
	for _, each := range engines {
		if _, ended := each.Ended(); ended || removed[each] {
			for content := range contentsAt(each, attempts) {
				enginesEnded[content]++
			}
		}
	}
	for _, attempt := range attempts {
		if strings.Contains(attempt.body, quarantineCode) && enginesEnded[attempt.content()] < maxEngineEnds {
			recorder.addViolation(invariantQuarantine, "%s to %s was refused after %d engines: %s", attempt.id, attempt.target, enginesEnded[attempt.content()], attempt.body)
		}
	}
}

// content is the same for all attempts of one request.
func (attempt *callAttempt) content() string {
	return strings.Join([]string{attempt.tenant, attempt.method, attempt.target, attempt.previousTurn, attempt.prompt}, "\n")
}

// contentsAt returns the contents that an engine ran.
func contentsAt(target *engine, attempts map[string]*callAttempt) map[string]bool {
	contents := map[string]bool{}
	for _, run := range target.Runs() {
		if attempt := attempts[run.ID]; attempt != nil {
			contents[attempt.content()] = true
		}
	}
	return contents
}

// checkCrashRequests checks how many engines ended under each request that ends them.
func (recorder *recorder) checkCrashRequests(attempts map[string]*callAttempt, engines []*engine, outages outageLog) {
	type period struct {
		first, last time.Time
		several     bool
	}
	periods := map[string]period{}
	for _, attempt := range attempts {
		if attempt.crash == "" {
			continue
		}
		sent, known := periods[attempt.crash]
		if !known || attempt.sentAt.Before(sent.first) {
			sent.first = attempt.sentAt
		}
		if end := attempt.sentAt.Add(attemptDeadline); end.After(sent.last) {
			sent.last = end
		}
		sent.several = sent.several || attempt.several
		periods[attempt.crash] = sent
	}
	ends := map[string]int{}
	firstEnds := map[string]time.Time{}
	answered := answeredOverPrograms(attempts, engines)
	for _, each := range engines {
		end, ended := each.Ended()
		if attempt := attempts[end.Request]; ended && attempt != nil && !answered[attempt.crash] {
			ends[attempt.crash]++
			if first, known := firstEnds[attempt.crash]; !known || end.At.Before(first) {
				firstEnds[attempt.crash] = end.At
			}
		}
	}
	for name, count := range ends {
		allowed := outages.allowedEngineEnds(periods[name].first, periods[name].last)
		if periods[name].several {
			allowed = max(allowed, allowed-maxEngineEnds+reachedBefore(name, firstEnds[name].Add(maxNoticeTime), engines, attempts)+maxUnderWay)
		}
		if count > allowed {
			recorder.addViolation(invariantEngineEnds, "%d engines ended under %s, %d allowed", count, name, allowed)
		}
	}
}

// answeredOverPrograms returns the requests of several programs that an engine answered before it ended. Such
// ends count for each program, and the answers take back the other ends.
func answeredOverPrograms(attempts map[string]*callAttempt, engines []*engine) map[string]bool {
	answered := map[string]bool{}
	for _, each := range engines {
		end, ended := each.Ended()
		if attempt := attempts[end.Request]; ended && end.Answered && attempt != nil && attempt.byPrograms {
			answered[attempt.crash] = true
		}
	}
	return answered
}

// reachedBefore returns the number of engines that a request which ends engines had reached at a time.
func reachedBefore(name string, at time.Time, engines []*engine, attempts map[string]*callAttempt) int {
	reached := 0
	for _, each := range engines {
		if slices.ContainsFunc(each.Runs(), func(run agentengine.Run) bool {
			attempt := attempts[run.ID]
			return attempt != nil && attempt.crash == name && !run.ArrivedAt.After(at)
		}) {
			reached++
		}
	}
	return reached
}

// quarantineCode is the result code of a quarantined request in a response's body.
var quarantineCode = fmt.Sprintf(`"code":%d`, resultcode.RequestQuarantined)
