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
	// tokensPerCall and stepInterval shape a call as an engine would.
	tokensPerCall = 100
	stepInterval  = 3 * time.Millisecond
	maxMicros     = 10_000_000
)

// paced sends one token a step, each stamped with the time it was sent; with
// no interval it sends them at once.
func paced(interval time.Duration) func(*schedulerv1.CallRequest, sender) {
	return func(_ *schedulerv1.CallRequest, send sender) {
		send(accepted())
		for sequence := uint64(1); sequence <= tokensPerCall; sequence++ {
			time.Sleep(interval)
			send(chunk(sequence, "@"+strconv.FormatInt(time.Now().UnixNano(), 10)+"@"))
		}
		send(finished(tokensPerCall))
	}
}

// path is one way from a client to the fake scheduler.
type path struct {
	client *http.Client
	url    string
	body   []byte
	// scan reads one event or line.
	scan bufio.SplitFunc
}

// delays collects what calls at once measure.
type delays struct {
	mutex sync.Mutex
	// first is from a call's start to its first token, token from the
	// scheduler to the client.
	first, token *hdrhistogram.Histogram
}

func (delays *delays) note(histogram *hdrhistogram.Histogram, delay time.Duration) {
	delays.mutex.Lock()
	defer delays.mutex.Unlock()
	_ = histogram.RecordValue(delay.Microseconds())
}

// call makes one call and notes its delays.
func (path *path) call(delays *delays) error {
	started := time.Now()
	request, err := http.NewRequest(http.MethodPost, path.url, bytes.NewReader(path.body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer meter-key")
	response, err := path.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	scanner.Split(path.scan)
	tokens := 0
	for scanner.Scan() {
		if _, rest, found := strings.Cut(scanner.Text(), "@"); found {
			stamp, _, _ := strings.Cut(rest, "@")
			sent, _ := strconv.ParseInt(stamp, 10, 64)
			delays.note(delays.token, time.Duration(time.Now().UnixNano()-sent))
			if tokens++; tokens == 1 {
				delays.note(delays.first, time.Since(started))
			}
		}
	}
	if tokens != tokensPerCall {
		return fmt.Errorf("%d tokens of %d: %w", tokens, tokensPerCall, io.ErrUnexpectedEOF)
	}
	return scanner.Err()
}

// scanDelimited splits a scheduler's stream into its events.
func scanDelimited(data []byte, atEOF bool) (int, []byte, error) {
	reader := bytes.NewReader(data)
	event := &schedulerv1.CallEvent{}
	if err := protodelim.UnmarshalFrom(reader, event); err != nil {
		return 0, nil, nil
	}
	return len(data) - reader.Len(), []byte(event.GetChunk().GetText()), nil
}

// paths starts a fake scheduler, and a gateway before it.
func paths(b *testing.B, interval time.Duration) map[string]*path {
	scheduler := newFakeScheduler(paced(interval))
	b.Cleanup(scheduler.server.Close)
	gateway := New(Config{}, Dependencies{
		Configuration: func() Configuration { return fixedConfiguration{} },
		Router:        routerTo(scheduler.address()),
	})
	server, err := httpserver.Start("127.0.0.1:0", gateway.Handler(), httpserver.Limits{})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	b.Cleanup(client.CloseIdleConnections)
	direct, _ := proto.Marshal(&schedulerv1.CallRequest{ProgramId: "p1"})
	return map[string]*path{
		"direct":  {client, "http://" + scheduler.address() + CallPath, direct, scanDelimited},
		"gateway": {client, "http://" + server.Address() + chatPath, []byte(chat(`,"stream":true`)), bufio.ScanLines},
	}
}

// BenchmarkRelay streams calls of 100 tokens, so many at once, with and without
// a gateway between. At 3 ms a token the delays of tokens are reported; without
// a pause the time of one call and token under full load is.
func BenchmarkRelay(b *testing.B) {
	for _, interval := range []time.Duration{stepInterval, 0} {
		for name, path := range paths(b, interval) {
			for _, inFlight := range []int{1, 64, 512} {
				b.Run(fmt.Sprintf("step=%v/%s/%d", interval, name, inFlight), func(b *testing.B) {
					relayAtOnce(b, path, inFlight)
				})
			}
		}
	}
}

func relayAtOnce(b *testing.B, path *path, inFlight int) {
	delays := &delays{first: hdrhistogram.New(1, maxMicros, 3), token: hdrhistogram.New(1, maxMicros, 3)}
	var callers sync.WaitGroup
	for range inFlight {
		callers.Go(func() {
			for range b.N {
				if err := path.call(delays); err != nil {
					b.Error(err)
				}
			}
		})
	}
	callers.Wait()
	tokens := float64(b.N * inFlight * tokensPerCall)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/tokens, "ns/token")
	b.ReportMetric(float64(delays.first.ValueAtQuantile(50)), "first-p50-µs")
	b.ReportMetric(float64(delays.token.ValueAtQuantile(50)), "token-p50-µs")
	b.ReportMetric(float64(delays.token.ValueAtQuantile(99)), "token-p99-µs")
}
