package speed

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/internal/outside/wire"
)

const (
	errorBodyBytes = 512
	// joinInterval: one in this many calls is also read directly from the engine.
	joinInterval = 4
	// joinBurstTokens is the number of tokens that are skipped after the backlog
	// sent on joining: they arrive in a burst.
	joinBurstTokens = 8
)

// callTimes are the token latencies of one call.
type callTimes struct {
	// firstToken is the time from the request to the first token; interToken are
	// the times between consecutive tokens.
	firstToken time.Duration
	interToken []time.Duration
	// forwardingDelays are the times from a token's arrival directly from the engine
	// to its arrival over the call's path.
	forwardingDelays []time.Duration
}

// arrivals are the arrival times of a call's tokens, in order.
type arrivals []time.Time

// probe makes calls over a path, and joins the generation of some of them at the
// engine to compare arrival times.
type probe struct {
	path   CallPath
	client *http.Client
	engine string
}

// measure makes one call and returns its token latencies.
func (probe probe) measure(ctx context.Context, number uint64, tokens int) (callTimes, error) {
	call, err := probe.path.prepare(ctx, number, tokens)
	if err != nil {
		return callTimes{}, err
	}
	if call.cleanup != nil {
		defer call.cleanup()
	}
	direct := make(chan arrivals, 1)
	onFirstToken := func() { direct <- nil }
	if call.generation != nil && probe.engine != "" && number%joinInterval == 0 {
		onFirstToken = func() { go func() { direct <- probe.joinGeneration(ctx, *call.generation, tokens) }() }
	}
	start := time.Now()
	arrived, err := streamTokens(probe.client, call.request, probe.path, tokens, onFirstToken)
	if err != nil {
		return callTimes{}, err
	}
	times := callTimesOf(arrived, start)
	times.forwardingDelays = arrived.delaysBehind(<-direct)
	return times, nil
}

// joinGeneration streams the call's generation directly from the engine. It returns
// nil if that fails.
func (probe probe) joinGeneration(ctx context.Context, generation wire.GenerateRequest, tokens int) arrivals {
	request, err := post(ctx, probe.engine+wire.PathGenerate, "", generation)
	if err != nil {
		return nil
	}
	arrived, err := streamTokens(probe.client, request, Direct(nil, "", ""), tokens, func() {})
	if err != nil {
		return nil
	}
	return arrived
}

// delaysBehind returns how much later each token arrived than directly from the
// engine, without those of the backlog and the burst after it. It returns nil if the
// two streams differ in length.
func (arrived arrivals) delaysBehind(direct arrivals) []time.Duration {
	if len(direct) != len(arrived) {
		return nil
	}
	first := 0
	for first < len(direct) && direct[first].Sub(direct[0]) < time.Millisecond {
		first++
	}
	var delays []time.Duration
	for index := first + joinBurstTokens; index < len(arrived); index++ {
		delays = append(delays, arrived[index].Sub(direct[index]))
	}
	return delays
}

func callTimesOf(arrived arrivals, start time.Time) callTimes {
	times := callTimes{firstToken: arrived[0].Sub(start)}
	for index := 1; index < len(arrived); index++ {
		times.interToken = append(times.interToken, arrived[index].Sub(arrived[index-1]))
	}
	return times
}

// streamTokens sends a request and returns the arrival times of its tokens. It calls
// onFirstToken when the first one arrives.
func streamTokens(client *http.Client, request *http.Request, path CallPath, tokens int, onFirstToken func()) (arrivals, error) {
	response, err := client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "send request")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(io.LimitReader(response.Body, errorBodyBytes))
		return nil, eris.Errorf("%s: %s", response.Status, message)
	}
	arrived := make(arrivals, 0, tokens)
	ended := false
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		ended = ended || bytes.Contains(lines.Bytes(), path.endMarker)
		if !bytes.Contains(lines.Bytes(), path.tokenMarker) {
			continue
		}
		arrived = append(arrived, time.Now())
		if len(arrived) == 1 {
			onFirstToken()
		}
	}
	if err := lines.Err(); err != nil {
		return nil, eris.Wrap(err, "read response")
	}
	if !ended || len(arrived) != tokens {
		return nil, eris.Errorf("%s: incomplete response: got %d of %d tokens, end marker seen: %t", path.Name, len(arrived), tokens, ended)
	}
	return arrived, nil
}
