package httpadapter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/outside"
)

const (
	shortTimeout = 30 * time.Millisecond
	longTimeout  = 20 * time.Second
)

// readGeneration reads a stream as Generate does and returns the sequence numbers of its
// chunks.
func readGeneration(body []byte, resumeAfter uint64) ([]uint64, error) {
	var sequences []uint64
	stream := generationStream{
		events:       newEventReader(bytes.NewReader(body), defaultMaxLineBytes),
		nextSequence: resumeAfter + 1,
		receive: func(chunk outside.EngineChunk) error {
			sequences = append(sequences, chunk.Sequence)
			return nil
		},
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	return sequences, stream.read(ctx, cancel, longTimeout)
}

// serve runs a back end with the handler and returns its address.
func serve(handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func respond(status int, body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(status)
		_, _ = writer.Write([]byte(body))
	}
}

func newPool(config Config) *Client {
	pool, err := NewClient(config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(pool.Close)
	return pool
}

// serveThenHang sends partial, if it is not empty, and then nothing until the request is
// cancelled.
func serveThenHang(partial string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		// The server detects a disconnected client only after reading the request body.
		_, _ = bytes.NewBuffer(nil).ReadFrom(request.Body)
		if partial != "" {
			_, _ = writer.Write([]byte(partial))
			_ = http.NewResponseController(writer).Flush()
		}
		<-request.Context().Done()
	}
}

func generate(pool *Client, address string) error {
	request := outside.GenerateRequest{RequestID: "r"}
	return NewEngine(pool).Generate(context.Background(), address, request, func(outside.EngineChunk) error { return nil })
}

const firstChunk = "event: chunk\ndata: {\"sequence\":1,\"text\":\"a\",\"tokens\":1}\n\n"

var _ = Describe("Adapters", func() {
	DescribeTable("classify error and malformed responses",
		func(status int, body string, wanted, unwanted error) {
			address := serve(respond(status, body))
			pool := newPool(Config{})
			_, appended := NewLog(pool, address).Append(context.Background(), "s", nil)
			_, called := NewTool(pool).Call(context.Background(), address, outside.ToolRequest{})
			_, listed := NewMachines(pool, address).List(context.Background())
			for _, err := range []error{appended, called, listed, generate(pool, address)} {
				Expect(err).To(MatchError(wanted))
				Expect(err).NotTo(MatchError(unwanted))
				var failure *Failure
				Expect(errors.As(err, &failure)).To(BeTrue())
			}
		},
		Entry("rejected", 503, `{"code":"unavailable","not_run":true}`, outside.ErrNotRun, outside.ErrOutcomeUnknown),
		Entry("stale fence", 409, `{"code":"stale_fence","not_run":true}`, outside.ErrStaleFence, outside.ErrOutcomeUnknown),
		Entry("internal error", 500, `{"code":"internal"}`, outside.ErrOutcomeUnknown, outside.ErrNotRun),
		Entry("error without a body", 503, ``, outside.ErrOutcomeUnknown, outside.ErrNotRun),
		Entry("HTML error page", 502, `<html>`, outside.ErrMalformedResponse, outside.ErrNotRun),
		Entry("garbage", 200, "\x00\xff{\n", outside.ErrMalformedResponse, outside.ErrNotRun),
		Entry("wrong type", 200, "[]\n", outside.ErrMalformedResponse, outside.ErrNotRun),
		Entry("fields missing", 200, "{}\n", outside.ErrMalformedResponse, outside.ErrNotRun),
	)

	It("report not run when the connection is refused", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		_, err = NewLog(newPool(Config{}), address).Append(context.Background(), "s", nil)
		Expect(err).To(MatchError(outside.ErrNotRun))
		Expect(generate(newPool(Config{}), address)).To(MatchError(outside.ErrNotRun))
	})

	It("report not run when the context was cancelled before the request", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := NewLog(newPool(Config{}), "127.0.0.1:9").Append(ctx, "s", nil)
		Expect(err).To(MatchError(outside.ErrNotRun))
		Expect(err).To(MatchError(context.Canceled))
	})

	It("report an unknown outcome when the connection is closed before the response", func() {
		address := serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		_, err := NewLog(newPool(Config{}), address).Append(context.Background(), "s", nil)
		Expect(err).To(MatchError(outside.ErrOutcomeUnknown))
		Expect(generate(newPool(Config{}), address)).To(MatchError(outside.ErrOutcomeUnknown))
	})

	It("report an unknown outcome when a request or stream times out", func() {
		pool := newPool(Config{RequestTimeout: shortTimeout, ToolTimeout: shortTimeout, StreamIdleTimeout: shortTimeout})
		silent := serve(serveThenHang(""))
		_, err := NewLog(pool, silent).Append(context.Background(), "s", nil)
		Expect(err).To(MatchError(outside.ErrOutcomeUnknown))
		_, err = NewTool(pool).Call(context.Background(), silent, outside.ToolRequest{})
		Expect(err).To(MatchError(outside.ErrOutcomeUnknown))
		Expect(generate(pool, silent)).To(And(MatchError(errAcceptTimeout), MatchError(outside.ErrOutcomeUnknown)))
		Expect(generate(pool, serve(serveThenHang(firstChunk)))).To(And(MatchError(errStreamIdle), MatchError(outside.ErrOutcomeUnknown)))
	})

	It("do not count time in receive as idle time of the stream", func() {
		pool := newPool(Config{StreamIdleTimeout: shortTimeout})
		address := serve(respond(http.StatusOK, firstChunk+"event: chunk\ndata: {\"sequence\":2,\"finish\":\"stop\"}\n\n"))
		err := NewEngine(pool).Generate(context.Background(), address, outside.GenerateRequest{RequestID: "r"}, func(outside.EngineChunk) error {
			time.Sleep(2 * shortTimeout)
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
	})

	It("reject log records with a gap", func() {
		address := serve(respond(http.StatusOK, `{"records":[{"offset":3},{"offset":5}]}`))
		_, err := NewLog(newPool(Config{}), address).Read(context.Background(), "s", 3, 10)
		Expect(err).To(MatchError(outside.ErrMalformedResponse))
	})

	It("reject a response above the size limit", func() {
		address := serve(respond(http.StatusOK, `{"output":"`+strings.Repeat("x", 100)+`"}`))
		_, err := NewTool(newPool(Config{MaxResponseBytes: 64})).Call(context.Background(), address, outside.ToolRequest{})
		Expect(err).To(MatchError(outside.ErrMalformedResponse))
	})

	DescribeTable("check the order of chunks",
		func(resumeAfter uint64, chunks string, wanted []uint64, failure error) {
			body := ""
			for _, chunk := range strings.Fields(chunks) {
				body += fmt.Sprintf("event: chunk\ndata: {%s}\n\n", chunk)
			}
			sequences, err := readGeneration([]byte(body), resumeAfter)
			Expect(sequences).To(Equal(wanted))
			if failure == nil {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(err).To(MatchError(failure))
		},
		Entry("complete", uint64(0), `"sequence":1 "sequence":2,"finish":"stop"`, []uint64{1, 2}, nil),
		Entry("resumed", uint64(4), `"sequence":5,"finish":"stop"`, []uint64{5}, nil),
		Entry("finish repeated", uint64(5), `"sequence":5,"finish":"stop"`, []uint64{5}, nil),
		Entry("gap", uint64(0), `"sequence":1 "sequence":3`, []uint64{1}, outside.ErrMalformedResponse),
		Entry("finish after a gap", uint64(0), `"sequence":1 "sequence":3,"finish":"stop"`, []uint64{1}, outside.ErrMalformedResponse),
		Entry("duplicate", uint64(0), `"sequence":1 "sequence":1`, []uint64{1}, outside.ErrMalformedResponse),
		Entry("older finish after a chunk", uint64(0), `"sequence":1 "sequence":2 "sequence":1,"finish":"stop"`, []uint64{1, 2}, outside.ErrMalformedResponse),
		Entry("negative tokens", uint64(0), `"sequence":1,"tokens":-1`, nil, outside.ErrMalformedResponse),
		Entry("no finish", uint64(0), `"sequence":1`, []uint64{1}, outside.ErrOutcomeUnknown),
	)

	It("reject an invalid source address", func() {
		_, err := NewClient(Config{SourceAddress: "x"})
		Expect(err).To(HaveOccurred())
	})

	It("read the machine list again only when its entity tag changes", func() {
		tag, bodies := `W/"1"`, 0
		address := serve(func(writer http.ResponseWriter, request *http.Request) {
			writer.Header().Set("ETag", tag)
			if request.Header.Get("If-None-Match") == tag {
				writer.WriteHeader(http.StatusNotModified)
				return
			}
			bodies++
			_, _ = fmt.Fprintf(writer, `{"machines":[{"id":"m%d","role":"engine"}]}`, bodies)
		})
		list := NewMachines(newPool(Config{}), address)
		for range 2 {
			machines, err := list.List(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(machines).To(HaveExactElements(HaveField("ID", "m1")))
		}
		tag = `W/"2"`
		machines, err := list.List(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(machines).To(HaveExactElements(HaveField("ID", "m2")))
		Expect(bodies).To(Equal(2))
	})

	It("read the full machine list from a platform without entity tags, and reject an unsolicited 304", func() {
		statuses := []int{http.StatusOK, http.StatusOK, http.StatusNotModified}
		requests := 0
		address := serve(func(writer http.ResponseWriter, request *http.Request) {
			Expect(request.Header).NotTo(HaveKey("If-None-Match"))
			writer.WriteHeader(statuses[requests])
			requests++
			_, _ = fmt.Fprintf(writer, `{"machines":[{"id":"m%d","role":"engine"}]}`, requests)
		})
		list := NewMachines(newPool(Config{}), address)
		for _, id := range []string{"m1", "m2"} {
			Expect(list.List(context.Background())).To(HaveExactElements(HaveField("ID", id)))
		}
		_, err := list.List(context.Background())
		Expect(err).To(MatchError(outside.ErrOutcomeUnknown))
	})

	It("merge the changes of a load report, and read the full report after an invalid one or without sequence numbers", func() {
		responses := []struct {
			status int
			body   string
			after  string
		}{
			{200, `{"sequence":5,"program_blocks":{"a":1,"b":2}}`, ""},
			{200, `{"sequence":7,"since":5,"program_blocks":{"b":0,"c":3}}`, "5"},
			{200, `{"sequence":9,"since":6,"program_blocks":{}}`, "7"},
			{200, `{"sequence":9,"program_blocks":{"d":4}}`, ""},
			{200, `{"program_blocks":{"e":5}}`, "9"},
			{200, `{"program_blocks":{"e":6}}`, ""},
		}
		wanted := []map[string]int{{"a": 1, "b": 2}, {"a": 1, "c": 3}, nil, {"d": 4}, {"e": 5}, {"e": 6}}
		requests := 0
		address := serve(func(writer http.ResponseWriter, request *http.Request) {
			Expect(request.URL.Query().Get("after")).To(Equal(responses[requests].after))
			writer.WriteHeader(responses[requests].status)
			_, _ = writer.Write([]byte(responses[requests].body))
			requests++
		})
		engine := NewEngine(newPool(Config{}))
		for _, blocks := range wanted {
			report, err := engine.Report(context.Background(), address)
			if blocks == nil {
				Expect(err).To(MatchError(outside.ErrMalformedResponse))
				continue
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(report.ProgramBlocks).To(Equal(blocks))
		}
	})
})
