package quota

import "time"

const (
	// programTimeout is how long a program sends no requests before it counts as finished. It
	// exceeds the duration of pauses and tool calls.
	programTimeout = 5 * time.Second
	// sweepInterval is the time between two sweeps for finished programs.
	sweepInterval = time.Second
)

// programs are the running programs of a tenant.
type programs struct {
	lastRequest map[string]time.Time
	sweptAt     time.Time
}

func newPrograms(now time.Time) programs {
	return programs{lastRequest: map[string]time.Time{}, sweptAt: now}
}

// startsProgram reports whether a request is the first of a new program.
func (programs *programs) startsProgram(request Request) bool {
	if request.Program == "" || request.Continues {
		return false
	}
	_, known := programs.lastRequest[request.Program]
	return !known
}

// record records a granted request of a program.
func (programs *programs) record(request Request, now time.Time) {
	if request.Program != "" {
		programs.lastRequest[request.Program] = now
	}
	if now.Sub(programs.sweptAt) < sweepInterval {
		return
	}
	programs.sweptAt = now
	for id, last := range programs.lastRequest {
		if now.Sub(last) > programTimeout {
			delete(programs.lastRequest, id)
		}
	}
}
