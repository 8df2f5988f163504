// Package machines is a stand-in for the platform's list of live and leaving
// machines, which shows every change a settable lag late. Its wire shapes stand
// in docs/INTERFACES.md.
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

// Endpoints by which tests and the rehearsal change the list.
const (
	PathRegister = "/admin/register"
	PathLeave    = "/admin/leave"
	PathRemove   = "/admin/remove"
	PathLag      = "/admin/lag"
)

// keptVersions bounds the past lists; with more changes inside the lag the
// oldest are shown early.
const keptVersions = 4096

// Config is one stand-in list.
type Config struct {
	// Lag is how late a change shows.
	Lag time.Duration
	// Machines are listed from the start.
	Machines []wire.Machine
}

// MachineID is the body of PathLeave and PathRemove.
type MachineID struct {
	ID string `json:"id"`
}

// LagOrder is the body of PathLag.
type LagOrder struct {
	LagMillis int64 `json:"lag_ms"`
}

// version is the list as it stood from a time on. It is never changed.
type version struct {
	from     time.Time
	machines map[string]wire.Machine
}

// List is one stand-in machine list. It is safe for concurrent use.
type List struct {
	faults   *fault.Injector
	lock     sync.Mutex
	lag      time.Duration
	versions []version
}

// New makes a list with the configured machines.
func New(config Config) *List {
	first := make(map[string]wire.Machine, len(config.Machines))
	for _, machine := range config.Machines {
		if machine.State == "" {
			machine.State = string(outside.MachineLive)
		}
		first[machine.ID] = machine
	}
	return &List{
		faults:   fault.NewInjector(),
		lag:      config.Lag,
		versions: []version{{machines: first}},
	}
}

// Faults returns the list's fault injector.
func (list *List) Faults() *fault.Injector { return list.faults }

// Handler serves the list's HTTP interface.
func (list *List) Handler() http.Handler {
	mux := http.NewServeMux()
	reply.HandleGetWithETag(mux, wire.PathMachines, func(*http.Request) (wire.MachinesAnswer, error) {
		return wire.MachinesAnswer{Machines: list.shown(time.Now())}, nil
	}, func(answer wire.MachinesAnswer) wire.MachinesAnswer { return answer })
	reply.HandlePost(mux, PathRegister, func(machine wire.Machine) (wire.Empty, error) { return wire.Empty{}, list.Register(machine) })
	reply.HandlePost(mux, PathLeave, func(order MachineID) (wire.Empty, error) { return wire.Empty{}, list.Leave(order.ID) })
	reply.HandlePost(mux, PathRemove, func(order MachineID) (wire.Empty, error) { return wire.Empty{}, list.Remove(order.ID) })
	reply.HandlePost(mux, PathLag, func(order LagOrder) (LagOrder, error) {
		return order, list.SetLag(time.Duration(order.LagMillis) * time.Millisecond)
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
	return list.change(func(machines map[string]wire.Machine) error {
		machines[machine.ID] = machine
		return nil
	})
}

// Leave marks a machine as leaving.
func (list *List) Leave(id string) error {
	return list.change(func(machines map[string]wire.Machine) error {
		machine, found := machines[id]
		if !found {
			return unknown(id)
		}
		machine.State = string(outside.MachineLeaving)
		machines[id] = machine
		return nil
	})
}

// Remove takes a machine off the list.
func (list *List) Remove(id string) error {
	return list.change(func(machines map[string]wire.Machine) error {
		if _, found := machines[id]; !found {
			return unknown(id)
		}
		delete(machines, id)
		return nil
	})
}

// SetLag changes how late changes show.
func (list *List) SetLag(lag time.Duration) error {
	if lag < 0 {
		return reply.BadRequest("the lag must not be negative")
	}
	list.lock.Lock()
	defer list.lock.Unlock()
	list.lag = lag
	return nil
}

func unknown(id string) error {
	return reply.NotRun(http.StatusNotFound, wire.CodeNotFound, "no machine "+id)
}

// change adds a version made from the newest one.
func (list *List) change(edit func(map[string]wire.Machine) error) error {
	list.lock.Lock()
	defer list.lock.Unlock()
	machines := maps.Clone(list.versions[len(list.versions)-1].machines)
	if err := edit(machines); err != nil {
		return err
	}
	list.versions = append(list.versions, version{from: time.Now(), machines: machines})
	if len(list.versions) > keptVersions {
		list.versions = list.versions[1:]
	}
	return nil
}

// shown returns the machines as the list shows them at now, by id.
func (list *List) shown(now time.Time) []wire.Machine {
	list.lock.Lock()
	defer list.lock.Unlock()
	due := now.Add(-list.lag)
	newest := list.versions[0]
	for _, candidate := range list.versions[1:] {
		if candidate.from.After(due) {
			break
		}
		newest = candidate
	}
	machines := make([]wire.Machine, 0, len(newest.machines))
	for _, machine := range newest.machines {
		machines = append(machines, machine)
	}
	slices.SortFunc(machines, func(left, right wire.Machine) int { return strings.Compare(left.ID, right.ID) })
	return machines
}
