package capacity

import "github.com/rotisserie/eris"

// Role is a part that a process plays.
type Role string

// Roles. A scheduler process plays all but the gateway's and the log's at once.
const (
	RoleGateway Role = "gateway"
	RoleMember  Role = "shard member"
	RoleLeader  Role = "shard leader"
	RoleKeeper  Role = "engine keeper"
	RoleLedger  Role = "ledger holder"
	RoleCommon  Role = "any scheduler"
	RoleLog     Role = "platform's log"
)

// Resource is what a row counts, for one process (for the log: in all).
type Resource string

// Resources. The first three have limits.
const (
	ControlBytes     Resource = "control bytes"
	ControlProcessor Resource = "control processor time"
	Memory           Resource = "memory"
	OutageMemory     Resource = "memory, log away"
	DataBytes        Resource = "data bytes"
	DataProcessor    Resource = "data processor time"
	Operations       Resource = "operations"
)

// unitOf returns the unit that a resource's values are in.
func unitOf(resource Resource) string {
	switch resource {
	case ControlBytes, DataBytes:
		return "B/s"
	case ControlProcessor, DataProcessor:
		return "µs/s"
	case Memory, OutageMemory:
		return "B"
	default:
		return "1/s"
	}
}

// Row is one cost of one role in both designs.
type Row struct {
	Role      Role
	Resource  Resource
	Item      string
	Mechanism string
	Today     Product
	Planned   Product
}

// line is a row for one design.
type line struct {
	role      Role
	resource  Resource
	item      string
	mechanism string
	product   Product
}

// Rows works every row out for both designs.
func Rows(inputs *Inputs) ([]Row, error) {
	today, err := linesOf(inputs, Today)
	if err != nil {
		return nil, err
	}
	planned, err := linesOf(inputs, Planned)
	if err != nil {
		return nil, err
	}
	rows := make([]Row, len(today))
	for index, line := range today {
		rows[index] = Row{
			Role:      line.role,
			Resource:  line.resource,
			Item:      line.item,
			Mechanism: line.mechanism,
			Today:     line.product,
			Planned:   planned[index].product,
		}
	}
	return rows, nil
}

func linesOf(inputs *Inputs, design Design) ([]line, error) {
	model := newModel(inputs, design)
	var lines []line
	for _, part := range []func(*inputModel) []line{
		gatewayLines, memberLines, leaderLines, keeperLines, ledgerLines, commonLines, logLines,
	} {
		lines = append(lines, part(model)...)
	}
	return lines, eris.Wrap(model.check(), "capacity model")
}
