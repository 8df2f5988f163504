package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/magpielug/magpielug/internal/wait"
	"github.com/magpielug/magpielug/rehearsal/standin/records"
)

const (
	// defaultStreamZones is the default number of zones in runs with resumed streams.
	defaultStreamZones = 3
	// initialVersions is the number of software versions of the engines at the start of a run.
	initialVersions = 2
	// streamEventDelay is the delay between events in runs with resumed streams, so that faults meet
	// streams under way.
	streamEventDelay = 120 * time.Millisecond
	// defaultStreamEngines is the default number of model engines in these runs.
	defaultStreamEngines = 6
	// streamCallers callers for each worker run streams one after another. They make at most
	// maxStreamAttempts attempts at each, with pauses between minResumePause and maxResumePause, or
	// lateResumePause.
	streamCallers     = 12
	maxStreamAttempts = 6
	minResumePause    = 100 * time.Millisecond
	maxResumePause    = 400 * time.Millisecond
	lateResumePause   = 3 * time.Second
	// One attempt to resume in duplicateInterval is made at two nodes at once, one in lateInterval
	// comes late.
	duplicateInterval = 5
	lateInterval      = 8
	resumablePath     = records.PathResumable + "x"
	// minResumedStreams is the number of resumed streams from which their share counts.
	// minResumedShare is the least share of them that goes on, as a fraction of the share of new streams
	// that begin. Both shares count attempts at nodes that ran for contactTime before and until their end,
	// the time since all nodes are ready included.
	minResumedStreams = 12
	minResumedShare   = 0.5
	contactTime       = 4 * time.Second
	// engineDrain is how long an engine that leaves serves on, engineOverlap when it follows its
	// successor.
	engineDrain   = 2 * time.Second
	engineOverlap = 300 * time.Millisecond
)

// streamFaults are the kinds of faults of resumed streams. They are drawn from separate random
// streams, so that they do not change the other faults of a seed.
var streamFaults = []fault{
	{"roll out version", (*injector).rollOutVersion},
	{"kill zone", (*injector).killZone},
	{"kill nodes at once", (*injector).killSeveralNodes},
}

// versionOf returns the software version of the engine with the given number.
func (cluster *cluster) versionOf(service string, number int) string {
	if cluster.options.StreamWorkers == 0 || service != records.ServiceModels {
		return ""
	}
	return fmt.Sprintf("v%d", number%initialVersions)
}

// streamAttempt tells which stream an attempt belongs to.
type streamAttempt struct {
	stream *resumableStream
	// lastEvent is the number of the event after which the attempt resumes the stream, 0 for a new one.
	lastEvent int
	resumes   bool
}

// resumableStream is what a caller knows of its stream.
type resumableStream struct {
	name string
	// mutex guards the fields below.
	mutex        sync.Mutex
	firstAttempt string
	lastEvent    int
	complete     bool
}

// startStreamCallers starts the callers of resumable streams.
func (run *run) startStreamCallers(ctx context.Context) {
	for range streamCallers * run.options.StreamWorkers {
		extra, number := run.injector.newExtraCaller()
		run.workers.Go(func() { extra.runResumableStreams(ctx, number, run.random(uint64(5000+number))) })
	}
}

// runResumableStreams runs streams one after another until ctx ends.
func (caller *caller) runResumableStreams(ctx context.Context, number int, random *rand.Rand) {
	for round := 0; ctx.Err() == nil; round++ {
		caller.runResumableStream(ctx, &resumableStream{name: fmt.Sprintf("stream-%d-%d", number, round)}, random)
	}
}

