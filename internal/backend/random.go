package backend

import "math/rand/v2"

// randomFloat and randomInt are the package's random source. Simulations replace them by seeded
// ones, so that a comparison of two runs does not depend on chance.
var (
	randomFloat = rand.Float64
	randomInt   = rand.IntN
)
