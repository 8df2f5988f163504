package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const callsPath = "/v1/programs/p1/calls"

var _ = Describe("Bad input", func() {
	var scheduler *fakeScheduler
	var caller *caller

	BeforeEach(func() {
		scheduler = startScheduler(hello)
		caller = startGateway(testConfig(), httpserver.Limits{RequestTimeout: 100 * time.Millisecond}, scheduler.address())
	})

	AfterEach(func() { Expect(scheduler.requests()).To(BeEmpty()) })

	longMessage := strings.Repeat("x", 70<<10)
	manyMessages := strings.Repeat(`,{"role":"user","content":"x"}`, 8)

	DescribeTable("is rejected with the specific code before reaching a scheduler",
		func(method, path, body string, code resultcode.Code, headers ...string) {
			reply := caller.send(method, path, body, headers...)
			Expect(reply.code()).To(Equal(code), reply.body)
			Expect(reply.status).To(Equal(resultcode.Lookup(code).Status))
		},
		Entry("wrong key", "POST", chatPath, chat(""), resultcode.BadKey, "Authorization", "Bearer nobody"),
		Entry("key without scheme", "POST", chatPath, chat(""), resultcode.BadKey, "Authorization", "meter-key"),
		Entry("unknown path", "POST", "/v1/embeddings", "{}", resultcode.UnknownRoute),
		Entry("wrong method", "DELETE", "/v1/programs/p1", "", resultcode.UnknownRoute),
		Entry("invalid JSON", "POST", chatPath, "{", resultcode.BadRequest),
		Entry("two JSON values", "POST", chatPath, chat("")+"{}", resultcode.BadRequest),
		Entry("wrong type", "POST", chatPath, `{"model":5}`, resultcode.BadRequest),
		Entry("no messages", "POST", chatPath, `{"model":"agent","messages":[]}`, resultcode.BadRequest),
		Entry("too many messages", "POST", chatPath,
			`{"model":"agent","messages":[{"role":"user","content":"x"}`+manyMessages+`]}`, resultcode.BadRequest),
		Entry("unknown role", "POST", chatPath, `{"model":"agent","messages":[{"role":"king","content":"x"}]}`, resultcode.BadRequest),
		Entry("image content", "POST", chatPath,
			`{"model":"agent","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, resultcode.BadRequest),
		Entry("two choices", "POST", chatPath, chat(`,"n":2`), resultcode.BadRequest),
		Entry("max_tokens of zero", "POST", chatPath, chat(`,"max_tokens":0`), resultcode.BadRequest),
		Entry("max_tokens above the limit", "POST", chatPath, chat(`,"max_tokens":99999999999`), resultcode.BadRequest),
		Entry("oversized body", "POST", chatPath, longMessage, resultcode.BodyTooLarge),
		Entry("unknown model", "POST", chatPath, strings.Replace(chat(""), "agent", "gpt", 1), resultcode.UnknownTarget),
		Entry("unknown adapter", "POST", chatPath, strings.Replace(chat(""), "agent", "agent:x", 1), resultcode.UnknownTarget),
		Entry("tool as model", "POST", chatPath, strings.Replace(chat(""), "agent", "meter", 1), resultcode.UnknownTarget),
		Entry("invalid character in program id", "POST", chatPath, chat(""), resultcode.UnknownProgram, headerProgram, "a/b"),
		Entry("invalid character in request id", "POST", chatPath, chat(""), resultcode.BadRequest, headerRequestID, "a b"),
		Entry("long request id", "POST", chatPath, chat(""), resultcode.BadRequest, headerRequestID, strings.Repeat("x", 129)),
		Entry("conflicting request ids", "POST", chatPath, chat(""), resultcode.BadRequest, headerRequestID, "a", headerIdempotencyKey, "b"),
		Entry("invalid repeatable header", "POST", chatPath, chat(""), resultcode.BadRequest, headerRepeatable, "yes"),
		Entry("deadline out of range", "POST", chatPath, chat(""), resultcode.BadRequest, headerDeadline, "4000000000"),
		Entry("misspelt field", "POST", callsPath, `{"kind":"tool","target":"meter","input":"x","repeatible":false}`, resultcode.BadRequest),
		Entry("unknown call kind", "POST", callsPath, `{"kind":"x"}`, resultcode.BadRequest),
		Entry("unknown tool", "POST", callsPath, `{"kind":"tool","target":"agent","input":"x"}`, resultcode.UnknownTarget),
		Entry("tool without input", "POST", callsPath, `{"kind":"tool","target":"meter"}`, resultcode.BadRequest),
		Entry("invalid resume position", "GET", callsPath+"/r1/stream?after=-1", "", resultcode.BadRequest),
		Entry("history limit out of range", "GET", "/v1/programs/p1/history?limit=9999", "", resultcode.BadRequest),
		Entry("missing program kind", "POST", "/v1/programs", "{}", resultcode.BadRequest),
	)

	It("closes the connection of an incomplete request and serves the next request", func() {
		connection, err := net.Dial("tcp", caller.address)
		Expect(err).NotTo(HaveOccurred())
		defer connection.Close()
		fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{\"mod", chatPath)
		Expect(connection.SetReadDeadline(time.Now().Add(testTimeout))).To(Succeed())
		_, err = bufio.NewReader(connection).ReadByte()
		Expect(err).To(HaveOccurred())
		Expect(caller.send("GET", "/v1/models", "").status).To(Equal(http.StatusOK))
	})

	It("responds identically for another tenant's program and an unknown program", func() {
		Expect(caller.send("GET", "/v1/programs/mine", "").status).To(Equal(http.StatusOK))
		caller.key = "court-key"
		foreign := caller.send("GET", "/v1/programs/mine", "")
		missing := caller.send("GET", "/v1/programs/none", "")
		impossible := caller.send("GET", "/v1/programs/a%20b", "")
		Expect(foreign.code()).To(Equal(resultcode.UnknownProgram))
		for _, other := range []callerReply{missing, impossible} {
			Expect(other.body).To(Equal(foreign.body))
			Expect(other.status).To(Equal(foreign.status))
		}
	})

	It("rejects every request without a current configuration", func() {
		gateway := New(testConfig(), Dependencies{Configuration: func() Configuration { return nil }})
		server, err := httpserver.Start("127.0.0.1:0", gateway.Handler(), httpserver.Limits{})
		Expect(err).NotTo(HaveOccurred())
		defer server.Shutdown(GinkgoT().Context())
		caller.address = server.Address()
		Expect(caller.send("POST", chatPath, chat("")).code()).To(Equal(resultcode.ConfigurationStale))
	})
})

var _ = Describe("A request id reused with a different body", func() {
	It("has a different digest, and the scheduler's rejection is returned", func() {
		var digests []string
		scheduler := startScheduler(func(request *schedulerv1.CallRequest, send eventSender) {
			digests = append(digests, string(request.Digest))
			if digests[0] != string(request.Digest) {
				send(failed(failure(resultcode.RequestIDReused, "used with another body")))
				return
			}
			hello(request, send)
		})
		caller := startGateway(testConfig(), httpserver.Limits{}, scheduler.address())
		first := caller.send("POST", chatPath, chat(""), headerRequestID, "r1")
		streamed := caller.send("POST", chatPath, chat(`,"stream":true`), headerRequestID, "r1")
		Expect(first.status).To(Equal(http.StatusOK))
		Expect(textOf(streamed.body)).To(Equal(helloText))
		for _, change := range []string{`,"max_tokens":3`, `,"messages":[{"role":"user","content":"ho"}]`} {
			other := caller.send("POST", chatPath, chat(change), headerRequestID, "r1")
			Expect(other.code()).To(Equal(resultcode.RequestIDReused))
			Expect(other.status).To(Equal(http.StatusConflict))
		}
	})
})
