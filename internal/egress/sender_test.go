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

const patience = 20 * time.Second

// senderFunc is a forward.Sender made of a function.
type senderFunc func(ctx context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error)

func (send senderFunc) Send(ctx context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error) {
	return send(ctx, attempt)
}

// oneNode is a topology with one egress node.
type oneNode struct {
	node     Node
	self     bool
	siblings int
}

func (topology oneNode) EgressNodes(backend.Instance) ([]Node, bool) {
	return []Node{topology.node}, topology.self
}

func (topology oneNode) EngineCount(backend.Instance) int { return topology.siblings }

// oneEngine knows a single engine, and counts what it fails.
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

var _ = Describe("A turn handed to an egress node", func() {
	var (
		// atEgress is what the egress node's own sending does.
		atEgress senderFunc
		// direct counts what the asking node sends itself.
		direct   atomic.Int64
		topology oneNode
		sender   *Sender
		outcomes []string
		stopping atomic.Bool
		// failed counts requests against the engine.
		failed atomic.Int64
	)

	BeforeEach(func() {
		direct.Store(0)
		stopping.Store(false)
		failed.Store(0)
		handler := &Handler{Engines: oneEngine{id: "engine-1", failed: &failed}, Logger: zap.NewNop(), Stopping: stopping.Load,
			Sender: senderFunc(func(ctx context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error) {
				return atEgress(ctx, attempt)
			})}
		server, err := httpserver.Start("127.0.0.1:0", handler, httpserver.Limits{DrainGrace: time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			bounded, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = server.Shutdown(bounded)
		})
		topology = oneNode{node: Node{Name: "egress-1", Address: server.Address()}, siblings: 1000}
	})

	JustBeforeEach(func() {
		client, err := httpclient.New(httpclient.Options{DialTimeout: 250 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		own := senderFunc(func(context.Context, *forward.Attempt) (*forward.EngineResponse, error) {
			direct.Add(1)
			return &forward.EngineResponse{Status: http.StatusOK, Body: http.NoBody}, nil
		})
		outcomes = nil
		sender = NewSender(own, topology, client, zap.NewNop(), func(outcome string) { outcomes = append(outcomes, outcome) })
	})

	turn := func() *forward.Attempt {
		return &forward.Attempt{
			Call: &forward.Call{ID: "turn-1", Method: http.MethodPost, Host: "h", Target: "/stream/?a=b",
				Header: http.Header{"Model": {"m"}, "Request-Id": {"turn-1"}}},
			Engine:    backend.Instance{ID: "engine-1", Service: "models", Zone: "a"},
			Body:      []byte("input"),
			Remaining: 3 * time.Second,
			Streaming: true,
			Priority:  2,
			// The egress node's own bound, not the asker's.
			MaxConnections: 5, MaxSharedConnections: 40,
		}
	}

	It("reaches the engine as it is, and its answer comes back piece by piece", func() {
		pieces, written := io.Pipe()
		var got *forward.Attempt
		atEgress = func(_ context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error) {
			got = attempt
			return &forward.EngineResponse{Status: http.StatusOK, Header: http.Header{"Response-Stamp": {"s"}}, Body: pieces}, nil
		}
		parts := []string{"data: 1\n\n", "data: 2\n\n"}
		go func() { _, _ = io.WriteString(written, parts[0]) }()
		reply, err := sender.Send(context.Background(), turn())
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Status).To(Equal(http.StatusOK))
		Expect(reply.Header).To(Equal(http.Header{"Response-Stamp": {"s"}}))
		Expect(reply.Via).To(Equal("egress-1"))
		Expect(got.Call.ID).To(Equal("turn-1"))
		Expect(got.Call.Method).To(Equal(http.MethodPost))
		Expect(got.Call.Host).To(Equal("h"))
		Expect(got.Call.Target).To(Equal("/stream/?a=b"))
		Expect(got.Call.Header).To(Equal(turn().Call.Header))
		Expect(got.Engine.Address).To(Equal("10.0.0.9:80"))
		Expect(string(got.Body)).To(Equal("input"))
		Expect(got.Remaining).To(Equal(3 * time.Second))
		Expect(got.Streaming).To(BeTrue())
		Expect(got.Priority).To(Equal(2))
		Expect(got.MaxConnections).To(Equal(40))
		for number, piece := range parts {
			received := make([]byte, len(piece))
			_, err = io.ReadFull(reply.Body, received)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(received)).To(Equal(piece))
			// The next piece is written only once this one has come.
			if number+1 < len(parts) {
				go func() { _, _ = io.WriteString(written, parts[number+1]) }()
			}
		}
		Expect(written.Close()).To(Succeed())
		rest, err := io.ReadAll(reply.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(rest).To(BeEmpty())
		Expect(reply.Body.Close()).To(Succeed())
		Expect(direct.Load()).To(BeZero())
		Expect(outcomes).To(Equal([]string{DelegationSucceeded}))
	})

	It("ends as broken off where the engine breaks off", func() {
		pieces, written := io.Pipe()
		atEgress = func(context.Context, *forward.Attempt) (*forward.EngineResponse, error) {
			return &forward.EngineResponse{Status: http.StatusOK, Body: pieces}, nil
		}
		go func() {
			_, _ = io.WriteString(written, "data: 1\n\n")
			_ = written.CloseWithError(errors.New("reset"))
		}()
		reply, err := sender.Send(context.Background(), turn())
		Expect(err).NotTo(HaveOccurred())
		received, err := io.ReadAll(reply.Body)
		Expect(string(received)).To(Equal("data: 1\n\n"))
		Expect(err).To(HaveOccurred())
		Expect(failed.Load()).To(BeEquivalentTo(1), "counted where the engine's part is known")
	})

	It("counts against an engine that sends nothing for long, until it does", func() {
		pieces, written := io.Pipe()
		answering := make(chan struct{})
		atEgress = func(context.Context, *forward.Attempt) (*forward.EngineResponse, error) {
			<-answering
			return &forward.EngineResponse{Status: http.StatusOK, Body: pieces}, nil
		}
		attempt := turn()
		replies := make(chan *forward.EngineResponse, 1)
		go func() {
			defer GinkgoRecover()
			reply, err := sender.Send(context.Background(), attempt)
			Expect(err).NotTo(HaveOccurred())
			replies <- reply
		}()
		Eventually(attempt.Delegated.Load, patience).Should(BeTrue())
		Eventually(failed.Load, patience).Should(BeEquivalentTo(1))
		close(answering)
		Eventually(failed.Load, patience).Should(BeZero())
		Eventually(failed.Load, patience).Should(BeEquivalentTo(1), "silent after its head")
		go func() { _, _ = io.WriteString(written, "data: 1\n\n") }()
		Eventually(failed.Load, patience).Should(BeZero())
		Expect(written.Close()).To(Succeed())
		var reply *forward.EngineResponse
		Eventually(replies, patience).Should(Receive(&reply))
		_, err := io.ReadAll(reply.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(failed.Load()).To(BeZero())
	})

	It("leaves it to the asker to count what the egress node answers", func() {
		atEgress = func(context.Context, *forward.Attempt) (*forward.EngineResponse, error) {
			time.Sleep(2 * leastSilence)
			return nil, backend.ErrResponseLost
		}
		_, err := sender.Send(context.Background(), turn())
		Expect(err).To(MatchError(backend.ErrResponseLost))
		Expect(failed.Load()).To(BeZero())
	})

	It("ends at the engine once its caller has left", func() {
		sending := make(chan context.Context, 1)
		atEgress = func(ctx context.Context, _ *forward.Attempt) (*forward.EngineResponse, error) {
			sending <- ctx
			<-ctx.Done()
			return nil, backend.ErrResponseLost
		}
		ctx, leave := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			_, err := sender.Send(ctx, turn())
			ended <- err
		}()
		var atEngine context.Context
		Eventually(sending, patience).Should(Receive(&atEngine))
		leave()
		Eventually(atEngine.Done(), patience).Should(BeClosed())
		Eventually(ended, patience).Should(Receive(HaveOccurred()))
		Expect(direct.Load()).To(BeZero())
	})

	DescribeTable("fails as it did at the egress node",
		func(cause, expected error) {
			atEgress = func(context.Context, *forward.Attempt) (*forward.EngineResponse, error) { return nil, cause }
			_, err := sender.Send(context.Background(), turn())
			Expect(err).To(MatchError(expected))
			Expect(direct.Load()).To(BeZero())
		},
		Entry("not sent", backend.ErrNotSent, backend.ErrNotSent),
		Entry("no free connection", backend.ErrTooManyConnections, backend.ErrTooManyConnections),
		Entry("lost", backend.ErrResponseLost, backend.ErrResponseLost),
	)

	It("is sent by the node itself where the egress node does not know the engine", func() {
		other := turn()
		other.Engine.ID = "engine-2"
		_, err := sender.Send(context.Background(), other)
		Expect(err).NotTo(HaveOccurred())
		Expect(direct.Load()).To(BeEquivalentTo(1))
	})

	It("is sent by the node itself where the egress node stops", func() {
		stopping.Store(true)
		_, err := sender.Send(context.Background(), turn())
		Expect(err).NotTo(HaveOccurred())
		Expect(direct.Load()).To(BeEquivalentTo(1))
		Expect(outcomes).To(Equal([]string{DelegationNotReached}))
	})

	Context("with an egress node that is down", func() {
		BeforeEach(func() {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			topology.node.Address = listener.Addr().String()
			Expect(listener.Close()).To(Succeed())
		})

		It("is sent by the node itself", func() {
			reply, err := sender.Send(context.Background(), turn())
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Via).To(BeEmpty())
			Expect(direct.Load()).To(BeEquivalentTo(1))
			Expect(sender.nodesFor(turn())).To(BeEmpty())
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

		It("is not sent again, since it may run there later", func() {
			_, err := sender.Send(context.Background(), turn())
			Expect(err).To(MatchError(backend.ErrNodeLost))
			Expect(direct.Load()).To(BeZero())
			// Later turns pass that node over.
			_, err = sender.Send(context.Background(), turn())
			Expect(err).NotTo(HaveOccurred())
			Expect(direct.Load()).To(BeEquivalentTo(1))
			Expect(connected.Load()).To(BeEquivalentTo(1))
			Expect(outcomes).To(Equal([]string{DelegationNodeLost}))
		})
	})

	It("is sent by the node itself where it is no stream, or the node is the engine's egress node", func() {
		whole := turn()
		whole.Streaming = false
		Expect(sender.nodesFor(whole)).To(BeEmpty())
		sender.topology = oneNode{node: topology.node, self: true, siblings: 1000}
		Expect(sender.nodesFor(turn())).To(BeEmpty())
	})

	It("is sent by the node itself while that has enough turns to keep connections in use", func() {
		sender.topology = oneNode{node: topology.node, siblings: 2}
		for range 7 {
			Expect(sender.nodesFor(turn())).To(HaveLen(1))
		}
		for range 3 {
			sender.nodesFor(turn())
		}
		Expect(sender.nodesFor(turn())).To(BeEmpty())
	})
})

var _ = Describe("Demand", func() {
	It("fades, and is counted for each group alone", func() {
		counted := newDemand()
		now := time.Now()
		Expect(counted.note("a", now)).To(BeNumerically("==", 1))
		Expect(counted.note("a", now)).To(BeNumerically("==", 2))
		Expect(counted.note("b", now)).To(BeNumerically("==", 1))
		Expect(counted.note("a", now.Add(10*keptFor))).To(BeNumerically("~", 1, 0.01))
	})
})
