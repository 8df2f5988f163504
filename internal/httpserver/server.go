// Package httpserver runs an http.Handler on nbhttp and bounds what callers
// can make a process hold: connections, requests under way, bodies, headers,
// unread answers and half-sent requests.
package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	nbiologging "github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/workerpool"
	"github.com/rotisserie/eris"
)

const (
	// excessConnections is how many connections over the limit stay open long
	// enough to be told so; further ones are closed at once.
	excessConnections = 256
	// drainPoll is how often Shutdown looks for the last request's end.
	drainPoll = 10 * time.Millisecond
	// keptWorkers is how many goroutines wait for the next request.
	keptWorkers = 64
	// closeTimeout bounds the closing of nbio itself.
	closeTimeout = 2 * time.Second
)

// Server is one listening address.
type Server struct {
	// started are the limits at the start, limits those in force.
	started  *Limits
	limits   atomic.Pointer[Limits]
	handler  http.Handler
	engine   *nbhttp.Engine
	listener *stoppableListener
	// tlsConfig is nil for plain HTTP.
	tlsConfig *tls.Config
	context   context.Context
	cancel    context.CancelFunc
	workers   *workerpool.Pool

	connections sync.Map // *nbio.Conn to *connection
	open        atomic.Int64
	inFlight    atomic.Int64
	draining    atomic.Bool
	shutdown    sync.Once
}

// Start listens on address and serves handler. A taken port is a
// *resultcode.Error with code AddressInUse, any other bad address one with
// code InvalidSettings.
func Start(address string, handler http.Handler, limits Limits) (*Server, error) {
	return listen(address, handler, limits, nil)
}

// StartTLS is Start with TLS (HTTP/1.1) under config.
func StartTLS(address string, handler http.Handler, limits Limits, config *tls.Config) (*Server, error) {
	secured := config.Clone()
	secured.NextProtos = []string{"http/1.1"}
	return listen(address, handler, limits, secured)
}

func listen(address string, handler http.Handler, limits Limits, config *tls.Config) (*Server, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, listenFailure(address, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{
		workers:   workerpool.New(ctx, keptWorkers),
		handler:   handler,
		listener:  newStoppableListener(inner),
		tlsConfig: config,
		context:   ctx,
		cancel:    cancel,
	}
	server.started = limits.withDefaults()
	server.limits.Store(server.started)
	server.engine = server.newEngine(inner.Addr().String())
	err = server.engine.Start()
	if err != nil {
		cancel()
		_ = server.listener.Close()
		return nil, eris.Wrap(err, "start HTTP server")
	}
	return server, nil
}

func listenFailure(address string, err error) error {
	if errors.Is(err, syscall.EADDRINUSE) {
		return resultcode.New(resultcode.AddressInUse, "listen address %s is taken by another process", address)
	}
	return resultcode.New(resultcode.InvalidSettings, "can't listen on %s: %v", address, err)
}

// newEngine builds the nbhttp engine around the open listener.
func (server *Server) newEngine(address string) *nbhttp.Engine {
	silenceNbio()
	limits := server.bounds()
	engine := nbhttp.NewEngine(nbhttp.Config{
		Network: "tcp",
		Addrs:   []string{address},
		Listen: func(string, string) (net.Listener, error) {
			return server.listener, nil
		},
		MaxLoad:            limits.MaxConnections + excessConnections,
		ReadLimit:          limits.MaxHeaderBytes + limits.MaxBodyBytes + 2*bodyEncodingSlack,
		MaxWriteBufferSize: limits.WriteBufferBytes + writePiece,
		KeepaliveTime:      unusedTimeout,
		Handler:            http.HandlerFunc(server.serve),
		// Requests run on their connection's goroutine (connection.execute);
		// nbio itself only runs its close callbacks here.
		ServerExecutor:    func(job func()) { go job() },
		SupportServerOnly: true,
		Context:           server.context,
		Cancel:            server.cancel,
	})
	engine.OnOpen(server.opened)
	engine.OnClose(server.closed)
	engine.Engine.OnData(server.receive)
	engine.OnWrittenSize(server.wrote)
	return engine
}

// silenceNbio stops nbio's own lines on standard error; what matters is
// reported as a result code.
var silenceNbio = sync.OnceFunc(func() { nbiologging.SetLevel(nbiologging.LevelNone) })

// Address returns the address listened on, with the port chosen by the system
// where port 0 was asked for.
func (server *Server) Address() string { return server.listener.Addr().String() }

// InFlight returns the number of counted requests under way.
func (server *Server) InFlight() int { return int(server.inFlight.Load()) }

// Connections returns the number of open connections.
func (server *Server) Connections() int { return int(server.open.Load()) }

// Shutdown ends every connection with its next answer. After the limits' grace
// it stops accepting and closes idle connections, waits until every request
// under way is answered or ctx ends, then closes what is left. It returns
// ctx's error where requests were cut. A second call returns nil at once.
func (server *Server) Shutdown(ctx context.Context) error {
	var err error
	server.shutdown.Do(func() { err = server.drain(ctx) })
	return err
}

func (server *Server) drain(ctx context.Context) error {
	server.draining.Store(true)
	server.awaitGrace(ctx)
	server.listener.Stop()
	server.eachConnection((*connection).closeWhenIdle)
	err := server.awaitConnections(ctx)
	server.cancel()
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = server.engine.Shutdown(closing)
	return err
}

func (server *Server) awaitGrace(ctx context.Context) {
	timer := time.NewTimer(server.bounds().DrainGrace)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (server *Server) awaitConnections(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for server.open.Load() > 0 {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "requests cut by shutdown")
		case <-ticker.C:
			server.eachConnection((*connection).closeWhenIdle)
		}
	}
	return nil
}

func (server *Server) eachConnection(visit func(*connection)) {
	server.connections.Range(func(_, value any) bool {
		visit(value.(*connection))
		return true
	})
}

func (server *Server) opened(socket net.Conn) {
	accepted := socket.(*nbio.Conn)
	state := newConnection(server, accepted)
	state.excess = server.open.Add(1) > int64(server.bounds().MaxConnections)
	server.connections.Store(accepted, state)
}

func (server *Server) closed(socket net.Conn, _ error) {
	value, known := server.connections.LoadAndDelete(socket)
	if !known {
		return
	}
	server.open.Add(-1)
	value.(*connection).closed()
}

func (server *Server) receive(socket *nbio.Conn, data []byte) {
	value, known := server.connections.Load(socket)
	if known {
		value.(*connection).receive(data)
	}
}

func (server *Server) wrote(socket *nbio.Conn, _ []byte, count int) {
	value, known := server.connections.Load(socket)
	if known {
		value.(*connection).wrote(count)
	}
}
