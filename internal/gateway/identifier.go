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

// maxIdentifierBytes bounds program and request ids.
const maxIdentifierBytes = 128

// identifierBytes is how much of a hash or of randomness an id made here holds.
const identifierBytes = 16

var identifierEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// Purposes keep ids derived from one request id for two uses apart.
const (
	purposeProgram    = "program"
	purposeSingleCall = "single"
)

// validIdentifier accepts letters, digits and . _ : - only.
func validIdentifier(identifier string) bool {
	if identifier == "" || len(identifier) > maxIdentifierBytes {
		return false
	}
	for _, letter := range []byte(identifier) {
		switch {
		case letter >= 'a' && letter <= 'z', letter >= 'A' && letter <= 'Z', letter >= '0' && letter <= '9':
		case strings.IndexByte("._:-", letter) >= 0:
		default:
			return false
		}
	}
	return true
}

// newIdentifier returns a random id.
func newIdentifier() string {
	var content [identifierBytes]byte
	// crypto/rand.Read never fails; it ends the process instead.
	_, _ = rand.Read(content[:])
	return identifierEncoding.EncodeToString(content[:])
}

// derivedProgramID names the program that a tenant's request id makes, so that
// the request can be sent again through any gateway.
func derivedProgramID(purpose, tenant, requestID string) string {
	digest := sha256.New()
	writeField(digest, purpose)
	writeField(digest, tenant)
	writeField(digest, requestID)
	return identifierEncoding.EncodeToString(digest.Sum(nil)[:identifierBytes])
}

// requestIDOf reads the caller's request id; empty where it gave none.
func requestIDOf(header http.Header) (string, error) {
	requestID := header.Get(headerRequestID)
	key := header.Get(headerIdempotencyKey)
	if requestID == "" {
		requestID = key
	}
	if key != "" && key != requestID {
		return "", resultcode.New(resultcode.BadRequest, "%s and %s differ", headerRequestID, headerIdempotencyKey)
	}
	if requestID != "" && !validIdentifier(requestID) {
		return "", resultcode.New(resultcode.BadRequest,
			"the request id must be 1 to %d letters, digits or . _ : -", maxIdentifierBytes)
	}
	return requestID, nil
}

// digestOf hashes what makes two calls the same call: everything but how the
// answer is delivered.
func digestOf(request *schedulerv1.CallRequest) []byte {
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
	// A hash's Write never fails.
	_, _ = io.WriteString(digest, field)
}

func writeNumber(digest hash.Hash, number uint64) {
	var content [8]byte
	binary.BigEndian.PutUint64(content[:], number)
	_, _ = digest.Write(content[:])
}
