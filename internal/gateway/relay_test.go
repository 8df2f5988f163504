package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"pgregory.net/rapid"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

type eventSender = func(*schedulerv1.CallEvent)

// rejectWith rejects every call with code.
func rejectWith(code resultcode.Code) func(*schedulerv1.CallRequest, eventSender) {
	return func(_ *schedulerv1.CallRequest, send eventSender) { send(failed(failure(code, "refused"))) }
}

// inSequence serves the nth call with the nth step and any further calls with
// the last one.
func inSequence(steps ...func(*schedulerv1.CallRequest, eventSender)) func(*schedulerv1.CallRequest, eventSender) {
	var count atomic.Int64
	return func(request *schedulerv1.CallRequest, send eventSender) {
		step := min(int(count.Add(1)), len(steps))
		steps[step-1](request, send)
	}
}

func abortAfter(events ...*schedulerv1.CallEvent) func(*schedulerv1.CallRequest, eventSender) {
	return func(_ *schedulerv1.CallRequest, send eventSender) {
		for _, event := range events {
			send(event)
		}
		abortConnection()
	}
}

// hangAfter sends events and then keeps the connection open without sending.
func hangAfter(events ...*schedulerv1.CallEvent) func(*schedulerv1.CallRequest, eventSender) {
	return abortAfter(append(events, hangOpen)...)
}

