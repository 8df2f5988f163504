package backend

import (
	"hash/maphash"
	"time"
)

// carriedRequests is the set of requests that a connection has carried and that may be sent again. It is not
// safe for concurrent use.
type carriedRequests struct {
	byHash map[uint64]struct{}
	// oldest holds the same requests in the order in which they were carried.
	oldest []carriedRequest
}

// carriedRequest is a request by the hash of its ID, and when it is not sent again.
type carriedRequest struct {
	hash     uint64
	deadline time.Time
}

// requestSeed is the seed of the hashes of request IDs.
var requestSeed = maphash.MakeSeed()

// hashRequest returns the hash of a request's ID, 0 for none.
func hashRequest(request string) uint64 {
	if request == "" {
		return 0
	}
	return maphash.String(requestSeed, request)
}

// add adds a request, and forgets those whose deadline has passed, up to the first that may be sent again.
func (carried *carriedRequests) add(hash uint64, deadline, now time.Time) {
	for len(carried.oldest) > 0 && now.After(carried.oldest[0].deadline) {
		delete(carried.byHash, carried.oldest[0].hash)
		carried.oldest = carried.oldest[1:]
	}
	if hash == 0 {
		return
	}
	if carried.byHash == nil {
		carried.byHash = map[uint64]struct{}{}
	}
	carried.byHash[hash] = struct{}{}
	carried.oldest = append(carried.oldest, carriedRequest{hash: hash, deadline: deadline})
}

// contains reports whether the connection has carried a request.
func (carried *carriedRequests) contains(hash uint64) bool {
	_, found := carried.byHash[hash]
	return found
}
