package engine

import (
	"encoding/binary"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/magpielug/magpielug/rehearsal/enginemodel"
)

const (
	// bytesPerToken is the number of bytes per token. Each part of a prompt starts a new
	// token, and its last token may be shorter.
	bytesPerToken = 4
	// minOutputTokens is the minimum output length without a marker, unless MaxTokens is
	// lower.
	minOutputTokens = 16
	// attemptSeparator precedes the attempt number in a request id.
	attemptSeparator = "#"
	// Finish reasons.
	finishStop      = "stop"
	finishLength    = "length"
	finishCancelled = "cancelled"
)

// lengthMarker in the last part of a prompt sets the output length.
var lengthMarker = regexp.MustCompile(`\[\[tokens=([0-9]{1,6})\]\]`)

// Output is the complete output for a request.
type Output struct {
	Text   string
	Tokens int
	// Finish is "stop", or "length" if MaxTokens truncated the output.
	Finish string
}

// ExpectedOutput returns the output that every stand-in engine generates for a request: a
// function of the program, the base request id and the whole prompt.
func ExpectedOutput(program, requestID string, prompt []string, maxTokens int) Output {
	seed := outputSeed(program, requestID, prompt)
	tokens, finish := outputLength(seed, prompt, maxTokens)
	return Output{Text: outputText(seed, 0, tokens), Tokens: tokens, Finish: finish}
}

// BaseRequestID strips the attempt number from a request id: "id" and "id#2" are attempts
// of the same request and get the same output.
func BaseRequestID(requestID string) string {
	index := strings.LastIndex(requestID, attemptSeparator)
	if index < 0 {
		return requestID
	}
	return requestID[:index]
}

// outputSeed hashes the request. The parts are length-prefixed, so that their boundaries
// matter.
func outputSeed(program, requestID string, prompt []string) uint64 {
	digest := xxhash.New()
	writePart(digest, program)
	writePart(digest, BaseRequestID(requestID))
	for _, part := range prompt {
		writePart(digest, part)
	}
	return digest.Sum64()
}

func writePart(digest *xxhash.Digest, part string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = digest.Write(length[:])
	_, _ = digest.WriteString(part)
}

// outputLength returns the marker's length, or else one between minOutputTokens and
// maxTokens that is derived from the seed.
func outputLength(seed uint64, prompt []string, maxTokens int) (tokens int, finish string) {
	length := 0
	if len(prompt) > 0 {
		match := lengthMarker.FindStringSubmatch(prompt[len(prompt)-1])
		if match != nil {
			length, _ = strconv.Atoi(match[1])
		}
	}
	if length == 0 {
		minimum := min(minOutputTokens, maxTokens)
		length = minimum + int(seed%uint64(maxTokens-minimum+1))
	}
	if length > maxTokens {
		return maxTokens, finishLength
	}
	return length, finishStop
}

// outputText returns the text of the tokens in [first, end). A token is three letters and
// a space.
func outputText(seed uint64, first, end int) string {
	text := make([]byte, 0, (end-first)*bytesPerToken)
	for index := first; index < end; index++ {
		value := enginemodel.ChainHash(seed, uint64(index))
		for range bytesPerToken - 1 {
			text = append(text, byte('a'+value%26))
			value /= 26
		}
		text = append(text, ' ')
	}
	return string(text)
}

// countTokens returns the number of tokens of a prompt.
func countTokens(prompt []string) int {
	tokens := 0
	for _, part := range prompt {
		tokens += (len(part) + bytesPerToken - 1) / bytesPerToken
	}
	return tokens
}

// blockHashes returns the chained hashes of the full blocks of parts.
func blockHashes(parts []string, blockTokens int) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	previous, filled := uint64(0), 0
	for _, part := range parts {
		for len(part) > 0 {
			consumed := min(len(part), (blockTokens-filled)*bytesPerToken)
			tokens := (consumed + bytesPerToken - 1) / bytesPerToken
			_, _ = digest.WriteString(part[:consumed])
			_, _ = digest.Write(make([]byte, tokens*bytesPerToken-consumed))
			part = part[consumed:]
			filled += tokens
			if filled == blockTokens {
				previous = enginemodel.ChainHash(previous, digest.Sum64())
				hashes = append(hashes, previous)
				digest.Reset()
				filled = 0
			}
		}
	}
	return hashes
}
