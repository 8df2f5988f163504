package httpserver

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"runtime/debug"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/magpielug/magpielug/internal/resultcode"
)

type callerKey struct{}

// callerConn is what nbhttp writes answers to.
type callerConn interface{ caller() *connection }

// CallerGone returns a channel that is closed when the request's connection
// closes. The request's context ends then too, and when its handler returns.
// The channel is nil, and so never ready, for a request of another server.
func CallerGone(request *http.Request) <-chan struct{} {
	caller, known := request.Context().Value(callerKey{}).(*connection)
	if !known {
		return nil
	}
	return caller.gone
}

// serve runs one request on the connection's own goroutine. Nothing waits
// here unseen: a request over the limit is refused at once.
func (server *Server) serve(writer http.ResponseWriter, request *http.Request) {
	response := writer.(*nbhttp.Response)
	caller := response.Parser.Conn.(callerConn).caller()
	if server.draining.Load() || server.turnsAway() {
		request.Close = true
	}
	if request.Close {
		response.Header().Set("Connection", "close")
		caller.told.Store(true)
	}
	ctx, cancel := context.WithCancel(server.context)
	defer cancel()
	caller.setCancel(cancel)
	if caller.excess {
		request.Close = true
		response.Header().Set("Connection", "close")
		WriteError(response, tooManyConnections(server.bounds()))
		return
	}
	ctx = context.WithValue(ctx, callerKey{}, caller)
	server.admit(newResponseWriter(response, caller), request.WithContext(ctx))
}

// turnsAway tells whether callers are to leave the connections that they keep.
func (server *Server) turnsAway() bool {
	turnAway := server.bounds().TurnAway
	return turnAway != nil && turnAway()
}

// admit counts the request and hands it to the handler, or refuses it.
func (server *Server) admit(writer *responseWriter, request *http.Request) {
	exempt := server.bounds().Exempt != nil && server.bounds().Exempt(request)
	if !exempt {
		defer server.inFlight.Add(-1)
		if server.inFlight.Add(1) > int64(server.bounds().MaxInFlight) {
			WriteError(writer, tooManyCalls(server.bounds()))
			return
		}
	}
	defer recoverHandler(writer)
	server.handler.ServeHTTP(writer, request)
}

// recoverHandler answers Internal for a handler that panicked, or closes the
// connection where an answer has begun.
func recoverHandler(writer *responseWriter) {
	fault := recover()
	if fault == nil {
		return
	}
	reportPanic(fault)
	if writer.started {
		writer.connection.abort()
		return
	}
	WriteError(writer, resultcode.New(resultcode.Internal, "internal fault"))
}

// ReportPanic is told of every panic of a handler; by default it writes one
// line to standard error. Set it before Start.
var ReportPanic = func(fault any, stack []byte) {
	fmt.Fprintf(os.Stderr, "level=error event=\"handler panicked\" fault=%q stack=%q\n", fmt.Sprint(fault), stack)
}

func reportPanic(fault any) {
	if fault != http.ErrAbortHandler {
		ReportPanic(fault, debug.Stack())
	}
}
