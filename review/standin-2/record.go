package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{file: file, start: time.Now()}, nil
}

// write adds a line with the time since the start.
func (record *record) write(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f %s\n", time.Since(record.start).Seconds(), fmt.Sprintf(format, values...))
}

func (record *record) close() { _ = record.file.Close() }
