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

type sender = func(*schedulerv1.CallEvent)

// answering refuses every call with a code.
func answering(code resultcode.Code) func(*schedulerv1.CallRequest, sender) {
	return func(_ *schedulerv1.CallRequest, send sender) { send(failed(failure(code, "refused"))) }
}

// inTurn serves the first call by the first step, and so on; the last step
// serves all further ones.
func inTurn(steps ...func(*schedulerv1.CallRequest, sender)) func(*schedulerv1.CallRequest, sender) {
	var count atomic.Int64
	return func(request *schedulerv1.CallRequest, send sender) {
		step := min(int(count.Add(1)), len(steps))
		steps[step-1](request, send)
	}
}

func cutAfter(events ...*schedulerv1.CallEvent) func(*schedulerv1.CallRequest, sender) {
	return func(_ *schedulerv1.CallRequest, send sender) {
		for _, event := range events {
			send(event)
		}
		cut()
	}
}

// silentAfter keeps the connection open and sends nothing more.
func silentAfter(events ...*schedulerv1.CallEvent) func(*schedulerv1.CallRequest, sender) {
	return cutAfter(append(events, hang)...)
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
		follower := startScheduler(func(_ *schedulerv1.CallRequest, send sender) {
			refusal := failure(resultcode.NotLeader, "")
			refusal.LeaderAddress = leader.address()
			send(failed(refusal))
		})
		caller := serve(follower.address())
		for range 3 {
			Expect(textOf(caller.send("POST", chatPath, streamed).body)).To(Equal(helloText))
		}
		Expect(follower.requests()).To(HaveLen(1))
		Expect(leader.requests()).To(HaveLen(3))
	})

	It("passes over a candidate that can't be reached, as nothing ran there", func() {
		leader := startScheduler(hello)
		reply := serve(unusedAddress(), leader.address()).send("POST", chatPath, streamed, headerRepeatable, "false")
		Expect(textOf(reply.body)).To(Equal(helloText))
		Expect(leader.requests()[0].AttachOnly).To(BeFalse())
	})

	It("resumes at another leader, each chunk once", func() {
		second := startScheduler(hello)
		first := startScheduler(inTurn(cutAfter(accepted(), chunk(1, "Hel")), answering(resultcode.NotLeader)))
		reply := serve(first.address(), second.address()).send("POST", chatPath, streamed)
		Expect(textOf(reply.body)).To(Equal(helloText))
		Expect(second.requests()[0].ResumeAfter).To(Equal(uint64(1)))
		Expect(second.requests()[0].AttachOnly).To(BeTrue())
	})

	It("goes on through a leader that hands over in mid-call", func() {
		second := startScheduler(hello)
		first := startScheduler(func(_ *schedulerv1.CallRequest, send sender) {
			send(accepted())
			send(chunk(1, "Hel"))
			send(failed(failure(resultcode.Stopping, "")))
		})
		Expect(textOf(serve(first.address(), second.address()).send("POST", chatPath, streamed).body)).To(Equal(helloText))
	})

	It("notices a frozen leader and one that never answers", func() {
		second := startScheduler(inTurn(hello))
		first := startScheduler(inTurn(silentAfter(accepted(), chunk(1, "Hel")), silentAfter()))
		Expect(textOf(serve(first.address(), second.address()).send("POST", chatPath, streamed).body)).To(Equal(helloText))
	})

	It("waits on a leader whose call stays silent for long", func() {
		scheduler := startScheduler(inTurn(silentAfter(accepted()), silentAfter(accepted()), silentAfter(accepted()), hello))
		Expect(textOf(serve(scheduler.address()).send("POST", chatPath, streamed).body)).To(Equal(helloText))
		Expect(scheduler.requests()).To(HaveLen(4))
	})

	It("drops repeated chunks and attaches anew at a gap", func() {
		scheduler := startScheduler(inTurn(
			cutAfter(accepted(), chunk(1, "Hel"), chunk(1, "Hel"), chunk(3, `wörld"`)),
			func(_ *schedulerv1.CallRequest, send sender) {
				send(accepted())
				send(chunk(1, "Hel"))
				send(finished(3))
			},
			hello))
		Expect(textOf(serve(scheduler.address()).send("POST", chatPath, streamed).body)).To(Equal(helloText))
	})

	It("gives up on a leader that accepts and cuts for ever, without saying not run", func() {
		scheduler := startScheduler(cutAfter(accepted()))
		reply := serve(scheduler.address()).send("POST", chatPath, streamed)
		Expect(reply.code()).To(Equal(resultcode.OutcomeUnknown))
		Expect(len(scheduler.requests())).To(BeNumerically("<=", maxFruitlessStreams+1))
	})

	Describe("a call that must not run twice", func() {
		send := func(caller *caller) callerReply {
			return caller.send("POST", chatPath, chat(""), headerRepeatable, "false", headerRequestID, "r1")
		}

		It("is only attached to once it may have arrived", func() {
			scheduler := startScheduler(inTurn(cutAfter(), hello))
			Expect(send(serve(scheduler.address())).status).To(Equal(http.StatusOK))
			Expect(scheduler.requests()[1].AttachOnly).To(BeTrue())
		})

		DescribeTable("is answered as unknown where its outcome can't be learnt",
			func(steps ...func(*schedulerv1.CallRequest, sender)) {
				scheduler := startScheduler(inTurn(steps...))
				reply := send(serve(scheduler.address()))
				Expect(reply.code()).To(Equal(resultcode.OutcomeUnknown))
				running := slices.DeleteFunc(scheduler.requests(), func(request *schedulerv1.CallRequest) bool {
					return request.AttachOnly
				})
				Expect(running).To(HaveLen(1))
			},
			Entry("forgotten before it was accepted", cutAfter(), answering(resultcode.UnknownRequest)),
			Entry("forgotten after headers alone", cutAfter(headersOnly), answering(resultcode.UnknownRequest)),
			Entry("forgotten after a silence", silentAfter(), answering(resultcode.UnknownRequest)),
			Entry("forgotten with its program", cutAfter(), answering(resultcode.UnknownProgram)),
			Entry("forgotten after it was accepted", cutAfter(accepted()), answering(resultcode.UnknownRequest)),
			Entry("no leader afterwards", cutAfter(), answering(resultcode.NoLeader)),
		)

		It("is passed on where the connection or its handshake was never made", func() {
			scheduler := startScheduler(hello)
			hanging := unusedAddress()
			gateway := New(testConfig(), Dependencies{Router: routerTo(hanging, scheduler.address())})
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

		It("is answered as unknown after a reset connection", func() {
			scheduler := startScheduler(answering(resultcode.UnknownRequest))
			reply := send(serve(resettingAddress(), scheduler.address()))
			Expect(reply.code()).To(Equal(resultcode.OutcomeUnknown))
			Expect(scheduler.requests()[0].AttachOnly).To(BeTrue())
		})

		It("is refused as not run where no scheduler took it", func() {
			reply := send(serve(startScheduler(answering(resultcode.NotLeader)).address(), unusedAddress()))
			Expect(reply.code()).To(Equal(resultcode.NoLeader))
			Expect(reply.status).To(Equal(http.StatusServiceUnavailable))
			Expect(reply.header.Get("Retry-After")).To(Equal("1"))
		})
	})

	It("runs a repeatable call anew where its place was lost and nothing was shown", func() {
		scheduler := startScheduler(inTurn(cutAfter(accepted(), chunk(1, "other")), answering(resultcode.UnknownRequest), hello))
		reply := serve(scheduler.address()).send("POST", chatPath, chat(""))
		Expect(reply.body).To(ContainSubstring(`"content":"Hello \"wörld\""`))
		Expect(scheduler.requests()[2].AttachOnly).To(BeFalse())
		Expect(scheduler.requests()[2].ResumeAfter).To(BeZero())
	})

	It("never joins two runs of a call in one stream", func() {
		scheduler := startScheduler(inTurn(cutAfter(accepted(), chunk(1, "other")), answering(resultcode.UnknownRequest), hello))
		reply := serve(scheduler.address()).send("POST", chatPath, streamed)
		Expect(textOf(reply.body)).To(Equal("other"))
		Expect(reply.body).To(ContainSubstring(`"code":3001`))
	})

	DescribeTable("never says not run of a repeatable call that may have run",
		func(code resultcode.Code, told resultcode.Code) {
			scheduler := startScheduler(inTurn(cutAfter(headersOnly), answering(code)))
			Expect(serve(scheduler.address()).send("POST", chatPath, chat("")).code()).To(Equal(told))
		},
		Entry("refused for this request alone", resultcode.ConfigurationStale, resultcode.OutcomeUnknown),
		Entry("unknown program", resultcode.UnknownProgram, resultcode.OutcomeUnknown),
		Entry("refused for good", resultcode.Overloaded, resultcode.Overloaded),
	)

	It("is not misled by events that only show life", func() {
		scheduler := startScheduler(inTurn(cutAfter(&schedulerv1.CallEvent{}), answering(resultcode.UnknownRequest)))
		reply := serve(scheduler.address()).send("POST", chatPath, streamed, headerRepeatable, "false")
		Expect(reply.code()).To(Equal(resultcode.OutcomeUnknown))
	})

	It("keeps retries within their budget", func() {
		config := testConfig()
		config.RetryBurst = 1
		scheduler := startScheduler(answering(resultcode.NoLeader))
		caller := startGateway(config, httpserver.Limits{}, scheduler.address())
		const calls = 21
		for range calls {
			Expect(caller.send("POST", chatPath, chat("")).code()).To(Equal(resultcode.NoLeader))
		}
		// One token at first and a tenth for each call that the full bucket
		// had room for.
		Expect(len(scheduler.requests()) - calls).To(BeNumerically("<=", 3))
	})

	It("passes each chunk on exactly once whatever breaks", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			text := strings.Split("a b c d e f g h i j k l", " ")
			faults := rapid.SliceOfN(rapid.IntRange(0, 4), 0, 6).Draw(t, "faults")
			steps := []func(*schedulerv1.CallRequest, sender){}
			for index, fault := range faults {
				length := rapid.IntRange(0, len(text)).Draw(t, fmt.Sprint("length", index))
				steps = append(steps, faulty(fault, text, length))
			}
			whole := func(request *schedulerv1.CallRequest, send sender) { words(request, send, text...) }
			scheduler := newFakeScheduler(inTurn(append(steps, whole)...))
			defer scheduler.server.Close()
			gateway := New(testConfig(), Dependencies{Router: routerTo(scheduler.address())})
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

// faulty sends the answer's first words, then goes wrong in one of five ways.
// It never lies about a word's place or the answer's length.
func faulty(fault int, text []string, length int) func(*schedulerv1.CallRequest, sender) {
	return func(request *schedulerv1.CallRequest, send sender) {
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
		cut()
	}
}

// collector is a receiver that keeps the text.
type collector struct{ text []string }

func (collector *collector) chunk(chunk *schedulerv1.Chunk) error {
	collector.text = append(collector.text, chunk.Text)
	return nil
}

func (collector *collector) canRestart() bool { return false }
