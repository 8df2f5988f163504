package quota

import "time"

const (
	// mostDelay is how long a granted request is held at most until there is room for
	// it: half of what callers of a stream wait for a first event. On a day's requests
	// played back against limits, 26 of 8,037 are refused without a delay, 8 with one of
	// 0.4 s at most and 1 with one of 0.7 s.
	mostDelay = time.Second
	// mostRetryAfter is the latest time to come back that is named. The limit may be
	// raised and others may leave meanwhile.
	mostRetryAfter = 4 * time.Second
	// reserveShare of what may run at once is kept for programs under way while the limit
	// is scarce: only whole programs are worth anything to a caller, so that where a limit
	// is too small for all it is better to begin fewer.
	reserveShare = 0.25
	// scarceFor is how long a limit counts as scarce after a request of a program under
	// way found no room: about as long as a program runs.
	scarceFor = 2 * time.Second
)

// bucket is one tenant's limit at a keeper. Over the last s seconds, for each s up to the
// window, no more requests are granted than an envelope allows, which is the depth and
// what the rate gives in that time. Requests before the window count no more.
type bucket struct {
	configuration int64
	envelope      envelope
	// grants are those of the window, the oldest first, those that wait included.
	grants   []mark
	programs programs
	// scarceUntil is until when the limit counts as scarce.
	scarceUntil time.Time
	// promised is up to when room has been named to callers that were refused.
	promised time.Time
}

// credit is what the nodes have lent at a moment.
type credit struct {
	now time.Time
	// sum is the group's over time, inWindow what it grew by in the last window, seconds
	// of a limit; share is the part of each limit that is lent now, settled the part that
	// was lent to no other keeper for a whole window.
	sum, inWindow, share, settled float64
}

func newBucket(now time.Time) *bucket { return &bucket{programs: newPrograms(now)} }

// decide grants a request or refuses it.
func (bucket *bucket) decide(ask Request, lent credit, programsFirst bool) (verdict Verdict, delay, retryAfter time.Duration) {
	bucket.forget(lent.now)
	requests := 1.0
	begins := bucket.programs.begins(ask)
	if programsFirst && begins && lent.now.Before(bucket.scarceUntil) {
		requests += reserveShare * bucket.envelope.depth * lent.share
	}
	wait := bucket.waitFor(requests, lent)
	if !begins && wait > 0 {
		bucket.scarceUntil = lent.now.Add(scarceFor)
	}
	if wait > min(ask.MaxWait, mostDelay) {
		return Refused, 0, bucket.promise(wait, lent)
	}
	bucket.add(mark{at: lent.now.Add(wait), lent: lent.sum + wait.Seconds()*lent.share})
	bucket.programs.note(ask, lent.now)
	return Granted, wait, 0
}

// forget drops the grants from before the window.
func (bucket *bucket) forget(now time.Time) {
	first := 0
	for first < len(bucket.grants) && now.Sub(bucket.grants[first].at) > bucket.envelope.window {
		first++
	}
	bucket.grants = bucket.grants[first:]
}

// add keeps the grants in order: one that waits may stand behind a later one.
func (bucket *bucket) add(added mark) {
	bucket.grants = append(bucket.grants, added)
	for place := len(bucket.grants) - 1; place > 0 && bucket.grants[place-1].at.After(added.at); place-- {
		bucket.grants[place-1], bucket.grants[place] = bucket.grants[place], bucket.grants[place-1]
	}
}

// waitFor returns how long it takes until so many more requests may run at once: until all
// of the window and they fit into what was lent, and those since each grant and they into
// the envelope, or the grant has left the window.
func (bucket *bucket) waitFor(requests float64, lent credit) time.Duration {
	rate := bucket.envelope.rate * lent.share
	longest := inSeconds((requests - bucket.leftOfWindow(lent)) / rate)
	if len(bucket.grants) > 0 {
		longest = min(longest, bucket.leaves(0, lent.now))
	}
	for index := range bucket.grants {
		fits := inSeconds((requests - bucket.leftSince(index, lent)) / rate)
		longest = max(longest, min(fits, bucket.leaves(index, lent.now)))
	}
	return max(longest, 0)
}

// leftOfWindow is how many requests are left of what was lent in the window, and of the
// depth for the shares that no other keeper may have used before.
func (bucket *bucket) leftOfWindow(lent credit) float64 {
	return bucket.envelope.depth*lent.settled + bucket.envelope.rate*lent.inWindow - float64(len(bucket.grants))
}

// leftSince is how many requests the envelope leaves from a grant on.
func (bucket *bucket) leftSince(index int, lent credit) float64 {
	depth := max(bucket.envelope.depth*lent.share, 1)
	return depth + bucket.envelope.rate*(lent.sum-bucket.grants[index].lent) - float64(len(bucket.grants)-index)
}

// leaves returns when a grant leaves the window.
func (bucket *bucket) leaves(index int, now time.Time) time.Duration {
	return bucket.grants[index].at.Add(bucket.envelope.window).Sub(now)
}

// room is how many requests may run at once, below zero where some wait already.
func (bucket *bucket) room(lent credit) float64 {
	least := bucket.leftOfWindow(lent)
	for index := range bucket.grants {
		least = min(least, bucket.leftSince(index, lent))
	}
	return least
}

// promise names a time at which there is room, one caller after another.
func (bucket *bucket) promise(wait time.Duration, lent credit) time.Duration {
	earliest := lent.now.Add(wait)
	if bucket.promised.After(earliest) {
		earliest = bucket.promised
	}
	bucket.promised = earliest.Add(inSeconds(1 / (bucket.envelope.rate * lent.share)))
	if latest := lent.now.Add(mostRetryAfter); bucket.promised.After(latest) {
		bucket.promised = latest
	}
	return min(earliest.Sub(lent.now), mostRetryAfter)
}

// inSeconds is a time of so many seconds, bounded so that it can be added to any other.
func inSeconds(count float64) time.Duration {
	const most = 24 * 3600
	return time.Duration(min(max(count, -most), most) * float64(time.Second))
}
