package forward_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// fakeQuotas returns the given admission and records the requests.
type fakeQuotas struct {
	admission forward.Admission
	requests  []*forward.AdmissionRequest
	// blocks makes each request wait until its caller cancels.
	blocks bool
}

func (quotas *fakeQuotas) Admit(ctx context.Context, request *forward.AdmissionRequest) forward.Admission {
	quotas.requests = append(quotas.requests, request)
	if quotas.blocks {
		<-ctx.Done()
	}
	return quotas.admission
}

var _ = Describe("Calls of tenants", func() {
	var sender *fakeSender
	var programs *fakePrograms
	var quotas *fakeQuotas
	var service *forward.Service
	var logs *observer.ObservedLogs

	BeforeEach(func() {
		core, observed := observer.New(zap.InfoLevel)
		logs = observed
		sender = &fakeSender{responses: []func() (*forward.EngineResponse, error){respondWith(http.StatusOK, strings.NewReader("id: 1\ndata: x\n\n"))}}
		programs = &fakePrograms{reservation: forward.Reservation{Verdict: nodev1.Verdict_VERDICT_GRANTED}}
		quotas = &fakeQuotas{admission: forward.Admission{Verdict: forward.Admitted}}
		directory := backend.NewDirectory()
		directory.Upsert(backend.Instance{ID: "e1", Service: "s", Address: "e1"}, time.Time{})
		share := []routing.Share{{Service: "s", Weight: 1}}
		configuration := routing.New(7, []*routing.Route{
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: routing.Streaming, Shares: share, Priority: 4},
			{Name: "tool", Host: "h", Prefix: "/tool/", Shares: share},
			{Name: "open", Host: "h", Prefix: "/open/", Shares: share, AllowsAnonymous: true},
		}, []routing.Service{{Name: "s", TokensPerEvent: 9}}, routing.Limits{})
		priority := 2
		configuration.Tenants = tenant.NewDirectory([]tenant.TenantKeys{
			{Tenant: tenant.Tenant{Name: "bounded", Priority: &priority, Limit: tenant.Limit{PerSecond: 5}}, Keys: []string{"key-1"}},
			{Tenant: tenant.Tenant{Name: "free"}, Keys: []string{"key-2"}},
		})
		routes := &routing.ActiveConfiguration{}
		routes.Apply(configuration)
		service = &forward.Service{Routes: routes, Engines: directory, Sender: sender, WaitQueue: backend.NewWaitQueue(), Programs: programs,
			Quotas: quotas, Metrics: &fakeMetrics{}, Logger: zap.New(core), Nodes: func() int { return 1 }, ViewAge: func() time.Duration { return 0 }}
	})

	serve := func(path, key, previous string) *fakeResponseWriter {
		response := &fakeResponseWriter{}
		call := &forward.Call{ID: "r", Method: "POST", Host: "h", Target: path, Path: path, Received: time.Now(), Key: key,
			Header:   http.Header{"Authorization": {"Token " + key}},
			Deadline: time.Now().Add(2 * time.Second), Program: "p", Turn: &forward.TurnRequest{Budget: 1000, MaxTokens: 100, Previous: previous}}
		service.Serve(context.Background(), call, response)
		return response
	}
	failureOf := func(response *fakeResponseWriter) *resultcode.Error {
		var failure *resultcode.Error
		Expect(errors.As(response.failure, &failure)).To(BeTrue())
		return failure
	}

	It("are sent with their tenant's name and priority, and without the key", func() {
		Expect(serve("/stream/x", "key-1", "").failure).NotTo(HaveOccurred())
		Expect(sender.sent[0].Call.Tenant).To(Equal("bounded"))
		Expect(sender.sent[0].Priority).To(Equal(2))
		Expect(sender.sent[0].Call.Header).NotTo(HaveKey("Authorization"))
		Expect(serve("/stream/x", "key-2", "").failure).NotTo(HaveOccurred())
		Expect(sender.sent[1].Priority).To(Equal(4))
	})

	It("are refused with an unknown key, of which only a digest is logged", func() {
		Expect(failureOf(serve("/tool/x", "secret", "")).Code).To(Equal(resultcode.BadKey))
		Expect(sender.sent).To(BeEmpty())
		failed := logs.FilterMessage("call failed").All()
		Expect(failed).To(HaveLen(1))
		Expect(failed[0].ContextMap()).To(HaveKeyWithValue("key_digest", tenant.KeyFingerprint("secret")))
		for _, value := range failed[0].ContextMap() {
			Expect(fmt.Sprint(value)).NotTo(ContainSubstring("secret"))
		}
	})

	It("are served without a key and tenant on routes that allow anonymous calls", func() {
		Expect(serve("/open/x", "", "").failure).NotTo(HaveOccurred())
		Expect(sender.sent[0].Call.Tenant).To(BeEmpty())
		Expect(quotas.requests).To(BeEmpty())
	})

	It("keep their authorization header if no tenants are configured", func() {
		service.Routes = &routing.ActiveConfiguration{}
		service.Routes.Apply(routing.New(8, []*routing.Route{{Host: "h", Prefix: "/tool/", Shares: []routing.Share{{Service: "s", Weight: 1}}}}, nil, routing.Limits{}))
		Expect(serve("/tool/x", "key", "").failure).NotTo(HaveOccurred())
		Expect(sender.sent[0].Call.Header).To(HaveKey("Authorization"))
	})

	It("request admission, and state whether their program is known to have started", func() {
		serve("/stream/x", "key-1", "")
		serve("/stream/x", "key-1", "before")
		serve("/tool/x", "key-1", "")
		serve("/tool/x", "key-2", "")
		Expect(quotas.requests).To(HaveLen(3))
		Expect(quotas.requests[0].Continues).To(BeFalse())
		Expect(quotas.requests[1].Continues).To(BeTrue())
		Expect(quotas.requests[2].Continues).To(BeTrue())
		Expect(quotas.requests[0].Configuration).To(Equal(int64(7)))
	})

	It("are not reserved or run over their limit, and get a retry delay", func() {
		quotas.admission = forward.Admission{Verdict: forward.OverLimit, RetryAfter: 700 * time.Millisecond}
		failure := failureOf(serve("/stream/x", "key-1", ""))
		Expect(failure.Code).To(Equal(resultcode.QuotaExceeded))
		Expect(failure.RetryAfter).To(Equal(700 * time.Millisecond))
		Expect(sender.sent).To(BeEmpty())
		Expect(programs.reserveCalls).To(BeZero(), "a reservation that is open when the program's owner fails counts as spent")
		Expect(programs.settled).To(BeEmpty())
	})

	It("get a retryable error if no coordinator of the limit can be reached", func() {
		quotas.admission = forward.Admission{Verdict: forward.LimitUnavailable}
		failure := failureOf(serve("/tool/x", "key-1", ""))
		Expect(failure.Code).To(Equal(resultcode.QuotaUnknown))
		Expect(failure.RetryAfter).To(BeNumerically(">", 0))
		Expect(sender.sent).To(BeEmpty())
	})

	It("are not sent to an engine if their caller cancels while they wait for admission", func() {
		quotas.blocks = true
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		response := &fakeResponseWriter{}
		service.Serve(ctx, &forward.Call{ID: "r", Method: "POST", Host: "h", Target: "/stream/x", Path: "/stream/x", Received: time.Now(), Key: "key-1",
			Header: http.Header{}, Deadline: time.Now().Add(2 * time.Second), Program: "p", Turn: &forward.TurnRequest{Budget: 1000, MaxTokens: 100}}, response)
		Expect(sender.sent).To(BeEmpty())
		Expect(programs.reserveCalls).To(BeZero())
		Expect(programs.settled).To(BeEmpty())
	})
})
