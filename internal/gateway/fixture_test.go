package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const testTimeout = 20 * time.Second

// fakeScheduler serves requests with the functions set by a test.
type fakeScheduler struct {
	schedulerv1.Programs
	server   *httptest.Server
	onCall   func(request *schedulerv1.CallRequest, send func(*schedulerv1.CallEvent))
	onEnd    func(request *schedulerv1.EndProgramRequest) *schedulerv1.ProgramReply
	onCreate func(request *schedulerv1.CreateProgramRequest) *schedulerv1.ProgramReply

	mutex sync.Mutex
	calls []*schedulerv1.CallRequest
}

func newFakeScheduler(onCall func(*schedulerv1.CallRequest, func(*schedulerv1.CallEvent))) *fakeScheduler {
	scheduler := &fakeScheduler{onCall: onCall}
	mux := http.NewServeMux()
	mux.Handle(schedulerv1.ProgramsPathPrefix, schedulerv1.NewProgramsServer(scheduler))
	mux.HandleFunc(CallPath, scheduler.serveCall)
	scheduler.server = httptest.NewServer(mux)
	return scheduler
}

func startScheduler(onCall func(*schedulerv1.CallRequest, func(*schedulerv1.CallEvent))) *fakeScheduler {
	scheduler := newFakeScheduler(onCall)
	DeferCleanup(func() {
		scheduler.server.CloseClientConnections()
		scheduler.server.Close()
	})
	return scheduler
}

func (scheduler *fakeScheduler) address() string { return scheduler.server.Listener.Addr().String() }

func (scheduler *fakeScheduler) serveCall(writer http.ResponseWriter, httpRequest *http.Request) {
	content, _ := io.ReadAll(httpRequest.Body)
	request := &schedulerv1.CallRequest{}
	_ = proto.Unmarshal(content, request)
	scheduler.mutex.Lock()
	scheduler.calls = append(scheduler.calls, request)
	scheduler.mutex.Unlock()
	scheduler.onCall(request, func(event *schedulerv1.CallEvent) {
		if event != headersOnly && event != hangOpen {
			_, _ = protodelim.MarshalTo(writer, event)
		}
		writer.(http.Flusher).Flush()
		if event == hangOpen {
			<-httpRequest.Context().Done()
		}
	})
}

func (scheduler *fakeScheduler) requests() []*schedulerv1.CallRequest {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return append([]*schedulerv1.CallRequest{}, scheduler.calls...)
}

func (scheduler *fakeScheduler) CreateProgram(_ context.Context, request *schedulerv1.CreateProgramRequest) (*schedulerv1.ProgramReply, error) {
	return scheduler.onCreate(request), nil
}

func (scheduler *fakeScheduler) EndProgram(_ context.Context, request *schedulerv1.EndProgramRequest) (*schedulerv1.ProgramReply, error) {
	return scheduler.onEnd(request), nil
}

// GetProgram finds only program "mine" of tenant "metering".
func (scheduler *fakeScheduler) GetProgram(_ context.Context, request *schedulerv1.GetProgramRequest) (*schedulerv1.ProgramReply, error) {
	if request.ProgramId != "mine" || request.Caller.Tenant != "metering" {
		message := "program " + request.ProgramId + " is not of " + request.Caller.Tenant
		return &schedulerv1.ProgramReply{Error: failure(resultcode.UnknownProgram, message)}, nil
	}
	return &schedulerv1.ProgramReply{Program: &schedulerv1.Program{Id: "mine", State: "running"}}, nil
}

func (scheduler *fakeScheduler) ReadHistory(_ context.Context, request *schedulerv1.ReadHistoryRequest) (*schedulerv1.ReadHistoryReply, error) {
	turn := &schedulerv1.Turn{Number: request.FromTurn, Output: "hello", Kind: schedulerv1.CallKind_CALL_KIND_TOOL}
	return &schedulerv1.ReadHistoryReply{Turns: []*schedulerv1.Turn{turn}}, nil
}

func failure(code resultcode.Code, message string) *schedulerv1.Error {
	return &schedulerv1.Error{Code: uint32(code), Message: message}
}

func failed(failure *schedulerv1.Error) *schedulerv1.CallEvent {
	return &schedulerv1.CallEvent{Event: &schedulerv1.CallEvent_Failed{Failed: failure}}
}

func accepted() *schedulerv1.CallEvent {
	return &schedulerv1.CallEvent{Event: &schedulerv1.CallEvent_Accepted{Accepted: &schedulerv1.Accepted{Turn: 1}}}
}

func chunk(sequence uint64, text string) *schedulerv1.CallEvent {
	return &schedulerv1.CallEvent{Event: &schedulerv1.CallEvent_Chunk{
		Chunk: &schedulerv1.Chunk{Sequence: sequence, Text: text, Tokens: 1},
	}}
}

