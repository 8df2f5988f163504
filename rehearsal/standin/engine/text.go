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
	// tokenBytes is how many bytes of text make one token. The tokens of a
	// prompt's part begin anew, and its last one may be shorter.
	tokenBytes = 4
	// minOutputTokens is the shortest natural output, unless MaxTokens is less.
	minOutputTokens = 16
	// attemptSeparator begins the attempt's number in a request id.
	attemptSeparator = "#"
	// Reasons of a finish.
	finishStop      = "stop"
	finishLength    = "length"
	finishCancelled = "cancelled"
)

// lengthMarker in the last part of a prompt forces the output's length.
var lengthMarker = regexp.MustCompile(`\[\[tokens=([0-9]{1,6})\]\]`)

// Output is the whole answer that an engine gives to a request.
type Output struct {
	Text   string
	Tokens int
	// Finish is "stop", or "length" where MaxTokens cut the output.
	Finish string
}

// ExpectedOutput returns the answer that every stand-in engine gives to a
// request: a function of program, request id (without its attempt, see
// BaseRequestID) and the whole prompt.
func ExpectedOutput(program, requestID string, prompt []string, maxTokens int) Output {
	seed := outputSeed(program, requestID, prompt)
	tokens, finish := outputLength(seed, prompt, maxTokens)
	return Output{Text: outputText(seed, 0, tokens), Tokens: tokens, Finish: finish}
}

// BaseRequestID strips the attempt from a request id: "id#2" and "id" are
// attempts of one request and get the same output.
func BaseRequestID(requestID string) string {
	place := strings.LastIndex(requestID, attemptSeparator)
	if place < 0 {
		return requestID
	}
	return requestID[:place]
}

// outputSeed hashes the request; lengths keep the parts apart.
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

// outputLength is the marker's length, or one between minOutputTokens and
// maxTokens drawn from the seed.
func outputLength(seed uint64, prompt []string, maxTokens int) (tokens int, finish string) {
	natural := 0
	if len(prompt) > 0 {
		match := lengthMarker.FindStringSubmatch(prompt[len(prompt)-1])
		if match != nil {
			natural, _ = strconv.Atoi(match[1])
		}
	}
	if natural == 0 {
		least := min(minOutputTokens, maxTokens)
		natural = least + int(seed%uint64(maxTokens-least+1))
	}
	if natural > maxTokens {
		return maxTokens, finishLength
	}
	return natural, finishStop
}

// outputText returns the text of the tokens from first up to, not including,
// end. A token is three letters and a space.
func outputText(seed uint64, first, end int) string {
	text := make([]byte, 0, (end-first)*tokenBytes)
	for place := first; place < end; place++ {
		value := enginemodel.ChainHash(seed, uint64(place))
		for range tokenBytes - 1 {
			text = append(text, byte('a'+value%26))
			value /= 26
		}
		text = append(text, ' ')
	}
	return string(text)
}

// countTokens returns the tokens of a whole prompt.
func countTokens(prompt []string) int {
	tokens := 0
	for _, part := range prompt {
		tokens += (len(part) + tokenBytes - 1) / tokenBytes
	}
	return tokens
}

// blockHashes returns the chained hashes of the whole blocks of parts.
func blockHashes(parts []string, blockTokens int) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	previous, filled := uint64(0), 0
	for _, part := range parts {
		for len(part) > 0 {
			taken := min(len(part), (blockTokens-filled)*tokenBytes)
			tokens := (taken + tokenBytes - 1) / tokenBytes
			_, _ = digest.WriteString(part[:taken])
			_, _ = digest.Write(make([]byte, tokens*tokenBytes-taken))
			part = part[taken:]
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
