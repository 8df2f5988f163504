// Package feature defines feature gates. All features are enabled by default and can be
// disabled by a setting, to measure their effect or to rule them out when diagnosing a failure.
// The setting is applied once at startup.
package feature

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// Feature is the name of a feature gate.
type Feature string

// Features, each documented by what happens when it is disabled.
const (
	// Allowances: every grant waits for a ceiling to be recorded in the log.
	Allowances Feature = "allowances"
	// HedgedAppends: an append is sent only once, until it times out.
	HedgedAppends Feature = "hedged-appends"
	// HedgedReads: a read is sent only once, until it times out.
	HedgedReads Feature = "rereading"
	// LearningFromPeers: a node learns nothing while the store does not answer it.
	LearningFromPeers Feature = "learning-from-peers"
	// SharedReader: each node reads the store itself.
	SharedReader Feature = "shared-reader"
	// AvoidUnresponsiveEngines: unresponsive engines are not avoided.
	AvoidUnresponsiveEngines Feature = "engine-doubt"
	// EngineReports: nodes do not report to each other which engines they avoid.
	EngineReports Feature = "engine-reports"
	// AvoidSlowEngines: temporarily slow engines get as many requests as others.
	AvoidSlowEngines Feature = "engine-pace"
	// EngineLimits: a node's concurrency at an engine that refuses requests is not limited.
	EngineLimits Feature = "engine-limits"
	// QueueOrder: calls waiting for an engine are served in no particular order.
	QueueOrder Feature = "queue-order"
	// LongerToolWait: a program's tool call waits no longer than other calls.
	LongerToolWait Feature = "tool-patience"
	// SafeRepeats: a safe request without a response is not sent again.
	SafeRepeats Feature = "safe-repeats"
	// RemoteRecording: a turn is recorded only by its own node.
	RemoteRecording Feature = "recording-elsewhere"
	// OwnershipHandover: an owner keeps its shards even if it cannot write.
	OwnershipHandover Feature = "yielding"
	// OwnershipByCapacity: all nodes own equal shares, regardless of capacity.
	OwnershipByCapacity Feature = "ownership-by-capacity"
	// ClaimRefusal: a node claims shards even if the store does not answer it.
	ClaimRefusal Feature = "claim-refusal"
	// Isolation: a node that reaches no other stays ready and keeps searching.
	Isolation Feature = "isolation"
	// EnginePriority: requests carry no priority to engines.
	EnginePriority Feature = "engine-priority"
	// LogGate: a turn runs even if no node that could record it reaches the log.
	LogGate Feature = "log-gate"
	// Egress: each node sends its turns to the engines itself.
	Egress Feature = "egress"
	// StaggeredRetries: a node without a configuration tells all callers the same retry time.
	StaggeredRetries Feature = "later-retries"
	// ProgramsFirst: a tenant's limit counts requests in order of arrival, even if running
	// programs cannot finish as a result.
	ProgramsFirst Feature = "programs-first"
	// LoadSharing: a node knows only its own load.
	LoadSharing Feature = "load-sharing"
	// LoadBasedCapacity: requests are sent to engines regardless of their known load.
	LoadBasedCapacity Feature = "room-by-load"
	// RetryBudget: a call tries further engines without limit.
	RetryBudget Feature = "retry-budget"
	// Admission: programs start even without capacity for them.
	Admission Feature = "admission"
	// TenantShares: programs are admitted regardless of their tenants' usage.
	TenantShares Feature = "tenant-shares"
	// MemoryAdmission: programs start even if their prompts do not fit into the engines'
	// memory.
	MemoryAdmission Feature = "memory-room"
	// EngineBreaker: engines whose requests fail get as many requests as others.
	EngineBreaker Feature = "engine-breaker"
	// SpeedWeighting: requests are distributed regardless of the engines' speed.
	SpeedWeighting Feature = "engine-speed"
	// ResponseBufferLimit: response data not yet read by callers is buffered without an overall limit.
	ResponseBufferLimit Feature = "held-bytes"
	// ZoneReachability: nodes and engines are judged individually, even if a whole zone is
	// unreachable.
	ZoneReachability Feature = "zone-reach"
)

// All lists every feature.
var All = []Feature{
	Allowances, HedgedAppends, HedgedReads, LearningFromPeers, SharedReader, AvoidUnresponsiveEngines, EngineReports, AvoidSlowEngines, EngineLimits,
	QueueOrder, LongerToolWait, SafeRepeats, RemoteRecording, OwnershipHandover, OwnershipByCapacity, ClaimRefusal, Isolation,
	EnginePriority, LogGate, Egress, StaggeredRetries, ProgramsFirst,
	LoadSharing, LoadBasedCapacity, RetryBudget, Admission, TenantShares, MemoryAdmission, EngineBreaker, SpeedWeighting, ResponseBufferLimit, ZoneReachability,
}

// disabled holds the disabled features, nil before Disable is called.
var disabled atomic.Pointer[map[Feature]bool]

// Enabled reports whether a feature is enabled.
func Enabled(feature Feature) bool {
	current := disabled.Load()
	return current == nil || !(*current)[feature]
}

// Disable disables the features in a comma-separated list and enables all others. An unknown
// name is an InvalidSettings error and changes nothing.
func Disable(list string) error {
	disabledFeatures := map[Feature]bool{}
	for name := range strings.SplitSeq(list, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		if !slices.Contains(All, Feature(name)) {
			return resultcode.New(resultcode.InvalidSettings, "unknown feature %q, want one of %v", name, All)
		}
		disabledFeatures[Feature(name)] = true
	}
	disabled.Store(&disabledFeatures)
	return nil
}
