package tool

import (
	"context"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/outside/httpadapter"
	"github.com/magpielug/magpielug/rehearsal/standin/fault"
)

var _ = Describe("Tool stand-in", func() {
	var (
		standIn *Tool
		call    func(context.Context, outside.ToolRequest) (string, error)
	)
	creditRequest := outside.ToolRequest{RequestID: "r#1", Program: "p", Service: "metering", Input: "credit [[delay=1ms]]"}

	BeforeEach(func() {
		standIn = New(Config{Service: "metering"})
		server := httptest.NewServer(standIn.Handler())
		pool, err := httpadapter.NewClient(httpadapter.Config{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			pool.Close()
			server.Close()
		})
		address := strings.TrimPrefix(server.URL, "http://")
		call = func(ctx context.Context, request outside.ToolRequest) (string, error) {
			return httpadapter.NewTool(pool).Call(ctx, address, request)
		}
	})

	It("returns its expected output and counts each run", func() {
		for range 2 {
			Expect(call(context.Background(), creditRequest)).To(Equal(ExpectedOutput("p", "r", "metering", creditRequest.Input)))
		}
		Expect(standIn.Runs()).To(Equal(map[string]int{"r#1": 2}))
	})

	It("counts a run whose response is dropped or hangs, and no rejected request", func() {
		Expect(standIn.Faults().Set(fault.Spec{Kind: fault.DropResponses, DurationMillis: 600_000})).To(Succeed())
		_, err := call(context.Background(), creditRequest)
		Expect(err).To(MatchError(outside.ErrOutcomeUnknown))
		Expect(standIn.Faults().Set(fault.Spec{Kind: fault.Clear})).To(Succeed())
		hangingRequest := outside.ToolRequest{RequestID: "hangs", Service: "metering", Input: "[[hang]]"}
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		_, err = call(ctx, hangingRequest)
		Expect(err).To(And(MatchError(outside.ErrOutcomeUnknown), MatchError(context.DeadlineExceeded)))
		_, err = call(context.Background(), outside.ToolRequest{RequestID: "x", Service: "portal"})
		Expect(err).To(MatchError(outside.ErrNotRun))
		Expect(standIn.Runs()).To(Equal(map[string]int{"r#1": 1, "hangs": 1}))
	})
})
