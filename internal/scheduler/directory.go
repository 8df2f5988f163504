package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/magpielug/magpielug/internal/outside"
)

// directory is what the process knows about other machines: their existence from the machine
// list, their liveness from messages, and the shards' leaders from hints.
type directory struct {
	self       string
	listed     []outside.Machine
	schedulers map[string]outside.Machine
	engines    map[string]outside.Machine
	tools      map[string]outside.Machine
	peers      map[string]peer
	// leaders holds the last known leader of each shard.
	leaders map[uint32]string
}

// peer is a scheduler process that has been heard from.
type peer struct {
	incarnation string
	lastHeard   time.Duration
}

func newDirectory(self string) *directory {
	return &directory{
		self:       self,
		schedulers: make(map[string]outside.Machine),
		engines:    make(map[string]outside.Machine),
		tools:      make(map[string]outside.Machine),
		peers:      make(map[string]peer),
		leaders:    make(map[uint32]string),
	}
}

// update replaces the machine list and reports whether it has changed.
func (directory *directory) update(machines []outside.Machine) bool {
	if slices.Equal(machines, directory.listed) {
		return false
	}
	directory.listed = slices.Clone(machines)
	directory.schedulers = byRole(machines, outside.RoleScheduler)
	directory.engines = byRole(machines, outside.RoleEngine)
	directory.tools = byRole(machines, outside.RoleTool)
	return true
}

func byRole(machines []outside.Machine, role outside.MachineRole) map[string]outside.Machine {
	found := make(map[string]outside.Machine)
	for _, machine := range machines {
		if machine.Role == role {
			found[machine.ID] = machine
		}
	}
	return found
}

// heard records a message from a peer.
func (directory *directory) heard(process, incarnation string, now time.Duration) {
	directory.peers[process] = peer{incarnation: incarnation, lastHeard: now}
}

// alive reports whether the process was heard from within the bound.
func (directory *directory) alive(process string, now, bound time.Duration) bool {
	if process == directory.self {
		return true
	}
	known, found := directory.peers[process]
	return found && now-known.lastHeard <= bound
}

// address returns a scheduler's address, or "" if it is unknown.
func (directory *directory) address(process string) string {
	return directory.schedulers[process].Address
}

// toolsOf lists the live back ends of a tool service, sorted by id.
func (directory *directory) toolsOf(service string) []outside.Machine {
	var found []outside.Machine
	for _, machine := range directory.tools {
		if machine.Service == service && machine.State == outside.MachineLive {
			found = append(found, machine)
		}
	}
	sortMachines(found)
	return found
}

// sorted lists machines sorted by id.
func sorted(machines map[string]outside.Machine) []outside.Machine {
	list := make([]outside.Machine, 0, len(machines))
	for _, machine := range machines {
		list = append(list, machine)
	}
	sortMachines(list)
	return list
}

func sortMachines(machines []outside.Machine) {
	slices.SortFunc(machines, func(left, right outside.Machine) int {
		return strings.Compare(left.ID, right.ID)
	})
}
