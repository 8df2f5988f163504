// Package logservice is a stand-in for the platform's append-only log service: in-memory
// streams of records with offsets from 0. Its wire format is described in
// docs/INTERFACES.md.
package logservice

import (
	"cmp"
	"net/http"
	"slices"
	"sync"

	"github.com/magpielug/magpielug/internal/outside/wire"
	"github.com/magpielug/magpielug/rehearsal/standin/fault"
	"github.com/magpielug/magpielug/rehearsal/standin/reply"
)

const (
	defaultReadLimit = 256
	maxReadLimit     = 4096
	// maxReadBytes bounds a response, which holds at least one record.
	maxReadBytes = 4 << 20
	// DefaultMaxBytes bounds the total size of the records.
	DefaultMaxBytes = 1 << 30
)

// Config configures the log.
type Config struct {
	// MaxBytes bounds the total size of the records; further appends are rejected. 0 means
	// DefaultMaxBytes.
	MaxBytes int
}

// Log is a stand-in log. It is safe for concurrent use.
type Log struct {
	config  Config
	faults  *fault.Injector
	lock    sync.Mutex
	streams map[string][][]byte
	bytes   int
}

// New returns an empty log.
func New(config Config) *Log {
	if config.MaxBytes <= 0 {
		config.MaxBytes = DefaultMaxBytes
	}
	return &Log{config: config, faults: fault.NewInjector(), streams: make(map[string][][]byte)}
}

// Faults returns the log's fault injector.
func (log *Log) Faults() *fault.Injector { return log.faults }

// Handler serves the log's HTTP interface.
func (log *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	reply.HandlePost(mux, wire.PathLogAppend, log.append)
	reply.HandleGet(mux, wire.PathLogRead, log.read)
	reply.HandleGet(mux, wire.PathLogStreams, log.listStreams)
	return log.faults.Handler(mux)
}

func (log *Log) append(request wire.AppendRequest) (wire.AppendResponse, error) {
	if request.Stream == "" {
		return wire.AppendResponse{}, reply.BadRequest("stream is empty")
	}
	log.lock.Lock()
	defer log.lock.Unlock()
	if log.bytes+len(request.Data) > log.config.MaxBytes {
		return wire.AppendResponse{}, reply.NotRun(http.StatusInsufficientStorage, wire.CodeUnavailable, "the log is full")
	}
	log.bytes += len(request.Data)
	records := log.streams[request.Stream]
	log.streams[request.Stream] = append(records, request.Data)
	offset := uint64(len(records))
	return wire.AppendResponse{Offset: &offset}, nil
}

func (log *Log) read(request *http.Request) (wire.ReadResponse, error) {
	offset, err := reply.UintParameter(request, wire.ParameterOffset, 0)
	if err != nil {
		return wire.ReadResponse{}, err
	}
	limit, err := reply.UintParameter(request, wire.ParameterLimit, defaultReadLimit)
	if err != nil {
		return wire.ReadResponse{}, err
	}
	log.lock.Lock()
	records := log.streams[request.URL.Query().Get(wire.ParameterStream)]
	log.lock.Unlock()
	// Records are immutable, so the slice can be read without the lock.
	response := wire.ReadResponse{Records: []wire.Record{}}
	bytes := 0
	for offset < uint64(len(records)) && uint64(len(response.Records)) < min(limit, maxReadLimit) {
		data := records[offset]
		if bytes > 0 && bytes+len(data) > maxReadBytes {
			break
		}
		bytes += len(data)
		response.Records = append(response.Records, wire.Record{Offset: offset, Data: data})
		offset++
	}
	return response, nil
}

func (log *Log) listStreams(*http.Request) (wire.StreamsResponse, error) {
	log.lock.Lock()
	defer log.lock.Unlock()
	response := wire.StreamsResponse{Streams: []wire.StreamState{}}
	for stream, records := range log.streams {
		response.Streams = append(response.Streams, wire.StreamState{Stream: stream, Next: uint64(len(records))})
	}
	slices.SortFunc(response.Streams, func(left, right wire.StreamState) int {
		return cmp.Compare(left.Stream, right.Stream)
	})
	return response, nil
}
