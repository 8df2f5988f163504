package speed

import (
	"context"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Output lengths vary so that calls in flight don't start in lockstep.
	minOutputTokens = 60
	maxOutputTokens = 140
	// maxCallDelay bounds the random delay before a call and spans several engine
	// steps. Without it every call would start at the end of a step and wait for a
	// full step, which would hide latency added by the path.
	maxCallDelay = 20 * time.Millisecond
	// retryDelay is the wait after a failed call.
	retryDelay = 200 * time.Millisecond
)

// Config configures a measurement.
type Config struct {
	Paths []CallPath
	// InFlight lists the numbers of concurrent calls to measure.
	InFlight []int
	Rounds   int
	// RoundDuration is how long a round starts calls; calls started within the
	// initial WarmUp are not counted.
	RoundDuration time.Duration
	WarmUp        time.Duration
	Seed          int64
	Client        *http.Client
	// Engine is the engine address at which generations are joined to measure the
	// forwarding delay.
	Engine string
	// Progress is called after each round.
	Progress func(Round)
}

// Round is the result of one round of one path.
type Round struct {
	Path     string
	InFlight int
	Calls    int
	Failed   int
	// FirstError is the error of the first failed call.
	FirstError string
	FirstToken LatencySummary
	InterToken LatencySummary
	// ForwardingDelay is the time from a token's arrival directly from the engine to
	// its arrival over the path. It is sampled from some of the calls, and zero for
	// paths whose generations can't be joined.
	ForwardingDelay LatencySummary
}

// LatencySummary summarizes a set of durations.
type LatencySummary struct {
	Median, P95, Mean time.Duration
}

// highQuantile is the quantile that LatencySummary.P95 reports.
const highQuantile = 0.95

func summarize(values []time.Duration) LatencySummary {
	if len(values) == 0 {
		return LatencySummary{}
	}
	slices.Sort(values)
	sum := time.Duration(0)
	for _, value := range values {
		sum += value
	}
	return LatencySummary{
		Median: values[len(values)/2],
		P95:    values[min(int(highQuantile*float64(len(values))), len(values)-1)],
		Mean:   sum / time.Duration(len(values)),
	}
}

// roundTimes collects the token latencies of one round.
type roundTimes struct {
	mutex            sync.Mutex
	firstToken       []time.Duration
	interToken       []time.Duration
	forwardingDelays []time.Duration
	failed           int
	firstError       string
}

func (times *roundTimes) add(call callTimes, err error) {
	times.mutex.Lock()
	defer times.mutex.Unlock()
	if err != nil {
		times.failed++
		if times.firstError == "" {
			times.firstError = err.Error()
		}
		return
	}
	times.firstToken = append(times.firstToken, call.firstToken)
	times.interToken = append(times.interToken, call.interToken...)
	times.forwardingDelays = append(times.forwardingDelays, call.forwardingDelays...)
}

// Compare measures the paths one after the other, in several rounds for each number
// of concurrent calls.
func Compare(ctx context.Context, config Config) []Round {
	var rounds []Round
	var numbers atomic.Uint64
	for _, inFlight := range config.InFlight {
		for number := range config.Rounds {
			for index := range config.Paths {
				// Rotate the order so that no path always runs first.
				path := config.Paths[(index+number)%len(config.Paths)]
				if ctx.Err() != nil {
					return rounds
				}
				round := config.runRound(ctx, path, inFlight, &numbers)
				config.Progress(round)
				rounds = append(rounds, round)
			}
		}
	}
	return rounds
}

// runRound keeps inFlight callers busy for the round's duration.
func (config Config) runRound(ctx context.Context, path CallPath, inFlight int, numbers *atomic.Uint64) Round {
	var times roundTimes
	probe := probe{path: path, client: config.Client, engine: config.Engine}
	var group sync.WaitGroup
	start := time.Now()
	for worker := range inFlight {
		group.Add(1)
		random := rand.New(rand.NewSource(config.Seed + int64(worker)))
		go func() {
			defer group.Done()
			for time.Since(start) < config.RoundDuration && ctx.Err() == nil {
				counted := time.Since(start) >= config.WarmUp
				time.Sleep(time.Duration(random.Int63n(int64(maxCallDelay))))
				tokens := minOutputTokens + random.Intn(maxOutputTokens-minOutputTokens)
				measured, err := probe.measure(ctx, numbers.Add(1), tokens)
				if counted || err != nil {
					times.add(measured, err)
				}
				if err != nil {
					time.Sleep(retryDelay)
				}
			}
		}()
	}
	group.Wait()
	return Round{
		Path:            path.Name,
		InFlight:        inFlight,
		Calls:           len(times.firstToken),
		Failed:          times.failed,
		FirstError:      times.firstError,
		FirstToken:      summarize(times.firstToken),
		InterToken:      summarize(times.interToken),
		ForwardingDelay: summarize(times.forwardingDelays),
	}
}
