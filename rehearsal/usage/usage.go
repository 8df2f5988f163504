// Package usage reads what running processes use, from Linux's /proc: bytes read
// and written by system calls (which for a process without files is its network
// traffic), processor time and resident memory.
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
	// ticksPerSecond is the unit of processor time in /proc on Linux.
	ticksPerSecond = 100
	kibibyte       = 1024
	// Fields of /proc/PID/stat after the command's closing parenthesis.
	fieldUserTicks   = 11
	fieldSystemTicks = 12
)

// Reading is what a process has used up to one moment.
type Reading struct {
	// BytesRead and BytesWritten count the bytes of system calls.
	BytesRead    uint64
	BytesWritten uint64
	Processor    time.Duration
	// Resident is the memory held, in bytes.
	Resident uint64
}

// Rate is what a process used between two readings.
type Rate struct {
	PID                 int
	ReadBytesPerSecond  float64
	WriteBytesPerSecond float64
	// ProcessorShare is 1 for one whole core.
	ProcessorShare float64
	Resident       uint64
}

// Watch reads the processes now and after a while, and returns the rates.
func Watch(ctx context.Context, root string, processes []int, duration time.Duration) ([]Rate, error) {
	before, err := readAll(root, processes)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(duration):
	}
	after, err := readAll(root, processes)
	if err != nil {
		return nil, err
	}
	elapsed := time.Since(started).Seconds()
	var rates []Rate
	for index, pid := range processes {
		rates = append(rates, rateOf(pid, before[index], after[index], elapsed))
	}
	return rates, nil
}

func rateOf(pid int, before, after Reading, elapsed float64) Rate {
	return Rate{
		PID:                 pid,
		ReadBytesPerSecond:  float64(after.BytesRead-before.BytesRead) / elapsed,
		WriteBytesPerSecond: float64(after.BytesWritten-before.BytesWritten) / elapsed,
		ProcessorShare:      (after.Processor - before.Processor).Seconds() / elapsed,
		Resident:            after.Resident,
	}
}

func readAll(root string, processes []int) ([]Reading, error) {
	var readings []Reading
	for _, pid := range processes {
		reading, err := Read(root, pid)
		if err != nil {
			return nil, eris.Wrapf(err, "process %d", pid)
		}
		readings = append(readings, reading)
	}
	return readings, nil
}

// Read takes a reading of one process; root is /proc.
func Read(root string, pid int) (Reading, error) {
	folder := filepath.Join(root, strconv.Itoa(pid))
	var reading Reading
	for _, field := range []struct {
		file, key string
		value     *uint64
	}{
		{"io", "rchar", &reading.BytesRead},
		{"io", "wchar", &reading.BytesWritten},
		{"status", "VmRSS", &reading.Resident},
	} {
		value, err := readField(filepath.Join(folder, field.file), field.key)
		if err != nil {
			return Reading{}, err
		}
		*field.value = value
	}
	reading.Resident *= kibibyte
	processor, err := readProcessor(filepath.Join(folder, "stat"))
	reading.Processor = processor
	return reading, err
}

// readField returns the number after "key:" in a file of such lines.
func readField(path, key string) (uint64, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return 0, eris.Wrap(err, "read usage")
	}
	for _, line := range strings.Split(string(content), "\n") {
		name, rest, found := strings.Cut(line, ":")
		if !found || name != key {
			continue
		}
		var value uint64
		if _, err := fmt.Sscan(rest, &value); err != nil {
			return 0, eris.Wrapf(err, "%s in %s", key, path)
		}
		return value, nil
	}
	return 0, eris.Errorf("no %s in %s", key, path)
}

// readProcessor returns the user and system time of /proc/PID/stat.
func readProcessor(path string) (time.Duration, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return 0, eris.Wrap(err, "read usage")
	}
	// The command's name may hold spaces and parentheses.
	closing := strings.LastIndexByte(string(content), ')')
	fields := strings.Fields(string(content[closing+1:]))
	if closing < 0 || len(fields) <= fieldSystemTicks {
		return 0, eris.Errorf("bad content of %s", path)
	}
	var ticks uint64
	for _, field := range []string{fields[fieldUserTicks], fields[fieldSystemTicks]} {
		value, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			return 0, eris.Wrapf(err, "bad content of %s", path)
		}
		ticks += value
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}
