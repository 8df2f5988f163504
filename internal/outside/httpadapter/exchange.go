package httpadapter

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/outside/wire"
)

var errResponseTooLong = errors.New("response exceeds the size limit")
var errMissingField = errors.New("required field missing in response")

// maxErrorBytes bounds the body of an error response.
const maxErrorBytes = 64 << 10

// post sends a JSON body and decodes the JSON response within the timeout.
func post[Response any](ctx context.Context, client *Client, address, path string, timeout time.Duration, body any) (Response, error) {
	var response Response
	target := endpoint{operation: path, address: address}
	encoded, err := json.Marshal(body)
	if err != nil {
		return response, target.notRun(err)
	}
	result, err := exchange[Response](ctx, client, target, timeout, requestSpec{method: http.MethodPost, body: encoded})
	return result.body, err
}

// get sends a GET request with a query and decodes the JSON response.
func get[Response any](ctx context.Context, client *Client, address, path string, query url.Values) (Response, error) {
	result, err := getIfChanged[Response](ctx, client, address, path, query, "")
	return result.body, err
}

// getIfChanged is get as a conditional request (RFC 9110, If-None-Match) with an entity
// tag; an empty tag makes it unconditional.
func getIfChanged[Response any](ctx context.Context, client *Client, address, path string, query url.Values, tag string) (taggedResponse[Response], error) {
	target := endpoint{operation: path, address: address}
	spec := requestSpec{method: http.MethodGet, query: query.Encode(), tag: tag}
	return exchange[Response](ctx, client, target, client.config.RequestTimeout, spec)
}

// requestSpec describes one HTTP request.
type requestSpec struct {
	method string
	query  string
	body   []byte
	// tag is the entity tag of the cached response; empty if there is none.
	tag string
}

// taggedResponse is a decoded response with its entity tag; the tag is empty if the back
// end sends none.
type taggedResponse[Response any] struct {
	body Response
	tag  string
	// unchanged is true if the cached response is still valid; body is then empty.
	unchanged bool
}

func exchange[Response any](ctx context.Context, client *Client, target endpoint, timeout time.Duration, spec requestSpec) (taggedResponse[Response], error) {
	var result taggedResponse[Response]
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := client.send(ctx, target, spec)
	if err != nil {
		return result, err
	}
	defer drain(response.Body)
	if response.StatusCode == http.StatusNotModified {
		return taggedResponse[Response]{tag: spec.tag, unchanged: true}, nil
	}
	content, err := readBounded(response.Body, client.config.MaxResponseBytes)
	if errors.Is(err, errResponseTooLong) {
		return result, target.malformed(err)
	}
	if err != nil {
		return result, target.outcomeUnknown(err)
	}
	if err := json.Unmarshal(content, &result.body); err != nil {
		return result, target.malformed(err)
	}
	result.tag = response.Header.Get(headerETag)
	return result, nil
}

// HTTP headers of conditional requests.
const (
	headerETag        = "ETag"
	headerIfNoneMatch = "If-None-Match"
)

// send returns a response with status 200, or 304 if spec has a tag. Any other status is
// a *Failure.
func (client *Client) send(ctx context.Context, target endpoint, spec requestSpec) (*http.Response, error) {
	// Nothing has been sent while there is no connection.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	address := url.URL{Scheme: "http", Host: target.address, Path: target.operation, RawQuery: spec.query}
	request, err := http.NewRequestWithContext(ctx, spec.method, address.String(), bytes.NewReader(spec.body))
	if err != nil {
		return nil, target.notRun(err)
	}
	if spec.method == http.MethodPost {
		request.Header.Set("Content-Type", "application/json")
	}
	if spec.tag != "" {
		request.Header.Set(headerIfNoneMatch, spec.tag)
	}
	response, err := client.http.Do(request)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	if err != nil && !connected.Load() {
		return nil, target.notRun(err)
	}
	if err != nil {
		return nil, target.outcomeUnknown(err)
	}
	unchanged := spec.tag != "" && response.StatusCode == http.StatusNotModified
	if response.StatusCode != http.StatusOK && !unchanged {
		defer drain(response.Body)
		return nil, readErrorResponse(target, response)
	}
	return response, nil
}

// readErrorResponse converts a response with an error status to a failure.
func readErrorResponse(target endpoint, response *http.Response) *Failure {
	content, err := readBounded(response.Body, maxErrorBytes)
	if err != nil {
		return target.outcomeUnknown(fmt.Errorf("status %d: %w", response.StatusCode, err))
	}
	var wireError wire.Error
	if err := json.Unmarshal(content, &wireError); err != nil {
		return target.malformed(fmt.Errorf("status %d: %w", response.StatusCode, err))
	}
	return target.errorResponse(response.StatusCode, wireError)
}

// readBounded reads a body. It returns errResponseTooLong if the body is longer than limit
// bytes.
func readBounded(body io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, errResponseTooLong
	}
	return content, nil
}

// drain reads and discards up to maxErrorBytes of a body, so that its connection can be
// reused, and closes it.
func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxErrorBytes)
	_ = body.Close()
}
