// Package feature holds the gates of the mechanisms that a node may run without.
// All are on; a setting turns some off, to measure what each is worth or to rule it
// out when a failure is looked into. A gate is set once, before anything runs.
package feature

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// Feature is a mechanism with a gate.
type Feature string

// Features, each with what a node does without it.
const (
	// Allowances: every grant waits for a ceiling in the log.
	Allowances Feature = "allowances"
	// HedgedAppends: an append is sent once, until its time is over.
	HedgedAppends Feature = "hedged-appends"
	// HedgedReads: a read is sent once, until its time is over.
	HedgedReads Feature = "rereading"
	// LearningFromPeers: a node that the store does not answer learns nothing.
	LearningFromPeers Feature = "learning-from-peers"
	// SharedReader: each node reads the store itself.
	SharedReader Feature = "shared-reader"
	// AvoidUnresponsiveEngines: engines that give no byte are passed over no more than others.
	AvoidUnresponsiveEngines Feature = "engine-doubt"
	// EngineReports: nodes do not tell each other which engines they pass over.
	EngineReports Feature = "engine-reports"
	// AvoidSlowEngines: engines that are slower than others get as many requests.
	AvoidSlowEngines Feature = "engine-pace"
	// EngineLimits: a node's requests at an engine that refuses some are not bounded.
	EngineLimits Feature = "engine-limits"
	// QueueOrder: calls that wait for an engine are served in any order.
	QueueOrder Feature = "queue-order"
	// LongerToolWait: a program's call of a tool waits no longer than any other.
	LongerToolWait Feature = "tool-patience"
	// SafeRepeats: a safe request without an answer waits for it.
	SafeRepeats Feature = "safe-repeats"
	// RemoteRecording: a turn is written by its own node only.
	RemoteRecording Feature = "recording-elsewhere"
	// OwnershipHandover: an owner keeps its shards though it can't write.
	OwnershipHandover Feature = "yielding"
	// OwnershipByCapacity: all nodes own alike.
	OwnershipByCapacity Feature = "ownership-by-capacity"
	// ClaimRefusal: a node claims shards also while the store does not answer it.
	ClaimRefusal Feature = "claim-refusal"
	// Isolation: a node that reaches nobody goes on as ready, and searches on.
	Isolation Feature = "isolation"
	// EnginePriority: requests carry no priority to engines.
	EnginePriority Feature = "engine-priority"
	// LogGate: a turn runs also while the log answers nobody that could record it.
	LogGate Feature = "log-gate"
	// Egress: each node sends its turns to the engines itself.
	Egress Feature = "egress"
	// StaggeredRetries: a node without a configuration names one time to come back.
	StaggeredRetries Feature = "later-retries"
	// ProgramsFirst: a tenant's limit counts each request as it comes, also where
	// programs that have begun can't end.
	ProgramsFirst Feature = "programs-first"
	// LoadSharing: a node knows of the load only what it has under way itself.
	LoadSharing Feature = "load-sharing"
	// LoadBasedCapacity: engines are asked that have no room by the load known.
	LoadBasedCapacity Feature = "room-by-load"
	// RetryBudget: a call goes on to further engines as long as it finds one.
	RetryBudget Feature = "retry-budget"
	// Admission: programs begin also where there is no room for them.
	Admission Feature = "admission"
	// TenantShares: programs are admitted whatever their tenants have under way.
	TenantShares Feature = "tenant-shares"
	// MemoryAdmission: programs begin also where their prompts don't fit into engines' memory.
	MemoryAdmission Feature = "memory-room"
	// EngineBreaker: engines whose requests end badly get as many as others.
	EngineBreaker Feature = "engine-breaker"
	// SpeedWeighting: work is dealt to engines without regard to their speed.
	SpeedWeighting Feature = "engine-speed"
	// HeldBytes: what callers have not read is held without a bound over all calls.
	HeldBytes Feature = "held-bytes"
	// ZoneReachability: a node goes by what it sees of single nodes and engines, also where a
	// whole zone is cut off.
	ZoneReachability Feature = "zone-reach"
)

// All lists the features.
var All = []Feature{
	Allowances, HedgedAppends, HedgedReads, LearningFromPeers, SharedReader, AvoidUnresponsiveEngines, EngineReports, AvoidSlowEngines, EngineLimits,
	QueueOrder, LongerToolWait, SafeRepeats, RemoteRecording, OwnershipHandover, OwnershipByCapacity, ClaimRefusal, Isolation,
	EnginePriority, LogGate, Egress, StaggeredRetries, ProgramsFirst,
	LoadSharing, LoadBasedCapacity, RetryBudget, Admission, TenantShares, MemoryAdmission, EngineBreaker, SpeedWeighting, HeldBytes, ZoneReachability,
}

// disabled holds the features turned off.
var disabled atomic.Pointer[map[Feature]bool]

// Enabled tells whether a feature is on.
func Enabled(asked Feature) bool {
	off := disabled.Load()
	return off == nil || !(*off)[asked]
}

// Disable turns the features off that a list with commas names, and all others on.
// An unknown name is an InvalidSettings error and changes nothing.
func Disable(list string) error {
	off := map[Feature]bool{}
	for name := range strings.SplitSeq(list, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		if !slices.Contains(All, Feature(name)) {
			return resultcode.New(resultcode.InvalidSettings, "feature %q is none of %v", name, All)
		}
		off[Feature(name)] = true
	}
	disabled.Store(&off)
	return nil
}
