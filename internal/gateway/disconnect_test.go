package gateway

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// open sends a request over a new connection and does not read the response.
func (caller *caller) open(path, body string, headers ...string) net.Conn {
	connection, err := net.Dial("tcp", caller.address)
	Expect(err).NotTo(HaveOccurred())
	Expect(connection.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
	DeferCleanup(func() { _ = connection.Close() })
	fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n", path, caller.key)
	for index := 0; index < len(headers); index += 2 {
		fmt.Fprintf(connection, "%s: %s\r\n", headers[index], headers[index+1])
	}
	fmt.Fprintf(connection, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return connection
}

var _ = Describe("A caller that disconnects", func() {
	var scheduler *fakeScheduler
	var caller *caller
	var stopped chan *schedulerv1.EndProgramRequest

	BeforeEach(func() {
		scheduler = startScheduler(hangAfter(accepted()))
		stopped = make(chan *schedulerv1.EndProgramRequest, 8)
		scheduler.onEnd = func(request *schedulerv1.EndProgramRequest) *schedulerv1.ProgramReply {
			stopped <- request
			return &schedulerv1.ProgramReply{}
		}
		caller = startGateway(testConfig(), httpserver.Limits{}, scheduler.address())
	})

	disconnect := func(headers ...string) {
		connection := caller.open(chatPath, chat(""), headers...)
		Eventually(scheduler.requests).WithTimeout(testTimeout).ShouldNot(BeEmpty())
		Expect(connection.Close()).To(Succeed())
	}

	It("cancels a call that can't be resumed", func() {
		disconnect()
		var request *schedulerv1.EndProgramRequest
		Eventually(stopped).WithTimeout(testTimeout).Should(Receive(&request))
		Expect(request.Stop).To(BeTrue())
		Expect(request.ProgramId).To(Equal(scheduler.requests()[0].ProgramId))
	})

	DescribeTable("does not cancel a call that can be resumed",
		func(headers ...string) {
			disconnect(headers...)
			disconnect()
			var request *schedulerv1.EndProgramRequest
			Eventually(stopped).WithTimeout(testTimeout).Should(Receive(&request))
			Expect(request.ProgramId).NotTo(Equal(scheduler.requests()[0].ProgramId))
			Consistently(stopped, "100ms").ShouldNot(Receive())
		},
		Entry("a program's call", headerProgram, "p1"),
		Entry("a call with a request id", headerRequestID, "r1"),
	)
})

var _ = Describe("A caller that stops reading", func() {
	It("is disconnected as a slow reader and can resume", func() {
		const count = 2000
		scheduler := startScheduler(func(request *schedulerv1.CallRequest, send eventSender) {
			send(accepted())
			for sequence := request.ResumeAfter + 1; sequence <= count; sequence++ {
				send(chunk(sequence, strings.Repeat("x", 4<<10)))
			}
			send(finished(count))
		})
		core, lines := observer.New(zap.InfoLevel)
		registry := prometheus.NewRegistry()
		gateway := New(testConfig(), Dependencies{
			Configuration: func() Configuration { return fixedConfiguration{} },
			Router:        newTestRouter(scheduler.address()),
			Logger:        zap.New(core),
			Metrics:       registry,
		})
		limits := httpserver.Limits{WriteBufferBytes: 64 << 10, WriteTimeout: 300 * time.Millisecond}
		server, err := httpserver.Start("127.0.0.1:0", gateway.Handler(), limits)
		Expect(err).NotTo(HaveOccurred())
		defer server.Shutdown(GinkgoT().Context())
		caller := &caller{address: server.Address(), key: "meter-key"}

		body := `{"kind":"model","target":"agent","messages":[{"role":"user","content":"hi"}],"stream":true}`
		caller.open(callsPath, body, headerRequestID, "r1")
		Eventually(lines.Len).WithTimeout(testTimeout).Should(Equal(1))
		fields := lines.All()[0].ContextMap()
		Expect(fields["code"]).To(Equal(uint32(resultcode.SlowReader)))
		Expect(fields["program"]).To(Equal("p1"))
		Expect(fields["request"]).To(Equal("r1"))
		Expect(fields["tenant"]).To(Equal("metering"))
		families, err := registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		Expect(fmt.Sprint(families)).To(ContainSubstring(`value:"SLOW_READER"`))

		resumed := caller.send("GET", fmt.Sprintf("%s/r1/stream?after=%d", callsPath, count-2), "")
		Expect(dataOf(resumed.body)).To(HaveLen(3))
	})
})
