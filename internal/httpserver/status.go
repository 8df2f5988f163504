package httpserver

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
)

// unnamedStatus returns a status that has no name in net/http, 0 for any other. nbhttp v1.6.8 sends 200 in place
// of such a status.
func unnamedStatus(status int) int {
	if http.StatusText(status) != "" {
		return 0
	}
	return status
}

// namedStatus returns the status to pass to nbhttp for a response, of the same class where it matters for the body.
func namedStatus(status int) int {
	if unnamedStatus(status) == 0 {
		return status
	}
	return http.StatusInternalServerError
}

// withStatus returns the bytes of a response with its status, if nbhttp does not know that. The first bytes
// written after WriteHeader are those of the status line.
func (connection *connection) withStatus(data []byte) []byte {
	status := connection.unnamedStatus
	if status == 0 {
		return data
	}
	connection.unnamedStatus = 0
	start := bytes.IndexByte(data, ' ') + 1
	changed := slices.Clone(data)
	copy(changed[start:], strconv.Itoa(status))
	return changed
}
