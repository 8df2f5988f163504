package forward

import (
	"context"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
	"github.com/magpielug/magpielug/internal/tenant"
)

// Quotas enforces the request limits of tenants.
type Quotas interface {
	// Admit waits until the request is admitted or refused.
	Admit(ctx context.Context, request *AdmissionRequest) Admission
}

// AdmissionRequest asks for the admission of a call under its tenant's limit.
type AdmissionRequest struct {
	Call   *Call
	Tenant *tenant.Tenant
	// Configuration is the version of the configuration that defines the tenant's limit.
	Configuration int64
	// Continues is true if the call's program is known to have started.
	Continues bool
	// MaxWait is how long the request may wait for admission.
	MaxWait time.Duration
}

// AdmissionVerdict is the outcome of an AdmissionRequest.
type AdmissionVerdict int

// Admission verdicts.
const (
	// Admitted: the call may run.
	Admitted AdmissionVerdict = iota + 1
	// OverLimit: the tenant's limit admits no call before Admission.RetryAfter.
	OverLimit
	// LimitUnavailable: no coordinator of the limit could be reached.
	LimitUnavailable
)

// Admission is the response to an AdmissionRequest.
type Admission struct {
	Verdict    AdmissionVerdict
	RetryAfter time.Duration
}

const (
	// admissionWaitFraction is the fraction of a call's remaining time for which it may wait for
	// admission. A refused caller would lose as much time by retrying.
	admissionWaitFraction = 0.35
	// quotaRetryAfter is the delay before a retry on another node if this one reaches no
	// coordinator of the tenant's limit.
	quotaRetryAfter = 100 * time.Millisecond
)

// admit waits for admission under the tenant's limit. It is called before the turn's tokens are
// reserved: a reservation that is open when the program's owner fails counts as spent, even if
// the limit refuses the turn.
func (inflight *inflightCall) admit(ctx context.Context) error {
	if inflight.tenant == nil || !inflight.tenant.Limit.Limited() || inflight.service.Quotas == nil {
		return nil
	}
	began := time.Now()
	admission := inflight.service.Quotas.Admit(ctx, inflight.admissionRequest())
	inflight.admitDuration = time.Since(began)
	return inflight.admissionError(ctx, admission)
}

func (inflight *inflightCall) admissionRequest() *AdmissionRequest {
	request := &AdmissionRequest{
		Call:          inflight.call,
		Tenant:        inflight.tenant,
		Configuration: inflight.configurationVersion,
		MaxWait:       time.Duration(admissionWaitFraction * float64(time.Until(inflight.deadline))),
	}
	continues := inflight.call.Turn != nil && inflight.call.Turn.Previous != ""
	// A tool call's program has started before, since programs start with a turn.
	request.Continues = continues || inflight.route.Kind != routing.Streaming
	return request
}

func (inflight *inflightCall) admissionError(ctx context.Context, admission Admission) error {
	switch {
	case admission.Verdict == OverLimit:
		return resultcode.New(resultcode.QuotaExceeded, "tenant %s exceeded its limit of %g requests per second", inflight.tenant.Name,
			inflight.tenant.Limit.PerSecond).WithRetryAfter(admission.RetryAfter)
	case ctx.Err() != nil:
		return inflight.timeoutError(ctx)
	case admission.Verdict == Admitted:
		return nil
	}
	return resultcode.New(resultcode.QuotaUnknown, "no coordinator of the limit of tenant %s could be reached", inflight.tenant.Name).WithRetryAfter(quotaRetryAfter)
}
