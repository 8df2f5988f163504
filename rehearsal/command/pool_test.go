package command

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/alexflint/go-arg"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/outside/httpadapter"
	"github.com/magpielug/magpielug/rehearsal/ports"
	"github.com/magpielug/magpielug/rehearsal/standin/engine"
)

const settleTimeout = 20 * time.Second

// start parses a command line into the sub-command and runs it until the test's
// end.
func start(command interface{ Run(context.Context) error }, line ...string) {
	parser, err := arg.NewParser(arg.Config{}, command)
	Expect(err).NotTo(HaveOccurred())
	Expect(parser.Parse(line)).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- command.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(ended, settleTimeout).Should(Receive(Succeed()))
	})
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() string {
	picked, err := picker.Pick(1)
	Expect(err).NotTo(HaveOccurred())
	return fmt.Sprintf("127.0.0.1:%d", picked[0])
}

// picker gives ports that no outgoing connection takes between the look and the start of what
// listens there.
var picker = ports.NewPicker(ports.OfCommand)

var _ = Describe("Stand-ins of the schedulers' platform", func() {
	It("serve, and keep their back ends on the machine list while they run", func() {
		list, back, tools, store, log := freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress()
		client, err := httpadapter.NewClient(httpadapter.Config{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		DeferCleanup(http.DefaultClient.CloseIdleConnections)
		start(&StandInMachines{}, "--listen", list, "--lag", "0s")
		start(&StandInWeights{}, "--listen", store)
		start(&StandInLog{}, "--listen", log)
		start(&PoolTool{}, "--listen", tools, "--service", "metering", "--machines", list)
		start(&PoolEngine{}, "--listen", back, "--id", "engine-1", "--model", "small", "--machines", list, "--weights", store, "--report-lag", "1ms")

		ctx := context.Background()
		Eventually(func() ([]outside.Machine, error) {
			return httpadapter.NewMachines(client, list).List(ctx)
		}, settleTimeout).Should(HaveLen(2))
		engines := httpadapter.NewEngine(client)
		var text string
		prompt := []string{"hello [[tokens=20]]"}
		request := outside.GenerateRequest{RequestID: "r", Program: "p", Model: "small", Prompt: prompt, MaxTokens: 40}
		Expect(engines.Generate(ctx, back, request, func(chunk outside.EngineChunk) error {
			text += chunk.Text
			return nil
		})).To(Succeed())
		Expect(text).To(Equal(engine.ExpectedOutput("p", "r", prompt, 40).Text))
		Expect(engines.Load(ctx, back, "large", "", "2", outside.Fence{Epoch: 1})).To(Succeed())
		Eventually(func() (string, error) {
			report, err := engines.Report(ctx, back)
			return report.Model + report.Version, err
		}, settleTimeout).Should(Equal("large2"))
		offset, err := httpadapter.NewLog(client, log).Append(ctx, "s", []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(offset).To(BeZero())
	})
})
