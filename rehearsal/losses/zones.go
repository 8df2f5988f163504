package losses

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// maxListedResults is the maximum number of results that are printed.
const maxListedResults = 12

// ZoneCalls counts what the callers of one zone's nodes met. A caller comes to a node of its own zone as
// long as one accepts callers there.
type ZoneCalls struct {
	Zone string
	// Programs counts the programs whose first call a node of the zone took, programs that were told that
	// their budget is spent left out.
	Programs SizeGroup
	Answered int
	// Failed counts failed calls by result.
	Failed map[string]int
}

// zoneReader collects calls by zone.
type zoneReader struct {
	zones    map[string]*ZoneCalls
	programs map[string]*sizedProgram
	// firstZones holds the zone of each program's first call, and when that ended.
	firstZones map[string]firstCall
}

// firstCall is the first call of a program whose line was read.
type firstCall struct {
	zone string
	at   time.Time
}

// ReadZones reads the logs of a run and counts calls and programs by zone, sorted by name.
func ReadZones(source io.Reader) ([]ZoneCalls, error) {
	reader := &zoneReader{zones: map[string]*ZoneCalls{}, programs: map[string]*sizedProgram{}, firstZones: map[string]firstCall{}}
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		entry, valid := parseEntry(scanner.Text())
		if valid && entry.zone != "" && (entry.event == eventAnswered || entry.event == eventFailed) {
			reader.observe(entry)
		}
	}
	return reader.collect(), scanner.Err()
}

func (reader *zoneReader) observe(entry logEntry) {
	zone := reader.zones[entry.zone]
	if zone == nil {
		zone = &ZoneCalls{Zone: entry.zone, Failed: map[string]int{}}
		reader.zones[entry.zone] = zone
	}
	if entry.event == eventAnswered {
		zone.Answered++
	} else {
		zone.Failed[entry.result]++
	}
	if entry.program == "" {
		return
	}
	if reader.programs[entry.program] == nil {
		reader.programs[entry.program] = &sizedProgram{}
	}
	reader.programs[entry.program].observe(entry)
	first, known := reader.firstZones[entry.program]
	if received := entry.timestamp.Add(-entry.took); !known || received.Before(first.at) {
		reader.firstZones[entry.program] = firstCall{zone: entry.zone, at: received}
	}
}

func (reader *zoneReader) collect() []ZoneCalls {
	for name, program := range reader.programs {
		if !program.began.IsZero() && !program.budgeted {
			reader.zones[reader.firstZones[name].zone].Programs.add(program)
		}
	}
	var all []ZoneCalls
	for _, name := range slices.Sorted(maps.Keys(reader.zones)) {
		all = append(all, *reader.zones[name])
	}
	return all
}

// WriteZones prints a table of the zones, with the results that failed most calls.
func WriteZones(output io.Writer, all []ZoneCalls) error {
	_, err := fmt.Fprintf(output, "\nby zone of the node\n%-24s", "")
	row := func(name string, cell func(zone ZoneCalls) string) {
		_, err = fmt.Fprintf(output, "\n%-24s", name)
		for _, zone := range all {
			_, err = fmt.Fprintf(output, "  %-16s", cell(zone))
		}
	}
	total := map[string]int{}
	for _, zone := range all {
		_, err = fmt.Fprintf(output, "  %-16s", zone.Zone)
		for result, count := range zone.Failed {
			total[result] += count
		}
	}
	row("programs served", func(zone ZoneCalls) string { return zone.Programs.String() })
	row("calls answered", func(zone ZoneCalls) string { return fmt.Sprint(zone.Answered) })
	results := slices.SortedFunc(maps.Keys(total), func(left, right string) int { return total[right] - total[left] })
	for _, result := range results[:min(len(results), maxListedResults)] {
		row(result, func(zone ZoneCalls) string { return fmt.Sprint(zone.Failed[result]) })
	}
	_, err = fmt.Fprintln(output)
	return err
}
