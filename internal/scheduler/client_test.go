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
	clientPoll   = 5 * time.Millisecond
	answerBound  = time.Second
	clientGiveUp = 60 * time.Second
)

// testClient runs one program's calls one after the other, like a caller behind
// a gateway: it asks any process, follows hints, and asks again with the same
// request id when it gets no answer.
type testClient struct {
	cluster *testCluster
	program string
	turns   int
	// adapters has every third call use an adapter.
	adapters bool
	// think is the longest pause before a call.
	think   time.Duration
	results []testResult
	wakeAt  time.Duration
	// current call
	request *schedulerv1.CallRequest
	begun   time.Duration
	process string
	// node is the start of the process that was asked.
	node     *testNode
	ask      AskID
	asked    time.Duration
	buffer   *stream.Buffer
	created  bool
	hint     string
	finished bool
}

// testResult is the final answer to one call; code 0 is success, and gaveUp
// leaves the outcome open.
type testResult struct {
	request *schedulerv1.CallRequest
	code    resultcode.Code
	text    string
	gaveUp  bool
}

func (cluster *testCluster) addClient(program string, turns int) *testClient {
	client := &testClient{cluster: cluster, program: program, turns: turns}
	cluster.after(clientPoll, client.step)
	return client
}

func (client *testClient) step() {
	if client.finished {
		return
	}
	client.advance()
	client.cluster.after(clientPoll, client.step)
}

func (client *testClient) advance() {
	switch {
	case client.request == nil && len(client.results) == client.turns:
		client.finished = true
	case client.cluster.now < client.wakeAt:
	case client.request == nil:
		client.next()
	case client.buffer != nil:
		client.followBuffer()
	case client.ask != 0:
		client.takeAnswer()
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
	client.begun = client.cluster.now
}

// send asks the hinted process, or any that lives.
func (client *testClient) send() {
	if client.cluster.now-client.begun > clientGiveUp {
		client.finish(testResult{gaveUp: true})
		return
	}
	names := sortedKeys(client.cluster.nodes)
	client.process = names[client.cluster.random.Intn(len(names))]
	if client.hint != "" {
		client.process = client.hint
		client.hint = ""
	}
	client.cluster.nextAsk++
	client.ask = client.cluster.nextAsk
	client.asked = client.cluster.now
	node := client.cluster.nodes[client.process]
	client.node = node
	if !client.created {
		node.step(CreateAsked{Ask: client.ask, Request: &schedulerv1.CreateProgramRequest{
			ProgramId: client.program, Kind: "dispute", Caller: client.request.Caller,
		}})
		return
	}
	node.step(CallAsked{Ask: client.ask, Request: client.request})
}

func (client *testClient) takeAnswer() {
	answer, found := client.cluster.answers[client.ask]
	if !found {
		if client.cluster.now-client.asked > answerBound {
			client.ask = 0
		}
		return
	}
	client.ask = 0
	if !client.created {
		reply := answer.message.(*schedulerv1.ProgramReply)
		client.created = reply.Error == nil
		client.takeHint(reply.Error)
		return
	}
	if answer.failure != nil {
		client.takeFailure(answer.failure)
		return
	}
	client.buffer = answer.buffer
}

func (client *testClient) takeHint(failure *schedulerv1.Error) {
	if failure != nil {
		client.hint = failure.LeaderAddress
	}
}

// takeFailure goes on after codes that a gateway hides, and takes any other as
// the final answer.
func (client *testClient) takeFailure(failure *schedulerv1.Error) {
	if hiddenByGateway(failure) {
		client.takeHint(failure)
		return
	}
	client.finish(testResult{code: resultcode.Code(failure.Code)})
}

func (client *testClient) followBuffer() {
	node := client.node
	view := client.buffer.Look(0)
	switch {
	case view.Finished != nil:
		text, _ := client.buffer.Content()
		client.finish(testResult{text: text})
	case view.Failure != nil:
		client.finish(testResult{code: view.Failure.Code})
	case view.Dropped, node.dead, node.paused:
		client.buffer = nil
	}
}

func (client *testClient) finish(result testResult) {
	result.request = client.request
	client.results = append(client.results, result)
	if client.think > 0 {
		client.wakeAt = client.cluster.now + time.Duration(client.cluster.random.Int63n(int64(client.think)))
	}
	client.request = nil
	client.buffer = nil
	client.ask = 0
}

// violations checks what must hold for the client's calls.
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
		found = append(found, fmt.Sprintf("%s is not repeatable and ran %d times", name, runs))
	}
	notRun := result.code != 0 && result.code < resultcode.OutcomeUnknown
	if notRun && runs > 0 {
		found = append(found, fmt.Sprintf("%s was answered %s (not run) and ran %d times", name, result.code, runs))
	}
	if result.code == 0 && !result.gaveUp && !client.wholeAnswer(name, result.text) {
		found = append(found, fmt.Sprintf("%s got the answer %q", name, result.text))
	}
	return found
}

// wholeAnswer tells whether the text is one run's whole output, or a lost run's
// beginning with the next run's output after it.
func (client *testClient) wholeAnswer(name, text string) bool {
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

// historyViolations compares the recorded history with the caller's view: every
// answered call stands in it once, in the order in which it was made.
func (client *testClient) historyViolations() []string {
	leader := client.cluster.leader(client.program)
	if leader == "" {
		return []string{client.program + " has no leader at the end"}
	}
	host := client.cluster.nodes[leader].core.leadingHost(client.program)
	program := host.state.Program(client.program)
	if program == nil {
		return []string{client.program + " is lost"}
	}
	var recorded []string
	for _, turn := range program.Turns() {
		recorded = append(recorded, turn.RequestID())
	}
	var found []string
	if !slices.IsSorted(recorded) {
		found = append(found, fmt.Sprintf("%s has the history %v", client.program, recorded))
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
