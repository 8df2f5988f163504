package quarantine

import "time"

// digestParts is the number of parts of a Digest. If two nodes differ in a few losses, one sends the
// other a few of these parts and not all that it knows.
const digestParts = 16

// Digest is a summary of the losses that a node knows, by which two nodes find out whether they know
// the same ones. Losses are dealt to its parts by the first bits of their requests.
type Digest [digestParts]uint64

// add adds a loss. The result does not depend on the order of losses.
func (digest *Digest) add(loss *Loss) { digest[digestPart(loss.Request)] ^= loss.digest() }

// digest returns a value that differs between losses, and once a loss is refuted.
func (loss *Loss) digest() uint64 {
	if loss.Refuted {
		return ^loss.ID
	}
	return loss.ID
}

// Sum returns a value that differs between sets of losses, whatever their order.
func Sum(losses []Loss) uint64 {
	var sum uint64
	for index := range losses {
		sum ^= losses[index].digest()
	}
	return sum
}

func digestPart(fingerprint Fingerprint) int { return int(fingerprint[0]) % digestParts }

// Digest returns the summary of the losses that the tracker knows.
func (tracker *Tracker) Digest(now time.Time) Digest {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.digest(now)
}

// digest is Digest. The caller holds the mutex.
func (tracker *Tracker) digest(now time.Time) Digest {
	var digest Digest
	for _, held := range tracker.requests {
		if !held.exchanged(now) {
			continue
		}
		for _, loss := range held.losses {
			digest.add(loss)
		}
	}
	return digest
}

// LossesBeyond returns the losses in the parts in which the tracker differs from a digest.
func (tracker *Tracker) LossesBeyond(digest Digest, now time.Time) []Loss {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	own := tracker.digest(now)
	var different []Loss
	for fingerprint, held := range tracker.requests {
		part := digestPart(fingerprint)
		if own[part] == digest[part] || !held.exchanged(now) {
			continue
		}
		for _, loss := range held.losses {
			different = append(different, *loss)
		}
	}
	return different
}
