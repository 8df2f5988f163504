// Package tool is a stand-in for an application or tool service. Its output is a function
// of the request. It counts the runs of each request id, and hangs or delays as markers in
// the input demand. Its wire format is described in docs/INTERFACES.md.
package tool

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magpielug/magpielug/internal/outside/wire"
	"github.com/magpielug/magpielug/rehearsal/standin/fault"
	"github.com/magpielug/magpielug/rehearsal/standin/reply"
)

// PathRuns returns the number of runs by request id.
const PathRuns = "/debug/runs"

const (
	// hangMarker in the input makes the call hang.
	hangMarker = "[[hang]]"
	// maxHang bounds a hang if the caller does not disconnect.
	maxHang = 10 * time.Minute
	// maxDelay bounds a delay marker.
	maxDelay = time.Minute
)

var delayMarker = regexp.MustCompile(`\[\[delay=([0-9a-z.]{1,16})\]\]`)

// Config configures the service.
type Config struct {
	// Service is the name served; requests for other names are rejected. Empty serves
	// every name.
	Service string
	// Delay is the minimum duration of a call.
	Delay time.Duration
}

// RunsResponse is the response of GET PathRuns.
type RunsResponse struct {
	Runs map[string]int `json:"runs"`
}

// Tool is a stand-in service. It is safe for concurrent use.
type Tool struct {
	config Config
	faults *fault.Injector
	lock   sync.Mutex
	runs   map[string]int
}

// New returns a service.
func New(config Config) *Tool {
	return &Tool{config: config, faults: fault.NewInjector(), runs: make(map[string]int)}
}

// ExpectedOutput returns the output that every stand-in tool gives for a request. The
// attempt number of the request id is ignored ("id#2" is "id").
func ExpectedOutput(program, requestID, service, input string) string {
	base := requestID
	if index := strings.LastIndex(requestID, "#"); index >= 0 {
		base = requestID[:index]
	}
	encoded, err := json.Marshal([]string{program, base, service, input})
	if err != nil {
		return ""
	}
	return fmt.Sprintf("%s result %016x", service, xxhash.Sum64(encoded))
}

// Faults returns the service's fault injector.
func (tool *Tool) Faults() *fault.Injector { return tool.faults }

// Handler serves the service's HTTP interface.
func (tool *Tool) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathToolCall, tool.serve)
	reply.HandleGet(mux, PathRuns, func(*http.Request) (RunsResponse, error) {
		return RunsResponse{Runs: tool.Runs()}, nil
	})
	return tool.faults.Handler(mux)
}

// Runs returns the number of runs by request id. Requests with the same id are not
// deduplicated.
func (tool *Tool) Runs() map[string]int {
	tool.lock.Lock()
	defer tool.lock.Unlock()
	runs := make(map[string]int, len(tool.runs))
	for id, count := range tool.runs {
		runs[id] = count
	}
	return runs
}

// serve counts the run before it waits, so that a call that times out has run.
func (tool *Tool) serve(writer http.ResponseWriter, request *http.Request) {
	var body wire.ToolRequest
	err := reply.ReadJSON(writer, request, &body)
	if err == nil {
		err = tool.validate(body)
	}
	if err != nil {
		reply.WriteError(writer, err)
		return
	}
	tool.lock.Lock()
	tool.runs[body.RequestID]++
	tool.lock.Unlock()
	if !sleep(request.Context(), tool.callDuration(body.Input)) {
		return
	}
	output := ExpectedOutput(body.Program, body.RequestID, body.Service, body.Input)
	reply.WriteJSON(writer, http.StatusOK, wire.ToolResponse{Output: &output})
}

func (tool *Tool) validate(body wire.ToolRequest) error {
	if body.RequestID == "" {
		return reply.BadRequest("request_id is empty")
	}
	if tool.config.Service != "" && body.Service != tool.config.Service {
		return reply.NotRun(http.StatusNotFound, wire.CodeNotFound, "no service "+body.Service)
	}
	return nil
}

// callDuration returns the duration of a call with this input.
func (tool *Tool) callDuration(input string) time.Duration {
	if strings.Contains(input, hangMarker) {
		return maxHang
	}
	match := delayMarker.FindStringSubmatch(input)
	if match == nil {
		return tool.config.Delay
	}
	delay, err := time.ParseDuration(match[1])
	if err != nil {
		return tool.config.Delay
	}
	return max(tool.config.Delay, min(delay, maxDelay))
}

// sleep returns false if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
