package membership

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// keySeparator stands between the parts of a hashed key; no name holds it.
const keySeparator = "\x00"

// score is a candidate's rendezvous score for a key.
func score(key, candidate string) uint64 {
	return xxhash.Sum64String(key + keySeparator + candidate)
}

// weightedScore lets a candidate win in proportion to its weight.
func weightedScore(key, candidate string, weight int) float64 {
	const fractionBits = 53
	fraction := (float64(score(key, candidate)>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
	return -float64(weight) / math.Log(fraction)
}

func numberedKey(kind string, number uint32) string {
	return kind + keySeparator + strconv.FormatUint(uint64(number), 10)
}
