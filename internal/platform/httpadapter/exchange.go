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

	"github.com/magpielug/magpielug/internal/platform/wire"
)

// errAnswerTooLong says that a body passed its bound.
var errAnswerTooLong = errors.New("answer too long")

// errFieldMissing says that an answer lacks what it must hold.
var errFieldMissing = errors.New("a field of the answer is missing")

// maxErrorBytes bounds the body of an error answer.
const maxErrorBytes = 64 << 10

// post sends a JSON body and decodes the JSON answer within the timeout.
func post[Answer any](ctx context.Context, client *Client, address, path string, timeout time.Duration, body any) (Answer, error) {
	var answer Answer
	place := target{operation: path, address: address}
	encoded, err := json.Marshal(body)
	if err != nil {
		return answer, place.notRun(err)
	}
	return exchange[Answer](ctx, client, place, http.MethodPost, "", timeout, encoded)
}

// get asks with a query and decodes the JSON answer.
func get[Answer any](ctx context.Context, client *Client, address, path string, query url.Values) (Answer, error) {
	place := target{operation: path, address: address}
	return exchange[Answer](ctx, client, place, http.MethodGet, query.Encode(), client.config.OrderTimeout, nil)
}

func exchange[Answer any](ctx context.Context, client *Client, place target, method, query string, timeout time.Duration, body []byte) (Answer, error) {
	var answer Answer
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := client.send(ctx, place, method, query, body)
	if err != nil {
		return answer, err
	}
	defer drain(response.Body)
	content, err := readBounded(response.Body, client.config.MaxAnswerBytes)
	if errors.Is(err, errAnswerTooLong) {
		return answer, place.malformed(err)
	}
	if err != nil {
		return answer, place.unknown(err)
	}
	if err := json.Unmarshal(content, &answer); err != nil {
		return answer, place.malformed(err)
	}
	return answer, nil
}

// send returns an answer of status 200; any other is a *Failure.
func (client *Client) send(ctx context.Context, place target, method, query string, body []byte) (*http.Response, error) {
	// Until a connection is at hand nothing can have been sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	address := url.URL{Scheme: "http", Host: place.address, Path: place.operation, RawQuery: query}
	request, err := http.NewRequestWithContext(ctx, method, address.String(), bytes.NewReader(body))
	if err != nil {
		return nil, place.notRun(err)
	}
	if method == http.MethodPost {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.http.Do(request)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	if err != nil && !connected.Load() {
		return nil, place.notRun(err)
	}
	if err != nil {
		return nil, place.unknown(err)
	}
	if response.StatusCode != http.StatusOK {
		defer drain(response.Body)
		return nil, readRefusal(place, response)
	}
	return response, nil
}

// readRefusal turns an answer with an error status into a failure.
func readRefusal(place target, response *http.Response) *Failure {
	content, err := readBounded(response.Body, maxErrorBytes)
	if err != nil {
		return place.unknown(fmt.Errorf("status %d: %w", response.StatusCode, err))
	}
	var told wire.Error
	if err := json.Unmarshal(content, &told); err != nil {
		return place.malformed(fmt.Errorf("status %d: %w", response.StatusCode, err))
	}
	return place.refused(response.StatusCode, told)
}

// readBounded reads a whole body of at most limit bytes.
func readBounded(body io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, errAnswerTooLong
	}
	return content, nil
}

// drain reads a short rest of a body, so that its connection can be used again,
// and closes it.
func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxErrorBytes)
	_ = body.Close()
}
