package httpserver

import (
	"net/http"

	"github.com/lesismal/nbio/nbhttp"
)

// flushThreshold keeps nbhttp's response buffer under its packet size of
// 64 KiB. Beyond that size nbhttp v1.6.8 writes a chunk from a buffer that it
// has already given back to its pool (Response.writeChunk), and answers of two
// callers could mix.
const flushThreshold = 2 * writePiece

// responseWriter hands an answer to nbhttp in small pieces and tells the
// handler when the client is gone.
type responseWriter struct {
	response   *nbhttp.Response
	connection *connection
	started    bool
	buffered   int
}

func newResponseWriter(response *nbhttp.Response, caller *connection) *responseWriter {
	return &responseWriter{response: response, connection: caller}
}

// Header returns the answer's headers.
func (writer *responseWriter) Header() http.Header { return writer.response.Header() }

// WriteHeader sets the answer's status.
func (writer *responseWriter) WriteHeader(status int) {
	writer.started = true
	writer.response.WriteHeader(status)
}

// Write sends data. It blocks while the client is slow, and fails once the
// client is gone.
func (writer *responseWriter) Write(data []byte) (int, error) {
	writer.started = true
	sent := 0
	for sent < len(data) {
		if err := writer.connection.failure(); err != nil {
			return sent, err
		}
		piece := data[sent:min(sent+writePiece, len(data))]
		_, err := writer.response.Write(piece)
		if err != nil {
			return sent, err
		}
		sent += len(piece)
		writer.buffered += len(piece)
		if writer.buffered >= flushThreshold {
			writer.Flush()
		}
	}
	return sent, nil
}

// FlushError sends what is buffered and returns ErrSlowReader or
// net.ErrClosed where the client gets nothing more; see
// http.ResponseController.
func (writer *responseWriter) FlushError() error {
	writer.Flush()
	return writer.connection.failure()
}

// Flush sends what is buffered.
func (writer *responseWriter) Flush() {
	writer.started = true
	writer.buffered = 0
	writer.response.Flush()
}
