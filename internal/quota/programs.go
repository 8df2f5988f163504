package quota

import "time"

const (
	// programOver is how long a program sends nothing before it counts as over: longer
	// than its pauses and calls of tools take.
	programOver = 5 * time.Second
	// sweepPause separates two looks for programs that are over.
	sweepPause = time.Second
)

// programs are those of a tenant that are under way.
type programs struct {
	seen  map[string]time.Time
	swept time.Time
}

func newPrograms(now time.Time) programs {
	return programs{seen: map[string]time.Time{}, swept: now}
}

// begins tells whether a request is a new program's first one.
func (programs *programs) begins(ask Request) bool {
	if ask.Program == "" || ask.Continues {
		return false
	}
	_, underWay := programs.seen[ask.Program]
	return !underWay
}

// note counts a granted request of a program.
func (programs *programs) note(ask Request, now time.Time) {
	if ask.Program != "" {
		programs.seen[ask.Program] = now
	}
	if now.Sub(programs.swept) < sweepPause {
		return
	}
	programs.swept = now
	for id, seen := range programs.seen {
		if now.Sub(seen) > programOver {
			delete(programs.seen, id)
		}
	}
}
