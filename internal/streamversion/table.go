package streamversion

import (
	"sync"
	"time"
)

const (
	// GenerationAge is how long a generation of records grows. A record is kept for one to two
	// generations: longer than a stream lasts together with its caller's attempts.
	GenerationAge = 5 * time.Minute
	// maxGenerationRecords bounds a generation, to some 6 MB. A fuller one ends early.
	maxGenerationRecords = 1 << 16
)

// Table holds the origins of streams for a bounded time. It is safe for concurrent use.
type Table struct {
	mutex sync.Mutex
	// current receives new records, previous is the generation before it.
	current, previous map[Key]entry
	currentSince      time.Time
	// origins holds one copy of each origin that records refer to.
	origins map[Origin]*Origin
}

// entry is a stream's origin and when it was last put.
type entry struct {
	origin *Origin
	putAt  time.Time
}

// conflicting is the origin of a stream that was recorded with different origins. It is unknown then
// where the stream began.
var conflicting = &Origin{}

// NewTable returns an empty table.
func NewTable(now time.Time) *Table {
	return &Table{current: map[Key]entry{}, previous: map[Key]entry{}, currentSince: now, origins: map[Origin]*Origin{}}
}

// Put records the origin of a stream. A stream that is put with different origins, as when a caller
// uses one ID for two attempts, is no longer found.
func (table *Table) Put(record Record, now time.Time) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.rotate(now)
	origin := table.intern(record.Origin)
	known := table.find(record.Key)
	if known != nil && known != origin {
		origin = conflicting
	}
	table.current[record.Key] = entry{origin: origin, putAt: now}
}

// PutSince returns the records that were put after a time.
func (table *Table) PutSince(since time.Time) []Record {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	var records []Record
	for _, generation := range []map[Key]entry{table.current, table.previous} {
		for key, found := range generation {
			if found.putAt.After(since) && found.origin != conflicting {
				records = append(records, Record{Key: key, Origin: *found.origin})
			}
		}
	}
	return records
}

// Find returns the origin of a stream, false if it is not known.
func (table *Table) Find(key Key, now time.Time) (Origin, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.rotate(now)
	origin := table.find(key)
	if origin == nil || origin == conflicting {
		return Origin{}, false
	}
	return *origin, true
}

// Size returns the number of records.
func (table *Table) Size() int {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return len(table.current) + len(table.previous)
}

func (table *Table) find(key Key) *Origin {
	if found, known := table.current[key]; known {
		return found.origin
	}
	return table.previous[key].origin
}

// rotate starts a new generation if the current one is full or old.
func (table *Table) rotate(now time.Time) {
	age := now.Sub(table.currentSince)
	if age < GenerationAge && len(table.current) < maxGenerationRecords {
		return
	}
	table.previous = table.current
	if age >= 2*GenerationAge {
		table.previous = map[Key]entry{}
	}
	table.current = map[Key]entry{}
	table.currentSince = now
	table.removeUnusedOrigins()
}

// removeUnusedOrigins keeps only the origins that records refer to.
func (table *Table) removeUnusedOrigins() {
	used := map[Origin]*Origin{}
	for _, found := range table.previous {
		if found.origin != conflicting {
			used[*found.origin] = found.origin
		}
	}
	table.origins = used
}

// intern returns the table's copy of an origin.
func (table *Table) intern(origin Origin) *Origin {
	found := table.origins[origin]
	if found == nil {
		found = &origin
		table.origins[origin] = found
	}
	return found
}
