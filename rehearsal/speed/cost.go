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
	procFolder = "/proc"
	// costTokens is the output of each call whose cost is taken.
	costTokens = 40
)

// Cost is what the processes of one role used together, on average over a while.
type Cost struct {
	Role      outside.MachineRole
	Processes int
	// Processor is in cores, Read and Written in bytes a second.
	Processor, Read, Written float64
	// Resident is in bytes.
	Resident float64
}

// Watch takes what each role of magpielug's own uses for a while.
func Watch(ctx context.Context, running *cluster.Cluster, duration time.Duration) ([]Cost, error) {
	var costs []Cost
	var processes []int
	var roles []int
	pids := running.PIDs()
	for index, role := range []outside.MachineRole{outside.RoleScheduler, outside.RoleGateway} {
		costs = append(costs, Cost{Role: role})
		for _, machine := range running.Plan().Machines() {
			if pid, found := pids[machine.ID]; found && machine.Role == role {
				costs[index].Processes++
				processes = append(processes, pid)
				roles = append(roles, index)
			}
		}
	}
	rates, err := usage.Watch(ctx, procFolder, processes, duration)
	if err != nil {
		return nil, err
	}
	for index, rate := range rates {
		cost := &costs[roles[index]]
		cost.Processor += rate.ProcessorShare
		cost.Read += rate.ReadBytesPerSecond
		cost.Written += rate.WriteBytesPerSecond
		cost.Resident += float64(rate.Resident)
	}
	return costs, nil
}

// Load begins calls of a way at a steady rate until ctx ends, and counts them.
type Load struct {
	Way       Way
	Client    *http.Client
	PerSecond float64
	begun     atomic.Int64
	failed    atomic.Int64
}

// Counts returns the calls begun and failed so far.
func (load *Load) Counts() (begun, failed int64) { return load.begun.Load(), load.failed.Load() }

// Run makes calls until ctx ends, and waits for those under way.
func (load *Load) Run(ctx context.Context) {
	var group sync.WaitGroup
	probe := probe{way: load.Way, client: load.Client}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / load.PerSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			group.Wait()
			return
		case <-ticker.C:
		}
		group.Add(1)
		number := uint64(load.begun.Add(1))
		go func() {
			defer group.Done()
			if _, err := probe.measure(context.WithoutCancel(ctx), number, costTokens); err != nil {
				load.failed.Add(1)
			}
		}()
	}
}

// CostHeader heads the rows of WriteCosts.
const CostHeader = "| load | role | processes | cores together | read kB/s | written kB/s | resident MB each | processor ms a call |\n" +
	"|---|---|---|---|---|---|---|---|\n"

// WriteCosts writes a row for each role. calls is how many were made in a
// second; idle, where given, is what the roles use without them.
func WriteCosts(out io.Writer, load string, costs, idle []Cost, callsPerSecond float64) {
	const kilo, mega = 1e3, 1e6
	for index, cost := range costs {
		perCall := "–"
		if callsPerSecond > 0 && idle != nil {
			perCall = fmt.Sprintf("%.2f", (cost.Processor-idle[index].Processor)*kilo/callsPerSecond)
		}
		row := []string{
			load, string(cost.Role), fmt.Sprint(cost.Processes), fmt.Sprintf("%.4f", cost.Processor),
			fmt.Sprintf("%.1f", cost.Read/kilo), fmt.Sprintf("%.1f", cost.Written/kilo),
			fmt.Sprintf("%.1f", cost.Resident/mega/float64(cost.Processes)), perCall,
		}
		fmt.Fprintf(out, "| %s |\n", strings.Join(row, " | "))
	}
}
