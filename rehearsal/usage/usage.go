// Package usage measures the resource usage of running processes from Linux's
// /proc: bytes read and written by system calls (for a process without file I/O,
// its network traffic), CPU time and resident memory.
package usage

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// ticksPerSecond is USER_HZ, the unit of CPU time in /proc.
	ticksPerSecond = 100
	kibibyte       = 1024
	// Indexes of fields in /proc/PID/stat after the command name's closing
	// parenthesis.
	fieldUserTicks   = 11
	fieldSystemTicks = 12
)

// Reading is a process's cumulative usage at one moment.
type Reading struct {
	// BytesRead and BytesWritten count bytes passed through system calls.
	BytesRead    uint64
	BytesWritten uint64
	CPUTime      time.Duration
	// ResidentBytes is the current resident set size.
	ResidentBytes uint64
}

// Rate is a process's average usage between two readings.
type Rate struct {
	PID                 int
	ReadBytesPerSecond  float64
	WriteBytesPerSecond float64
	// CPUCores is the CPU usage in cores.
	CPUCores float64
	// ResidentBytes is the resident set size at the second reading, in bytes.
	ResidentBytes uint64
}

// MeasureRates reads the processes' usage at the start and the end of duration and
// returns their rates, in the order of pids. root is the path of procfs.
func MeasureRates(ctx context.Context, root string, pids []int, duration time.Duration) ([]Rate, error) {
	before, err := readAll(root, pids)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(duration):
	}
	after, err := readAll(root, pids)
	if err != nil {
		return nil, err
	}
	elapsed := time.Since(started).Seconds()
	var rates []Rate
	for index, pid := range pids {
		rates = append(rates, newRate(pid, before[index], after[index], elapsed))
	}
	return rates, nil
}

func newRate(pid int, before, after Reading, elapsed float64) Rate {
	return Rate{
		PID:                 pid,
		ReadBytesPerSecond:  float64(after.BytesRead-before.BytesRead) / elapsed,
		WriteBytesPerSecond: float64(after.BytesWritten-before.BytesWritten) / elapsed,
		CPUCores:            (after.CPUTime - before.CPUTime).Seconds() / elapsed,
		ResidentBytes:       after.ResidentBytes,
	}
}

func readAll(root string, pids []int) ([]Reading, error) {
	var readings []Reading
	for _, pid := range pids {
		reading, err := Read(root, pid)
		if err != nil {
			return nil, eris.Wrapf(err, "process %d", pid)
		}
		readings = append(readings, reading)
	}
	return readings, nil
}

// Read reads the usage of one process. root is the path of procfs.
func Read(root string, pid int) (Reading, error) {
	directory := filepath.Join(root, strconv.Itoa(pid))
	var reading Reading
	for _, field := range []struct {
		file, key string
		value     *uint64
	}{
		{"io", "rchar", &reading.BytesRead},
		{"io", "wchar", &reading.BytesWritten},
		{"status", "VmRSS", &reading.ResidentBytes},
	} {
		value, err := readField(filepath.Join(directory, field.file), field.key)
		if err != nil {
			return Reading{}, err
		}
		*field.value = value
	}
	reading.ResidentBytes *= kibibyte
	cpuTime, err := readCPUTime(filepath.Join(directory, "stat"))
	reading.CPUTime = cpuTime
	return reading, err
}

// readField returns the number of the "key: number" line with the given key.
func readField(path, key string) (uint64, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return 0, eris.Wrap(err, "read process usage")
	}
	for _, line := range strings.Split(string(content), "\n") {
		name, rest, found := strings.Cut(line, ":")
		if !found || name != key {
			continue
		}
		var value uint64
		if _, err := fmt.Sscan(rest, &value); err != nil {
			return 0, eris.Wrapf(err, "parse %s in %s", key, path)
		}
		return value, nil
	}
	return 0, eris.Errorf("no %s in %s", key, path)
}

// readCPUTime returns the sum of user and system time from /proc/PID/stat.
func readCPUTime(path string) (time.Duration, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return 0, eris.Wrap(err, "read process usage")
	}
	// The command name may contain spaces and parentheses.
	nameEnd := strings.LastIndexByte(string(content), ')')
	fields := strings.Fields(string(content[nameEnd+1:]))
	if nameEnd < 0 || len(fields) <= fieldSystemTicks {
		return 0, eris.Errorf("no CPU time in %s", path)
	}
	var ticks uint64
	for _, field := range []string{fields[fieldUserTicks], fields[fieldSystemTicks]} {
		value, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			return 0, eris.Wrapf(err, "parse CPU time in %s", path)
		}
		ticks += value
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}
