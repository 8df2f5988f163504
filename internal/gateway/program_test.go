package gateway

import (
	"net/http"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Programs", func() {
	var scheduler *fakeScheduler
	var caller *caller
	var createdIDs []string
	var ended []*schedulerv1.EndProgramRequest

	BeforeEach(func() {
		createdIDs, ended = nil, nil
		scheduler = startScheduler(hello)
		scheduler.onCreate = func(request *schedulerv1.CreateProgramRequest) *schedulerv1.ProgramReply {
			createdIDs = append(createdIDs, request.ProgramId)
			program := &schedulerv1.Program{Id: request.ProgramId, Kind: request.Kind, ParentId: request.ParentId}
			return &schedulerv1.ProgramReply{Program: program}
		}
		scheduler.onEnd = func(request *schedulerv1.EndProgramRequest) *schedulerv1.ProgramReply {
			ended = append(ended, request)
			return &schedulerv1.ProgramReply{Program: &schedulerv1.Program{Id: request.ProgramId, State: "ended"}}
		}
		caller = startGateway(testConfig(), httpserver.Limits{}, unusedAddress(), scheduler.address())
	})

	It("are created once per tenant and request id", func() {
		body := `{"kind":"dispute","parent":"p0","cap_micros":5}`
		for range 2 {
			reply := caller.send("POST", "/v1/programs", body, headerRequestID, "r1")
			Expect(reply.status).To(Equal(http.StatusCreated))
			Expect(reply.body).To(ContainSubstring(`"parent":"p0"`))
		}
		caller.send("POST", "/v1/programs", body)
		caller.key = "court-key"
		caller.send("POST", "/v1/programs", body, headerRequestID, "r1")
		Expect(createdIDs).To(HaveLen(4))
		Expect(createdIDs[1]).To(Equal(createdIDs[0]))
		Expect(createdIDs[2]).NotTo(Equal(createdIDs[0]))
		Expect(createdIDs[3]).NotTo(Equal(createdIDs[0]))
	})

	It("are ended and stopped", func() {
		Expect(caller.send("POST", "/v1/programs/p1/end", "").body).To(ContainSubstring(`"state":"ended"`))
		caller.send("POST", "/v1/programs/p1/stop", "")
		Expect(ended).To(HaveLen(2))
		Expect(ended[0].Stop).To(BeFalse())
		Expect(ended[1].Stop).To(BeTrue())
	})

	It("return their history and the start of the next page", func() {
		reply := caller.send("GET", "/v1/programs/p1/history?from=4&limit=1", "")
		Expect(reply.body).To(ContainSubstring(`"number":4`))
		Expect(reply.body).To(ContainSubstring(`"kind":"tool"`))
		Expect(reply.body).To(ContainSubstring(`"next":5`))
	})

	It("call tools, which are not repeatable by default", func() {
		reply := caller.send("POST", callsPath, `{"kind":"tool","target":"meter","input":"read 7"}`, headerRequestID, "r1")
		Expect(reply.status).To(Equal(http.StatusOK))
		Expect(reply.body).To(ContainSubstring(`"output":"Hello \"wörld\""`))
		Expect(reply.body).To(ContainSubstring(`"cost_micros":9`))
		request := scheduler.requests()[0]
		Expect(request.Kind).To(Equal(schedulerv1.CallKind_CALL_KIND_TOOL))
		Expect(request.Messages[0].Content).To(Equal("read 7"))
		Expect(request.Repeatable).To(BeFalse())
	})

	It("call models with a stream of named events that can be resumed", func() {
		body := `{"kind":"model","target":"agent:minutes","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"stream":true}`
		stream := caller.send("POST", callsPath, body, headerRequestID, "r1")
		Expect(dataOf(stream.body)).To(HaveLen(4))
		Expect(stream.body).To(ContainSubstring("event: chunk\nid: 2\n"))
		Expect(scheduler.requests()[0].Adapter).To(Equal("minutes"))
		resumed := caller.send("GET", callsPath+"/r1/stream?after=2", "")
		Expect(dataOf(resumed.body)).To(Equal(dataOf(stream.body)[2:]))
		again := caller.send("GET", callsPath+"/r1/stream", "", headerLastEventID, "3")
		Expect(dataOf(again.body)).To(Equal(dataOf(stream.body)[3:]))
		Expect(scheduler.requests()[1].AttachOnly).To(BeTrue())
		Expect(caller.send("GET", callsPath+"/r1/stream?after=4", "").code()).To(Equal(resultcode.BadRequest))
	})

	It("report an unknown call as unknown rather than lost", func() {
		scheduler.onCall = inSequence(abortAfter(), rejectWith(resultcode.UnknownRequest))
		reply := caller.send("GET", callsPath+"/r9/stream", "")
		Expect(reply.code()).To(Equal(resultcode.UnknownRequest))
	})

	It("report an unknown outcome if the reply to their creation is lost", func() {
		scheduler.onCreate = func(*schedulerv1.CreateProgramRequest) *schedulerv1.ProgramReply { abortConnection(); return nil }
		reply := caller.send("POST", "/v1/programs", `{"kind":"dispute"}`, headerRequestID, "r1")
		Expect(reply.code()).To(Equal(resultcode.OutcomeUnknown))
		Expect(reply.header.Get("Retry-After")).NotTo(BeEmpty())
	})
})
