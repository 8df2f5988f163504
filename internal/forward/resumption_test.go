package forward_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
	"github.com/magpielug/magpielug/internal/streamversion"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

// localOrigins are the stream origins of a node that is alone.
type localOrigins struct{ *streamversion.Table }

func (local localOrigins) Began(record streamversion.Record) { local.Put(record, time.Now()) }

func (local localOrigins) Find(_ context.Context, key streamversion.Key, _ string) (streamversion.Origin, bool) {
	return local.Table.Find(key, time.Now())
}

var _ = Describe("A service with stream origins", func() {
	const (
		enginesPerVersion = 4
		attempts          = 20
	)
	var (
		sender    *fakeSender
		directory *backend.Directory
		service   *forward.Service
		shares    []routing.Share
	)

	applyRoutes := func(version int64) {
		route := &routing.Route{Name: "stream", Host: "h", Prefix: "/stream/", Kind: routing.Streaming, Resumable: true, Shares: shares}
		service.Routes.Apply(routing.New(version, []*routing.Route{route}, []routing.Service{{Name: "s", TokensPerEvent: 9}, {Name: "t", TokensPerEvent: 9}}, routing.Limits{}))
	}
	serve := func(id, firstAttempt string, resumes bool) error {
		response := &fakeResponseWriter{}
		call := &forward.Call{ID: id, Method: "POST", Host: "h", Target: "/stream/x", Path: "/stream/x", Received: time.Now(),
			Deadline: time.Now().Add(2 * time.Second), Resumes: resumes, FirstAttempt: firstAttempt, Turn: &forward.TurnRequest{Budget: forward.Unlimited}}
		service.Serve(context.Background(), call, response)
		return response.failure
	}
	lastEngine := func() backend.Instance { return sender.sent[len(sender.sent)-1].Engine }

	BeforeEach(func() {
		sender = &fakeSender{responses: []func() (*forward.EngineResponse, error){func() (*forward.EngineResponse, error) {
			return respondWith(200, strings.NewReader("id: 1\ndata: a\n\n"))()
		}}}
		directory = backend.NewDirectory()
		for _, version := range []string{"v1", "v2"} {
			for number := range enginesPerVersion {
				for _, name := range []string{"s", "t"} {
					id := name + version + string(rune('a'+number))
					directory.Upsert(backend.Instance{ID: id, Service: name, Address: id, Version: version}, time.Time{})
				}
			}
		}
		shares = []routing.Share{{Service: "s", Weight: 1}}
		service = &forward.Service{Routes: &routing.ActiveConfiguration{}, Engines: directory, Sender: sender, WaitQueue: backend.NewWaitQueue(),
			Programs: &fakePrograms{reservation: forward.Reservation{Verdict: nodev1.Verdict_VERDICT_GRANTED}}, Metrics: noopMetrics{},
			Logger: zap.NewNop(), Nodes: func() int { return 1 }, ViewAge: func() time.Duration { return 0 },
			StreamOrigins: localOrigins{streamversion.NewTable(time.Now())}}
		applyRoutes(1)
	})

	It("resumes a stream at engines of the version that began it, on every try", func() {
		Expect(serve("first", "", false)).To(Succeed())
		version := lastEngine().Version
		for range attempts {
			Expect(serve("again", "first", true)).To(Succeed())
			Expect(lastEngine().Version).To(Equal(version))
		}
	})

	It("resumes a stream at the service that began it if the route divides its requests", func() {
		shares = []routing.Share{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}}
		applyRoutes(2)
		Expect(serve("first", "", false)).To(Succeed())
		began := lastEngine()
		for range attempts {
			Expect(serve("again", "first", true)).To(Succeed())
			Expect(lastEngine().Service).To(Equal(began.Service))
			Expect(lastEngine().Version).To(Equal(began.Version))
		}
	})

	It("resumes no stream at another service than the one that began it", func() {
		Expect(serve("first", "", false)).To(Succeed())
		shares = []routing.Share{{Service: "t", Weight: 1}}
		applyRoutes(2)
		Expect(resultcode.CodeOf(serve("again", "first", true))).To(Equal(resultcode.StreamVersionLeft))
		Expect(sender.sent).To(HaveLen(1))
	})

	It("refuses to resume a stream of which it does not know the origin", func() {
		for _, firstAttempt := range []string{"other", ""} {
			Expect(resultcode.CodeOf(serve("again", firstAttempt, true))).To(Equal(resultcode.StreamOriginUnknown))
		}
		Expect(sender.sent).To(BeEmpty())
	})

	serveTurn := func(call forward.Call) error {
		response := &fakeResponseWriter{}
		call.ID, call.Method, call.Host, call.Target, call.Path = "r"+call.ID, "POST", "h", "/stream/x", "/stream/x"
		call.Received, call.Deadline = time.Now(), time.Now().Add(2*time.Second)
		call.Turn = &forward.TurnRequest{Budget: forward.Unlimited}
		service.Serve(context.Background(), &call, response)
		return response.failure
	}

	setServed := func(version string, served bool) {
		for number := range enginesPerVersion {
			id := "s" + version + string(rune('a'+number))
			if served {
				directory.Upsert(backend.Instance{ID: id, Service: "s", Address: id, Version: version}, time.Time{})
			} else {
				directory.Remove(id)
			}
		}
	}
	// beginAt serves a turn at a version while no engine of the other one is there.
	beginAt := func(turn forward.Call, version, other string) {
		setServed(other, false)
		Expect(serveTurn(turn)).To(Succeed())
		Expect(lastEngine().Version).To(Equal(version))
		setServed(other, true)
	}

	// Guards against broken streams that are refused wherever callers resume them without naming an attempt.
	DescribeTable("resumes a program's stream at its version if the caller names no attempt", func(version, other string) {
		for number := range attempts {
			turn := forward.Call{ID: fmt.Sprint(number), Program: "p", Session: fmt.Sprint("s", number), Body: []byte("in")}
			beginAt(turn, version, other)
			turn.ID, turn.Resumes = fmt.Sprint("again", number), true
			Expect(serveTurn(turn)).To(Succeed())
			Expect(lastEngine().Version).To(Equal(version))
		}
	}, Entry("v1", "v1", "v2"), Entry("v2", "v2", "v1"))

	It("refuses to resume a program's stream that began at two versions if the caller names no attempt", func() {
		turn := forward.Call{ID: "1", Program: "p", Session: "s", Body: []byte("in")}
		beginAt(turn, "v1", "v2")
		turn.ID = "2"
		beginAt(turn, "v2", "v1")
		sender.sent = nil
		turn.ID, turn.Resumes = "3", true
		Expect(resultcode.CodeOf(serveTurn(turn))).To(Equal(resultcode.StreamOriginUnknown))
		Expect(sender.sent).To(BeEmpty())
	})

	DescribeTable("refuses to resume another stream than one that began if the caller names no attempt", func(change func(call *forward.Call)) {
		turn := forward.Call{ID: "1", Program: "p", Session: "s", Tenant: "t", Body: []byte("in")}
		Expect(serveTurn(turn)).To(Succeed())
		turn.ID, turn.Resumes = "2", true
		change(&turn)
		Expect(resultcode.CodeOf(serveTurn(turn))).To(Equal(resultcode.StreamOriginUnknown))
	},
		Entry("of another program", func(call *forward.Call) { call.Program = "q" }),
		Entry("of another session", func(call *forward.Call) { call.Session = "s2" }),
		Entry("of another tenant", func(call *forward.Call) { call.Tenant = "u" }),
		Entry("with another input", func(call *forward.Call) { call.Body = []byte("other") }),
		Entry("outside a program", func(call *forward.Call) { call.Program = "" }),
	)

	It("refuses at once to resume a stream if no engine of its version is left", func() {
		Expect(serve("first", "", false)).To(Succeed())
		version := lastEngine().Version
		for number := range enginesPerVersion {
			directory.Remove("s" + version + string(rune('a'+number)))
		}
		began := time.Now()
		failure := serve("again", "first", true)
		Expect(resultcode.CodeOf(failure)).To(Equal(resultcode.StreamVersionLeft))
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		Expect(sender.sent).To(HaveLen(1))
	})

	It("resumes a stream at an engine of its version that has refused it, rather than at another version", func() {
		Expect(serve("first", "", false)).To(Succeed())
		version := lastEngine().Version
		respond := sender.responses[0]
		sender.responses = []func() (*forward.EngineResponse, error){refuse, refuse, respond}
		sender.sent = nil
		Expect(serve("again", "first", true)).To(Succeed())
		for _, attempt := range sender.sent {
			Expect(attempt.Engine.Version).To(Equal(version))
		}
	})
})
