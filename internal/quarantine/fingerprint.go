// Package quarantine keeps a request from being sent to further engines once several engines have
// ended under it. It identifies a request by its content, since each try of a caller carries a new
// request ID and may arrive at another node.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is the size of a Fingerprint. Two requests of a deployment do not share a
// 128-bit hash by chance.
const fingerprintBytes = 16

// Fingerprint identifies the content of a request.
type Fingerprint [fingerprintBytes]byte

// logDigits is the number of hexadecimal digits by which logs name a fingerprint.
const logDigits = 12

// String returns the fingerprint as it appears in logs and metrics.
func (fingerprint Fingerprint) String() string {
	return hex.EncodeToString(fingerprint[:])[:logDigits]
}

// Content is what stays the same over all tries of a request. The program is part of it: a request
// of one program is not held responsible for another program's request of the same bytes. The
// session is not: a program that starts a sub-agent anew sends the same work to the engines.
type Content struct {
	Tenant  string
	Program string
	// Previous is the turn that the request continues. It determines the chain of turns that
	// precedes Body in the prompt.
	Previous string
	Method   string
	Host     string
	// Target is the path and query.
	Target string
	Body   []byte
}

// Fingerprint returns the hash of the content. Each part is preceded by its length, so that no two
// different contents are hashed as the same bytes.
func (content *Content) Fingerprint() Fingerprint {
	hash := sha256.New()
	var length [8]byte
	writePart := func(part []byte) {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:]) // Writing to a hash cannot fail.
		_, _ = hash.Write(part)
	}
	for _, part := range []string{content.Tenant, content.Program, content.Previous, content.Method, content.Host, content.Target} {
		writePart([]byte(part))
	}
	writePart(content.Body)
	return Fingerprint(hash.Sum(nil)[:fingerprintBytes])
}
