package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// readBody reads the whole body within the settings' bound.
func (exchange *exchange) readBody() ([]byte, error) {
	limit := exchange.gateway.config.MaxBodyBytes
	if exchange.request.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	content, err := io.ReadAll(http.MaxBytesReader(nil, exchange.request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, bodyTooLarge(limit)
	}
	if err != nil {
		return nil, resultcode.New(resultcode.BadRequest, "the body ended too early")
	}
	return content, nil
}

func bodyTooLarge(limit int64) error {
	return resultcode.New(resultcode.BodyTooLarge, "the body is over %d bytes", limit)
}

// decodeLenient reads one JSON object and ignores fields it does not know, as
// OpenAI's interface does.
func decodeLenient(content []byte, value any) error {
	return decodeJSON(json.NewDecoder(bytes.NewReader(content)), value)
}

// decodeStrict reads one JSON object and refuses fields it does not know, so
// that a misspelt field is never passed over.
func decodeStrict(content []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	return decodeJSON(decoder, value)
}

func decodeJSON(decoder *json.Decoder, value any) error {
	if err := decoder.Decode(value); err != nil {
		return resultcode.New(resultcode.BadRequest, "the body is not the JSON expected: %s", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return resultcode.New(resultcode.BadRequest, "the body holds more than one JSON value")
	}
	return nil
}
