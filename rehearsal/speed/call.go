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
	// joinEvery calls, one is joined at the engine.
	joinEvery = 4
	// catchUp tokens after those that the engine had at the joining are passed
	// over: they come in a burst.
	catchUp = 8
)

// callTimes are the times of one call's tokens.
type callTimes struct {
	// first is from the request to the first token, gaps between one token and
	// the next.
	first time.Duration
	gaps  []time.Duration
	// delays are from a token's arrival straight from the engine to its arrival
	// by the call's way.
	delays []time.Duration
}

// arrivals are the times at which the tokens of a call came, in order.
type arrivals []time.Time

// probe makes calls by a way, and joins some of them at the engine.
type probe struct {
	way    Way
	client *http.Client
	engine string
}

// measure makes one call and takes the times of its tokens.
func (probe probe) measure(ctx context.Context, number uint64, tokens int) (callTimes, error) {
	made, err := probe.way.begin(ctx, number, tokens)
	if err != nil {
		return callTimes{}, err
	}
	if made.done != nil {
		defer made.done()
	}
	joined := make(chan arrivals, 1)
	started := func() { joined <- nil }
	if made.generation != nil && probe.engine != "" && number%joinEvery == 0 {
		started = func() { go func() { joined <- probe.join(ctx, *made.generation, tokens) }() }
	}
	begun := time.Now()
	came, err := exchange(probe.client, made.request, probe.way, tokens, started)
	if err != nil {
		return callTimes{}, err
	}
	times := timesOf(came, begun)
	times.delays = came.after(<-joined)
	return times, nil
}

// join follows the call's generation at the engine itself. It returns nil where
// that fails.
func (probe probe) join(ctx context.Context, generation wire.GenerateRequest, tokens int) arrivals {
	request, err := post(ctx, probe.engine+wire.PathGenerate, "", generation)
	if err != nil {
		return nil
	}
	came, err := exchange(probe.client, request, Direct(nil, "", ""), tokens, func() {})
	if err != nil {
		return nil
	}
	return came
}

// after returns how much later each token came than straight from the engine.
func (came arrivals) after(straight arrivals) []time.Duration {
	if len(straight) != len(came) {
		return nil
	}
	first := 0
	for first < len(straight) && straight[first].Sub(straight[0]) < time.Millisecond {
		first++
	}
	var delays []time.Duration
	for index := first + catchUp; index < len(came); index++ {
		delays = append(delays, came[index].Sub(straight[index]))
	}
	return delays
}

func timesOf(came arrivals, begun time.Time) callTimes {
	times := callTimes{first: came[0].Sub(begun)}
	for index := 1; index < len(came); index++ {
		times.gaps = append(times.gaps, came[index].Sub(came[index-1]))
	}
	return times
}

// exchange sends a request and notes when each token comes; started is called at
// the first.
func exchange(client *http.Client, request *http.Request, way Way, tokens int, started func()) (arrivals, error) {
	response, err := client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "send request")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		told, _ := io.ReadAll(io.LimitReader(response.Body, errorBodyBytes))
		return nil, eris.Errorf("%s: %s", response.Status, told)
	}
	came := make(arrivals, 0, tokens)
	ended := false
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		ended = ended || bytes.Contains(lines.Bytes(), way.end)
		if !bytes.Contains(lines.Bytes(), way.token) {
			continue
		}
		came = append(came, time.Now())
		if len(came) == 1 {
			started()
		}
	}
	if err := lines.Err(); err != nil {
		return nil, eris.Wrap(err, "read answer")
	}
	if !ended || len(came) != tokens {
		return nil, eris.Errorf("%s: the answer has %d of %d tokens, ended %t", way.Name, len(came), tokens, ended)
	}
	return came, nil
}
