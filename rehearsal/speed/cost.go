package speed

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/rehearsal/cluster"
	"github.com/magpielug/magpielug/rehearsal/usage"
)

const (
	procDirectory = "/proc"
	// outputTokens is the output length of each call of a Load.
	outputTokens = 40
)

// Cost is the total resource use of the processes of one role, averaged over a
// measurement.
type Cost struct {
	Role      outside.MachineRole
	Processes int
	// The read and write rates count the bytes of system calls.
	CPUCores, ReadBytesPerSecond, WrittenBytesPerSecond float64
	// ResidentBytes is the resident memory.
	ResidentBytes float64
}

// MeasureCosts measures the resource use of schedulers and gateways over duration.
func MeasureCosts(ctx context.Context, started *cluster.Cluster, duration time.Duration) ([]Cost, error) {
	var costs []Cost
	var processes []int
	var roles []int
	pids := started.PIDs()
	for index, role := range []outside.MachineRole{outside.RoleScheduler, outside.RoleGateway} {
		costs = append(costs, Cost{Role: role})
		for _, machine := range started.Plan().Machines() {
			if pid, found := pids[machine.ID]; found && machine.Role == role {
				costs[index].Processes++
				processes = append(processes, pid)
				roles = append(roles, index)
			}
		}
	}
	rates, err := usage.MeasureRates(ctx, procDirectory, processes, duration)
	if err != nil {
		return nil, err
	}
	for index, rate := range rates {
		cost := &costs[roles[index]]
		cost.CPUCores += rate.CPUCores
		cost.ReadBytesPerSecond += rate.ReadBytesPerSecond
		cost.WrittenBytesPerSecond += rate.WriteBytesPerSecond
		cost.ResidentBytes += float64(rate.ResidentBytes)
	}
	return costs, nil
}

// Load starts calls over a path at a constant rate, independent of their completion,
// and counts them.
type Load struct {
	Path           CallPath
	Client         *http.Client
	CallsPerSecond float64
	started        atomic.Int64
	failed         atomic.Int64
}

// Counts returns the number of calls started and failed so far.
func (load *Load) Counts() (started, failed int64) { return load.started.Load(), load.failed.Load() }

// Run starts calls until ctx is done, then waits for those in flight.
func (load *Load) Run(ctx context.Context) {
	var group sync.WaitGroup
	probe := probe{path: load.Path, client: load.Client}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / load.CallsPerSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			group.Wait()
			return
		case <-ticker.C:
		}
		group.Add(1)
		number := uint64(load.started.Add(1))
		go func() {
			defer group.Done()
			if _, err := probe.measure(context.WithoutCancel(ctx), number, outputTokens); err != nil {
				load.failed.Add(1)
			}
		}()
	}
}

// CostHeader is the Markdown header of the rows of WriteCosts.
const CostHeader = "| load | role | processes | total CPU cores | read kB/s | written kB/s | resident MB per process | CPU ms per call |\n" +
	"|---|---|---|---|---|---|---|---|\n"

// WriteCosts writes a Markdown row for each role. With callsPerSecond above 0 and
// idle given, the row includes the CPU time per call beyond the idle use.
func WriteCosts(out io.Writer, load string, costs, idle []Cost, callsPerSecond float64) {
	const kilo, mega = 1e3, 1e6
	for index, cost := range costs {
		perCall := "–"
		if callsPerSecond > 0 && idle != nil {
			perCall = fmt.Sprintf("%.2f", (cost.CPUCores-idle[index].CPUCores)*kilo/callsPerSecond)
		}
		row := []string{
			load, string(cost.Role), fmt.Sprint(cost.Processes), fmt.Sprintf("%.4f", cost.CPUCores),
			fmt.Sprintf("%.1f", cost.ReadBytesPerSecond/kilo), fmt.Sprintf("%.1f", cost.WrittenBytesPerSecond/kilo),
			fmt.Sprintf("%.1f", cost.ResidentBytes/mega/float64(cost.Processes)), perCall,
		}
		fmt.Fprintf(out, "| %s |\n", strings.Join(row, " | "))
	}
}
