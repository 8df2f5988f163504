package egress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/httpclient"
	"github.com/magpielug/magpielug/internal/httpserver"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

const eventuallyTimeout = 20 * time.Second

// senderFunc adapts a function to forward.Sender.
type senderFunc func(ctx context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error)

func (send senderFunc) Send(ctx context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error) {
	return send(ctx, attempt)
}

// oneNode is a topology with one egress node.
type oneNode struct {
	node        Node
	self        bool
	engineCount int
}

func (topology oneNode) EgressNodes(backend.Instance) ([]Node, bool) {
	return []Node{topology.node}, topology.self
}

func (topology oneNode) EngineCount(backend.Instance) int { return topology.engineCount }

// oneEngine knows a single engine and counts its failed requests.
type oneEngine struct {
	id     string
	failed *atomic.Int64
}

func (oneEngine) FirstByteTimeout(string) time.Duration             { return 0 }
func (engines oneEngine) CountFailed(backend.Instance, time.Time)   { engines.failed.Add(1) }
func (engines oneEngine) UncountFailed(backend.Instance, time.Time) { engines.failed.Add(-1) }

func (engines oneEngine) Instance(id string) (backend.Instance, bool) {
	return backend.Instance{ID: id, Address: "10.0.0.9:80"}, id == engines.id
}

