package speed

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const errorBodyBytes = 512

// callTimes are the times of one call's tokens.
type callTimes struct {
	// first is from the request to the first token, gaps between one token and
	// the next.
	first time.Duration
	gaps  []time.Duration
}

// measure makes one call and takes the times of its tokens.
func (way Way) measure(ctx context.Context, client *http.Client, number uint64, tokens int) (callTimes, error) {
	request, done, err := way.begin(ctx, number, tokens)
	if err != nil {
		return callTimes{}, err
	}
	defer done()
	begun := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return callTimes{}, eris.Wrap(err, "send request")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		told, _ := io.ReadAll(io.LimitReader(response.Body, errorBodyBytes))
		return callTimes{}, eris.Errorf("%s: %s", response.Status, told)
	}
	return way.read(response.Body, begun, tokens)
}

// read takes the time of each line that carries a token.
func (way Way) read(body io.Reader, begun time.Time, tokens int) (callTimes, error) {
	times := callTimes{gaps: make([]time.Duration, 0, tokens)}
	lines := bufio.NewScanner(body)
	seen := 0
	ended := false
	last := begun
	for lines.Scan() {
		ended = ended || bytes.Contains(lines.Bytes(), way.end)
		if !bytes.Contains(lines.Bytes(), way.token) {
			continue
		}
		now := time.Now()
		if seen == 0 {
			times.first = now.Sub(begun)
		} else {
			times.gaps = append(times.gaps, now.Sub(last))
		}
		last = now
		seen++
	}
	if err := lines.Err(); err != nil {
		return times, eris.Wrap(err, "read answer")
	}
	if !ended || seen != tokens {
		return times, eris.Errorf("%s: the answer has %d of %d tokens, ended %t", way.Name, seen, tokens, ended)
	}
	return times, nil
}
