package quota

import "time"

const (
	// maxDelay is how long a granted request is delayed at most: half of the time that callers
	// of a stream wait for the first event.
	maxDelay = time.Second
	// maxRetryAfter bounds Response.RetryAfter, since limits and load may change meanwhile.
	maxRetryAfter = 4 * time.Second
	// startReserve is the fraction of the depth kept for running programs while the limit is
	// scarce, since a started program has value only if it finishes. Where a limit is too small
	// for all, it is better to start fewer.
	startReserve = 0.25
	// scarcityDuration is how long a limit counts as scarce after a request of a running
	// program had to wait: about a program's lifetime.
	scarcityDuration = 2 * time.Second
)

// bucket is a tenant's limit at a coordinator. It grants requests within an envelope over a
// sliding window.
type bucket struct {
	configurationVersion int64
	envelope             envelope
	// grants are those of the window, the oldest first, including delayed ones.
	grants   []leaseSample
	programs programs
	// scarceUntil is the end of the time in which the limit counts as scarce.
	scarceUntil time.Time
	// nextRetry is the earliest retry time not yet given to a refused caller.
	nextRetry time.Time
}

// leaseTotals are the totals of the shares leased to a coordinator at a time.
type leaseTotals struct {
	now time.Time
	// cumulative is the share integrated over time, inWindow its increase in the last window,
	// both in seconds of a limit. share is the fraction of each limit that is leased now,
	// settled the fraction leased to no other coordinator for a full window.
	cumulative, inWindow, share, settled float64
}

func newBucket(now time.Time) *bucket { return &bucket{programs: newPrograms(now)} }

// decide grants or refuses a request.
func (bucket *bucket) decide(request Request, leased leaseTotals, programsFirst bool) (verdict Verdict, delay, retryAfter time.Duration) {
	bucket.expireGrants(leased.now)
	count := 1.0
	starts := bucket.programs.startsProgram(request)
	if programsFirst && starts && leased.now.Before(bucket.scarceUntil) {
		count += startReserve * bucket.envelope.depth * leased.share
	}
	wait := bucket.waitFor(count, leased)
	if !starts && wait > 0 {
		bucket.scarceUntil = leased.now.Add(scarcityDuration)
	}
	if wait > min(request.MaxWait, maxDelay) {
		return Refused, 0, bucket.reserveRetry(wait, leased)
	}
	bucket.addGrant(leaseSample{at: leased.now.Add(wait), leased: leased.cumulative + wait.Seconds()*leased.share})
	bucket.programs.record(request, leased.now)
	return Granted, wait, 0
}

// expireGrants drops grants older than the window.
func (bucket *bucket) expireGrants(now time.Time) {
	first := 0
	for first < len(bucket.grants) && now.Sub(bucket.grants[first].at) > bucket.envelope.window {
		first++
	}
	bucket.grants = bucket.grants[first:]
}

// addGrant inserts a grant in order of time; delayed ones may be later than those that follow.
func (bucket *bucket) addGrant(added leaseSample) {
	bucket.grants = append(bucket.grants, added)
	for index := len(bucket.grants) - 1; index > 0 && bucket.grants[index-1].at.After(added.at); index-- {
		bucket.grants[index-1], bucket.grants[index] = bucket.grants[index], bucket.grants[index-1]
	}
}

// waitFor returns the time until count further requests may run. They must fit into what was
// leased in the window, and into the envelope since each grant that is still in the window.
func (bucket *bucket) waitFor(count float64, leased leaseTotals) time.Duration {
	rate := bucket.envelope.rate * leased.share
	longest := durationOf((count - bucket.windowRemaining(leased)) / rate)
	if len(bucket.grants) > 0 {
		longest = min(longest, bucket.untilExpiry(0, leased.now))
	}
	for index := range bucket.grants {
		fits := durationOf((count - bucket.remainingSince(index, leased)) / rate)
		longest = max(longest, min(fits, bucket.untilExpiry(index, leased.now)))
	}
	return max(longest, 0)
}

// windowRemaining returns the number of further requests that the shares leased in the last
// window permit. Only settled shares contribute to the depth: a former coordinator may have used
// the depth of a share that was leased to it within the window.
func (bucket *bucket) windowRemaining(leased leaseTotals) float64 {
	return bucket.envelope.depth*leased.settled + bucket.envelope.rate*leased.inWindow - float64(len(bucket.grants))
}

// remainingSince returns the number of further requests that the envelope permits in the time
// since a grant.
func (bucket *bucket) remainingSince(index int, leased leaseTotals) float64 {
	depth := max(bucket.envelope.depth*leased.share, 1)
	return depth + bucket.envelope.rate*(leased.cumulative-bucket.grants[index].leased) - float64(len(bucket.grants)-index)
}

// untilExpiry returns the time until a grant leaves the window.
func (bucket *bucket) untilExpiry(index int, now time.Time) time.Duration {
	return bucket.grants[index].at.Add(bucket.envelope.window).Sub(now)
}

// available returns the number of requests that may run at once, negative if some are delayed
// already.
func (bucket *bucket) available(leased leaseTotals) float64 {
	least := bucket.windowRemaining(leased)
	for index := range bucket.grants {
		least = min(least, bucket.remainingSince(index, leased))
	}
	return least
}

// reserveRetry returns a retry time at which the limit permits a request, different for each
// caller.
func (bucket *bucket) reserveRetry(wait time.Duration, leased leaseTotals) time.Duration {
	earliest := leased.now.Add(wait)
	if bucket.nextRetry.After(earliest) {
		earliest = bucket.nextRetry
	}
	bucket.nextRetry = earliest.Add(durationOf(1 / (bucket.envelope.rate * leased.share)))
	if latest := leased.now.Add(maxRetryAfter); bucket.nextRetry.After(latest) {
		bucket.nextRetry = latest
	}
	return min(earliest.Sub(leased.now), maxRetryAfter)
}

// durationOf converts seconds to a duration, bounded so that sums do not overflow.
func durationOf(seconds float64) time.Duration {
	const limit = 24 * 3600
	return time.Duration(min(max(seconds, -limit), limit) * float64(time.Second))
}