// runResumableStream begins a stream and resumes it until it is complete.
func (caller *caller) runResumableStream(ctx context.Context, stream *resumableStream, random *rand.Rand) {
	for number := 0; number < maxStreamAttempts && ctx.Err() == nil; number++ {
		var attempts sync.WaitGroup
		atOnce := 1
		if stream.firstAttempt != "" && random.IntN(duplicateInterval) == 0 {
			atOnce = 2
		}
		for range atOnce {
			own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
			attempts.Go(func() { caller.attemptStream(ctx, stream, own) })
		}
		attempts.Wait()
		if stream.complete {
			return
		}
		pause := randomDuration(random, minResumePause, maxResumePause)
		if random.IntN(lateInterval) == 0 {
			pause = lateResumePause
		}
		wait.Sleep(ctx, pause)
	}
}

// attemptStream makes one attempt, which resumes the stream if it has begun.
func (caller *caller) attemptStream(ctx context.Context, stream *resumableStream, random *rand.Rand) {
	header := http.Header{}
	stream.mutex.Lock()
	began := streamAttempt{stream: stream, lastEvent: stream.lastEvent, resumes: stream.firstAttempt != ""}
	if began.resumes {
		header.Set("Resumes", stream.firstAttempt)
		header.Set("Last-Event-Id", strconv.Itoa(stream.lastEvent))
	}
	stream.mutex.Unlock()
	attempt := &callAttempt{method: http.MethodPost, target: resumablePath, prompt: "prompt of " + stream.name, tenant: tenantUnlimited, streamAttempt: &began}
	caller.send(ctx, random, attempt, attempt.prompt, header)
	if attempt.status != http.StatusOK {
		return
	}
	caller.recorder.checkEvents(attempt, began.lastEvent)
	received := strings.Count(attempt.body, "\n\n")
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	if received > 0 && stream.firstAttempt == "" {
		stream.firstAttempt = attempt.id
	}
	stream.lastEvent = max(stream.lastEvent, began.lastEvent+received)
	stream.complete = stream.complete || attempt.complete
}

// rollOutVersion replaces about half of the model engines by engines of a new version. Each one that
// leaves says so and serves on for a while.
func (injector *injector) rollOutVersion(ctx context.Context, random *rand.Rand) string {
	const resource = "rollout"
	if !injector.reserve(resource) {
		return ""
	}
	defer injector.release(resource)
	version := fmt.Sprintf("v%d", initialVersions+int(injector.rollouts.Add(1)))
	replaced := 0
	var leaving sync.WaitGroup
	for _, old := range injector.cluster.listedEngines() {
		if old.service != records.ServiceModels || random.IntN(2) == 0 || !injector.reserve(old.ID) {
			continue
		}
		if injector.cluster.addEngineOf(old.service, old.zone, version) != nil {
			injector.release(old.ID)
			continue
		}
		replaced++
		wait.Sleep(ctx, engineOverlap)
		injector.cluster.publishEngine(old, records.StateDraining)
		leaving.Go(func() {
			defer injector.release(old.ID)
			time.Sleep(engineDrain + engineOverlap)
			injector.cluster.removeEngine(old)
		})
	}
	leaving.Wait()
	return fmt.Sprintf("%d engines to %s", replaced, version)
}

// killZone kills all nodes of a zone at once.
func (injector *injector) killZone(ctx context.Context, random *rand.Rand) string {
	zone := injector.cluster.options.zoneName(random.IntN(injector.cluster.options.Zones))
	return injector.killTogether(ctx, random, slices.DeleteFunc(slices.Clone(injector.cluster.nodes), func(node *node) bool { return node.zone != zone }))
}

// killSeveralNodes kills up to half of the nodes at once.
func (injector *injector) killSeveralNodes(ctx context.Context, random *rand.Rand) string {
	nodes := slices.Clone(injector.cluster.nodes)
	random.Shuffle(len(nodes), func(left, right int) { nodes[left], nodes[right] = nodes[right], nodes[left] })
	return injector.killTogether(ctx, random, nodes[:1+random.IntN(max(len(nodes)/2, 1))])
}

