// Package tool is a stand-in for an application or tool service. Its answer is
// a function of the request; it counts how often each request id ran, and hangs
// or delays by markers in the input. Its wire shapes stand in
// docs/INTERFACES.md.
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

// PathRuns counts runs by request id.
const PathRuns = "/debug/runs"

const (
	// hangMarker in the input makes the call never answer.
	hangMarker = "[[hang]]"
	// maxHang bounds a hang when the caller never gives up.
	maxHang = 10 * time.Minute
	// maxDelay bounds a delay marker.
	maxDelay = time.Minute
)

var delayMarker = regexp.MustCompile(`\[\[delay=([0-9a-z.]{1,16})\]\]`)

// Config is one stand-in service.
type Config struct {
	// Service is the name served; requests for another are refused. Empty
	// serves every name.
	Service string
	// Delay is how long each call takes at least.
	Delay time.Duration
}

// RunsAnswer is the answer of GET PathRuns.
type RunsAnswer struct {
	Runs map[string]int `json:"runs"`
}

// Tool is one stand-in service. It is safe for concurrent use.
type Tool struct {
	config Config
	faults *fault.Injector
	lock   sync.Mutex
	runs   map[string]int
}

// New makes a service.
func New(config Config) *Tool {
	return &Tool{config: config, faults: fault.NewInjector(), runs: make(map[string]int)}
}

// ExpectedOutput returns the answer that every stand-in tool gives to a
// request. The request id counts without its attempt ("id#2" is "id").
func ExpectedOutput(program, requestID, service, input string) string {
	base := requestID
	if place := strings.LastIndex(requestID, "#"); place >= 0 {
		base = requestID[:place]
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
	reply.HandleGet(mux, PathRuns, func(*http.Request) (RunsAnswer, error) {
		return RunsAnswer{Runs: tool.Runs()}, nil
	})
	return tool.faults.Handler(mux)
}

// Runs counts how often each request id ran. The tool doesn't join requests of
// one id: callers have to see to that.
func (tool *Tool) Runs() map[string]int {
	tool.lock.Lock()
	defer tool.lock.Unlock()
	runs := make(map[string]int, len(tool.runs))
	for id, count := range tool.runs {
		runs[id] = count
	}
	return runs
}

// serve runs a call: the effect is counted first, then the answer takes its
// time.
func (tool *Tool) serve(writer http.ResponseWriter, request *http.Request) {
	var body wire.ToolRequest
	err := reply.ReadJSON(writer, request, &body)
	if err == nil {
		err = tool.check(body)
	}
	if err != nil {
		reply.WriteError(writer, err)
		return
	}
	tool.lock.Lock()
	tool.runs[body.RequestID]++
	tool.lock.Unlock()
	if !wait(request.Context(), tool.duration(body.Input)) {
		return
	}
	output := ExpectedOutput(body.Program, body.RequestID, body.Service, body.Input)
	reply.WriteJSON(writer, http.StatusOK, wire.ToolAnswer{Output: &output})
}

func (tool *Tool) check(body wire.ToolRequest) error {
	if body.RequestID == "" {
		return reply.BadRequest("request_id is empty")
	}
	if tool.config.Service != "" && body.Service != tool.config.Service {
		return reply.NotRun(http.StatusNotFound, wire.CodeNotFound, "no service "+body.Service)
	}
	return nil
}

// duration is how long a call with this input takes.
func (tool *Tool) duration(input string) time.Duration {
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

// wait returns false when the caller is gone first.
func wait(ctx context.Context, duration time.Duration) bool {
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
