package keeper

const (
	// maxKinds limits the kinds with separate statistics; further kinds share
	// one record.
	maxKinds = 1024
	// initialPauseSeconds and initialReuse are used before the first sample.
	initialPauseSeconds = 2.0
	initialReuse        = 0.9
)

// kindKey identifies a program kind of one tenant.
type kindKey struct{ tenant, kind string }

// kindStats holds the statistics of a program kind.
type kindStats struct {
	// pauseSeconds is the mean length of pauses that were followed by another
	// call.
	pauseSeconds decayedRatio
	// reuseProbability is the fraction of pauses that were followed by another
	// call.
	reuseProbability decayedRatio
	// sharedPrefix is the mean number of cached tokens found by the first call
	// of a program on an engine without its prefix: the beginning of the prompt
	// that programs of the kind share.
	sharedPrefix decayedRatio
}

// sharedTokens estimates how many prompt tokens all programs of the kind share.
func (stats *kindStats) sharedTokens() int {
	return int(stats.sharedPrefix.value(0))
}

// kindTable holds the statistics by kind.
type kindTable struct {
	byKind   map[kindKey]*kindStats
	overflow kindStats
}

func newKindTable() kindTable {
	return kindTable{byKind: make(map[kindKey]*kindStats)}
}

// ensure returns the statistics of a kind, adding them if needed.
func (table *kindTable) ensure(tenant, kind string) *kindStats {
	key := kindKey{tenant, kind}
	stats := table.byKind[key]
	if stats != nil {
		return stats
	}
	if len(table.byKind) >= maxKinds {
		return &table.overflow
	}
	stats = &kindStats{}
	table.byKind[key] = stats
	return stats
}

// emptyKindStats serves programs whose kind is unknown. It is read-only.
var emptyKindStats kindStats

// kindStats returns the statistics of the program's kind.
func (program *programState) kindStats() *kindStats {
	if program.kind == nil {
		return &emptyKindStats
	}
	return program.kind
}
