package quota

import "time"

const (
	// horizon is how far ahead the requests of programs under way are counted: about how
	// long a program runs.
	horizon = 5 * time.Second
	// programOver is how long a program sends nothing before it counts as over: longer
	// than its pauses and calls of tools take.
	programOver = 2 * time.Second
	// sweepPause separates two looks for programs that are over.
	sweepPause = 250 * time.Millisecond
	// firstExpected is how many requests a program is taken to make before any of its
	// kind is over; learnWeight is the weight of the newest one that is.
	firstExpected = 8.0
	learnWeight   = 0.1
	// leastLeft is what a program under way is taken to need at least: it has not ended.
	leastLeft = 1.0
)

// programs are those of a tenant that are under way, with what they are likely to need.
// Only whole programs are worth anything to a caller: where the limit is too small for
// all, it is better to begin fewer.
type programs struct {
	underWay map[string]*program
	// usual is how many requests a program makes, by kind.
	usual map[string]float64
	swept time.Time
}

type program struct {
	kind     string
	requests float64
	seen     time.Time
}

func newPrograms() programs {
	return programs{underWay: map[string]*program{}, usual: map[string]float64{}}
}

// running tells whether any program is under way.
func (programs *programs) running() bool { return len(programs.underWay) > 0 }

// begins tells whether a request is a new program's first one.
func (programs *programs) begins(ask Ask, now time.Time) bool {
	programs.sweep(now)
	if ask.Program == "" || ask.Continues {
		return false
	}
	return programs.underWay[ask.Program] == nil
}

// needed is how many requests the programs under way, and a new one of a kind, are likely
// to make.
func (programs *programs) needed(kind string) float64 {
	sum := programs.expected(kind)
	for _, running := range programs.underWay {
		sum += max(programs.expected(running.kind)-running.requests, leastLeft)
	}
	return sum
}

// expected is how many requests a program of a kind is likely to make.
func (programs *programs) expected(kind string) float64 {
	if usual, known := programs.usual[kind]; known {
		return usual
	}
	return firstExpected
}

// note counts a granted request of a program.
func (programs *programs) note(ask Ask, now time.Time) {
	if ask.Program == "" {
		return
	}
	held := programs.underWay[ask.Program]
	if held == nil {
		held = &program{kind: ask.Kind}
		programs.underWay[ask.Program] = held
	}
	if held.kind == "" {
		held.kind = ask.Kind
	}
	held.requests++
	held.seen = now
}

// sweep drops the programs that are over, and learns from them.
func (programs *programs) sweep(now time.Time) {
	if now.Sub(programs.swept) < sweepPause {
		return
	}
	programs.swept = now
	for id, ended := range programs.underWay {
		if now.Sub(ended.seen) < programOver {
			continue
		}
		delete(programs.underWay, id)
		if ended.kind != "" {
			usual := programs.expected(ended.kind)
			programs.usual[ended.kind] = usual + learnWeight*(ended.requests-usual)
		}
	}
}
