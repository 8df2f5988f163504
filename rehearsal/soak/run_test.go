package soak

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// seeds are run each time: the first as a sample, the others because they
// failed once. What each one found stands in docs/MEASUREMENTS.md.
var seeds = []uint64{1, 200}

// loadSeeds are run with disturbances of the load.
var loadSeeds = []uint64{1}

var _ = Describe("A soak", func() {
	findsNothing := func(seed uint64, loadLanes int) {
		It("finds no broken promise", func() {
			report, err := Run(context.Background(), Options{
				Seed:      seed,
				Length:    8 * time.Second,
				Nodes:     4,
				Callers:   6,
				Lanes:     2,
				LoadLanes: loadLanes,
				Magpielug: binary,
				Directory: GinkgoT().TempDir(),
				Output:    GinkgoWriter,
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(report.Violations).To(BeEmpty())
			Expect(report.Turns).To(BeNumerically(">", 0))
		})
	}
	for _, seed := range seeds {
		findsNothing(seed, 0)
	}
	for _, seed := range loadSeeds {
		findsNothing(seed, 1)
	}
})
