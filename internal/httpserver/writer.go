package httpserver

import (
	"net/http"

	"github.com/lesismal/nbio/nbhttp"
)

// flushThreshold keeps nbhttp's response buffer below its packet size of 64 KiB. Beyond
// that, nbhttp v1.6.8 writes a chunk from a buffer that it has already returned to its
// pool (Response.writeChunk), which could mix responses of different clients.
const flushThreshold = 2 * maxWriteSize

// responseWriter writes a response to nbhttp in small chunks and reports a closed
// connection to the handler.
type responseWriter struct {
	response   *nbhttp.Response
	connection *connection
	started    bool
	buffered   int
}

func newResponseWriter(response *nbhttp.Response, state *connection) *responseWriter {
	return &responseWriter{response: response, connection: state}
}

// Header implements http.ResponseWriter.
func (writer *responseWriter) Header() http.Header { return writer.response.Header() }

// WriteHeader implements http.ResponseWriter.
func (writer *responseWriter) WriteHeader(status int) {
	if !writer.started {
		writer.connection.unnamedStatus = unnamedStatus(status)
	}
	writer.started = true
	writer.response.WriteHeader(namedStatus(status))
}

// Write sends data. It blocks while the write buffer is full and fails once the
// connection is closed.
func (writer *responseWriter) Write(data []byte) (int, error) {
	writer.started = true
	sent := 0
	for sent < len(data) {
		if err := writer.connection.closeError(); err != nil {
			return sent, err
		}
		chunk := data[sent:min(sent+maxWriteSize, len(data))]
		_, err := writer.response.Write(chunk)
		if err != nil {
			return sent, err
		}
		sent += len(chunk)
		writer.buffered += len(chunk)
		if writer.buffered >= flushThreshold {
			writer.Flush()
		}
	}
	return sent, nil
}

// FlushError sends buffered data. It returns ErrSlowReader or net.ErrClosed if the
// connection is closed; see http.ResponseController.
func (writer *responseWriter) FlushError() error {
	writer.Flush()
	return writer.connection.closeError()
}

// Flush implements http.Flusher.
func (writer *responseWriter) Flush() {
	writer.started = true
	writer.buffered = 0
	writer.response.Flush()
}
