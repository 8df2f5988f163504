package overload

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// targetPressure is the pressure up to which all calls are served. A call waits for the processor about
	// a dozen times, a sixth of a quantum more each time.
	targetPressure = 0.25
	// levelPerSecond is by how much the level builds up in a second, for each unit of pressure beyond the
	// target. A program that is let in brings its further turns later, so that fast changes overshoot.
	levelPerSecond = 0.2
	// proportionalGain is by how much the level is higher for each unit of pressure beyond the target.
	proportionalGain = 1.0
	// continuedFrom is the level from which calls of programs that have begun are refused, too, and
	// maxContinuedShare the share of them at the highest level. What was done for a program that has begun is
	// lost with it.
	continuedFrom     = 0.6
	maxContinuedShare = 0.5
	// minRetryAfter and maxRetryAfter bound when a refused caller is to come back. It probably meets another
	// node; where all are short of processor time, its tries are to outlast a burst.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 900 * time.Millisecond
	// begunMemory is how long a program counts as begun after its last answer. It exceeds the time between
	// two calls of most programs.
	begunMemory = 20 * time.Second
)

// Shedder decides which calls a node refuses while it is short of processor time: programs that have not
// begun go first, some of those that have begun follow. It is safe for concurrent use.
type Shedder struct {
	mutex sync.Mutex
	// level is from 0, nothing is refused, to 1; integral is the part of it that builds up over time.
	level, integral float64
	// random draws from 0 to 1.
	random func() float64
	// begun holds when this node last answered a call of each program.
	begun map[string]time.Time
}

// NewShedder returns a shedder that refuses nothing yet.
func NewShedder() *Shedder { return NewShedderWithRandom(rand.Float64) }

// NewShedderWithRandom is NewShedder with a source of random numbers for tests.
func NewShedderWithRandom(random func() float64) *Shedder {
	return &Shedder{random: random, begun: map[string]time.Time{}}
}

// Observe adjusts the level to the pressure of late. elapsed is the time since the last call.
func (shedder *Shedder) Observe(pressure float64, elapsed time.Duration) {
	shedder.mutex.Lock()
	defer shedder.mutex.Unlock()
	excess := pressure - targetPressure
	shedder.integral = clamp(shedder.integral + levelPerSecond*elapsed.Seconds()*excess)
	shedder.level = clamp(shedder.integral + proportionalGain*excess)
}

func clamp(level float64) float64 { return min(max(level, 0), 1) }

// Level returns how much is refused, from 0 to 1.
func (shedder *Shedder) Level() float64 {
	shedder.mutex.Lock()
	defer shedder.mutex.Unlock()
	return shedder.level
}

// Answered records that a call of a program was answered.
func (shedder *Shedder) Answered(program string, now time.Time) {
	shedder.mutex.Lock()
	defer shedder.mutex.Unlock()
	shedder.begun[program] = now
}

// Refuses reports whether to refuse a call, and when the caller may come back. begun is true if the call
// itself shows that its program has begun.
func (shedder *Shedder) Refuses(program string, begun bool, now time.Time) (retryAfter time.Duration, refused bool) {
	shedder.mutex.Lock()
	defer shedder.mutex.Unlock()
	if shedder.level == 0 {
		return 0, false
	}
	share := shedder.level
	if begun || now.Sub(shedder.begun[program]) < begunMemory {
		share = maxContinuedShare * max(shedder.level-continuedFrom, 0) / (1 - continuedFrom)
	}
	if shedder.random() >= share {
		return 0, false
	}
	spread := 1 + shedder.random()/2
	return min(time.Duration(spread*shedder.level*float64(maxRetryAfter))+minRetryAfter, maxRetryAfter), true
}

// Expire forgets programs that no longer count as begun.
func (shedder *Shedder) Expire(now time.Time) {
	shedder.mutex.Lock()
	defer shedder.mutex.Unlock()
	for program, answered := range shedder.begun {
		if now.Sub(answered) >= begunMemory {
			delete(shedder.begun, program)
		}
	}
}
