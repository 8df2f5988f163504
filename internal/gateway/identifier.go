package gateway

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"encoding/binary"
	"hash"
	"io"
	"net/http"
	"strings"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// maxIdentifierBytes limits the length of program and request ids.
const maxIdentifierBytes = 128

// identifierBytes is the number of random or hash bytes in a generated id.
const identifierBytes = 16

var identifierEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// Hash prefixes that separate the ids derived from one request id for different
// uses.
const (
	purposeProgram    = "program"
	purposeSingleCall = "single"
)

// isValidIdentifier accepts 1 to maxIdentifierBytes letters, digits and . _ :
// -.
func isValidIdentifier(identifier string) bool {
	if identifier == "" || len(identifier) > maxIdentifierBytes {
		return false
	}
	for _, char := range []byte(identifier) {
		switch {
		case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char >= '0' && char <= '9':
		case strings.IndexByte("._:-", char) >= 0:
		default:
			return false
		}
	}
	return true
}

// newIdentifier returns a random id.
func newIdentifier() string {
	var content [identifierBytes]byte
	// crypto/rand.Read never returns an error; it crashes the process instead.
	_, _ = rand.Read(content[:])
	return identifierEncoding.EncodeToString(content[:])
}

// derivedProgramID derives a program id from a tenant's request id, so that a
// retry through any gateway reaches the same program.
func derivedProgramID(purpose, tenant, requestID string) string {
	digest := sha256.New()
	writeField(digest, purpose)
	writeField(digest, tenant)
	writeField(digest, requestID)
	return identifierEncoding.EncodeToString(digest.Sum(nil)[:identifierBytes])
}

// parseRequestID returns the caller's request id, or "" if it set none.
func parseRequestID(header http.Header) (string, error) {
	requestID := header.Get(headerRequestID)
	key := header.Get(headerIdempotencyKey)
	if requestID == "" {
		requestID = key
	}
	if key != "" && key != requestID {
		return "", resultcode.New(resultcode.BadRequest, "%s and %s differ", headerRequestID, headerIdempotencyKey)
	}
	if requestID != "" && !isValidIdentifier(requestID) {
		return "", resultcode.New(resultcode.BadRequest,
			"the request id must be 1 to %d letters, digits or . _ : -", maxIdentifierBytes)
	}
	return requestID, nil
}

// requestDigest hashes the fields that define a call, but not those that set
// how its response is delivered.
func requestDigest(request *schedulerv1.CallRequest) []byte {
	digest := sha256.New()
	writeNumber(digest, uint64(request.Kind))
	writeField(digest, request.Target)
	writeField(digest, request.Adapter)
	writeNumber(digest, uint64(request.MaxTokens))
	if request.Repeatable {
		writeNumber(digest, 1)
	} else {
		writeNumber(digest, 0)
	}
	writeNumber(digest, uint64(len(request.Messages)))
	for _, message := range request.Messages {
		writeField(digest, message.Role)
		writeField(digest, message.Content)
	}
	return digest.Sum(nil)
}

func writeField(digest hash.Hash, field string) {
	writeNumber(digest, uint64(len(field)))
	// Write on a hash never returns an error.
	_, _ = io.WriteString(digest, field)
}

func writeNumber(digest hash.Hash, number uint64) {
	var content [8]byte
	binary.BigEndian.PutUint64(content[:], number)
	_, _ = digest.Write(content[:])
}
