package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/stream"
)

const (
	clientPollInterval = 5 * time.Millisecond
	answerTimeout      = time.Second
	clientTimeout      = 60 * time.Second
)

// testClient runs one program's calls in sequence, as a caller behind a gateway does: it asks
// any process, follows leader hints, and repeats the request id if it gets no answer.
type testClient struct {
	cluster *testCluster
	program string
	turns   int
	// adapters makes every third call use an adapter.
	adapters bool
	// maximumThinkTime bounds the random pause before a call.
	maximumThinkTime time.Duration
	results          []testResult
	resumeAt         time.Duration
	// The fields below describe the current call.
	request   *schedulerv1.CallRequest
	startedAt time.Duration
	process   string
	// node is the process instance that was asked.
	node         *testNode
	pendingReply ReplyID
	askedAt      time.Duration
	buffer       *stream.Buffer
	created      bool
	hint         string
	finished     bool
}

// testResult is the final answer to one call. Code 0 is success; gaveUp means that the outcome
// is unknown.
type testResult struct {
	request *schedulerv1.CallRequest
	code    resultcode.Code
	text    string
	gaveUp  bool
}

func (cluster *testCluster) addClient(program string, turns int) *testClient {
	client := &testClient{cluster: cluster, program: program, turns: turns}
	cluster.after(clientPollInterval, client.step)
	return client
}

func (client *testClient) step() {
	if client.finished {
		return
	}
	client.advance()
	client.cluster.after(clientPollInterval, client.step)
}

func (client *testClient) advance() {
	switch {
	case client.request == nil && len(client.results) == client.turns:
		client.finished = true
	case client.cluster.now < client.resumeAt:
	case client.request == nil:
		client.next()
	case client.buffer != nil:
		client.followBuffer()
	case client.pendingReply != 0:
		client.handleReply()
	default:
		client.send()
	}
}

func (client *testClient) next() {
	number := len(client.results)
	client.request = testCall(client.program, fmt.Sprintf("r%02d", number))
	client.request.Repeatable = number%2 == 0
	if client.adapters && number%3 == 0 {
		client.request.Adapter = testAdapter
	}
	client.startedAt = client.cluster.now
}

// send asks the hinted process, or a random one.
func (client *testClient) send() {
	if client.cluster.now-client.startedAt > clientTimeout {
		client.finish(testResult{gaveUp: true})
		return
	}
	names := sortedKeys(client.cluster.nodes)
	client.process = names[client.cluster.random.Intn(len(names))]
	if client.hint != "" {
		client.process = client.hint
		client.hint = ""
	}
	client.cluster.lastReplyID++
	client.pendingReply = client.cluster.lastReplyID
	client.askedAt = client.cluster.now
	node := client.cluster.nodes[client.process]
	client.node = node
	if !client.created {
		node.step(CreateRequested{ReplyTo: client.pendingReply, Request: &schedulerv1.CreateProgramRequest{
			ProgramId: client.program, Kind: "dispute", Caller: client.request.Caller,
		}})
		return
	}
	node.step(CallRequested{ReplyTo: client.pendingReply, Request: client.request})
}

func (client *testClient) handleReply() {
	answer, found := client.cluster.answers[client.pendingReply]
	if !found {
		if client.cluster.now-client.askedAt > answerTimeout {
			client.pendingReply = 0
		}
		return
	}
	client.pendingReply = 0
	if !client.created {
		reply := answer.message.(*schedulerv1.ProgramReply)
		client.created = reply.Error == nil
		client.followHint(reply.Error)
		return
	}
	if answer.failure != nil {
		client.handleFailure(answer.failure)
		return
	}
	client.buffer = answer.buffer
}

func (client *testClient) followHint(failure *schedulerv1.Error) {
	if failure != nil {
		client.hint = failure.LeaderAddress
	}
}

