package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
	"github.com/magpielug/magpielug/internal/tenant"
	"go.uber.org/zap"
)

// finish records the call's result. If the call failed, it sends the error or aborts the response.
func (inflight *inflightCall) finish(ctx context.Context, failure error) {
	took := time.Since(inflight.call.Received)
	code := resultcode.OK
	if failure != nil {
		code = resultcode.CodeOf(failure)
		if errors.Is(failure, errCallerCanceled) || ctx.Err() != nil {
			code = resultcode.CallStopped
		}
	}
	kind := routing.Unsafe
	routeName := ""
	if inflight.route != nil {
		kind = inflight.route.Kind
		routeName = inflight.route.Name
	}
	inflight.service.Metrics.Finished(kind, code, took)
	if turn := inflight.call.Turn; turn != nil && turn.Budget < Unlimited && inflight.route != nil {
		inflight.service.Metrics.TurnFinished(routeName, turn, code)
	}
	inflight.logResult(routeName, code, took, failure)
	switch {
	case failure == nil:
	case inflight.responseStarted:
		// Abort panics, so it must come last.
		inflight.writer.Abort()
	default:
		inflight.writer.Fail(failure)
	}
}

// logResult writes the single log line that describes the call's result.
func (inflight *inflightCall) logResult(routeName string, code resultcode.Code, took time.Duration, failure error) {
	event := "call answered"
	if failure != nil {
		event = "call failed"
	}
	entry := inflight.service.Logger.Check(zap.InfoLevel, event)
	if entry == nil {
		return
	}
	fields := []zap.Field{zap.String("request", inflight.call.ID), zap.String("route", routeName),
		zap.Int64("configuration", inflight.configurationVersion), zap.Uint32("code", uint32(code)), zap.Stringer("result", code),
		zap.Duration("took", took), zap.String("zone", inflight.service.Zone)}
	if inflight.call.Program != "" {
		fields = append(fields, zap.String("program", inflight.call.Program))
	}
	if inflight.call.Tenant != "" {
		fields = append(fields, zap.String("tenant", inflight.call.Tenant))
	}
	if code == resultcode.BadKey && inflight.call.Key != "" {
		fields = append(fields, zap.String("key_digest", tenant.KeyFingerprint(inflight.call.Key)))
	}
	if inflight.reservation.Verdict != 0 {
		fields = append(fields, zap.Stringer("verdict", inflight.reservation.Verdict), zap.String("owner", inflight.reservation.Grant.Owner),
			zap.Int64("epoch", inflight.reservation.Grant.Epoch), zap.Duration("reserve_took", inflight.reserveDuration))
	}
	if turn := inflight.call.Turn; turn != nil && turn.Budget < Unlimited {
		fields = append(fields, zap.Int64("budget", turn.Budget), zap.Int64("most", turn.MaxTokens), zap.Int64("prompt", turn.PromptTokens),
			zap.Int64("turns", inflight.reservation.TurnsGranted))
	}
	if !inflight.call.SoftDeadline.IsZero() {
		fields = append(fields, zap.Duration("program_time_left", inflight.call.SoftDeadline.Sub(inflight.call.Received)))
	}
	if !inflight.call.Deadline.IsZero() {
		fields = append(fields, zap.Duration("time_left", inflight.call.Deadline.Sub(inflight.call.Received)))
	}
	if inflight.call.Session != "" {
		fields = append(fields, zap.String("session", inflight.call.Session))
	}
	if inflight.admitDuration > 0 {
		fields = append(fields, zap.Duration("admit_took", inflight.admitDuration))
	}
	if len(inflight.triedEngines) > 0 || inflight.eligibleEngines > 0 {
		fields = append(fields, zap.String("engine", inflight.lastEngine), zap.Int("engines", inflight.eligibleEngines),
			zap.Duration("engines_age", inflight.engineViewAge), zap.Int("runs", inflight.executions), zap.Int("refusals", inflight.refusalState.Refusals))
	}
	if inflight.hasWaited || inflight.initialForecast.Wait > 0 {
		fields = append(fields, zap.Bool("waited", inflight.hasWaited), zap.Int("ahead", inflight.initialForecast.Ahead),
			zap.Duration("predicted_wait", inflight.initialForecast.Wait))
	}
	if inflight.failedEngine != "" && inflight.lastStatus >= http.StatusInternalServerError {
		fields = append(fields, zap.Int("status", inflight.lastStatus))
	}
	if inflight.via != "" {
		fields = append(fields, zap.String("via", inflight.via))
	}
	if inflight.route != nil && inflight.route.Kind == routing.Streaming {
		fields = append(fields, zap.Int64("events", inflight.eventCount), zap.String("version", inflight.lastVersion), zap.Duration("record_took", inflight.recordDuration))
	}
	if failure != nil {
		fields = append(fields, zap.String("failure", failure.Error()))
		if len(inflight.triedEngines) > 0 || code == resultcode.RequestQuarantined || code == resultcode.RequestHeld {
			fields = append(fields, zap.Stringer("content", inflight.fingerprint()))
		}
	}
	entry.Write(fields...)
}
