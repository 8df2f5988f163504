package main

import (
	"bufio"
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	began time.Time
	file  *os.File
	text  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, text: bufio.NewWriter(file)}, nil
}

// note writes one line, with the time since the start.
func (record *record) note(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.text, "%8.3f %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, arguments...))
}

func (record *record) answer(answer answer) {
	record.note("sent %.3f, answered: %s", answer.sentAt.Sub(record.began).Seconds(), answer)
}

// runs writes the requests that the engines ran.
func (record *record) runs(deployment *deployment) {
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	for _, engine := range deployment.engines {
		for _, run := range engine.Runs() {
			lines = append(lines, line{at: run.ArrivedAt, text: fmt.Sprintf("%8.3f run by %s: %s, body of %d bytes", run.ArrivedAt.Sub(record.began).Seconds(), engine.ID, run.ID, len(run.Body))})
		}
	}
	sort.Slice(lines, func(left, right int) bool { return lines[left].at.Before(lines[right].at) })
	record.mutex.Lock()
	defer record.mutex.Unlock()
	for _, line := range lines {
		fmt.Fprintln(record.text, line.text)
	}
}

func (record *record) close() {
	_ = record.text.Flush()
	_ = record.file.Close()
}
