package forward

import (
	"context"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
	"github.com/magpielug/magpielug/internal/tenant"
)

// Quotas asks whether a request fits into its tenant's limit.
type Quotas interface {
	// Admit returns once the request may run, or may not.
	Admit(ctx context.Context, order *AdmissionRequest) Admission
}

// AdmissionRequest is a request that asks to be admitted.
type AdmissionRequest struct {
	Call   *Call
	Holder *tenant.Tenant
	// Configuration is the version that the holder's limit stands in.
	Configuration int64
	// Continues is true where the call's program has begun for certain.
	Continues bool
	// MaxWait is how long the request may wait for room.
	MaxWait time.Duration
}

// AdmissionVerdict is how a request for admission ended.
type AdmissionVerdict int

// Verdicts of admission.
const (
	// Admitted: the request may run.
	Admitted AdmissionVerdict = iota + 1
	// OverLimit: the tenant's limit has no room before Admission.RetryAfter.
	OverLimit
	// LimitUnavailable: nobody who keeps the limit could be asked.
	LimitUnavailable
)

// Admission is the answer to an AdmissionOrder.
type Admission struct {
	Verdict    AdmissionVerdict
	RetryAfter time.Duration
}

const (
	// admissionPatience is the share of its time that a request waits for room in its
	// tenant's limit: a caller that is refused loses as much by coming back.
	admissionPatience = 0.35
	// limitRetry is when to come back to another node where this one reaches nobody
	// that keeps the tenant's limit.
	limitRetry = 100 * time.Millisecond
)

// admit asks for admission. It comes before the turn's tokens are reserved: a reservation
// that is open when the program's owner stops counts as spent to the next one, also where
// the limit then refuses the turn, and the program was told that its budget is spent.
func (current *course) admit(ctx context.Context) error {
	if current.tenant == nil || !current.tenant.Limit.Limited() || current.service.Quotas == nil {
		return nil
	}
	began := time.Now()
	admission := current.service.Quotas.Admit(ctx, current.admissionOrder())
	current.admitTook = time.Since(began)
	return current.afterAdmission(ctx, admission)
}

func (current *course) admissionOrder() *AdmissionRequest {
	order := &AdmissionRequest{
		Call:          current.call,
		Holder:        current.tenant,
		Configuration: current.version,
		MaxWait:       time.Duration(admissionPatience * float64(time.Until(current.end))),
	}
	// A program begins with a turn, and calls tools later.
	goesOn := current.call.Turn != nil && current.call.Turn.Previous != ""
	order.Continues = goesOn || current.route.Kind != routing.Streaming
	return order
}

func (current *course) afterAdmission(ctx context.Context, admission Admission) error {
	switch {
	case admission.Verdict == OverLimit:
		return resultcode.New(resultcode.QuotaExceeded, "tenant %s has reached its limit of %g requests a second", current.tenant.Name,
			current.tenant.Limit.PerSecond).After(admission.RetryAfter)
	case ctx.Err() != nil:
		return current.timedOut(ctx)
	case admission.Verdict == Admitted:
		return nil
	}
	return resultcode.New(resultcode.QuotaUnknown, "no node that keeps the limit of tenant %s could be asked", current.tenant.Name).After(limitRetry)
}
