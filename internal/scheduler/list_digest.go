package scheduler

import (
	"hash/fnv"
	"io"
	"strconv"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/keeper"
)

// listDigest is an order-independent digest of a list. Two different lists have the same digest
// with a probability of about 2^-64: it detects lost messages, but not forged ones.
type listDigest struct {
	count uint32
	sum   uint64
}

// add adds an item. Its parts must not contain a zero byte.
func (digest *listDigest) add(parts ...string) {
	hash := fnv.New64a()
	for _, part := range parts {
		_, _ = io.WriteString(hash, part)
		_, _ = hash.Write([]byte{0})
	}
	digest.count++
	digest.sum += hash.Sum64()
}

func (digest *listDigest) addGrant(call keeper.CallKey, engine string) {
	digest.add(call.Program, call.RequestID, strconv.FormatUint(uint64(call.Attempt), 10), engine)
}

func (digest *listDigest) wire() *schedulerv1.ListDigest {
	return &schedulerv1.ListDigest{Count: digest.count, Sum: digest.sum}
}

func (digest *listDigest) matches(reported *schedulerv1.ListDigest) bool {
	return digest.count == reported.GetCount() && digest.sum == reported.GetSum()
}
