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

// Features, each documented by what happens when it is enabled.
const (
	// Allowances: a grant within the allowance recorded with a claim does not wait for the log.
	Allowances Feature = "allowances"
	// HedgedAppends: an append without a timely answer is sent again before it times out.
	HedgedAppends Feature = "hedged-appends"
	// HedgedReads: a read without a timely answer is sent again before it times out.
	HedgedReads Feature = "rereading"
	// LearningFromPeers: a node learns from other nodes while the log does not answer it.
	LearningFromPeers Feature = "learning-from-peers"
	// SharedReader: a node learns the contents of the log from a node that reads it for others.
	SharedReader Feature = "shared-reader"
	// AvoidUnresponsiveEngines: unresponsive engines are avoided.
	AvoidUnresponsiveEngines Feature = "engine-doubt"
	// EngineReports: nodes report to each other which engines they avoid.
	EngineReports Feature = "engine-reports"
	// AvoidSlowEngines: temporarily slow engines get fewer requests than others.
	AvoidSlowEngines Feature = "engine-pace"
	// EngineLimits: a node's concurrency at an engine that refuses requests is limited.
	EngineLimits Feature = "engine-limits"
	// QueueOrder: calls waiting for an engine are served in a defined order.
	QueueOrder Feature = "queue-order"
	// LongerToolWait: a program's tool call may wait longer than other calls.
	LongerToolWait Feature = "tool-patience"
	// SafeRepeats: a safe request without a response is sent again.
	SafeRepeats Feature = "safe-repeats"
	// RemoteRecording: a turn can be recorded by a node other than its own.
	RemoteRecording Feature = "recording-elsewhere"
	// GroupCommit: one node appends the turns of a partition for all.
	GroupCommit Feature = "group-commit"
	// OwnershipHandover: an owner that cannot write hands over its shards.
	OwnershipHandover Feature = "yielding"
	// OwnershipByCapacity: a node's share of the shards depends on its capacity.
	OwnershipByCapacity Feature = "ownership-by-capacity"
	// ClaimRefusal: a node that the log does not answer claims no shards.
	ClaimRefusal Feature = "claim-refusal"
	// Isolation: a node that reaches no other node is not ready and stops searching for owners.
	Isolation Feature = "isolation"
	// EnginePriority: requests carry a priority to engines.
	EnginePriority Feature = "engine-priority"
	// LogGate: a turn runs only if a node that could record it reaches the log.
	LogGate Feature = "log-gate"
	// Egress: a node may send streaming turns to the engines through other nodes.
	Egress Feature = "egress"
	// StaggeredRetries: a node without a configuration after its startup tells callers to retry later.
	StaggeredRetries Feature = "later-retries"
	// ProgramsFirst: a tenant's limit lets running programs finish before new ones start.
	ProgramsFirst Feature = "programs-first"
	// LoadSharing: nodes know each other's load.
	LoadSharing Feature = "load-sharing"
	// LoadBasedCapacity: requests are sent to engines according to their known load.
	LoadBasedCapacity Feature = "room-by-load"
	// RetryBudget: the further engines that a call tries are limited.
	RetryBudget Feature = "retry-budget"
	// Admission: programs start only if there is capacity for them.
	Admission Feature = "admission"
	// TenantShares: programs are admitted according to their tenants' usage.
	TenantShares Feature = "tenant-shares"
	// MemoryAdmission: programs start only if their prompts fit into the engines' memory.
	MemoryAdmission Feature = "memory-room"
	// EngineBreaker: engines whose requests fail get fewer requests than others.
	EngineBreaker Feature = "engine-breaker"
	// SpeedWeighting: requests are distributed according to the engines' speed.
	SpeedWeighting Feature = "engine-speed"
	// ResponseBufferLimit: the response data buffered for callers has an overall limit.
	ResponseBufferLimit Feature = "held-bytes"
	// ZoneReachability: all nodes and engines of an unreachable zone count as unreachable.
	ZoneReachability Feature = "zone-reach"
	// RequestQuarantine: a request under which several engines ended is not sent again.
	RequestQuarantine Feature = "request-quarantine"
	// DurableQuarantine: what is held against requests is kept in the log and outlives all nodes.
	DurableQuarantine Feature = "durable-quarantine"
	// AllEngineEnds: the end of an engine is held against the requests there whatever seems to explain it.
	AllEngineEnds Feature = "all-engine-ends"
	// StreamVersions: a stream is resumed only at engines of the software version that began it.
	StreamVersions Feature = "stream-versions"
	// DurableOrigins: where streams began is kept in the log and outlives all nodes.
	DurableOrigins Feature = "durable-origins"
	// SoleVersion: a stream of unknown origin is resumed if it can have begun at one version only.
	SoleVersion Feature = "sole-version"
	// RereadTurns: a turn that was read from the log and dropped from memory is read again.
	RereadTurns Feature = "reread-turns"
	// RefreshTurns: the turns of a chain that goes on are recorded again before the log drops them.
	RefreshTurns Feature = "refresh-turns"
	// RenewClaims: an owner writes its claim and its ceilings again before the log drops them.
	RenewClaims Feature = "renew-claims"
)

// All lists every feature.
var All = []Feature{
	Allowances, HedgedAppends, HedgedReads, LearningFromPeers, SharedReader, AvoidUnresponsiveEngines, EngineReports, AvoidSlowEngines, EngineLimits,
	QueueOrder, LongerToolWait, SafeRepeats, RemoteRecording, GroupCommit, OwnershipHandover, OwnershipByCapacity, ClaimRefusal, Isolation,
	EnginePriority, LogGate, Egress, StaggeredRetries, ProgramsFirst,
	LoadSharing, LoadBasedCapacity, RetryBudget, Admission, TenantShares, MemoryAdmission, EngineBreaker, SpeedWeighting, ResponseBufferLimit, ZoneReachability, RequestQuarantine, DurableQuarantine, AllEngineEnds, StreamVersions, DurableOrigins, SoleVersion,
	RereadTurns, RefreshTurns, RenewClaims,
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
