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

// finish answers a failure and writes the call's line.
func (current *course) finish(ctx context.Context, failure error) {
	took := time.Since(current.call.Received)
	code := resultcode.OK
	if failure != nil {
		code = resultcode.CodeOf(failure)
		if errors.Is(failure, errCallerGone) || ctx.Err() != nil {
			code = resultcode.CallStopped
		}
	}
	kind := routing.Unsafe
	routeName := ""
	if current.route != nil {
		kind = current.route.Kind
		routeName = current.route.Name
	}
	current.service.Meter.Finished(kind, code, took)
	current.logEnd(routeName, code, took, failure)
	switch {
	case failure == nil:
	case current.begun:
		// Abort leaves by a panic, so it comes last.
		current.answer.Abort()
	default:
		current.answer.Fail(failure)
	}
}

// logEnd writes the one line that says how the call ended and on what.
func (current *course) logEnd(routeName string, code resultcode.Code, took time.Duration, failure error) {
	event := "call answered"
	if failure != nil {
		event = "call failed"
	}
	entry := current.service.Logger.Check(zap.InfoLevel, event)
	if entry == nil {
		return
	}
	fields := []zap.Field{zap.String("request", current.call.ID), zap.String("route", routeName),
		zap.Int64("configuration", current.version), zap.Uint32("code", uint32(code)), zap.Stringer("result", code),
		zap.Duration("took", took)}
	if current.call.Program != "" {
		fields = append(fields, zap.String("program", current.call.Program))
	}
	if current.call.Tenant != "" {
		fields = append(fields, zap.String("tenant", current.call.Tenant))
	}
	if code == resultcode.BadKey && current.call.Key != "" {
		fields = append(fields, zap.String("key_digest", tenant.KeyFingerprint(current.call.Key)))
	}
	if current.reservation.Verdict != 0 {
		fields = append(fields, zap.Stringer("verdict", current.reservation.Verdict), zap.String("owner", current.reservation.Grant.Owner),
			zap.Int64("epoch", current.reservation.Grant.Epoch), zap.Duration("reserve_took", current.reserveTook))
	}
	if current.admitTook > 0 {
		fields = append(fields, zap.Duration("admit_took", current.admitTook))
	}
	if len(current.tried) > 0 || current.usable > 0 {
		fields = append(fields, zap.String("engine", current.lastEngine), zap.Int("engines", current.usable),
			zap.Duration("engines_age", current.viewAge), zap.Int("runs", current.runs), zap.Int("refusals", current.asking.Refusals))
	}
	if current.waited || current.forecast.Wait > 0 {
		fields = append(fields, zap.Bool("waited", current.waited), zap.Int("ahead", current.forecast.Ahead),
			zap.Duration("predicted_wait", current.forecast.Wait))
	}
	if current.failedEngine != "" && current.status >= http.StatusInternalServerError {
		fields = append(fields, zap.Int("status", current.status))
	}
	if current.via != "" {
		fields = append(fields, zap.String("via", current.via))
	}
	if current.route != nil && current.route.Kind == routing.Streaming {
		fields = append(fields, zap.Int64("events", current.events), zap.Duration("record_took", current.recordTook))
	}
	if failure != nil {
		fields = append(fields, zap.String("failure", failure.Error()))
	}
	entry.Write(fields...)
}