var _ = Describe("Relay", func() {
	streamed := chat(`,"stream":true`)
	var serve func(schedulers ...string) *caller
	BeforeEach(func() {
		serve = func(schedulers ...string) *caller {
			return startGateway(testConfig(), httpserver.Limits{}, schedulers...)
		}
	})

	It("follows a leader hint and remembers the leader", func() {
		leader := startScheduler(hello)
		follower := startScheduler(func(_ *schedulerv1.CallRequest, send eventSender) {
			rejection := failure(resultcode.NotLeader, "")
			rejection.LeaderAddress = leader.address()
			send(failed(rejection))
		})
		caller := serve(follower.address())
		for range 3 {
			Expect(textOf(caller.send("POST", chatPath, streamed).body)).To(Equal(helloText))
		}
		Expect(follower.requests()).To(HaveLen(1))
		Expect(leader.requests()).To(HaveLen(3))
	})

	It("skips an unreachable candidate, where the call can't have run", func() {
		leader := startScheduler(hello)
		reply := serve(unusedAddress(), leader.address()).send("POST", chatPath, streamed, headerRepeatable, "false")
		Expect(textOf(reply.body)).To(Equal(helloText))
		Expect(leader.requests()[0].AttachOnly).To(BeFalse())
	})

	It("resumes at a new leader without repeating chunks", func() {
		second := startScheduler(hello)
		first := startScheduler(inSequence(abortAfter(accepted(), chunk(1, "Hel")), rejectWith(resultcode.NotLeader)))
		reply := serve(first.address(), second.address()).send("POST", chatPath, streamed)
		Expect(textOf(reply.body)).To(Equal(helloText))
		Expect(second.requests()[0].ResumeAfter).To(Equal(uint64(1)))
		Expect(second.requests()[0].AttachOnly).To(BeTrue())
	})

	It("continues a call across a leadership handover", func() {
		second := startScheduler(hello)
		first := startScheduler(func(_ *schedulerv1.CallRequest, send eventSender) {
			send(accepted())
			send(chunk(1, "Hel"))
			send(failed(failure(resultcode.Stopping, "")))
		})
		Expect(textOf(serve(first.address(), second.address()).send("POST", chatPath, streamed).body)).To(Equal(helloText))
	})

	It("fails over from a frozen leader and from one that never responds", func() {
		second := startScheduler(inSequence(hello))
		first := startScheduler(inSequence(hangAfter(accepted(), chunk(1, "Hel")), hangAfter()))
		Expect(textOf(serve(first.address(), second.address()).send("POST", chatPath, streamed).body)).To(Equal(helloText))
	})

	It("keeps waiting for a leader whose call produces no events for a long time", func() {
		scheduler := startScheduler(inSequence(hangAfter(accepted()), hangAfter(accepted()), hangAfter(accepted()), hello))
		Expect(textOf(serve(scheduler.address()).send("POST", chatPath, streamed).body)).To(Equal(helloText))
		Expect(scheduler.requests()).To(HaveLen(4))
	})

	It("drops duplicate chunks and reattaches after a gap", func() {
		scheduler := startScheduler(inSequence(
			abortAfter(accepted(), chunk(1, "Hel"), chunk(1, "Hel"), chunk(3, `wörld"`)),
			func(_ *schedulerv1.CallRequest, send eventSender) {
				send(accepted())
				send(chunk(1, "Hel"))
				send(finished(3))
			},
			hello))
		Expect(textOf(serve(scheduler.address()).send("POST", chatPath, streamed).body)).To(Equal(helloText))
	})

	It("gives up with an unknown outcome on a leader that keeps accepting and disconnecting", func() {
		scheduler := startScheduler(abortAfter(accepted()))
		reply := serve(scheduler.address()).send("POST", chatPath, streamed)
		Expect(reply.code()).To(Equal(resultcode.OutcomeUnknown))
		Expect(len(scheduler.requests())).To(BeNumerically("<=", maxStreamsWithoutProgress+1))
	})

	Describe("a call that is not repeatable", func() {
		send := func(caller *caller) callerReply {
			return caller.send("POST", chatPath, chat(""), headerRepeatable, "false", headerRequestID, "r1")
		}

		It("is only attached to once it may have been delivered", func() {
			scheduler := startScheduler(inSequence(abortAfter(), hello))
			Expect(send(serve(scheduler.address())).status).To(Equal(http.StatusOK))
			Expect(scheduler.requests()[1].AttachOnly).To(BeTrue())
		})

		DescribeTable("has an unknown outcome if its result can't be determined",
			func(steps ...func(*schedulerv1.CallRequest, eventSender)) {
				scheduler := startScheduler(inSequence(steps...))
				reply := send(serve(scheduler.address()))
				Expect(reply.code()).To(Equal(resultcode.OutcomeUnknown))
				running := slices.DeleteFunc(scheduler.requests(), func(request *schedulerv1.CallRequest) bool {
					return request.AttachOnly
				})
				Expect(running).To(HaveLen(1))
			},
			Entry("unknown to the leader before it was accepted", abortAfter(), rejectWith(resultcode.UnknownRequest)),
			Entry("unknown to the leader after headers only", abortAfter(headersOnly), rejectWith(resultcode.UnknownRequest)),
			Entry("unknown to the leader after a timeout", hangAfter(), rejectWith(resultcode.UnknownRequest)),
			Entry("unknown to the leader with its program", abortAfter(), rejectWith(resultcode.UnknownProgram)),
			Entry("unknown to the leader after it was accepted", abortAfter(accepted()), rejectWith(resultcode.UnknownRequest)),
			Entry("no leader afterwards", abortAfter(), rejectWith(resultcode.NoLeader)),
		)

		It("is sent to another scheduler if the connection or handshake failed", func() {
			scheduler := startScheduler(hello)
			hanging := unusedAddress()
			gateway := New(testConfig(), Dependencies{Router: newTestRouter(hanging, scheduler.address())})
			transport := gateway.dependencies.Client.Transport.(*http.Transport)
			transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				if address == hanging {
					<-ctx.Done()
					return nil, errors.New("handshake failed")
				}
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
			received := &collector{}
			relay := &relay{client: gateway.schedulers, receiver: received, request: &schedulerv1.CallRequest{}}
			_, err := relay.run(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(strings.Join(received.text, "")).To(Equal(helloText))
			Expect(scheduler.requests()[0].AttachOnly).To(BeFalse())
		})

		It("has an unknown outcome after a connection reset", func() {
			scheduler := startScheduler(rejectWith(resultcode.UnknownRequest))
			reply := send(serve(resettingAddress(), scheduler.address()))
			Expect(reply.code()).To(Equal(resultcode.OutcomeUnknown))
			Expect(scheduler.requests()[0].AttachOnly).To(BeTrue())
		})

		It("is rejected as not run if no scheduler accepted it", func() {
			reply := send(serve(startScheduler(rejectWith(resultcode.NotLeader)).address(), unusedAddress()))
			Expect(reply.code()).To(Equal(resultcode.NoLeader))
			Expect(reply.status).To(Equal(http.StatusServiceUnavailable))
			Expect(reply.header.Get("Retry-After")).To(Equal("1"))
		})
	})

	It("reruns a repeatable call that the leader has no record of if no output was sent", func() {
		scheduler := startScheduler(inSequence(abortAfter(accepted(), chunk(1, "other")), rejectWith(resultcode.UnknownRequest), hello))
		reply := serve(scheduler.address()).send("POST", chatPath, chat(""))
		Expect(reply.body).To(ContainSubstring(`"content":"Hello \"wörld\""`))
		Expect(scheduler.requests()[2].AttachOnly).To(BeFalse())
		Expect(scheduler.requests()[2].ResumeAfter).To(BeZero())
	})

	It("never mixes the output of two runs in one stream", func() {
		scheduler := startScheduler(inSequence(abortAfter(accepted(), chunk(1, "other")), rejectWith(resultcode.UnknownRequest), hello))
		reply := serve(scheduler.address()).send("POST", chatPath, streamed)
		Expect(textOf(reply.body)).To(Equal("other"))
		Expect(reply.body).To(ContainSubstring(`"code":3001`))
	})

	DescribeTable("never reports a repeatable call that may have run as not run",
		func(code resultcode.Code, expected resultcode.Code) {
			scheduler := startScheduler(inSequence(abortAfter(headersOnly), rejectWith(code)))
			Expect(serve(scheduler.address()).send("POST", chatPath, chat("")).code()).To(Equal(expected))
		},
		Entry("uncommitted rejection", resultcode.ConfigurationStale, resultcode.OutcomeUnknown),
		Entry("unknown program", resultcode.UnknownProgram, resultcode.OutcomeUnknown),
		Entry("committed rejection", resultcode.Overloaded, resultcode.Overloaded),
	)

	It("does not treat a keepalive as acceptance", func() {
		scheduler := startScheduler(inSequence(abortAfter(&schedulerv1.CallEvent{}), rejectWith(resultcode.UnknownRequest)))
		reply := serve(scheduler.address()).send("POST", chatPath, streamed, headerRepeatable, "false")
		Expect(reply.code()).To(Equal(resultcode.OutcomeUnknown))
	})

	It("keeps retries within the retry budget", func() {
		config := testConfig()
		config.RetryBurst = 1
		scheduler := startScheduler(rejectWith(resultcode.NoLeader))
		caller := startGateway(config, httpserver.Limits{}, scheduler.address())
		const calls = 21
		for range calls {
			Expect(caller.send("POST", chatPath, chat("")).code()).To(Equal(resultcode.NoLeader))
		}
		// At most the burst of one token plus a tenth of a token per call.
		Expect(len(scheduler.requests()) - calls).To(BeNumerically("<=", 3))
	})

	It("forwards each chunk exactly once under random faults", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			text := strings.Split("a b c d e f g h i j k l", " ")
			faults := rapid.SliceOfN(rapid.IntRange(0, 4), 0, 6).Draw(t, "faults")
			steps := []func(*schedulerv1.CallRequest, eventSender){}
			for index, fault := range faults {
				length := rapid.IntRange(0, len(text)).Draw(t, fmt.Sprint("length", index))
				steps = append(steps, faultyStep(fault, text, length))
			}
			completeCall := func(request *schedulerv1.CallRequest, send eventSender) { sendWords(request, send, text...) }
			scheduler := newFakeScheduler(inSequence(append(steps, completeCall)...))
			defer scheduler.server.Close()
			gateway := New(testConfig(), Dependencies{Router: newTestRouter(scheduler.address())})
			received := &collector{}
			relay := &relay{client: gateway.schedulers, receiver: received, request: &schedulerv1.CallRequest{Repeatable: true}}
			if _, err := relay.run(context.Background()); err != nil {
				t.Fatalf("relay failed: %v", err)
			}
			if !slices.Equal(received.text, text) {
				t.Fatalf("received %v", received.text)
			}
		})
	})
})

// faultyStep sends the first length words and then fails: 1 repeats earlier
// words, 2 skips one, 3 finishes early, 4 returns an error, and all of them end
// by aborting the connection. Sequence numbers are always correct.
func faultyStep(fault int, text []string, length int) func(*schedulerv1.CallRequest, eventSender) {
	return func(request *schedulerv1.CallRequest, send eventSender) {
		send(accepted())
		for index, word := range text[:length] {
			if sequence := uint64(index + 1); sequence > request.ResumeAfter || fault == 1 {
				send(chunk(sequence, word))
			}
		}
		switch {
		case fault == 2 && length+2 <= len(text):
			send(chunk(uint64(length+2), text[length+1]))
		case fault == 3:
			send(finished(uint64(len(text))))
		case fault == 4:
			send(failed(failure(resultcode.NoLeader, "")))
		}
		abortConnection()
	}
}

// collector is a receiver that stores the text of each chunk.
type collector struct{ text []string }

func (collector *collector) chunk(chunk *schedulerv1.Chunk) error {
	collector.text = append(collector.text, chunk.Text)
	return nil
}

func (collector *collector) tryReset() bool { return false }
