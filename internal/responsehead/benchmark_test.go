package responsehead

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// benchmarkedHead is a head of some 300 bytes.
const benchmarkedHead = "HTTP/1.1 200 OK\r\nRequest-Id: 9c41d07be2a35f68\r\nResponse-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
	"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\nWeight-Versions: 3\r\n" +
	"Cache-Control: no-store\r\nDate: Mon, 07 Dec 2026 12:00:00 GMT\r\n\r\n"

func BenchmarkChecker(b *testing.B) {
	head := []byte(benchmarkedHead)
	for b.Loop() {
		var checker Checker
		checker.Add(head)
		if checker.Err() != nil {
			b.Fatal(checker.Err())
		}
	}
}

// BenchmarkReadResponse is what net/http takes for the same head.
func BenchmarkReadResponse(b *testing.B) {
	source := strings.NewReader(benchmarkedHead)
	reader := bufio.NewReader(source)
	for b.Loop() {
		source.Reset(benchmarkedHead)
		reader.Reset(source)
		_, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
	}
}
