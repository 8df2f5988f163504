package scheduler

import (
	"context"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/magpielug/magpielug/internal/outside"
)

// countingBackEnds counts the calls that reach an engine or a tool.
type countingBackEnds struct {
	outside.Engine
	outside.Tool
	calls int
}

func (backEnds *countingBackEnds) Generate(context.Context, string, outside.GenerateRequest, func(outside.EngineChunk) error) error {
	backEnds.calls++
	return outside.ErrNotRun
}

func (backEnds *countingBackEnds) Call(context.Context, string, outside.ToolRequest) (string, error) {
	backEnds.calls++
	return "", outside.ErrNotRun
}

// Guards against sending a call by a decision from before a freeze: the back end may have left
// since.
var _ = Describe("a call whose process was frozen before it was sent", func() {
	var (
		loop     *Loop
		executor *executor
		backEnds *countingBackEnds
		decided  time.Duration
	)

	BeforeEach(func() {
		loop = newLoop(NewCore(testConfig("s0"), rand.New(rand.NewSource(1))), zap.NewNop())
		loop.started = time.Now().Add(-time.Minute)
		decided = loop.now() - 2*freezeThreshold
		backEnds = &countingBackEnds{}
		executor = newExecutor(context.Background(), loop, Dependencies{Logger: zap.NewNop(), Engines: backEnds, Tools: backEnds, PollInterval: time.Hour})
	})

	ended := func() RunEnd {
		var event Event
		Expect(loop.events).To(Receive(&event))
		return event.(RunEnded).End
	}

	It("does not reach the engine", func() {
		executor.runModelCall(context.Background(), RunModelCall{DecidedAt: decided})
		Expect(ended()).To(Equal(RunNotRun))
		Expect(backEnds.calls).To(Equal(0))
	})

	It("does not reach the tool", func() {
		executor.runToolCall(context.Background(), RunToolCall{DecidedAt: decided, Deadline: time.Minute})
		Expect(ended()).To(Equal(RunNotRun))
		Expect(backEnds.calls).To(Equal(0))
	})

	It("is still followed if it already runs", func() {
		executor.runModelCall(context.Background(), RunModelCall{DecidedAt: decided, Request: outside.GenerateRequest{AttachOnly: true}})
		Expect(ended()).To(Equal(RunLost))
		Expect(backEnds.calls).To(BeNumerically(">", 0))
	})
})
