// Package logstore stands in for the users' platform's log store: its HTTP
// calls for appends, reads and newest records, with the faults that the store
// has. It keeps everything in memory.
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

// Faults is how the store misbehaves; the zero value is a sound store.
type Faults struct {
	// Refuse answers 503 to every call; nothing is done.
	Refuse bool
	// Silent holds every call without an answer; nothing is done.
	Silent bool
	// LoseAnswers does appends and closes the connection without an answer.
	LoseAnswers bool
	// Delay is added to every answer.
	Delay time.Duration
	// DownParts are partitions that answer 503.
	DownParts map[int]bool
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
	// maxWait bounds a waiting read.
	maxWait    = 30 * time.Second
	pathAppend = "/log-append"
)

// Start serves on address, "127.0.0.1:0" for a free port.
func Start(address string) (*Store, error) {
	return start(address, durable.NewMemory())
}

// Second serves the same records on another address, with faults of its own: it
// is the store as a single node sees it.
func (store *Store) Second(address string) (*Store, error) {
	return start(address, store.Log)
}

func start(address string, log *durable.Memory) (*Store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	store := &Store{Log: log, listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathAppend, store.guard(store.append))
	mux.HandleFunc("GET /log-read", store.guard(store.read))
	mux.HandleFunc("GET /log-newest", store.guard(store.newest))
	store.server = &http.Server{Handler: mux, ReadHeaderTimeout: maxWait}
	go func() { _ = store.server.Serve(listener) }()
	return store, nil
}

// Address returns IP:PORT.
func (store *Store) Address() string { return store.listener.Addr().String() }

// Close ends the stand-in and its connections.
func (store *Store) Close() { _ = store.server.Close() }

// SetFaults replaces the faults.
func (store *Store) SetFaults(faults Faults) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.faults = faults
}

// Calls returns the number of calls so far.
func (store *Store) Calls() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.calls
}

func (store *Store) current() Faults {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.calls++
	return store.faults
}

// guard applies the faults that hold for every call.
func (store *Store) guard(serve http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		faults := store.current()
		part, _ := strconv.Atoi(request.URL.Query().Get("part"))
		time.Sleep(faults.Delay)
		switch {
		case faults.Silent:
			<-request.Context().Done()
			panic(http.ErrAbortHandler)
		case faults.Refuse || faults.DownParts[part]:
			writer.WriteHeader(http.StatusServiceUnavailable)
		default:
			serve(writer, request)
		}
	}
}

func partitionOf(request *http.Request) durable.Partition {
	query := request.URL.Query()
	number, _ := strconv.Atoi(query.Get("part"))
	return durable.Partition{Topic: query.Get("topic"), Number: number}
}

func conditionOf(request *http.Request) durable.Condition {
	query := request.URL.Query()
	var condition durable.Condition
	if text := query.Get("At"); text != "" {
		at, _ := strconv.ParseInt(text, 10, 64)
		condition.ExpectedEnd = &at
	}
	if producer := query.Get("producer"); producer != "" {
		epoch, _ := strconv.ParseInt(query.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseInt(query.Get("Sequence"), 10, 64)
		condition.Fence = &durable.Fence{Producer: producer, Epoch: epoch, Sequence: sequence}
	}
	return condition
}

type appendReply struct {
	Offset int64  `json:"offset"`
	End    int64  `json:"end"`
	Why    string `json:"why,omitempty"`
	First  int64  `json:"first,omitempty"`
}

func reply(writer http.ResponseWriter, status int, content any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(content)
}

func (store *Store) append(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	records, sound := unframe(body)
	if !sound {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	appended, err := store.Log.Append(request.Context(), partitionOf(request), records, conditionOf(request))
	if store.losesAnswers() {
		panic(http.ErrAbortHandler)
	}
	content := appendReply{Offset: appended.Offset, End: appended.End}
	switch {
	case err == nil:
		reply(writer, http.StatusOK, content)
	case errors.Is(err, durable.ErrConflict):
		reply(writer, http.StatusPreconditionFailed, content)
	case errors.Is(err, durable.ErrFenced):
		content.Why = "fenced"
		reply(writer, http.StatusConflict, content)
	default:
		content.Why = "seq"
		reply(writer, http.StatusConflict, content)
	}
}

func (store *Store) losesAnswers() bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.faults.LoseAnswers
}

const lengthBytes = 4

// unframe takes records apart, each behind its length.
func unframe(body []byte) ([][]byte, bool) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < lengthBytes {
			return nil, false
		}
		length := int(binary.BigEndian.Uint32(body))
		if len(body) < lengthBytes+length {
			return nil, false
		}
		records = append(records, body[lengthBytes:lengthBytes+length])
		body = body[lengthBytes+length:]
	}
	return records, true
}

func (store *Store) read(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	from, _ := strconv.ParseInt(query.Get("From"), 10, 64)
	waitMillis, _ := strconv.Atoi(query.Get("WaitMs"))
	wait := min(time.Duration(waitMillis)*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(request.Context(), maxWait)
	defer cancel()
	batch, err := store.Log.Read(ctx, partitionOf(request), from, wait)
	var trimmed *durable.TrimmedError
	if errors.As(err, &trimmed) {
		reply(writer, http.StatusGone, appendReply{First: trimmed.First})
		return
	}
	if err != nil {
		return
	}
	content := binary.BigEndian.AppendUint64(nil, uint64(batch.EndOffset))
	content = binary.BigEndian.AppendUint64(content, uint64(batch.FirstOffset))
	for _, record := range batch.Records {
		content = binary.BigEndian.AppendUint32(content, uint32(len(record)))
		content = append(content, record...)
	}
	_, _ = writer.Write(content)
}

type newestReply struct {
	Items []newestItem `json:"items"`
	More  bool
	End   int64 `json:"end"`
}

type newestItem struct {
	TlsKey string
	Value  []byte
	Offset int64 `json:"offset"`
}

func (store *Store) newest(writer http.ResponseWriter, request *http.Request) {
	snapshot, err := store.Log.Latest(request.Context(), request.URL.Query().Get("topic"))
	if err != nil {
		return
	}
	content := newestReply{End: snapshot.End}
	for _, record := range snapshot.Records {
		content.Items = append(content.Items, newestItem{TlsKey: record.Key, Value: record.Value, Offset: record.Offset})
	}
	reply(writer, http.StatusOK, content)
}

// Put writes a record of a keyed topic.
func (store *Store) Put(topic, key string, value []byte) {
	_, _ = store.Log.Append(context.Background(), durable.Partition{Topic: topic},
		[][]byte{durable.EncodeKeyed(key, value)}, durable.Condition{})
}
