package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/internal/metrics"
	"github.com/magpielug/magpielug/rehearsal/standin/machines"
)

const (
	registerPath   = machines.PathRegister
	requestTimeout = 5 * time.Second
	errorBodyBytes = 512
)

var httpClient = &http.Client{Timeout: requestTimeout}

// PostJSON posts body as JSON and fails on any status other than 200.
func PostJSON(ctx context.Context, address, path string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return eris.Wrap(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := httpClient.Do(request)
	if err != nil {
		return eris.Wrapf(err, "post to %s%s", address, path)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(io.LimitReader(response.Body, errorBodyBytes))
		return eris.Errorf("post to %s%s: status %s: %s", address, path, response.Status, message)
	}
	return nil
}

// isReady queries a process's readiness endpoint.
func isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+metrics.ReadyPath, nil)
	if err != nil {
		return false
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
