package quota

import (
	"time"

	"github.com/magpielug/magpielug/internal/tenant"
)

const (
	// mostDelay is how long a granted request is held at most until there is room for
	// it: half of what callers of a stream wait for a first event. On a day's requests
	// played back against limits, 26 of 8,037 are refused without a delay, 8 with one of
	// 0.4 s at most and 1 with one of 0.7 s.
	mostDelay = time.Second
	// mostRetryAfter is the latest time to come back that is named. The limit may be
	// raised and others may leave meanwhile.
	mostRetryAfter = 4 * time.Second
	// minimumBurst lets a limit without a burst grant one request at once.
	minimumBurst = 1
	// reserveShare of a bucket is kept for programs under way while the limit is scarce:
	// only whole programs are worth anything to a caller, so that where a limit is too
	// small for all it is better to begin fewer.
	reserveShare = 0.5
	// scarceFor is how long a limit counts as scarce after a request of a program under
	// way found no room: about as long as a program runs.
	scarceFor = 2 * time.Second
)

// bucket is one tenant's limit at a keeper: a token bucket that fills by what is lent.
type bucket struct {
	limit         tenant.Limit
	configuration int64
	// depth is how many requests may run at once where the whole limit is lent.
	depth float64
	// tokens is how many requests may run now; below zero for those that wait.
	tokens float64
	// lent is the group's sum up to which the bucket was filled.
	lent     float64
	programs programs
	// scarceUntil is until when the limit counts as scarce.
	scarceUntil time.Time
	// promised is up to when room has been named to callers that were refused.
	promised time.Time
}

func newBucket(lent float64, now time.Time) *bucket {
	return &bucket{lent: lent, programs: newPrograms(now)}
}

// refill adds what was lent since the last time, up to what the share may hold.
func (bucket *bucket) refill(lent, share float64) {
	bucket.tokens = min(bucket.tokens+bucket.limit.PerSecond*(lent-bucket.lent), bucket.depth*share)
	bucket.lent = lent
}

// decide grants a request or refuses it.
func (bucket *bucket) decide(ask Ask, share float64, programsFirst bool, now time.Time) (verdict Verdict, delay, retryAfter time.Duration) {
	rate := bucket.limit.PerSecond * share
	needed := 1.0
	begins := bucket.programs.begins(ask)
	if programsFirst && begins && now.Before(bucket.scarceUntil) {
		needed += reserveShare * bucket.depth * share
	}
	if !begins && bucket.tokens < needed {
		bucket.scarceUntil = now.Add(scarceFor)
	}
	wait := max(inSeconds((needed-bucket.tokens)/rate), 0)
	if wait > min(ask.Patience, mostDelay) {
		return Refused, 0, bucket.promise(wait, rate, now)
	}
	bucket.tokens--
	bucket.programs.note(ask, now)
	return Granted, wait, 0
}

// promise names a time at which there is room, one caller after another.
func (bucket *bucket) promise(wait time.Duration, rate float64, now time.Time) time.Duration {
	earliest := now.Add(wait)
	if bucket.promised.After(earliest) {
		earliest = bucket.promised
	}
	bucket.promised = earliest.Add(inSeconds(1 / rate))
	if latest := now.Add(mostRetryAfter); bucket.promised.After(latest) {
		bucket.promised = latest
	}
	return min(earliest.Sub(now), mostRetryAfter)
}

// inSeconds is a time of so many seconds, bounded so that it can be added to any other.
func inSeconds(count float64) time.Duration {
	const most = 24 * 3600
	return time.Duration(min(count, most) * float64(time.Second))
}
