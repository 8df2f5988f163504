package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/httpserver"
)

const (
	// tokensPerCall and tokenInterval approximate an engine's output.
	tokensPerCall = 100
	tokenInterval = 3 * time.Millisecond
	maxMicros     = 10_000_000
)

// pacedCall sends one token per interval, each containing its send time. An
// interval of 0 sends them without delay.
func pacedCall(interval time.Duration) func(*schedulerv1.CallRequest, eventSender) {
	return func(_ *schedulerv1.CallRequest, send eventSender) {
		send(accepted())
		for sequence := uint64(1); sequence <= tokensPerCall; sequence++ {
			time.Sleep(interval)
			send(chunk(sequence, "@"+strconv.FormatInt(time.Now().UnixNano(), 10)+"@"))
		}
		send(finished(tokensPerCall))
	}
}

// benchmarkTarget is a server to call: the fake scheduler, or a gateway before it.
type benchmarkTarget struct {
	client *http.Client
	url    string
	body   []byte
	// scan splits the response into events or lines.
	scan bufio.SplitFunc
}

// latencies collects the latencies of concurrent calls.
type latencies struct {
	mutex sync.Mutex
	// first is the time from a call's start to its first token, token the
	// time from a token's send at the scheduler to its receipt.
	first, token *hdrhistogram.Histogram
}

func (latencies *latencies) record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	_ = histogram.RecordValue(latency.Microseconds())
}

// call makes one call and records its latencies.
func (target *benchmarkTarget) call(latencies *latencies) error {
	started := time.Now()
	request, err := http.NewRequest(http.MethodPost, target.url, bytes.NewReader(target.body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer meter-key")
	response, err := target.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	scanner.Split(target.scan)
	tokens := 0
	for scanner.Scan() {
		if _, rest, found := strings.Cut(scanner.Text(), "@"); found {
			stamp, _, _ := strings.Cut(rest, "@")
			sent, _ := strconv.ParseInt(stamp, 10, 64)
			latencies.record(latencies.token, time.Duration(time.Now().UnixNano()-sent))
			if tokens++; tokens == 1 {
				latencies.record(latencies.first, time.Since(started))
			}
		}
	}
	if tokens != tokensPerCall {
		return fmt.Errorf("%d tokens of %d: %w", tokens, tokensPerCall, io.ErrUnexpectedEOF)
	}
	return scanner.Err()
}

// scanDelimited is a split function for a scheduler's event stream.
func scanDelimited(data []byte, atEOF bool) (int, []byte, error) {
	reader := bytes.NewReader(data)
	event := &schedulerv1.CallEvent{}
	if err := protodelim.UnmarshalFrom(reader, event); err != nil {
		return 0, nil, nil
	}
	return len(data) - reader.Len(), []byte(event.GetChunk().GetText()), nil
}

// newBenchmarkTargets starts a fake scheduler and a gateway that routes to it.
func newBenchmarkTargets(b *testing.B, interval time.Duration) map[string]*benchmarkTarget {
	scheduler := newFakeScheduler(pacedCall(interval))
	b.Cleanup(scheduler.server.Close)
	gateway := New(Config{}, Dependencies{
		Configuration: func() Configuration { return fixedConfiguration{} },
		Router:        newTestRouter(scheduler.address()),
	})
	server, err := httpserver.Start("127.0.0.1:0", gateway.Handler(), httpserver.Limits{})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	b.Cleanup(client.CloseIdleConnections)
	direct, _ := proto.Marshal(&schedulerv1.CallRequest{ProgramId: "p1"})
	return map[string]*benchmarkTarget{
		"direct":  {client, "http://" + scheduler.address() + CallPath, direct, scanDelimited},
		"gateway": {client, "http://" + server.Address() + chatPath, []byte(chat(`,"stream":true`)), bufio.ScanLines},
	}
}

// BenchmarkRelay streams concurrent calls of 100 tokens with and without a
// gateway. A token interval of 3 ms measures latency; an interval of 0 measures
// throughput.
func BenchmarkRelay(b *testing.B) {
	for _, interval := range []time.Duration{tokenInterval, 0} {
		for name, target := range newBenchmarkTargets(b, interval) {
			for _, inFlight := range []int{1, 64, 512} {
				b.Run(fmt.Sprintf("step=%v/%s/%d", interval, name, inFlight), func(b *testing.B) {
					runConcurrentCalls(b, target, inFlight)
				})
			}
		}
	}
}

func runConcurrentCalls(b *testing.B, target *benchmarkTarget, inFlight int) {
	latencies := &latencies{first: hdrhistogram.New(1, maxMicros, 3), token: hdrhistogram.New(1, maxMicros, 3)}
	var callers sync.WaitGroup
	for range inFlight {
		callers.Go(func() {
			for range b.N {
				if err := target.call(latencies); err != nil {
					b.Error(err)
				}
			}
		})
	}
	callers.Wait()
	tokens := float64(b.N * inFlight * tokensPerCall)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/tokens, "ns/token")
	b.ReportMetric(float64(latencies.first.ValueAtQuantile(50)), "first-p50-µs")
	b.ReportMetric(float64(latencies.token.ValueAtQuantile(50)), "token-p50-µs")
	b.ReportMetric(float64(latencies.token.ValueAtQuantile(99)), "token-p99-µs")
}