var _ = Describe("A turn delegated to an egress node", func() {
	var (
		// egressSend is how the egress node sends to the engine.
		egressSend senderFunc
		// directSends counts the turns that the requesting node sends itself.
		directSends atomic.Int64
		topology    oneNode
		sender      *Sender
		outcomes    []string
		stopping    atomic.Bool
		// failed counts requests that the engine failed.
		failed atomic.Int64
	)

	BeforeEach(func() {
		directSends.Store(0)
		stopping.Store(false)
		failed.Store(0)
		handler := &Handler{Engines: oneEngine{id: "engine-1", failed: &failed}, Logger: zap.NewNop(), Stopping: stopping.Load,
			Sender: senderFunc(func(ctx context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error) {
				return egressSend(ctx, attempt)
			})}
		server, err := httpserver.Start("127.0.0.1:0", handler, httpserver.Limits{DrainGrace: time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			bounded, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = server.Shutdown(bounded)
		})
		topology = oneNode{node: Node{Name: "egress-1", Address: server.Address()}, engineCount: 1000}
	})

	JustBeforeEach(func() {
		client, err := httpclient.New(httpclient.Options{DialTimeout: 250 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		direct := senderFunc(func(context.Context, *forward.Attempt) (*forward.EngineResponse, error) {
			directSends.Add(1)
			return &forward.EngineResponse{Status: http.StatusOK, Body: http.NoBody}, nil
		})
		outcomes = nil
		sender = NewSender(direct, topology, client, zap.NewNop(), func(outcome string) { outcomes = append(outcomes, outcome) })
	})

	newTurn := func() *forward.Attempt {
		return &forward.Attempt{
			Call: &forward.Call{ID: "turn-1", Method: http.MethodPost, Host: "h", Target: "/stream/?a=b",
				Header: http.Header{"Model": {"m"}, "Request-Id": {"turn-1"}}},
			Engine:    backend.Instance{ID: "engine-1", Service: "models", Zone: "a"},
			Body:      []byte("input"),
			Remaining: 3 * time.Second,
			Streaming: true,
			Priority:  2,
			// The egress node applies MaxSharedConnections, not MaxConnections.
			MaxConnections: 5, MaxSharedConnections: 40,
		}
	}

	It("reaches the engine unchanged, and its response is streamed back", func() {
		body, engine := io.Pipe()
		var sent *forward.Attempt
		egressSend = func(_ context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error) {
			sent = attempt
			return &forward.EngineResponse{Status: http.StatusOK, Header: http.Header{"Response-Stamp": {"s"}}, Body: body}, nil
		}
		chunks := []string{"data: 1\n\n", "data: 2\n\n"}
		go func() { _, _ = io.WriteString(engine, chunks[0]) }()
		response, err := sender.Send(context.Background(), newTurn())
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status).To(Equal(http.StatusOK))
		Expect(response.Header).To(Equal(http.Header{"Response-Stamp": {"s"}}))
		Expect(response.Via).To(Equal("egress-1"))
		Expect(sent.Call.ID).To(Equal("turn-1"))
		Expect(sent.Call.Method).To(Equal(http.MethodPost))
		Expect(sent.Call.Host).To(Equal("h"))
		Expect(sent.Call.Target).To(Equal("/stream/?a=b"))
		Expect(sent.Call.Header).To(Equal(newTurn().Call.Header))
		Expect(sent.Engine.Address).To(Equal("10.0.0.9:80"))
		Expect(string(sent.Body)).To(Equal("input"))
		Expect(sent.Remaining).To(Equal(3 * time.Second))
		Expect(sent.Streaming).To(BeTrue())
		Expect(sent.Priority).To(Equal(2))
		Expect(sent.MaxConnections).To(Equal(40))
		for index, chunk := range chunks {
			received := make([]byte, len(chunk))
			_, err = io.ReadFull(response.Body, received)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(received)).To(Equal(chunk))
			// Each chunk must arrive before the next one is written.
			if index+1 < len(chunks) {
				go func() { _, _ = io.WriteString(engine, chunks[index+1]) }()
			}
		}
		Expect(engine.Close()).To(Succeed())
		rest, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(rest).To(BeEmpty())
		Expect(response.Body.Close()).To(Succeed())
		Expect(directSends.Load()).To(BeZero())
		Expect(outcomes).To(Equal([]string{DelegationSucceeded}))
	})

	It("fails if the engine breaks its response off", func() {
		body, engine := io.Pipe()
		egressSend = func(context.Context, *forward.Attempt) (*forward.EngineResponse, error) {
			return &forward.EngineResponse{Status: http.StatusOK, Body: body}, nil
		}
		go func() {
			_, _ = io.WriteString(engine, "data: 1\n\n")
			_ = engine.CloseWithError(errors.New("reset"))
		}()
		response, err := sender.Send(context.Background(), newTurn())
		Expect(err).NotTo(HaveOccurred())
		received, err := io.ReadAll(response.Body)
		Expect(string(received)).To(Equal("data: 1\n\n"))
		Expect(err).To(HaveOccurred())
		Expect(failed.Load()).To(BeEquivalentTo(1), "counted by the egress node, which knows that the engine failed")
	})

	It("counts as failed while the engine stalls", func() {
		body, engine := io.Pipe()
		respond := make(chan struct{})
		egressSend = func(context.Context, *forward.Attempt) (*forward.EngineResponse, error) {
			<-respond
			return &forward.EngineResponse{Status: http.StatusOK, Body: body}, nil
		}
		attempt := newTurn()
		responses := make(chan *forward.EngineResponse, 1)
		go func() {
			defer GinkgoRecover()
			response, err := sender.Send(context.Background(), attempt)
			Expect(err).NotTo(HaveOccurred())
			responses <- response
		}()
		Eventually(attempt.Delegated.Load, eventuallyTimeout).Should(BeTrue())
		Eventually(failed.Load, eventuallyTimeout).Should(BeEquivalentTo(1))
		close(respond)
		Eventually(failed.Load, eventuallyTimeout).Should(BeZero())
		Eventually(failed.Load, eventuallyTimeout).Should(BeEquivalentTo(1), "stalled after the response head")
		go func() { _, _ = io.WriteString(engine, "data: 1\n\n") }()
		Eventually(failed.Load, eventuallyTimeout).Should(BeZero())
		Expect(engine.Close()).To(Succeed())
		var response *forward.EngineResponse
		Eventually(responses, eventuallyTimeout).Should(Receive(&response))
		_, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(failed.Load()).To(BeZero())
	})

	It("leaves it to the requesting node to count failures reported to it", func() {
		egressSend = func(context.Context, *forward.Attempt) (*forward.EngineResponse, error) {
			time.Sleep(2 * minStallTimeout)
			return nil, backend.ErrResponseLost
		}
		_, err := sender.Send(context.Background(), newTurn())
		Expect(err).To(MatchError(backend.ErrResponseLost))
		Expect(failed.Load()).To(BeZero())
	})

	// Guards against what an egress node of an earlier version passes on.
	DescribeTable("is lost if the engine's response is none, and is not sent again",
		func(status int, header http.Header) {
			egressSend = func(context.Context, *forward.Attempt) (*forward.EngineResponse, error) {
				return &forward.EngineResponse{Status: status, Header: header, NotRun: true, Body: http.NoBody}, nil
			}
			response, err := sender.Send(context.Background(), newTurn())
			Expect(response).To(BeNil())
			Expect(err).To(MatchError(backend.ErrResponseLost))
			Expect(directSends.Load()).To(BeZero())
			Expect(outcomes).To(Equal([]string{DelegationFailed}))
		},
		Entry("status 000", 0, http.Header{}),
		Entry("blank in a field's name", http.StatusOK, http.Header{"Response-Stamp": {"s"}, "X Odd": {"1"}}),
		Entry("blank behind a field's name", http.StatusServiceUnavailable, http.Header{"X-Odd ": {"1"}}),
		Entry("control byte in a field's name", http.StatusOK, http.Header{"X-\x01Odd": {"1"}}),
		Entry("line end in a field's name", http.StatusOK, http.Header{"X\r\nOdd": {"1"}}),
	)

	It("is canceled at the engine once its caller disconnects", func() {
		engineContexts := make(chan context.Context, 1)
		egressSend = func(ctx context.Context, _ *forward.Attempt) (*forward.EngineResponse, error) {
			engineContexts <- ctx
			<-ctx.Done()
			return nil, backend.ErrResponseLost
		}
		ctx, cancel := context.WithCancel(context.Background())
		errs := make(chan error, 1)
		go func() {
			_, err := sender.Send(ctx, newTurn())
			errs <- err
		}()
		var engineContext context.Context
		Eventually(engineContexts, eventuallyTimeout).Should(Receive(&engineContext))
		cancel()
		Eventually(engineContext.Done(), eventuallyTimeout).Should(BeClosed())
		Eventually(errs, eventuallyTimeout).Should(Receive(HaveOccurred()))
		Expect(directSends.Load()).To(BeZero())
	})

	DescribeTable("fails with the egress node's error",
		func(cause, expected error) {
			egressSend = func(context.Context, *forward.Attempt) (*forward.EngineResponse, error) { return nil, cause }
			_, err := sender.Send(context.Background(), newTurn())
			Expect(err).To(MatchError(expected))
			Expect(directSends.Load()).To(BeZero())
		},
		Entry("not sent", backend.ErrNotSent, backend.ErrNotSent),
		Entry("no free connection", backend.ErrTooManyConnections, backend.ErrTooManyConnections),
		Entry("lost", backend.ErrResponseLost, backend.ErrResponseLost),
	)

	It("is sent directly if the egress node does not know the engine", func() {
		other := newTurn()
		other.Engine.ID = "engine-2"
		_, err := sender.Send(context.Background(), other)
		Expect(err).NotTo(HaveOccurred())
		Expect(directSends.Load()).To(BeEquivalentTo(1))
	})

	It("is sent directly if the egress node is shutting down", func() {
		stopping.Store(true)
		_, err := sender.Send(context.Background(), newTurn())
		Expect(err).NotTo(HaveOccurred())
		Expect(directSends.Load()).To(BeEquivalentTo(1))
		Expect(outcomes).To(Equal([]string{DelegationNotReached}))
	})

	Context("with an egress node that is down", func() {
		BeforeEach(func() {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			topology.node.Address = listener.Addr().String()
			Expect(listener.Close()).To(Succeed())
		})

		It("is sent directly", func() {
			response, err := sender.Send(context.Background(), newTurn())
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Via).To(BeEmpty())
			Expect(directSends.Load()).To(BeEquivalentTo(1))
			Expect(sender.egressNodes(newTurn())).To(BeEmpty())
			Expect(outcomes).To(Equal([]string{DelegationNotReached}))
		})
	})

	Context("with an egress node that is frozen", func() {
		var connected atomic.Int64

		BeforeEach(func() {
			connected.Store(0)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			topology.node.Address = listener.Addr().String()
			var sockets []net.Conn
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				for {
					socket, err := listener.Accept()
					if err != nil {
						return
					}
					connected.Add(1)
					sockets = append(sockets, socket)
				}
			}()
			DeferCleanup(func() {
				Expect(listener.Close()).To(Succeed())
				<-ended
				for _, socket := range sockets {
					_ = socket.Close()
				}
			})
		})

		It("is not sent again, because it may still run there later", func() {
			_, err := sender.Send(context.Background(), newTurn())
			Expect(err).To(MatchError(backend.ErrNodeLost))
			Expect(directSends.Load()).To(BeZero())
			// Later turns skip that node.
			_, err = sender.Send(context.Background(), newTurn())
			Expect(err).NotTo(HaveOccurred())
			Expect(directSends.Load()).To(BeEquivalentTo(1))
			Expect(connected.Load()).To(BeEquivalentTo(1))
			Expect(outcomes).To(Equal([]string{DelegationNodeLost}))
		})
	})

	It("is sent directly if it is not a stream, or if this node is the preferred egress node", func() {
		unary := newTurn()
		unary.Streaming = false
		Expect(sender.egressNodes(unary)).To(BeEmpty())
		sender.topology = oneNode{node: topology.node, self: true, engineCount: 1000}
		Expect(sender.egressNodes(newTurn())).To(BeEmpty())
	})

	It("is sent directly while the node has enough turns to keep connections in use", func() {
		sender.topology = oneNode{node: topology.node, engineCount: 2}
		for range 7 {
			Expect(sender.egressNodes(newTurn())).To(HaveLen(1))
		}
		for range 3 {
			sender.egressNodes(newTurn())
		}
		Expect(sender.egressNodes(newTurn())).To(BeEmpty())
	})
})

var _ = Describe("Turn counter", func() {
	It("decays, and is counted separately for each group", func() {
		counter := newTurnCounter()
		now := time.Now()
		Expect(counter.record("a", now)).To(BeNumerically("==", 1))
		Expect(counter.record("a", now)).To(BeNumerically("==", 2))
		Expect(counter.record("b", now)).To(BeNumerically("==", 1))
		Expect(counter.record("a", now.Add(10*engineIdleTimeout))).To(BeNumerically("~", 1, 0.01))
	})
})
