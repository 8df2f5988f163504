package forward

import (
	"github.com/magpielug/magpielug/internal/backend"
	"go.uber.org/zap"
)

// recordStreamVersion records the software version of the engine that runs the call's stream.
func (inflight *inflightCall) recordStreamVersion(engine backend.Instance) {
	inflight.lastVersion = engine.Version
	if !inflight.call.Resumes {
		return
	}
	inflight.service.Logger.Info("stream resumed", zap.String("request", inflight.call.ID), zap.String("first_attempt", inflight.call.FirstAttempt),
		zap.String("service", engine.Service), zap.String("engine", engine.ID), zap.String("version", engine.Version))
}
