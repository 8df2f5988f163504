// Package httpserver runs an http.Handler on nbhttp and bounds the resources that
// clients can use: connections, concurrent requests, header and body sizes, buffered
// responses and incomplete requests.
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
	// maxOverLimitConnections is how many connections over the limit are accepted in order to
	// send them an error response. Further ones are closed immediately.
	maxOverLimitConnections = 256
	// drainPollInterval is how often Shutdown checks for open connections.
	drainPollInterval = 10 * time.Millisecond
	// maxIdleWorkers is the maximum number of goroutines kept idle for further requests.
	maxIdleWorkers = 64
	// engineShutdownTimeout bounds the shutdown of the nbhttp engine.
	engineShutdownTimeout = 2 * time.Second
)

// Server serves HTTP on one listening address.
type Server struct {
	// initialLimits are the limits at start, limits the current ones.
	initialLimits *Limits
	limits        atomic.Pointer[Limits]
	handler       http.Handler
	engine        *nbhttp.Engine
	listener      *stoppableListener
	// tlsConfig is nil for plain HTTP.
	tlsConfig *tls.Config
	context   context.Context
	cancel    context.CancelFunc
	workers   *workerpool.Pool

	connections     sync.Map // *nbio.Conn to *connection
	connectionCount atomic.Int64
	inFlight        atomic.Int64
	draining        atomic.Bool
	shutdown        sync.Once
}

// Start listens on address and serves handler. It returns a *resultcode.Error with code
// AddressInUse if the port is in use, and with code InvalidSettings if it cannot listen
// for another reason.
func Start(address string, handler http.Handler, limits Limits) (*Server, error) {
	return listen(address, handler, limits, nil)
}

// StartTLS is Start with TLS under config. It supports HTTP/1.1 only.
func StartTLS(address string, handler http.Handler, limits Limits, config *tls.Config) (*Server, error) {
	cloned := config.Clone()
	cloned.NextProtos = []string{"http/1.1"}
	return listen(address, handler, limits, cloned)
}

func listen(address string, handler http.Handler, limits Limits, config *tls.Config) (*Server, error) {
	ctx, cancel := context.WithCancel(context.Background())
	inner, err := listenTCP(ctx, address)
	if err != nil {
		cancel()
		return nil, listenError(address, err)
	}
	server := &Server{
		workers:   workerpool.New(ctx, maxIdleWorkers),
		handler:   handler,
		listener:  newStoppableListener(inner),
		tlsConfig: config,
		context:   ctx,
		cancel:    cancel,
	}
	server.initialLimits = limits.withDefaults()
	server.limits.Store(server.initialLimits)
	server.engine = server.newEngine(inner.Addr().String())
	err = server.engine.Start()
	if err != nil {
		cancel()
		_ = server.listener.Close()
		return nil, eris.Wrap(err, "start HTTP server")
	}
	return server, nil
}

func listenError(address string, err error) error {
	if errors.Is(err, syscall.EADDRINUSE) {
		return resultcode.New(resultcode.AddressInUse, "listen address %s is already in use", address)
	}
	return resultcode.New(resultcode.InvalidSettings, "cannot listen on %s: %v", address, err)
}

// newEngine creates the nbhttp engine for the open listener.
func (server *Server) newEngine(address string) *nbhttp.Engine {
	disableNbioLogging()
	limits := server.currentLimits()
	engine := nbhttp.NewEngine(nbhttp.Config{
		Network: "tcp",
		Addrs:   []string{address},
		Listen: func(string, string) (net.Listener, error) {
			return server.listener, nil
		},
		MaxLoad:            limits.MaxConnections + maxOverLimitConnections,
		ReadLimit:          limits.MaxHeaderBytes + limits.MaxBodyBytes + 2*bodyEncodingSlack,
		MaxWriteBufferSize: limits.WriteBufferBytes + maxWriteSize,
		KeepaliveTime:      disabledKeepalive,
		Handler:            http.HandlerFunc(server.serve),
		// Requests run on their connection's goroutine (connection.execute);
		// nbio uses this executor only for close callbacks.
		ServerExecutor:    func(job func()) { go job() },
		SupportServerOnly: true,
		Context:           server.context,
		Cancel:            server.cancel,
	})
	engine.OnOpen(server.onOpen)
	engine.OnClose(server.onClose)
	engine.Engine.OnData(server.onData)
	engine.OnWrittenSize(server.onWritten)
	return engine
}

// disableNbioLogging keeps nbio's log lines off standard error. Errors are reported as result codes.
var disableNbioLogging = sync.OnceFunc(func() { nbiologging.SetLevel(nbiologging.LevelNone) })

// Address returns the listening address, with the actual port if port 0 was requested.
func (server *Server) Address() string { return server.listener.Addr().String() }

// InFlight returns the number of running requests, without those that Limits.Exempt excludes.
func (server *Server) InFlight() int { return int(server.inFlight.Load()) }

// Connections returns the number of open connections.
func (server *Server) Connections() int { return int(server.connectionCount.Load()) }

// Shutdown stops the server gracefully. From its start, responses carry Connection: close.
// After Limits.DrainGrace it stops accepting and closes connections as they become idle. Once
// none is open or ctx is done, it closes the rest. It returns ctx's error if connections were
// still open. Later calls return nil once the first has returned.
func (server *Server) Shutdown(ctx context.Context) error {
	var err error
	server.shutdown.Do(func() { err = server.drain(ctx) })
	return err
}

func (server *Server) drain(ctx context.Context) error {
	server.draining.Store(true)
	server.waitDrainGrace(ctx)
	server.listener.Stop()
	server.waitBacklogDelivered(ctx)
	server.eachConnection((*connection).closeIfIdle)
	err := server.waitConnectionsClosed(ctx)
	server.cancel()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), engineShutdownTimeout)
	defer cancel()
	_ = server.engine.Shutdown(shutdownCtx)
	return err
}

func (server *Server) waitDrainGrace(ctx context.Context) {
	timer := time.NewTimer(server.currentLimits().DrainGrace)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// waitBacklogDelivered waits until all accepted connections are among the open ones. Otherwise
// the server could find none open, end, and cut those that are not yet registered.
func (server *Server) waitBacklogDelivered(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-server.listener.delivered:
	}
}

func (server *Server) waitConnectionsClosed(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for server.connectionCount.Load() > 0 {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "shutdown interrupted with connections still open")
		case <-ticker.C:
			server.eachConnection((*connection).closeIfIdle)
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

func (server *Server) onOpen(socket net.Conn) {
	accepted := socket.(*nbio.Conn)
	state := newConnection(server, accepted)
	state.overLimit = server.connectionCount.Add(1) > int64(server.currentLimits().MaxConnections)
	server.connections.Store(accepted, state)
}

func (server *Server) onClose(socket net.Conn, _ error) {
	value, found := server.connections.LoadAndDelete(socket)
	if !found {
		return
	}
	server.connectionCount.Add(-1)
	value.(*connection).onClose()
}

func (server *Server) onData(socket *nbio.Conn, data []byte) {
	value, found := server.connections.Load(socket)
	if found {
		value.(*connection).onData(data)
	}
}

func (server *Server) onWritten(socket *nbio.Conn, _ []byte, count int) {
	value, found := server.connections.Load(socket)
	if found {
		value.(*connection).onWritten(count)
	}
}
