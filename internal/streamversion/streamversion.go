// Package streamversion keeps the software version of the engines that began streams. What two
// versions write does not fit together, and engines do not check it, so that a stream may be resumed
// only at an engine of the version that began it. The attempt that resumes a stream arrives at any
// node, often because the node that began the stream is lost; several nodes therefore keep each
// stream's origin, chosen by a hash that every node can compute.
package streamversion

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// keyBytes is the size of a Key. Two streams of a deployment do not share a 128-bit hash by chance, nor two
// attempts of one stream the half of it that is not its placement.
const keyBytes = 16

// Key identifies a stream by the attempt that brought its first event, or by the content of its request.
type Key [keyBytes]byte

// NewKey returns the key of the stream that a tenant's attempt began. The tenant is part of it:
// tenants choose the IDs of their attempts independently.
func NewKey(tenant, attempt string) Key { return newKey(tenant, attempt) }

// contentPrefix separates the keys of contents from those of attempts: no ID of a caller contains it.
const contentPrefix = "\x00content\x00"

// NewContentKey returns the key of the streams that a session asks for by a content, given as a
// fingerprint that covers tenant and program.
func NewContentKey(session string, fingerprint []byte) Key {
	return newKey(session, contentPrefix+string(fingerprint))
}

// placementBytes is the number of leading bytes of a key that determine the nodes that keep it.
const placementBytes = keyBytes / 2

// PlacedWith returns the key with the placement of another one, so that the same nodes keep both.
func (key Key) PlacedWith(other Key) Key {
	copy(key[:placementBytes], other[:placementBytes])
	return key
}

// newKey returns the hash of two texts.
func newKey(first, second string) Key {
	hash := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(first)))
	_, _ = hash.Write(length[:]) // Writing to a hash cannot fail.
	_, _ = hash.Write([]byte(first))
	_, _ = hash.Write([]byte(second))
	return Key(hash.Sum(nil)[:keyBytes])
}

// String returns the key as it appears in logs.
func (key Key) String() string { return hex.EncodeToString(key[:]) }

// Origin is where a stream began. A version counts only within its service.
type Origin struct {
	Service string
	Version string
}

// Record is the origin of one stream.
type Record struct {
	Key    Key
	Origin Origin
}
