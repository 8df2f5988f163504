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
	answered, err := exchange[Answer](ctx, client, place, timeout, question{method: http.MethodPost, body: encoded})
	return answered.answer, err
}

// get asks with a query and decodes the JSON answer.
func get[Answer any](ctx context.Context, client *Client, address, path string, query url.Values) (Answer, error) {
	answered, err := getChanged[Answer](ctx, client, address, path, query, "")
	return answered.answer, err
}

// getChanged asks with a query for an answer other than the one of an entity
// tag (RFC 9110, If-None-Match); an empty tag asks for any.
func getChanged[Answer any](ctx context.Context, client *Client, address, path string, query url.Values, tag string) (tagged[Answer], error) {
	place := target{operation: path, address: address}
	asked := question{method: http.MethodGet, query: query.Encode(), tag: tag}
	return exchange[Answer](ctx, client, place, client.config.OrderTimeout, asked)
}

// question is what one exchange asks.
type question struct {
	method string
	query  string
	body   []byte
	// tag is the entity tag of the answer that the asker has, empty for none.
	tag string
}

// tagged is an answer with its entity tag, empty where the back end gives none.
type tagged[Answer any] struct {
	answer Answer
	tag    string
	// unchanged is true where the asker's answer still holds; answer is empty.
	unchanged bool
}

func exchange[Answer any](ctx context.Context, client *Client, place target, timeout time.Duration, asked question) (tagged[Answer], error) {
	var answered tagged[Answer]
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := client.send(ctx, place, asked)
	if err != nil {
		return answered, err
	}
	defer drain(response.Body)
	if response.StatusCode == http.StatusNotModified {
		return tagged[Answer]{tag: asked.tag, unchanged: true}, nil
	}
	content, err := readBounded(response.Body, client.config.MaxAnswerBytes)
	if errors.Is(err, errAnswerTooLong) {
		return answered, place.malformed(err)
	}
	if err != nil {
		return answered, place.unknown(err)
	}
	if err := json.Unmarshal(content, &answered.answer); err != nil {
		return answered, place.malformed(err)
	}
	answered.tag = response.Header.Get(headerTag)
	return answered, nil
}

// Headers of conditional requests.
const (
	headerTag      = "ETag"
	headerKnownTag = "If-None-Match"
)

// send returns an answer of status 200, or 304 to a question with a tag; any
// other is a *Failure.
func (client *Client) send(ctx context.Context, place target, asked question) (*http.Response, error) {
	// Until a connection is at hand nothing can have been sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	address := url.URL{Scheme: "http", Host: place.address, Path: place.operation, RawQuery: asked.query}
	request, err := http.NewRequestWithContext(ctx, asked.method, address.String(), bytes.NewReader(asked.body))
	if err != nil {
		return nil, place.notRun(err)
	}
	if asked.method == http.MethodPost {
		request.Header.Set("Content-Type", "application/json")
	}
	if asked.tag != "" {
		request.Header.Set(headerKnownTag, asked.tag)
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
	unchanged := asked.tag != "" && response.StatusCode == http.StatusNotModified
	if response.StatusCode != http.StatusOK && !unchanged {
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