// handleFailure retries after errors that a gateway hides, and records all others as final.
func (client *testClient) handleFailure(failure *schedulerv1.Error) {
	if retriedByGateway(failure) {
		client.followHint(failure)
		return
	}
	client.finish(testResult{code: resultcode.Code(failure.Code)})
}

func (client *testClient) followBuffer() {
	node := client.node
	view := client.buffer.Peek(0)
	switch {
	case view.Finished != nil:
		text, _ := client.buffer.Content()
		client.finish(testResult{text: text})
	case view.Failure != nil:
		client.finish(testResult{code: view.Failure.Code})
	case view.Abandoned, node.dead, node.paused:
		client.buffer = nil
	}
}

func (client *testClient) finish(result testResult) {
	result.request = client.request
	client.results = append(client.results, result)
	if client.maximumThinkTime > 0 {
		client.resumeAt = client.cluster.now + time.Duration(client.cluster.random.Int63n(int64(client.maximumThinkTime)))
	}
	client.request = nil
	client.buffer = nil
	client.pendingReply = 0
}

// violations lists the guarantees that the client's calls violate.
func (client *testClient) violations() []string {
	var found []string
	for _, result := range client.results {
		found = append(found, client.violationsOf(result)...)
	}
	return append(found, client.historyViolations()...)
}

func (client *testClient) violationsOf(result testResult) []string {
	name := client.program + "/" + result.request.RequestId
	runs := client.cluster.runsOf(name)
	var found []string
	if !result.request.Repeatable && runs > 1 {
		found = append(found, fmt.Sprintf("%s is not repeatable but ran %d times", name, runs))
	}
	notRun := result.code != 0 && result.code < resultcode.OutcomeUnknown
	if notRun && runs > 0 {
		found = append(found, fmt.Sprintf("%s was answered with %s (not run) but ran %d times", name, result.code, runs))
	}
	if result.code == 0 && !result.gaveUp && !client.completeAnswer(name, result.text) {
		found = append(found, fmt.Sprintf("%s got an incomplete answer: %q", name, result.text))
	}
	return found
}

// completeAnswer reports whether the text is the complete output of one run, possibly preceded by
// the partial output of lost runs.
func (client *testClient) completeAnswer(name, text string) bool {
	words := strings.Fields(text)
	if len(words) < client.cluster.callSteps {
		return false
	}
	last := words[len(words)-client.cluster.callSteps:]
	for index, word := range last {
		run, sequence, _ := strings.Cut(word, ":")
		base, _, _ := strings.Cut(run, "#")
		if base != name || sequence != fmt.Sprint(index+1) {
			return false
		}
	}
	return !slices.ContainsFunc(words, func(word string) bool { return !strings.HasPrefix(word, name) })
}

// historyViolations checks that every answered call is in the recorded history, in the order in
// which the calls were made.
func (client *testClient) historyViolations() []string {
	leader := client.cluster.leader(client.program)
	if leader == "" {
		return []string{client.program + " has no leader at the end of the run"}
	}
	host := client.cluster.nodes[leader].core.leadingHost(client.program)
	program := host.state.Program(client.program)
	if program == nil {
		return []string{client.program + " has no record"}
	}
	var recorded []string
	for _, turn := range program.Turns() {
		recorded = append(recorded, turn.RequestID())
	}
	var found []string
	if !slices.IsSorted(recorded) {
		found = append(found, fmt.Sprintf("%s has an unordered history: %v", client.program, recorded))
	}
	for _, result := range client.results {
		answered := result.code == 0 && !result.gaveUp
		if answered && !slices.Contains(recorded, result.request.RequestId) {
			found = append(found, fmt.Sprintf("%s lost the turn %s", client.program, result.request.RequestId))
		}
	}
	return found
}

// runsOf counts the starts of all attempts of a call.
func (cluster *testCluster) runsOf(name string) int {
	total := 0
	for started, count := range cluster.runs {
		base, _, _ := strings.Cut(started, "#")
		if base == name {
			total += count
		}
	}
	return total
}
