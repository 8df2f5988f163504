package egress

import (
	"context"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/freeze"
)

// minStallTimeout is the shortest time without a byte after which an engine counts as stalled. It
// equals the minimum first-byte timeout of requests that a node sends itself.
const minStallTimeout = 600 * time.Millisecond

// stallMonitor counts a delegated request as failed by its engine while the engine sends no data
// for too long, and when its response ends early. The requesting node cannot distinguish either
// from the loss of this node. It is safe for concurrent use.
type stallMonitor struct {
	// requester is done when the requesting node is gone.
	requester      context.Context
	engines        Engines
	engine         backend.Instance
	timeout        time.Duration
	freezeDetector *freeze.Detector
	started        time.Time

	mutex   sync.Mutex
	timer   *freeze.Timer
	counted bool
	stopped bool
}

// startStallMonitor starts the monitor of a request that is about to be sent.
func startStallMonitor(requester context.Context, engines Engines, freezeDetector *freeze.Detector, engine backend.Instance) *stallMonitor {
	monitor := &stallMonitor{requester: requester, engines: engines, engine: engine, freezeDetector: freezeDetector, started: time.Now(),
		timeout: max(minStallTimeout, engines.FirstByteTimeout(engine.Service))}
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	monitor.timer = freezeDetector.AfterFunc(monitor.timeout, monitor.countFailure)
	return monitor
}

// countFailure counts the request as failed, at most once.
func (monitor *stallMonitor) countFailure() {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	if monitor.counted || monitor.stopped {
		return
	}
	monitor.counted = true
	monitor.engines.CountFailed(monitor.engine, time.Now())
}

// uncountFailure reverts countFailure.
func (monitor *stallMonitor) uncountFailure() {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	if monitor.counted {
		monitor.counted = false
		monitor.engines.UncountFailed(monitor.engine, time.Now())
	}
}

// dataReceived pauses the monitor until awaitData: the time that the requesting node takes to
// read the data is not the engine's.
func (monitor *stallMonitor) dataReceived() {
	monitor.timer.Stop()
	monitor.uncountFailure()
}

// awaitData restarts the timeout for the next data of the response.
func (monitor *stallMonitor) awaitData() { monitor.timer.Reset(monitor.timeout) }

// responseInterrupted counts the failure of a response that ended early, unless the requesting
// node is gone or this node was frozen and could not read.
func (monitor *stallMonitor) responseInterrupted() {
	if monitor.requester.Err() == nil && !monitor.freezeDetector.FrozenSince(monitor.started) {
		monitor.countFailure()
	}
}

func (monitor *stallMonitor) stop() {
	monitor.timer.Stop()
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	monitor.stopped = true
}
