// Package engine is a stand-in for a model engine: the engine model in real time behind
// HTTP. It runs each request id once and continues generating if the client disconnects;
// streams resume from a sequence number. Commands are fenced, load reports lag, and cache
// events are delayed and may be lost. Its wire format is described in docs/INTERFACES.md.
package engine

import (
	"time"

	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/rehearsal/enginemodel"
)

// Defaults of Config.
const (
	defaultWaitingLimit    = 4096
	defaultReportInterval  = 50 * time.Millisecond
	defaultReportLag       = 100 * time.Millisecond
	defaultEventDelay      = 200 * time.Millisecond
	defaultRetention       = 2 * time.Minute
	defaultRetainedOutputs = 100_000
	defaultLeaveGrace      = 5 * time.Second
	defaultLoadDuration    = 500 * time.Millisecond
)

// Config configures one engine. Zero durations and counts take defaults.
type Config struct {
	// Name is the engine's id in reports.
	Name     string
	Model    string
	Version  string
	Adapters []string
	Role     string
	Batching enginemodel.Config
	// WaitingLimit bounds the engine's queue; further requests are rejected as not run.
	WaitingLimit int
	// ReportInterval is the sampling interval of load and cache changes, and ReportLag the
	// age of a served report.
	ReportInterval time.Duration
	ReportLag      time.Duration
	// EventDelay is the delay of a cache event, and EventLoss the fraction of events that
	// are dropped, drawn with EventSeed.
	EventDelay time.Duration
	EventLoss  float64
	EventSeed  uint64
	// Retention and RetainedOutputs bound how long, and how many, finished outputs can be
	// read again.
	Retention       time.Duration
	RetainedOutputs int
	// LeaveGrace is how long a leaving engine accepts new requests.
	LeaveGrace time.Duration
	// LoadDuration is how long loading weights takes once Weights has granted it; nil
	// Weights always grants.
	LoadDuration time.Duration
	Weights      outside.Weights
}

func (config Config) withDefaults() Config {
	if config.Batching == (enginemodel.Config{}) {
		config.Batching = enginemodel.DefaultConfig()
	}
	config.WaitingLimit = positive(config.WaitingLimit, defaultWaitingLimit)
	config.ReportInterval = positive(config.ReportInterval, defaultReportInterval)
	config.ReportLag = positive(config.ReportLag, defaultReportLag)
	config.EventDelay = positive(config.EventDelay, defaultEventDelay)
	config.Retention = positive(config.Retention, defaultRetention)
	config.RetainedOutputs = positive(config.RetainedOutputs, defaultRetainedOutputs)
	config.LeaveGrace = positive(config.LeaveGrace, defaultLeaveGrace)
	config.LoadDuration = positive(config.LoadDuration, defaultLoadDuration)
	return config
}

func positive[Number int | time.Duration](value, fallback Number) Number {
	if value > 0 {
		return value
	}
	return fallback
}
