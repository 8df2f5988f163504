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

// Log is the adapter of the append-only log service.
type Log struct {
	pool    *Client
	address string
}

// Machines is the adapter of the machine list. It is safe for concurrent use.
type Machines struct {
	pool    *Client
	address string
	// last is the list read last, with its entity tag.
	last atomic.Pointer[taggedMachines]
}

// taggedMachines is never changed.
type taggedMachines struct {
	tag      string
	machines []outside.Machine
}

// Weights is the adapter of the weight store.
type Weights struct {
	pool    *Client
	address string
}

// Tool is the adapter of application and tool services.
type Tool struct{ pool *Client }

var (
	_ outside.Log      = (*Log)(nil)
	_ outside.Machines = (*Machines)(nil)
	_ outside.Weights  = (*Weights)(nil)
	_ outside.Tool     = (*Tool)(nil)
)

// NewLog makes the adapter of the log service at address (host:port).
func NewLog(pool *Client, address string) *Log { return &Log{pool: pool, address: address} }

// NewMachines makes the adapter of the machine list at address.
func NewMachines(pool *Client, address string) *Machines {
	return &Machines{pool: pool, address: address}
}

// NewWeights makes the adapter of the weight store at address.
func NewWeights(pool *Client, address string) *Weights {
	return &Weights{pool: pool, address: address}
}

// NewTool makes the adapter of tool services.
func NewTool(pool *Client) *Tool { return &Tool{pool: pool} }

// Append implements outside.Log.
func (client *Log) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	answer, err := post[wire.AppendAnswer](ctx, client.pool, client.address, wire.PathLogAppend,
		client.pool.config.OrderTimeout, wire.AppendRequest{Stream: stream, Data: data})
	if err != nil {
		return 0, err
	}
	if answer.Offset == nil {
		return 0, target{operation: wire.PathLogAppend, address: client.address}.malformed(errFieldMissing)
	}
	return *answer.Offset, nil
}

// Read implements outside.Log. An answer whose offsets are not those asked
// for, in order, is malformed.
func (client *Log) Read(ctx context.Context, stream string, offset uint64, limit int) ([]outside.Record, error) {
	answer, err := get[wire.ReadAnswer](ctx, client.pool, client.address, wire.PathLogRead, url.Values{
		wire.ParameterStream: {stream},
		wire.ParameterOffset: {strconv.FormatUint(offset, 10)},
		wire.ParameterLimit:  {strconv.Itoa(limit)},
	})
	if err != nil {
		return nil, err
	}
	at := target{operation: wire.PathLogRead, address: client.address}
	if answer.Records == nil {
		return nil, at.malformed(errFieldMissing)
	}
	records := make([]outside.Record, len(answer.Records))
	for place, record := range answer.Records {
		due := offset + uint64(place)
		if record.Offset != due {
			return nil, at.malformed(fmt.Errorf("record %d came where %d was due", record.Offset, due))
		}
		records[place] = outside.Record{Offset: record.Offset, Data: record.Data}
	}
	return records, nil
}

// List implements outside.Machines. A list that has not changed since the last
// read is neither sent nor decoded, where the platform gives entity tags: then
// the same slice is returned, which must not be changed.
func (client *Machines) List(ctx context.Context) ([]outside.Machine, error) {
	last := client.last.Load()
	known := ""
	if last != nil {
		known = last.tag
	}
	answered, err := getChanged[wire.MachinesAnswer](ctx, client.pool, client.address, wire.PathMachines, nil, known)
	if err != nil {
		return nil, err
	}
	if answered.unchanged {
		return last.machines, nil
	}
	if answered.answer.Machines == nil {
		return nil, target{operation: wire.PathMachines, address: client.address}.malformed(errFieldMissing)
	}
	machines := machinesOf(answered.answer)
	client.last.Store(&taggedMachines{tag: answered.tag, machines: machines})
	return machines, nil
}

func machinesOf(answer wire.MachinesAnswer) []outside.Machine {
	machines := make([]outside.Machine, len(answer.Machines))
	for place, machine := range answer.Machines {
		machines[place] = outside.Machine{
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
	answer, err := post[wire.ReserveAnswer](ctx, client.pool, client.address, wire.PathWeightsReserve,
		client.pool.config.OrderTimeout, wire.ReserveRequest{Model: model, Version: version})
	if err != nil {
		return false, 0, err
	}
	return answer.Granted, time.Duration(answer.WaitMillis) * time.Millisecond, nil
}

// Call implements outside.Tool.
func (client *Tool) Call(ctx context.Context, address string, request outside.ToolRequest) (string, error) {
	answer, err := post[wire.ToolAnswer](ctx, client.pool, address, wire.PathToolCall,
		client.pool.config.ToolTimeout, wire.ToolRequest(request))
	if err != nil {
		return "", err
	}
	if answer.Output == nil {
		return "", target{operation: wire.PathToolCall, address: address}.malformed(errFieldMissing)
	}
	return *answer.Output, nil
}
