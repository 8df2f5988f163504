package membership

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// keySeparator separates the parts of a hashed key. Names must not contain it.
const keySeparator = "\x00"

// score returns a candidate's rendezvous score for a key.
func score(key, candidate string) uint64 {
	return xxhash.Sum64String(key + keySeparator + candidate)
}

// weightedScore returns a rendezvous score under which a candidate ranks highest
// with a probability proportional to its weight.
func weightedScore(key, candidate string, weight int) float64 {
	const fractionBits = 53
	fraction := (float64(score(key, candidate)>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
	return -float64(weight) / math.Log(fraction)
}

func numberedKey(kind string, number uint32) string {
	return kind + keySeparator + strconv.FormatUint(uint64(number), 10)
}
