package losses

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

const (
	// A route's programs are compared by size: the largest tenth, and the fifth of them below it.
	largestShare = 0.1
	nextShare    = 0.2
	// minCompleteShare is the share of its time from the first line to its soft deadline that a complete
	// program takes at least. A request that is lost with its node leaves no line, so a program that ends
	// earlier was cut off. Soft deadlines are 1.3 to 1.6 times the time on idle engines and an objective.
	minCompleteShare = 0.45
	// maxCompleteShare is the share of that time after which a program no longer counts as served.
	maxCompleteShare = 2
)

// SizeGroup counts the programs of one size.
type SizeGroup struct {
	Programs int
	Served   int
}

// ServedShare returns the share of the programs that were served, 0 if there are none.
func (group SizeGroup) ServedShare() float64 {
	if group.Programs == 0 {
		return 0
	}
	return float64(group.Served) / float64(group.Programs)
}

func (group *SizeGroup) add(program *sizedProgram) {
	group.Programs++
	if program.served() {
		group.Served++
	}
}

// RouteSizes counts the programs whose first turn uses a route: all of them, the largest tenth, and the
// fifth below it. The size of a program is the time from its first turn to its soft deadline.
type RouteSizes struct {
	Route   string
	All     SizeGroup
	Largest SizeGroup
	Next    SizeGroup
}

// Ratio returns the served share of the largest tenth as a fraction of that of all programs, 0 if none
// was served.
func (sizes RouteSizes) Ratio() float64 {
	if sizes.All.Served == 0 {
		return 0
	}
	return sizes.Largest.ServedShare() / sizes.All.ServedShare()
}

// sizedProgram is what the lines of a program's calls say of it.
type sizedProgram struct {
	route    string
	size     time.Duration
	began    time.Time
	last     logEntry
	budgeted bool
}

// observe records the line of a call.
func (program *sizedProgram) observe(entry logEntry) {
	received := entry.timestamp.Add(-entry.took)
	if entry.isTurn && entry.programTimeLeft > 0 && (program.began.IsZero() || received.Before(program.began)) {
		program.route, program.size, program.began = entry.route, entry.programTimeLeft, received
	}
	if entry.result == resultBudgetSpent {
		program.budgeted = true
	}
	if !entry.timestamp.Before(program.last.timestamp) {
		program.last = entry
	}
}

// served reports whether the program's last call was answered, neither too early nor too late for the
// end of the program.
func (program *sizedProgram) served() bool {
	took := program.last.timestamp.Sub(program.began)
	return program.last.event == eventAnswered && took >= scale(program.size, minCompleteShare) && took <= scale(program.size, maxCompleteShare)
}

func scale(duration time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(duration))
}

// ReadSizes reads the logs of a run and compares the programs of each route by size. Programs that were
// refused a turn since their budget is spent are left out: most of them loop until then.
func ReadSizes(source io.Reader) ([]RouteSizes, error) {
	programs := map[string]*sizedProgram{}
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		entry, valid := parseEntry(scanner.Text())
		if !valid || entry.program == "" || (entry.event != eventAnswered && entry.event != eventFailed) {
			continue
		}
		if programs[entry.program] == nil {
			programs[entry.program] = &sizedProgram{}
		}
		programs[entry.program].observe(entry)
	}
	return compareSizes(programs), scanner.Err()
}

func compareSizes(programs map[string]*sizedProgram) []RouteSizes {
	byRoute := map[string][]*sizedProgram{}
	for _, program := range programs {
		if !program.began.IsZero() && !program.budgeted {
			byRoute[program.route] = append(byRoute[program.route], program)
		}
	}
	var all []RouteSizes
	for _, route := range slices.Sorted(maps.Keys(byRoute)) {
		all = append(all, compareRoute(route, byRoute[route]))
	}
	return all
}

func compareRoute(route string, programs []*sizedProgram) RouteSizes {
	slices.SortFunc(programs, func(left, right *sizedProgram) int { return cmp.Compare(right.size, left.size) })
	sizes := RouteSizes{Route: route}
	largest := int(largestShare * float64(len(programs)))
	next := largest + int(nextShare*float64(len(programs)))
	for index, program := range programs {
		sizes.All.add(program)
		switch {
		case index < largest:
			sizes.Largest.add(program)
		case index < next:
			sizes.Next.add(program)
		}
	}
	return sizes
}

// WriteSizes prints a line for each route.
func WriteSizes(output io.Writer, all []RouteSizes) error {
	_, err := fmt.Fprintln(output, "\nserved, by size of the program\nroute             all            largest tenth   next fifth      largest/all")
	for _, sizes := range all {
		_, err = fmt.Fprintf(output, "%-16s  %s  %s  %s  %.2f\n", sizes.Route, sizes.All, sizes.Largest, sizes.Next, sizes.Ratio())
	}
	return err
}

// String returns the served share and the number of programs.
func (group SizeGroup) String() string {
	return fmt.Sprintf("%.3f of %-5d", group.ServedShare(), group.Programs)
}
