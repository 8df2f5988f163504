package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// readBody reads the request body, up to MaxBodyBytes.
func (exchange *exchange) readBody() ([]byte, error) {
	limit := exchange.gateway.config.MaxBodyBytes
	if exchange.request.ContentLength > limit {
		return nil, bodyTooLargeError(limit)
	}
	content, err := io.ReadAll(http.MaxBytesReader(nil, exchange.request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, bodyTooLargeError(limit)
	}
	if err != nil {
		return nil, resultcode.New(resultcode.BadRequest, "the request body is incomplete")
	}
	return content, nil
}

func bodyTooLargeError(limit int64) error {
	return resultcode.New(resultcode.BodyTooLarge, "the request body exceeds %d bytes", limit)
}

// decodeLenient decodes one JSON object and ignores unknown fields, as the
// OpenAI API does.
func decodeLenient(content []byte, value any) error {
	return decodeJSON(json.NewDecoder(bytes.NewReader(content)), value)
}

// decodeStrict decodes one JSON object and rejects unknown fields, so that a
// misspelt field is not silently ignored.
func decodeStrict(content []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	return decodeJSON(decoder, value)
}

func decodeJSON(decoder *json.Decoder, value any) error {
	if err := decoder.Decode(value); err != nil {
		return resultcode.New(resultcode.BadRequest, "invalid JSON body: %s", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return resultcode.New(resultcode.BadRequest, "the body contains more than one JSON value")
	}
	return nil
}
