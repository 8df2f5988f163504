package backend

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/load"
)

// OutcomeReport returns the node's load report, including request outcomes.
func (directory *Directory) OutcomeReport(now time.Time) load.Report {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	report := load.NewReport()
	for id, engine := range directory.engines {
		succeeded, failed := directory.localOutcomes(engine, now)
		report.Engines[id] = load.Engine{Running: engine.running, Succeeded: succeeded, Failed: failed}
	}
	return report
}

// SeedRandom replaces the package's random source by a seeded one and returns a function that
// restores it. It must not be called while other goroutines use the package.
func SeedRandom(seed uint64) (restore func()) {
	previousFloat, previousInt := randomFloat, randomInt
	random := rand.New(rand.NewPCG(seed, 1))
	randomFloat, randomInt = random.Float64, random.IntN
	return func() { randomFloat, randomInt = previousFloat, previousInt }
}

// SortEligible orders the engines of a service by ID. Their order is otherwise random, and stays
// as it is until an engine is added or removed.
func (directory *Directory) SortEligible(service string) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engines := directory.eligible(service)
	slices.SortFunc(engines, func(left, right *Engine) int { return cmp.Compare(left.ID, right.ID) })
}
