package httpadapter

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/outside/wire"
)

// Log is the adapter for the append-only log service.
type Log struct {
	pool    *Client
	address string
}

// Machines is the adapter for the machine list. It is safe for concurrent use.
type Machines struct {
	pool    *Client
	address string
	// last is the most recent list with its entity tag; nil before the first.
	last atomic.Pointer[taggedMachines]
}

// taggedMachines is immutable.
type taggedMachines struct {
	tag      string
	machines []outside.Machine
}

// Weights is the adapter for the weight store.
type Weights struct {
	pool    *Client
	address string
}

// Tool is the adapter for application and tool services.
type Tool struct{ pool *Client }

var (
	_ outside.Log      = (*Log)(nil)
	_ outside.Machines = (*Machines)(nil)
	_ outside.Weights  = (*Weights)(nil)
	_ outside.Tool     = (*Tool)(nil)
)

// NewLog returns an adapter for the log service at address (host:port).
func NewLog(pool *Client, address string) *Log { return &Log{pool: pool, address: address} }

// NewMachines returns an adapter for the machine list at address (host:port).
func NewMachines(pool *Client, address string) *Machines {
	return &Machines{pool: pool, address: address}
}

// NewWeights returns an adapter for the weight store at address (host:port).
func NewWeights(pool *Client, address string) *Weights {
	return &Weights{pool: pool, address: address}
}

// NewTool returns an adapter for tool services.
func NewTool(pool *Client) *Tool { return &Tool{pool: pool} }

// Append implements outside.Log.
func (client *Log) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	response, err := post[wire.AppendResponse](ctx, client.pool, client.address, wire.PathLogAppend,
		client.pool.config.RequestTimeout, wire.AppendRequest{Stream: stream, Data: data})
	if err != nil {
		return 0, err
	}
	if response.Offset == nil {
		return 0, endpoint{operation: wire.PathLogAppend, address: client.address}.malformed(errMissingField)
	}
	return *response.Offset, nil
}

// Read implements outside.Log. A response is malformed unless its offsets are consecutive
// and start at offset.
func (client *Log) Read(ctx context.Context, stream string, offset uint64, limit int) ([]outside.Record, error) {
	response, err := get[wire.ReadResponse](ctx, client.pool, client.address, wire.PathLogRead, url.Values{
		wire.ParameterStream: {stream},
		wire.ParameterOffset: {strconv.FormatUint(offset, 10)},
		wire.ParameterLimit:  {strconv.Itoa(limit)},
	})
	if err != nil {
		return nil, err
	}
	target := endpoint{operation: wire.PathLogRead, address: client.address}
	if response.Records == nil {
		return nil, target.malformed(errMissingField)
	}
	records := make([]outside.Record, len(response.Records))
	for index, record := range response.Records {
		expected := offset + uint64(index)
		if record.Offset != expected {
			return nil, target.malformed(fmt.Errorf("out-of-order log record: got offset %d, expected %d", record.Offset, expected))
		}
		records[index] = outside.Record{Offset: record.Offset, Data: record.Data}
	}
	return records, nil
}

// List implements outside.Machines. If the platform supports entity tags, an unchanged
// list is not sent again and List returns the same slice. Callers must not modify it.
func (client *Machines) List(ctx context.Context) ([]outside.Machine, error) {
	last := client.last.Load()
	tag := ""
	if last != nil {
		tag = last.tag
	}
	result, err := getIfChanged[wire.MachinesResponse](ctx, client.pool, client.address, wire.PathMachines, nil, tag)
	if err != nil {
		return nil, err
	}
	if result.unchanged {
		return last.machines, nil
	}
	if result.body.Machines == nil {
		return nil, endpoint{operation: wire.PathMachines, address: client.address}.malformed(errMissingField)
	}
	machines := machineList(result.body)
	client.last.Store(&taggedMachines{tag: result.tag, machines: machines})
	return machines, nil
}

func machineList(response wire.MachinesResponse) []outside.Machine {
	machines := make([]outside.Machine, len(response.Machines))
	for index, machine := range response.Machines {
		machines[index] = outside.Machine{
			ID:      machine.ID,
			Role:    outside.MachineRole(machine.Role),
			Region:  machine.Region,
			Zone:    machine.Zone,
			Address: machine.Address,
			State:   outside.MachineState(machine.State),
			Service: machine.Service,
		}
	}
	return machines
}

// Reserve implements outside.Weights.
func (client *Weights) Reserve(ctx context.Context, model, version string) (granted bool, wait time.Duration, err error) {
	response, err := post[wire.ReserveResponse](ctx, client.pool, client.address, wire.PathWeightsReserve,
		client.pool.config.RequestTimeout, wire.ReserveRequest{Model: model, Version: version})
	if err != nil {
		return false, 0, err
	}
	return response.Granted, time.Duration(response.WaitMillis) * time.Millisecond, nil
}

// Call implements outside.Tool.
func (client *Tool) Call(ctx context.Context, address string, request outside.ToolRequest) (string, error) {
	response, err := post[wire.ToolResponse](ctx, client.pool, address, wire.PathToolCall,
		client.pool.config.ToolTimeout, wire.ToolRequest(request))
	if err != nil {
		return "", err
	}
	if response.Output == nil {
		return "", endpoint{operation: wire.PathToolCall, address: address}.malformed(errMissingField)
	}
	return *response.Output, nil
}
