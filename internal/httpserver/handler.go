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

type connectionKey struct{}

// connectionHolder is implemented by the sockets that nbhttp writes responses to.
type connectionHolder interface{ state() *connection }

// ConnectionClosed returns a channel that is closed when the request's connection
// closes. The request's context is canceled then too, and when its handler returns.
// The channel is nil for a request of another server.
func ConnectionClosed(request *http.Request) <-chan struct{} {
	state, found := request.Context().Value(connectionKey{}).(*connection)
	if !found {
		return nil
	}
	return state.done
}

// serve runs one request on the connection's goroutine. Requests over a limit are
// rejected immediately instead of queued.
func (server *Server) serve(writer http.ResponseWriter, request *http.Request) {
	response := writer.(*nbhttp.Response)
	state := response.Parser.Conn.(connectionHolder).state()
	if server.draining.Load() || server.keepAlivesDisabled() {
		request.Close = true
	}
	if request.Close {
		response.Header().Set("Connection", "close")
		state.closeAnnounced.Store(true)
	}
	ctx, cancel := context.WithCancel(server.context)
	defer cancel()
	state.setCancel(cancel)
	if state.overLimit {
		request.Close = true
		response.Header().Set("Connection", "close")
		WriteError(response, tooManyConnections(server.currentLimits()))
		return
	}
	ctx = context.WithValue(ctx, connectionKey{}, state)
	server.admit(newResponseWriter(response, state), request.WithContext(ctx))
}

// keepAlivesDisabled reports whether responses should ask clients to close the connection.
func (server *Server) keepAlivesDisabled() bool {
	disabled := server.currentLimits().DisableKeepAlives
	return disabled != nil && disabled()
}

// admit passes the request to the handler, or rejects it if MaxInFlight is reached.
func (server *Server) admit(writer *responseWriter, request *http.Request) {
	exempt := server.currentLimits().Exempt != nil && server.currentLimits().Exempt(request)
	if !exempt {
		defer server.inFlight.Add(-1)
		if server.inFlight.Add(1) > int64(server.currentLimits().MaxInFlight) {
			WriteError(writer, tooManyRequests(server.currentLimits()))
			return
		}
	}
	defer recoverHandler(writer)
	server.handler.ServeHTTP(writer, request)
}

// recoverHandler recovers from a panic of the handler. It responds with Internal, or
// closes the connection if the response has started.
func recoverHandler(writer *responseWriter) {
	recovered := recover()
	if recovered == nil {
		return
	}
	reportPanic(recovered)
	if writer.started {
		writer.connection.abort()
		return
	}
	WriteError(writer, resultcode.New(resultcode.Internal, "internal fault"))
}

// ReportPanic is called for each handler panic except http.ErrAbortHandler. By default
// it writes one line to standard error. Set it before Start.
var ReportPanic = func(recovered any, stack []byte) {
	fmt.Fprintf(os.Stderr, "level=error event=\"handler panicked\" fault=%q stack=%q\n", fmt.Sprint(recovered), stack)
}

func reportPanic(recovered any) {
	if recovered != http.ErrAbortHandler {
		ReportPanic(recovered, debug.Stack())
	}
}
