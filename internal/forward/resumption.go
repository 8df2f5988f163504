package forward

import (
	"context"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
	"github.com/magpielug/magpielug/internal/streamversion"
	"go.uber.org/zap"
)

const (
	// resumptionPollInterval is how long a resumption waits in the queue before it looks again for an
	// engine of its version: the queue is woken for engines of any version.
	resumptionPollInterval = 30 * time.Millisecond
)

// StreamOrigins knows the service and the software version of the engines that began streams.
type StreamOrigins interface {
	// Began records where a stream began, on several nodes. It does not block.
	Began(record streamversion.Record)
	// Find returns where a stream began that a request to a service resumes. It returns false if no node
	// that could be asked knows, and there are several versions at which it may have begun.
	Find(ctx context.Context, key streamversion.Key, service string) (streamversion.Origin, bool)
}

// Resumption is how a request to resume a stream was handled.
type Resumption string

// Ways in which a resumption is handled.
const (
	// ResumptionSent: an engine of the version that began the stream runs it.
	ResumptionSent Resumption = "sent"
	// ResumptionUnknown: refused, since no node that could be asked knows the stream's origin.
	ResumptionUnknown Resumption = "unknown"
	// ResumptionServiceLeft: refused, since the route no longer leads to the stream's service.
	ResumptionServiceLeft Resumption = "service_left"
	// ResumptionVersionLeft: refused, since no engine of the stream's version serves.
	ResumptionVersionLeft Resumption = "version_left"
)

// streamKeys returns the keys under which the call's stream is recorded, the one to look it up by first:
// that of its first attempt, unless the caller resumes the stream without naming that, and that of its
// content, which is the same in all attempts. A content that began at several versions is not found. The
// same nodes keep both.
func (inflight *inflightCall) streamKeys() []streamversion.Key {
	call := inflight.call
	fingerprint := inflight.fingerprint()
	content := streamversion.NewContentKey(call.Session, fingerprint[:])
	switch {
	case !call.Resumes:
		return []streamversion.Key{streamversion.NewKey(call.Tenant, call.ID).PlacedWith(content), content}
	case call.FirstAttempt != "":
		return []streamversion.Key{streamversion.NewKey(call.Tenant, call.FirstAttempt).PlacedWith(content), content}
	}
	return []streamversion.Key{content}
}

// restrictResumption restricts a resumption to the service and the version that began its stream, or
// refuses it.
func (inflight *inflightCall) restrictResumption(ctx context.Context) error {
	origins := inflight.service.StreamOrigins
	if origins == nil || !inflight.call.Resumes || inflight.route.Kind != routing.Streaming {
		return nil
	}
	origin, known := origins.Find(ctx, inflight.streamKeys()[0], inflight.serviceName)
	if ctx.Err() != nil {
		return inflight.timeoutError(ctx)
	}
	if !known {
		return inflight.refuseResumption(ResumptionUnknown, resultcode.StreamOriginUnknown, "it is not known which software version began the stream")
	}
	if !inflight.route.LeadsTo(origin.Service) {
		return inflight.refuseResumption(ResumptionServiceLeft, resultcode.StreamVersionLeft, "the route no longer leads to the service that began the stream")
	}
	inflight.serviceName = origin.Service
	inflight.serviceConfig = inflight.configuration.Services[origin.Service]
	inflight.requiredVersion = &origin.Version
	return inflight.checkVersionServed()
}

// checkVersionServed refuses a resumption if no engine of its version serves. As long as the list of
// engines has not been read, that is not known.
func (inflight *inflightCall) checkVersionServed() error {
	version := inflight.requiredVersion
	if views := inflight.service.Views; views != nil && !views.Loaded() {
		return nil
	}
	if version == nil || inflight.service.Engines.VersionServed(inflight.serviceName, *version, inflight.zones, time.Now()) {
		return nil
	}
	if inflight.executions > 0 {
		return inflight.outcomeUnknownError()
	}
	return inflight.refuseResumption(ResumptionVersionLeft, resultcode.StreamVersionLeft, "no engine of the software version that began the stream serves")
}

func (inflight *inflightCall) refuseResumption(handled Resumption, code resultcode.Code, reason string) error {
	inflight.service.Metrics.Resumed(handled)
	inflight.service.Logger.Info("resumption refused", zap.String("request", inflight.call.ID), zap.String("first_attempt", inflight.call.FirstAttempt),
		zap.String("cause", string(handled)), zap.String("service", inflight.serviceName))
	return resultcode.New(code, "%s", reason).WithRetryAfter(transientRetryAfter)
}

// recordStreamVersion records the software version of the engine that runs the call's stream, before
// the caller gets an event. It does not wait for other nodes: a stream that none of them knows is
// not resumed.
func (inflight *inflightCall) recordStreamVersion(engine backend.Instance) {
	inflight.lastVersion = engine.Version
	if inflight.call.Resumes {
		inflight.service.Metrics.Resumed(ResumptionSent)
		inflight.service.Logger.Info("stream resumed", zap.String("request", inflight.call.ID), zap.String("first_attempt", inflight.call.FirstAttempt),
			zap.String("service", engine.Service), zap.String("engine", engine.ID), zap.String("version", engine.Version))
	}
	if inflight.service.StreamOrigins != nil && inflight.route.Resumable {
		// A resumption is recorded again, at the nodes that keep it now: others may have been lost.
		for _, key := range inflight.streamKeys() {
			inflight.service.StreamOrigins.Began(streamversion.Record{Key: key, Origin: streamversion.Origin{Service: engine.Service, Version: engine.Version}})
		}
	}
}