// killTogether kills nodes at once and starts them again.
func (injector *injector) killTogether(ctx context.Context, random *rand.Rand, nodes []*node) string {
	outage := randomDuration(random, 0, maxDowntime)
	var names []string
	for _, target := range nodes {
		names = append(names, target.name)
	}
	if !injector.reserve(names...) {
		return ""
	}
	defer injector.release(names...)
	defer injector.recordOutage(time.Now(), nodes...)
	var killing sync.WaitGroup
	for _, target := range nodes {
		killing.Go(func() { target.stop(syscall.SIGKILL, time.Second) })
	}
	killing.Wait()
	wait.Sleep(ctx, outage)
	for _, target := range nodes {
		_ = target.start()
	}
	return fmt.Sprintf("%v for %s", names, outage)
}

// checkStreams checks that the events of each stream come from engines of one version, and that
// streams that callers resume go on. All nodes are ready at startedAt.
func (recorder *recorder) checkStreams(engines []*engine, startedAt time.Time, outages []nodeOutage) {
	recorder.mutex.Lock()
	attempts := recorder.attempts
	recorder.mutex.Unlock()
	versionByAttempt := map[string]string{}
	for _, each := range engines {
		for _, run := range each.Runs() {
			versionByAttempt[run.ID] = each.Version
		}
	}
	versions := map[*resumableStream]map[string]bool{}
	var resumed, undisturbedResumed, undisturbedBegun streamShare
	for _, attempt := range attempts {
		if attempt.streamAttempt == nil {
			continue
		}
		stream := attempt.streamAttempt.stream
		hasEvents := attempt.status == http.StatusOK && strings.Contains(attempt.body, "\n\n")
		if hasEvents && versions[stream] == nil {
			versions[stream] = map[string]bool{}
		}
		if hasEvents {
			versions[stream][versionByAttempt[attempt.id]] = true
		}
		undisturbed := attempt.sentAt.After(startedAt.Add(contactTime)) && !disturbed(attempt, outages) && !strings.Contains(attempt.body, versionLeftCode)
		if attempt.streamAttempt.resumes {
			resumed.add(stream, hasEvents)
		}
		switch {
		case !undisturbed:
		case attempt.streamAttempt.resumes:
			undisturbedResumed.add(stream, hasEvents)
		default:
			undisturbedBegun.add(stream, hasEvents)
		}
	}
	for stream, found := range versions {
		if len(found) > 1 {
			recorder.addViolation(invariantStreamVersion, "%s, begun by %s, has events of %d versions: %v", stream.name, stream.firstAttempt, len(found), found)
		}
	}
	recorder.resumedStreams, recorder.continuedStreams = resumed.counts()
	streams, wentOn := undisturbedResumed.counts()
	newStreams, began := undisturbedBegun.counts()
	if streams >= minResumedStreams && float64(wentOn*newStreams) < minResumedShare*float64(streams*began) {
		recorder.addViolation(invariantResumption, "%d of %d resumed streams went on, %d of %d new ones began", wentOn, streams, began, newStreams)
	}
}

// versionLeftCode is the result code of a resumption of which no engine has the version any more, in a
// response's body.
const versionLeftCode = `"code":2019`

// streamShare counts streams, and those of which an attempt brought events.
type streamShare struct{ streams map[*resumableStream]bool }

func (share *streamShare) add(stream *resumableStream, hasEvents bool) {
	if share.streams == nil {
		share.streams = map[*resumableStream]bool{}
	}
	share.streams[stream] = share.streams[stream] || hasEvents
}

// counts returns the number of streams, and of those with events.
func (share *streamShare) counts() (streams, withEvents int) {
	for _, hasEvents := range share.streams {
		if hasEvents {
			withEvents++
		}
	}
	return len(share.streams), withEvents
}

// disturbed reports whether the node of an attempt did not run all the time from contactTime before it
// until its end.
func disturbed(attempt *callAttempt, outages []nodeOutage) bool {
	return slices.ContainsFunc(outages, func(outage nodeOutage) bool {
		return slices.Contains(outage.nodes, attempt.node) && outage.until.After(attempt.sentAt.Add(-contactTime)) && outage.from.Before(attempt.endedAt)
	})
}
