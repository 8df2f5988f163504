package capacity

// Limits of the target for control, a process each.
const (
	limitControlBytes = 12000
	// limitProcessor is 1.5% of a core, in µs a second.
	limitProcessor = 15000
	limitMemory    = 256_000_000
)

// limitOf returns a resource's limit for one process, 0 for none.
func limitOf(resource Resource) float64 {
	switch resource {
	case ControlBytes:
		return limitControlBytes
	case ControlProcessor:
		return limitProcessor
	case Memory:
		return limitMemory
	default:
		return 0
	}
}

// Total is the sum of a process's rows for one resource with a limit.
type Total struct {
	Process  string
	Resource Resource
	Today    float64
	Planned  float64
	Limit    float64
	// Basis is the weakest basis of the rows.
	Basis Basis
	// Largest is the row that counts most today.
	Largest Row
}

// processes lists what runs, with the roles that each plays. A scheduler that
// keeps no pool plays all roles but the keeper's.
var processes = []struct {
	name  string
	roles map[Role]bool
}{
	{"gateway", map[Role]bool{RoleGateway: true}},
	{"scheduler without a pool", map[Role]bool{RoleCommon: true, RoleMember: true, RoleLeader: true, RoleLedger: true}},
	{"scheduler that keeps a pool", map[Role]bool{RoleCommon: true, RoleMember: true, RoleLeader: true, RoleLedger: true, RoleKeeper: true}},
}

// Totals sums the rows up for each process and each resource with a limit.
func Totals(rows []Row) []Total {
	var totals []Total
	for _, process := range processes {
		for _, resource := range []Resource{ControlBytes, ControlProcessor, Memory} {
			total := Total{Process: process.name, Resource: resource, Limit: limitOf(resource)}
			for _, row := range rows {
				if row.Resource == resource && process.roles[row.Role] {
					total.add(row)
				}
			}
			totals = append(totals, total)
		}
	}
	return totals
}

func (total *Total) add(row Row) {
	total.Today += row.Today.Value
	total.Planned += row.Planned.Value
	total.Basis = max(total.Basis, row.Today.Basis)
	if row.Today.Value > total.Largest.Today.Value {
		total.Largest = row
	}
}
