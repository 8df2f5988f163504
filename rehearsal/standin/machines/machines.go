// Package machines is a stand-in for the platform's machine list, which shows every change
// after a configurable lag. Its wire format is described in docs/INTERFACES.md.
package machines

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/outside/wire"
	"github.com/magpielug/magpielug/rehearsal/standin/fault"
	"github.com/magpielug/magpielug/rehearsal/standin/reply"
)

// Endpoints that change the list.
const (
	PathRegister = "/admin/register"
	PathLeave    = "/admin/leave"
	PathRemove   = "/admin/remove"
	PathLag      = "/admin/lag"
)

// maxVersions bounds the retained versions. With more changes than that within the lag,
// the oldest become visible early.
const maxVersions = 4096

// Config configures the list.
type Config struct {
	// Lag is the delay until a change is visible.
	Lag time.Duration
	// Machines are the initial entries.
	Machines []wire.Machine
}

// MachineID is the body of PathLeave and PathRemove.
type MachineID struct {
	ID string `json:"id"`
}

// LagRequest is the body of PathLag.
type LagRequest struct {
	LagMillis int64 `json:"lag_ms"`
}

// version is an immutable snapshot of the list, valid from a point in time.
type version struct {
	validFrom time.Time
	machines  map[string]wire.Machine
}

// List is a stand-in machine list. It is safe for concurrent use.
type List struct {
	faults   *fault.Injector
	lock     sync.Mutex
	lag      time.Duration
	versions []version
}

// New returns a list with the configured machines.
func New(config Config) *List {
	initial := make(map[string]wire.Machine, len(config.Machines))
	for _, machine := range config.Machines {
		if machine.State == "" {
			machine.State = string(outside.MachineLive)
		}
		initial[machine.ID] = machine
	}
	return &List{
		faults:   fault.NewInjector(),
		lag:      config.Lag,
		versions: []version{{machines: initial}},
	}
}

// Faults returns the list's fault injector.
func (list *List) Faults() *fault.Injector { return list.faults }

// Handler serves the list's HTTP interface.
func (list *List) Handler() http.Handler {
	mux := http.NewServeMux()
	reply.HandleGetWithETag(mux, wire.PathMachines, func(*http.Request) (wire.MachinesResponse, error) {
		return wire.MachinesResponse{Machines: list.visibleAt(time.Now())}, nil
	}, func(answer wire.MachinesResponse) wire.MachinesResponse { return answer })
	reply.HandlePost(mux, PathRegister, func(machine wire.Machine) (wire.Empty, error) { return wire.Empty{}, list.Register(machine) })
	reply.HandlePost(mux, PathLeave, func(request MachineID) (wire.Empty, error) { return wire.Empty{}, list.Leave(request.ID) })
	reply.HandlePost(mux, PathRemove, func(request MachineID) (wire.Empty, error) { return wire.Empty{}, list.Remove(request.ID) })
	reply.HandlePost(mux, PathLag, func(request LagRequest) (LagRequest, error) {
		return request, list.SetLag(time.Duration(request.LagMillis) * time.Millisecond)
	})
	return list.faults.Handler(mux)
}

// Register adds a machine or replaces its entry; an empty state means live.
func (list *List) Register(machine wire.Machine) error {
	if machine.ID == "" || machine.Address == "" || machine.Role == "" {
		return reply.BadRequest("id, role and address must not be empty")
	}
	if machine.State == "" {
		machine.State = string(outside.MachineLive)
	}
	return list.update(func(machines map[string]wire.Machine) error {
		machines[machine.ID] = machine
		return nil
	})
}

// Leave marks a machine as leaving.
func (list *List) Leave(id string) error {
	return list.update(func(machines map[string]wire.Machine) error {
		machine, found := machines[id]
		if !found {
			return notFound(id)
		}
		machine.State = string(outside.MachineLeaving)
		machines[id] = machine
		return nil
	})
}

// Remove deletes a machine from the list.
func (list *List) Remove(id string) error {
	return list.update(func(machines map[string]wire.Machine) error {
		if _, found := machines[id]; !found {
			return notFound(id)
		}
		delete(machines, id)
		return nil
	})
}

// SetLag changes the delay until changes are visible.
func (list *List) SetLag(lag time.Duration) error {
	if lag < 0 {
		return reply.BadRequest("the lag must not be negative")
	}
	list.lock.Lock()
	defer list.lock.Unlock()
	list.lag = lag
	return nil
}

func notFound(id string) error {
	return reply.NotRun(http.StatusNotFound, wire.CodeNotFound, "no machine "+id)
}

// update appends a version derived from the latest one.
func (list *List) update(apply func(map[string]wire.Machine) error) error {
	list.lock.Lock()
	defer list.lock.Unlock()
	machines := maps.Clone(list.versions[len(list.versions)-1].machines)
	if err := apply(machines); err != nil {
		return err
	}
	list.versions = append(list.versions, version{validFrom: time.Now(), machines: machines})
	if len(list.versions) > maxVersions {
		list.versions = list.versions[1:]
	}
	return nil
}

// visibleAt returns the machines visible at now, sorted by id.
func (list *List) visibleAt(now time.Time) []wire.Machine {
	list.lock.Lock()
	defer list.lock.Unlock()
	cutoff := now.Add(-list.lag)
	visible := list.versions[0]
	for _, candidate := range list.versions[1:] {
		if candidate.validFrom.After(cutoff) {
			break
		}
		visible = candidate
	}
	machines := make([]wire.Machine, 0, len(visible.machines))
	for _, machine := range visible.machines {
		machines = append(machines, machine)
	}
	slices.SortFunc(machines, func(left, right wire.Machine) int { return strings.Compare(left.ID, right.ID) })
	return machines
}
