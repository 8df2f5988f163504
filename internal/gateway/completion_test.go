package gateway

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const chatPath = "/v1/chat/completions"

func chat(extra string) string {
	return `{"model":"agent","messages":[{"role":"user","content":"hi"}]` + extra + `}`
}

// dataOf returns the data of each event in a stream.
func dataOf(stream string) []string {
	var data []string
	for _, line := range strings.Split(stream, "\n") {
		if content, found := strings.CutPrefix(line, "data: "); found {
			data = append(data, content)
		}
	}
	return data
}

// textOf concatenates the content deltas of an OpenAI stream.
func textOf(stream string) string {
	var text strings.Builder
	for _, data := range dataOf(stream) {
		var event struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(data), &event) == nil && len(event.Choices) > 0 {
			text.WriteString(event.Choices[0].Delta.Content)
		}
	}
	return text.String()
}

var _ = Describe("Chat completions", func() {
	var scheduler *fakeScheduler
	var caller *caller

	BeforeEach(func() {
		scheduler = startScheduler(hello)
		caller = startGateway(testConfig(), httpserver.Limits{}, scheduler.address())
	})

	It("forwards the call and responds in OpenAI's format", func() {
		reply := caller.send("POST", chatPath, chat(`,"max_completion_tokens":7,"unknown":1`), headerRequestID, "r1")
		Expect(reply.status).To(Equal(http.StatusOK), reply.body)
		var body completionBody
		Expect(json.Unmarshal([]byte(reply.body), &body)).To(Succeed())
		Expect(body.Object).To(Equal("chat.completion"))
		Expect(body.Choices[0].Message.Content).To(Equal(helloText))
		Expect(body.Choices[0].FinishReason).To(Equal("stop"))
		Expect(body.Usage.TotalTokens).To(Equal(uint32(8)))
		request := scheduler.requests()[0]
		Expect(request.SingleCall).To(BeTrue())
		Expect(request.Repeatable).To(BeTrue())
		Expect(request.MaxTokens).To(Equal(uint32(7)))
		Expect(request.RequestId).To(Equal("r1"))
		Expect(request.Caller.Tenant).To(Equal("metering"))
		Expect(request.ProgramId).To(Equal(derivedProgramID(purposeSingleCall, "metering", "r1")))
	})

	It("streams in OpenAI's format, with usage if requested", func() {
		reply := caller.send("POST", chatPath, chat(`,"stream":true,"stream_options":{"include_usage":true}`))
		Expect(reply.header.Get("Content-Type")).To(Equal("text/event-stream"))
		Expect(textOf(reply.body)).To(Equal(helloText))
		data := dataOf(reply.body)
		Expect(data).To(HaveLen(6))
		Expect(data[0]).To(ContainSubstring(`"role":"assistant"`))
		Expect(data[1]).To(ContainSubstring(`"sequence":2`))
		Expect(data[3]).To(ContainSubstring(`"finish_reason":"stop"`))
		Expect(data[4]).To(ContainSubstring(`"total_tokens":8`))
		Expect(data[5]).To(Equal("[DONE]"))
	})

	It("adds the call to the program in the header", func() {
		caller.send("POST", chatPath, chat(""), headerProgram, "p1", headerRepeatable, "false", headerIdempotencyKey, "k")
		request := scheduler.requests()[0]
		Expect(request.ProgramId).To(Equal("p1"))
		Expect(request.RequestId).To(Equal("k"))
		Expect(request.SingleCall).To(BeFalse())
		Expect(request.Repeatable).To(BeFalse())
	})

	It("responds to a call rejected after a wait with its status and Retry-After", func() {
		scheduler.onCall = func(_ *schedulerv1.CallRequest, send func(*schedulerv1.CallEvent)) {
			send(accepted())
			rejection := failure(resultcode.Overloaded, "busy")
			rejection.RetryAfterMs = 1200
			send(failed(rejection))
		}
		reply := caller.send("POST", chatPath, chat(`,"stream":true`))
		Expect(reply.status).To(Equal(http.StatusTooManyRequests))
		Expect(reply.header.Get("Retry-After")).To(Equal("2"))
		Expect(reply.code()).To(Equal(resultcode.Overloaded))
	})

	It("reports an error inside a stream that has begun", func() {
		scheduler.onCall = func(_ *schedulerv1.CallRequest, send func(*schedulerv1.CallEvent)) {
			send(accepted())
			send(chunk(1, "Hel"))
			send(failed(failure(resultcode.CallStopped, "stopped")))
		}
		data := dataOf(caller.send("POST", chatPath, chat(`,"stream":true`)).body)
		Expect(data).To(HaveLen(2))
		Expect(data[1]).To(ContainSubstring(`"code":3002`))
	})

	It("documents every route and header", func() {
		page, err := os.ReadFile("../../docs/INTERFACES-callers.md")
		Expect(err).NotTo(HaveOccurred())
		for _, route := range (&Gateway{}).routes() {
			Expect(string(page)).To(ContainSubstring("`" + route.pattern))
		}
		headers := []string{headerProgram, headerRequestID, headerIdempotencyKey, headerRepeatable, headerDeadline, headerLastEventID}
		for _, header := range headers {
			Expect(string(page)).To(ContainSubstring("`" + header))
		}
	})

	It("lists models with their adapters", func() {
		reply := caller.send("GET", "/v1/models", "")
		Expect(reply.body).To(ContainSubstring(`"id":"agent:minutes"`))
		Expect(reply.body).NotTo(ContainSubstring("meter"))
	})
})
