package logstore

import (
	"bytes"
	"context"
	"encoding/binary"
	"net/http"
	"net/url"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/rotisserie/eris"
)

// Client writes records to a store in another process.
type Client struct {
	// Address is the store's IP:PORT.
	Address string
	HTTP    *http.Client
}

// Put writes a record of a keyed topic; an empty value deletes the key.
func (client *Client) Put(ctx context.Context, topic, key string, value []byte) error {
	record := durable.EncodeKeyed(key, value)
	body := append(binary.BigEndian.AppendUint32(nil, uint32(len(record))), record...)
	query := url.Values{"topic": {topic}, "part": {"0"}}
	target := "http://" + client.Address + pathAppend + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build the append request")
	}
	response, err := client.HTTP.Do(request)
	if err != nil {
		return eris.Wrap(err, "append to the store")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("append to the store: status %s", response.Status)
	}
	return nil
}
