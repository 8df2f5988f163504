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
	// Outputs vary in length, so that calls in flight don't begin together.
	shortestOutput = 60
	longestOutput  = 140
	// longestPause before a call is several steps of the engine. A call begun where
	// the one before has ended, at a step's end, would always wait a whole step,
	// and a way that comes later in the step would look as fast.
	longestPause = 20 * time.Millisecond
	// failurePause keeps a caller whose call has failed from trying at once.
	failurePause = 200 * time.Millisecond
)

// Config is one measurement.
type Config struct {
	Ways []Way
	// InFlight are the numbers of calls under way at once.
	InFlight []int
	Rounds   int
	// RoundDuration is how long calls are begun in one round of one way; those
	// begun in its first part, WarmUp, are not counted.
	RoundDuration time.Duration
	WarmUp        time.Duration
	Seed          int64
	Client        *http.Client
	// Engine is where generations are joined to see when a token was sent.
	Engine string
	// Progress is told of each round.
	Progress func(Round)
}

// Round is what one round of one way has shown.
type Round struct {
	Way      string
	InFlight int
	Calls    int
	Failed   int
	// FailedFor is why the first failed call failed.
	FailedFor string
	First     Spread
	Gap       Spread
	// Delay is from a token's arrival straight from the engine to its arrival by
	// the way; of some calls, none of ways whose calls can't be joined.
	Delay Spread
}

// Spread sums up a set of durations.
type Spread struct {
	Median, High, Mean time.Duration
}

// highShare is the percentile shown beside the median.
const highShare = 0.95

func spreadOf(values []time.Duration) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	slices.Sort(values)
	sum := time.Duration(0)
	for _, value := range values {
		sum += value
	}
	return Spread{
		Median: values[len(values)/2],
		High:   values[min(int(highShare*float64(len(values))), len(values)-1)],
		Mean:   sum / time.Duration(len(values)),
	}
}

// collection gathers the times of one round.
type collection struct {
	mutex     sync.Mutex
	first     []time.Duration
	gaps      []time.Duration
	delays    []time.Duration
	failed    int
	failedFor string
}

func (collection *collection) add(times callTimes, err error) {
	collection.mutex.Lock()
	defer collection.mutex.Unlock()
	if err != nil {
		collection.failed++
		if collection.failedFor == "" {
			collection.failedFor = err.Error()
		}
		return
	}
	collection.first = append(collection.first, times.first)
	collection.gaps = append(collection.gaps, times.gaps...)
	collection.delays = append(collection.delays, times.delays...)
}

// Compare runs the ways one after the other, several rounds at each number of
// calls in flight.
func Compare(ctx context.Context, config Config) []Round {
	var rounds []Round
	var numbers atomic.Uint64
	for _, inFlight := range config.InFlight {
		for number := range config.Rounds {
			for index := range config.Ways {
				// Each round begins with another way, so that none always comes
				// first.
				way := config.Ways[(index+number)%len(config.Ways)]
				if ctx.Err() != nil {
					return rounds
				}
				round := config.round(ctx, way, inFlight, &numbers)
				config.Progress(round)
				rounds = append(rounds, round)
			}
		}
	}
	return rounds
}

// round keeps the number of calls in flight for the round's duration.
func (config Config) round(ctx context.Context, way Way, inFlight int, numbers *atomic.Uint64) Round {
	var times collection
	probe := probe{way: way, client: config.Client, engine: config.Engine}
	var group sync.WaitGroup
	begun := time.Now()
	for worker := range inFlight {
		group.Add(1)
		random := rand.New(rand.NewSource(config.Seed + int64(worker)))
		go func() {
			defer group.Done()
			for time.Since(begun) < config.RoundDuration && ctx.Err() == nil {
				counted := time.Since(begun) >= config.WarmUp
				time.Sleep(time.Duration(random.Int63n(int64(longestPause))))
				tokens := shortestOutput + random.Intn(longestOutput-shortestOutput)
				measured, err := probe.measure(ctx, numbers.Add(1), tokens)
				if counted || err != nil {
					times.add(measured, err)
				}
				if err != nil {
					time.Sleep(failurePause)
				}
			}
		}()
	}
	group.Wait()
	return Round{
		Way:       way.Name,
		InFlight:  inFlight,
		Calls:     len(times.first),
		Failed:    times.failed,
		FailedFor: times.failedFor,
		First:     spreadOf(times.first),
		Gap:       spreadOf(times.gaps),
		Delay:     spreadOf(times.delays),
	}
}