func finished(last uint64) *schedulerv1.CallEvent {
	usage := &schedulerv1.Usage{PromptTokens: 5, CachedTokens: 2, OutputTokens: uint32(last), CostMicros: 9}
	return &schedulerv1.CallEvent{Event: &schedulerv1.CallEvent_Finished{
		Finished: &schedulerv1.Finished{FinishReason: "stop", Usage: usage, LastSequence: last},
	}}
}

// sendWords sends the words as chunks, from the one after ResumeAfter.
func sendWords(request *schedulerv1.CallRequest, send func(*schedulerv1.CallEvent), words ...string) {
	send(accepted())
	for index, word := range words {
		if sequence := uint64(index + 1); sequence > request.ResumeAfter {
			send(chunk(sequence, word))
		}
	}
	send(finished(uint64(len(words))))
}

func hello(request *schedulerv1.CallRequest, send func(*schedulerv1.CallEvent)) {
	sendWords(request, send, "Hel", "lo \"", "wörld\"")
}

const helloText = `Hello "wörld"`

// Sent instead of an event, headersOnly flushes only the response headers, and
// hangOpen blocks until the gateway closes the connection.
var headersOnly, hangOpen = &schedulerv1.CallEvent{}, &schedulerv1.CallEvent{}

// abortConnection aborts the response and closes its connection.
func abortConnection() { panic(http.ErrAbortHandler) }

// machineList is a fixed machine list.
type machineList []outside.Machine

func (list machineList) List(context.Context) ([]outside.Machine, error) { return list, nil }

// listedOrder places every shard on the schedulers in list order.
type listedOrder struct{}

func (listedOrder) ShardOf(string) uint32 { return 0 }

func (listedOrder) Order(_ uint32, schedulers []outside.Machine) []string {
	var addresses []string
	for _, machine := range schedulers {
		addresses = append(addresses, machine.Address)
	}
	return addresses
}

func newTestRouter(addresses ...string) *ShardRouter {
	var list machineList
	for index, address := range addresses {
		machine := outside.Machine{ID: string(rune('a' + index)), Role: outside.RoleScheduler, Address: address}
		list = append(list, machine)
	}
	router := NewShardRouter(list, listedOrder{}, nil)
	_ = router.Refresh(context.Background())
	return router
}

// fixedConfiguration has the keys of two tenants, one model and one tool.
type fixedConfiguration struct{}

func (fixedConfiguration) TierByKey(key string) (Tier, bool) {
	tenants := map[string]string{"meter-key": "metering", "court-key": "court"}
	tenant, known := tenants[key]
	return Tier{Name: "gold", Tenant: tenant}, known
}

func (configuration fixedConfiguration) ServiceByName(name string) (Service, bool) {
	for _, service := range configuration.Services() {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

func (fixedConfiguration) Services() []Service {
	return []Service{
		{Name: "agent", Kind: ServiceModel, Adapters: []string{"minutes"}},
		{Name: "meter", Kind: ServiceTool},
	}
}

func testConfig() Config {
	return Config{
		MaxBodyBytes:    64 << 10,
		MaxMessages:     8,
		RouteBound:      time.Second,
		ReattachBound:   2 * time.Second,
		FirstEventBound: 200 * time.Millisecond,
		IdleBound:       200 * time.Millisecond,
		BackoffBase:     time.Millisecond,
		BackoffLimit:    10 * time.Millisecond,
	}
}

// caller is a client of a gateway that runs on the production HTTP server.
type caller struct{ address, key string }

func startGateway(config Config, limits httpserver.Limits, schedulers ...string) *caller {
	gateway := New(config, Dependencies{
		Configuration: func() Configuration { return fixedConfiguration{} },
		Router:        newTestRouter(schedulers...),
	})
	server, err := httpserver.Start("127.0.0.1:0", gateway.Handler(), limits)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	return &caller{address: server.Address(), key: "meter-key"}
}

// callerReply is a response received by a caller.
type callerReply struct {
	status int
	header http.Header
	body   string
}

func (caller *caller) send(method, path, body string, headers ...string) callerReply {
	request, err := http.NewRequest(method, "http://"+caller.address+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+caller.key)
	for index := 0; index < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	client := &http.Client{Timeout: testTimeout}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	content, _ := io.ReadAll(response.Body)
	return callerReply{status: response.StatusCode, header: response.Header, body: string(content)}
}

// code returns the result code of an error response.
func (reply callerReply) code() resultcode.Code {
	var body httpserver.ErrorBody
	Expect(json.Unmarshal([]byte(reply.body), &body)).To(Succeed(), reply.body)
	return body.Error.Code
}

// resettingAddress returns an address that accepts one connection, reads from
// it and resets it.
func resettingAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() {
		defer listener.Close()
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = connection.Read(make([]byte, 1<<10))
		_ = connection.(*net.TCPConn).SetLinger(0)
		_ = connection.Close()
	}()
	return listener.Addr().String()
}

// unusedAddress returns an address that refuses connections.
func unusedAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}
