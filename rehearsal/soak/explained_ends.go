package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/wait"
	"github.com/magpielug/magpielug/rehearsal/standin/agentengine"
	"github.com/magpielug/magpielug/rehearsal/standin/records"
)

const (
	// minLeave and maxLeave bound when callers leave that do so early.
	minLeave = 50 * time.Millisecond
	maxLeave = 600 * time.Millisecond
	// triesAtOnce is the number of tries at the same moment, by callers that send several.
	triesAtOnce = 3
	// maxNoticeTime is how long it takes until all nodes know of the first end of an engine, and maxUnderWay the
	// number of further engines that a request may reach afterwards.
	maxNoticeTime = 50 * time.Millisecond
	maxUnderWay   = 1
)

// explainedEndFaults are requests under which engines end in ways that something else seems to explain. They
// are drawn from separate random streams, so that they do not change the other faults of a seed.
var explainedEndFaults = []fault{
	{"request that ends engines", (*injector).sendCrashRequest},
	{"request that ends engines, callers that leave", (*injector).sendAndLeave},
	{"request that ends engines, new programs", (*injector).sendByNewPrograms},
	{"request that ends engines, several at once", (*injector).sendSeveralAtOnce},
}

// explainedCrashes are ways in which an engine ends that something else seems to explain.
func (cluster *cluster) explainedCrashes(target *engine) []agentengine.Crash {
	return []agentengine.Crash{
		{Delay: 600 * time.Millisecond, OnArrival: func(*agentengine.Engine) { cluster.publishEngine(target, records.StateDraining) }},
		{Delay: 700 * time.Millisecond, OnArrival: func(*agentengine.Engine) { cluster.store.Put(records.TopicEngines, target.ID, nil) }},
		{Delay: 80 * time.Millisecond, AnswerStatus: http.StatusOK},
		{Delay: 80 * time.Millisecond, AnswerStatus: http.StatusBadRequest},
		{Delay: 1500 * time.Millisecond},
	}
}

// crashTries sends one request that ends engines again and again. send makes the tries of one moment.
func (injector *injector) crashTries(ctx context.Context, random *rand.Rand, send func(extra *caller, name, target string, try int) int) string {
	extra, number := injector.newExtraCaller()
	name := fmt.Sprintf("crash-%d", number)
	targets := []string{retainedTurnPath, plainTurnPath, unsafeToolPath, safeToolPath}
	target := targets[random.IntN(len(targets))]
	var statuses []int
	for try := range crashAttempts {
		if ctx.Err() != nil {
			break
		}
		statuses = append(statuses, send(extra, name, target, try))
		wait.Sleep(ctx, randomDuration(random, minCrashPause, maxCrashPause))
	}
	return fmt.Sprintf("%s at %s, statuses %v", name, target, statuses)
}

// newCrashAttempt returns an attempt of a request that ends engines, and its body. It may reach several engines
// before the first of them ends.
func newCrashAttempt(name, target string) (*callAttempt, string) {
	mark := fmt.Sprintf("%s %s;", agentengine.CrashMark, name)
	return &callAttempt{method: http.MethodPost, prompt: mark, tenant: tenantUnlimited, crash: name, several: true, target: target, repeatable: target == safeToolPath}, mark
}

func (injector *injector) sendAndLeave(ctx context.Context, random *rand.Rand) string {
	return injector.crashTries(ctx, random, func(extra *caller, name, target string, _ int) int {
		attempt, body := newCrashAttempt(name, target)
		leaving, leave := context.WithTimeout(ctx, randomDuration(random, minLeave, maxLeave))
		defer leave()
		extra.send(leaving, random, attempt, body, crashHeader(name, target))
		return attempt.status
	})
}

func (injector *injector) sendByNewPrograms(ctx context.Context, random *rand.Rand) string {
	return injector.crashTries(ctx, random, func(extra *caller, name, target string, try int) int {
		attempt, body := newCrashAttempt(name, target)
		attempt.byPrograms = true
		extra.send(ctx, random, attempt, body, crashHeader(fmt.Sprintf("%s-%d", name, try), target))
		return attempt.status
	})
}

func (injector *injector) sendSeveralAtOnce(ctx context.Context, random *rand.Rand) string {
	return injector.crashTries(ctx, random, func(extra *caller, name, target string, _ int) int {
		nodes := extra.cluster.nodes
		first := random.IntN(len(nodes))
		attempts := make([]*callAttempt, triesAtOnce)
		var sending sync.WaitGroup
		for number := range attempts {
			attempt, body := newCrashAttempt(name, target)
			attempts[number] = attempt
			sending.Go(func() { extra.sendTo(ctx, nodes[(first+number)%len(nodes)], attempt, body, crashHeader(name, target)) })
		}
		sending.Wait()
		return attempts[0].status
	})
}
