package forward

import (
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
)

// Shedder decides which calls are refused while the node is short of processor time.
type Shedder interface {
	// Refuses reports whether to refuse a call of a program, and when its caller may come back. begun is true
	// if the call itself shows that the program has begun.
	Refuses(program string, begun bool, now time.Time) (retryAfter time.Duration, refused bool)
	// Answered records that a call of a program was answered.
	Answered(program string, now time.Time)
}

// shed refuses the call if the node is short of processor time. Calls of tools are served: one that fails
// ends its program.
func (inflight *inflightCall) shed() error {
	if inflight.service.Shedder == nil || inflight.isToolCall() {
		return nil
	}
	retryAfter, refused := inflight.service.Shedder.Refuses(inflight.programKey(), inflight.continuesProgram || inflight.call.Resumes, time.Now())
	if !refused {
		return nil
	}
	return resultcode.New(resultcode.ProcessorBusy, "node is short of processor time").WithRetryAfter(inflight.clampRetryAfter(retryAfter))
}

func (inflight *inflightCall) isToolCall() bool {
	return inflight.call.Program != "" && inflight.route.Kind != routing.Streaming
}

// programKey identifies the call's program, or the call itself if it belongs to none.
func (inflight *inflightCall) programKey() string {
	if inflight.call.Program == "" {
		return inflight.call.ID
	}
	return inflight.call.Tenant + "\x00" + inflight.call.Program
}

// recordBegun records that the call's program has begun if the call was answered.
func (inflight *inflightCall) recordBegun(failure error) {
	if failure == nil && inflight.service.Shedder != nil && inflight.call.Program != "" {
		inflight.service.Shedder.Answered(inflight.programKey(), time.Now())
	}
}
