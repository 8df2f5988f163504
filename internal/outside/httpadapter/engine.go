package httpadapter

import (
	"context"
	"net/url"
	"strconv"

	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/outside/wire"
)

// Engine is the adapter for model engines. It is safe for concurrent use.
type Engine struct {
	pool    *Client
	reports cachedReports
}

var _ outside.Engine = (*Engine)(nil)

// NewEngine returns an adapter that uses pool.
func NewEngine(pool *Client) *Engine { return &Engine{pool: pool} }

func wireFence(fence outside.Fence) wire.Fence {
	return wire.Fence{Holder: fence.Holder, Epoch: fence.Epoch}
}

// postCommand sends a command to an engine.
func postCommand[Response any](ctx context.Context, engine *Engine, address, path string, body any) (Response, error) {
	return post[Response](ctx, engine.pool, address, path, engine.pool.config.RequestTimeout, body)
}

// Cancel implements outside.Engine.
func (client *Engine) Cancel(ctx context.Context, address, requestID string, fence outside.Fence) error {
	_, err := postCommand[wire.Empty](ctx, client, address, wire.PathCancel,
		wire.CancelRequest{RequestID: requestID, Fence: wireFence(fence)})
	return err
}

// Release implements outside.Engine.
func (client *Engine) Release(ctx context.Context, address, program string, fence outside.Fence) error {
	_, err := postCommand[wire.BlocksResponse](ctx, client, address, wire.PathRelease,
		wire.ProgramRequest{Program: program, Fence: wireFence(fence)})
	return err
}

// Export implements outside.Engine.
func (client *Engine) Export(ctx context.Context, address, program string, fence outside.Fence) ([]byte, error) {
	response, err := postCommand[wire.ExportResponse](ctx, client, address, wire.PathExport,
		wire.ProgramRequest{Program: program, Fence: wireFence(fence)})
	return response.Content, err
}

// Import implements outside.Engine.
func (client *Engine) Import(ctx context.Context, address, program string, content []byte, fence outside.Fence) error {
	_, err := postCommand[wire.BlocksResponse](ctx, client, address, wire.PathImport,
		wire.ImportRequest{Program: program, Content: content, Fence: wireFence(fence)})
	return err
}

// Load implements outside.Engine.
func (client *Engine) Load(ctx context.Context, address, model, adapter, version string, fence outside.Fence) error {
	_, err := postCommand[wire.Empty](ctx, client, address, wire.PathLoad,
		wire.LoadRequest{Model: model, Adapter: adapter, Version: version, Fence: wireFence(fence)})
	return err
}

// SetRole implements outside.Engine.
func (client *Engine) SetRole(ctx context.Context, address, role string, fence outside.Fence) error {
	_, err := postCommand[wire.Empty](ctx, client, address, wire.PathRole,
		wire.RoleRequest{Role: role, Fence: wireFence(fence)})
	return err
}

// Events implements outside.Engine.
func (client *Engine) Events(ctx context.Context, address string, after uint64, limit int) ([]outside.CacheEvent, error) {
	response, err := get[wire.EventsResponse](ctx, client.pool, address, wire.PathEvents, url.Values{
		wire.ParameterAfter: {strconv.FormatUint(after, 10)},
		wire.ParameterLimit: {strconv.Itoa(limit)},
	})
	if err != nil {
		return nil, err
	}
	events := make([]outside.CacheEvent, len(response.Events))
	for index, event := range response.Events {
		events[index] = outside.CacheEvent(event)
	}
	return events, nil
}
