// Package logstore is an in-memory stand-in for the platform's log store: appends, reads
// and latest records over HTTP, with fault injection.
package logstore

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
)

// Faults is the set of injected faults; the zero value injects none.
type Faults struct {
	// Unavailable rejects every call with status 503, without effect.
	Unavailable bool
	// Stall stalls every call without a response or effect.
	Stall bool
	// DropResponses executes appends and closes the connection without a response.
	DropResponses bool
	// Delay is added to every response.
	Delay time.Duration
	// UnavailablePartitions are the partitions that respond with status 503.
	UnavailablePartitions map[int]bool
}

// Store is a running stand-in.
type Store struct {
	// Log holds the records.
	Log      *durable.Memory
	server   *http.Server
	listener net.Listener
	mutex    sync.Mutex
	faults   Faults
	calls    int
}

const (
	// maxReadWait bounds a long poll.
	maxReadWait = 30 * time.Second
	pathAppend  = "/log-append"
)

// Start serves on address; "127.0.0.1:0" picks a free port.
func Start(address string) (*Store, error) {
	return start(address, durable.NewMemory())
}

// StartEndpoint serves the same records on another address with separate faults, so that a fault
// can be limited to one node.
func (store *Store) StartEndpoint(address string) (*Store, error) {
	return start(address, store.Log)
}

func start(address string, log *durable.Memory) (*Store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	store := &Store{Log: log, listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathAppend, store.withFaults(store.append))
	mux.HandleFunc("GET /log-read", store.withFaults(store.read))
	mux.HandleFunc("GET /log-newest", store.withFaults(store.latest))
	store.server = &http.Server{Handler: mux, ReadHeaderTimeout: maxReadWait}
	go func() { _ = store.server.Serve(listener) }()
	return store, nil
}

// Address returns the listen address, IP:PORT.
func (store *Store) Address() string { return store.listener.Addr().String() }

// Close stops the store and closes its connections.
func (store *Store) Close() { _ = store.server.Close() }

// SetFaults replaces the injected faults.
func (store *Store) SetFaults(faults Faults) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.faults = faults
}

// Calls returns the number of calls received so far.
func (store *Store) Calls() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.calls
}

func (store *Store) recordCall() Faults {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.calls++
	return store.faults
}

// withFaults applies the faults common to all calls.
func (store *Store) withFaults(serve http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		faults := store.recordCall()
		part, _ := strconv.Atoi(request.URL.Query().Get("part"))
		time.Sleep(faults.Delay)
		switch {
		case faults.Stall:
			<-request.Context().Done()
			panic(http.ErrAbortHandler)
		case faults.Unavailable || faults.UnavailablePartitions[part]:
			writer.WriteHeader(http.StatusServiceUnavailable)
		default:
			serve(writer, request)
		}
	}
}

func parsePartition(request *http.Request) durable.Partition {
	query := request.URL.Query()
	number, _ := strconv.Atoi(query.Get("part"))
	return durable.Partition{Topic: query.Get("topic"), Number: number}
}

func parseCondition(request *http.Request) durable.Condition {
	query := request.URL.Query()
	var condition durable.Condition
	if text := query.Get("At"); text != "" {
		expectedEnd, _ := strconv.ParseInt(text, 10, 64)
		condition.ExpectedEnd = &expectedEnd
	}
	if producer := query.Get("producer"); producer != "" {
		epoch, _ := strconv.ParseInt(query.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseInt(query.Get("Sequence"), 10, 64)
		condition.Fence = &durable.Fence{Producer: producer, Epoch: epoch, Sequence: sequence}
	}
	return condition
}

type appendResponse struct {
	Offset      int64  `json:"offset"`
	End         int64  `json:"end"`
	Reason      string `json:"why,omitempty"`
	FirstOffset int64  `json:"first,omitempty"`
}

func writeJSON(writer http.ResponseWriter, status int, response any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(response)
}

func (store *Store) append(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	records, valid := decodeFrames(body)
	if !valid {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	appended, err := store.Log.Append(request.Context(), parsePartition(request), records, parseCondition(request))
	if store.dropsResponses() {
		panic(http.ErrAbortHandler)
	}
	response := appendResponse{Offset: appended.Offset, End: appended.EndOffset}
	switch {
	case err == nil:
		writeJSON(writer, http.StatusOK, response)
	case errors.Is(err, durable.ErrConflict):
		writeJSON(writer, http.StatusPreconditionFailed, response)
	case errors.Is(err, durable.ErrFenced):
		response.Reason = "fenced"
		writeJSON(writer, http.StatusConflict, response)
	default:
		response.Reason = "seq"
		writeJSON(writer, http.StatusConflict, response)
	}
}

func (store *Store) dropsResponses() bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.faults.DropResponses
}

const frameHeaderBytes = 4

// decodeFrames splits a body into length-prefixed records.
func decodeFrames(body []byte) ([][]byte, bool) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < frameHeaderBytes {
			return nil, false
		}
		length := int(binary.BigEndian.Uint32(body))
		if len(body) < frameHeaderBytes+length {
			return nil, false
		}
		records = append(records, body[frameHeaderBytes:frameHeaderBytes+length])
		body = body[frameHeaderBytes+length:]
	}
	return records, true
}

func (store *Store) read(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	from, _ := strconv.ParseInt(query.Get("From"), 10, 64)
	waitMillis, _ := strconv.Atoi(query.Get("WaitMs"))
	wait := min(time.Duration(waitMillis)*time.Millisecond, maxReadWait)
	ctx, cancel := context.WithTimeout(request.Context(), maxReadWait)
	defer cancel()
	batch, err := store.Log.Read(ctx, parsePartition(request), from, wait)
	var trimmed *durable.TrimmedError
	if errors.As(err, &trimmed) {
		writeJSON(writer, http.StatusGone, appendResponse{FirstOffset: trimmed.FirstOffset})
		return
	}
	if err != nil {
		return
	}
	response := binary.BigEndian.AppendUint64(nil, uint64(batch.EndOffset))
	response = binary.BigEndian.AppendUint64(response, uint64(batch.FirstOffset))
	for _, record := range batch.Records {
		response = binary.BigEndian.AppendUint32(response, uint32(len(record)))
		response = append(response, record...)
	}
	_, _ = writer.Write(response)
}

type latestResponse struct {
	Items []latestItem `json:"items"`
	More  bool
	End   int64 `json:"end"`
}

type latestItem struct {
	TlsKey string
	Value  []byte
	Offset int64 `json:"offset"`
}

func (store *Store) latest(writer http.ResponseWriter, request *http.Request) {
	snapshot, err := store.Log.Latest(request.Context(), request.URL.Query().Get("topic"))
	if err != nil {
		return
	}
	response := latestResponse{End: snapshot.EndOffset}
	for _, record := range snapshot.Records {
		response.Items = append(response.Items, latestItem{TlsKey: record.Key, Value: record.Value, Offset: record.Offset})
	}
	writeJSON(writer, http.StatusOK, response)
}

// Put writes a record of a keyed topic.
func (store *Store) Put(topic, key string, value []byte) {
	_, _ = store.Log.Append(context.Background(), durable.Partition{Topic: topic},
		[][]byte{durable.EncodeKeyed(key, value)}, durable.Condition{})
}
