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

// fakeQuotas answers with what it is given, and notes the orders.
type fakeQuotas struct {
	admission forward.Admission
	orders    []*forward.AdmissionRequest
	// holds lets each order wait until its caller is gone.
	holds bool
}

func (quotas *fakeQuotas) Admit(ctx context.Context, order *forward.AdmissionRequest) forward.Admission {
	quotas.orders = append(quotas.orders, order)
	if quotas.holds {
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
		sender = &fakeSender{replies: []func() (*forward.EngineResponse, error){answerOf(http.StatusOK, strings.NewReader("id: 1\ndata: x\n\n"))}}
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
		rank := 2
		configuration.Tenants = tenant.NewDirectory([]tenant.TenantKeys{
			{Tenant: tenant.Tenant{Name: "bounded", Priority: &rank, Limit: tenant.Limit{PerSecond: 5}}, Keys: []string{"key-1"}},
			{Tenant: tenant.Tenant{Name: "free"}, Keys: []string{"key-2"}},
		})
		routes := &routing.ActiveConfiguration{}
		routes.Apply(configuration)
		service = &forward.Service{Routes: routes, Engines: directory, Sender: sender, WaitQueue: backend.NewWaitQueue(), Programs: programs,
			Quotas: quotas, Meter: &fakeMeter{}, Logger: zap.New(core), Nodes: func() int { return 1 }, ViewAge: func() time.Duration { return 0 }}
	})

	serve := func(path, key, previous string) *fakeAnswer {
		answer := &fakeAnswer{}
		call := &forward.Call{ID: "r", Method: "POST", Host: "h", Target: path, Path: path, Received: time.Now(), Key: key,
			Header:   http.Header{"Authorization": {"Token " + key}},
			Deadline: time.Now().Add(2 * time.Second), Program: "p", Turn: &forward.TurnRequest{Budget: 1000, MaxTokens: 100, Previous: previous}}
		service.Serve(context.Background(), call, answer)
		return answer
	}
	failureOf := func(answer *fakeAnswer) *resultcode.Error {
		var failure *resultcode.Error
		Expect(errors.As(answer.failure, &failure)).To(BeTrue())
		return failure
	}

	It("go on with their tenant's name and rank, and without the key", func() {
		Expect(serve("/stream/x", "key-1", "").failure).NotTo(HaveOccurred())
		Expect(sender.sent[0].Call.Tenant).To(Equal("bounded"))
		Expect(sender.sent[0].Priority).To(Equal(2))
		Expect(sender.sent[0].Call.Header).NotTo(HaveKey("Authorization"))
		Expect(serve("/stream/x", "key-2", "").failure).NotTo(HaveOccurred())
		Expect(sender.sent[1].Priority).To(Equal(4))
	})

	It("are refused with a key that nobody holds, of which the log shows a digest", func() {
		Expect(failureOf(serve("/tool/x", "secret", "")).Code).To(Equal(resultcode.BadKey))
		Expect(sender.sent).To(BeEmpty())
		failed := logs.FilterMessage("call failed").All()
		Expect(failed).To(HaveLen(1))
		Expect(failed[0].ContextMap()).To(HaveKeyWithValue("key_digest", tenant.KeyFingerprint("secret")))
		for _, value := range failed[0].ContextMap() {
			Expect(fmt.Sprint(value)).NotTo(ContainSubstring("secret"))
		}
	})

	It("are served without a key where the route is open, and by nobody's name", func() {
		Expect(serve("/open/x", "", "").failure).NotTo(HaveOccurred())
		Expect(sender.sent[0].Call.Tenant).To(BeEmpty())
		Expect(quotas.orders).To(BeEmpty())
	})

	It("keep their key where nobody holds any: then it is the engine's matter", func() {
		service.Routes = &routing.ActiveConfiguration{}
		service.Routes.Apply(routing.New(8, []*routing.Route{{Host: "h", Prefix: "/tool/", Shares: []routing.Share{{Service: "s", Weight: 1}}}}, nil, routing.Limits{}))
		Expect(serve("/tool/x", "key", "").failure).NotTo(HaveOccurred())
		Expect(sender.sent[0].Call.Header).To(HaveKey("Authorization"))
	})

	It("ask for their limit, told apart by whether their program has begun for certain", func() {
		serve("/stream/x", "key-1", "")
		serve("/stream/x", "key-1", "before")
		serve("/tool/x", "key-1", "")
		serve("/tool/x", "key-2", "")
		Expect(quotas.orders).To(HaveLen(3))
		Expect(quotas.orders[0].Continues).To(BeFalse())
		Expect(quotas.orders[1].Continues).To(BeTrue())
		Expect(quotas.orders[2].Continues).To(BeTrue())
		Expect(quotas.orders[0].Configuration).To(Equal(int64(7)))
	})

	It("run nothing and reserve nothing over their limit, and are told when there is room", func() {
		quotas.admission = forward.Admission{Verdict: forward.OverLimit, RetryAfter: 700 * time.Millisecond}
		failure := failureOf(serve("/stream/x", "key-1", ""))
		Expect(failure.Code).To(Equal(resultcode.QuotaExceeded))
		Expect(failure.RetryAfter).To(Equal(700 * time.Millisecond))
		Expect(sender.sent).To(BeEmpty())
		Expect(programs.reserves).To(BeZero(), "a reservation that is open when the program's owner stops counts as spent")
		Expect(programs.settled).To(BeEmpty())
	})

	It("are told to try another node where nobody who keeps the limit can be asked", func() {
		quotas.admission = forward.Admission{Verdict: forward.LimitUnavailable}
		failure := failureOf(serve("/tool/x", "key-1", ""))
		Expect(failure.Code).To(Equal(resultcode.QuotaUnknown))
		Expect(failure.RetryAfter).To(BeNumerically(">", 0))
		Expect(sender.sent).To(BeEmpty())
	})

	It("send nothing to an engine once their caller has left while they waited for room", func() {
		quotas.holds = true
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, leave)
		answer := &fakeAnswer{}
		service.Serve(ctx, &forward.Call{ID: "r", Method: "POST", Host: "h", Target: "/stream/x", Path: "/stream/x", Received: time.Now(), Key: "key-1",
			Header: http.Header{}, Deadline: time.Now().Add(2 * time.Second), Program: "p", Turn: &forward.TurnRequest{Budget: 1000, MaxTokens: 100}}, answer)
		Expect(sender.sent).To(BeEmpty())
		Expect(programs.reserves).To(BeZero())
		Expect(programs.settled).To(BeEmpty())
	})
})
