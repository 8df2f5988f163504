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

// startCommand runs a sub-command with the given arguments until the test ends.
func startCommand(command interface{ Run(context.Context) error }, arguments ...string) {
	parser, err := arg.NewParser(arg.Config{}, command)
	Expect(err).NotTo(HaveOccurred())
	Expect(parser.Parse(arguments)).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- command.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(ended, settleTimeout).Should(Receive(Succeed()))
	})
}

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	allocated, err := portAllocator.Allocate(1)
	Expect(err).NotTo(HaveOccurred())
	return fmt.Sprintf("127.0.0.1:%d", allocated[0])
}

// portAllocator allocates ports outside the ephemeral range, so that no outgoing
// connection takes one before the process under test listens on it.
var portAllocator = ports.NewAllocator(ports.CommandRange)

var _ = Describe("Stand-ins of the schedulers' platform", func() {
	It("serve, and keep engines and tools on the machine list while they run", func() {
		machinesAddress, engineAddress, toolAddress, weightsAddress, logAddress := freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress()
		client, err := httpadapter.NewClient(httpadapter.Config{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		DeferCleanup(http.DefaultClient.CloseIdleConnections)
		startCommand(&StandInMachines{}, "--listen", machinesAddress, "--lag", "0s")
		startCommand(&StandInWeights{}, "--listen", weightsAddress)
		startCommand(&StandInLog{}, "--listen", logAddress)
		startCommand(&PoolTool{}, "--listen", toolAddress, "--service", "metering", "--machines", machinesAddress)
		startCommand(&PoolEngine{}, "--listen", engineAddress, "--id", "engine-1", "--model", "small", "--machines", machinesAddress, "--weights", weightsAddress, "--report-lag", "1ms")

		ctx := context.Background()
		Eventually(func() ([]outside.Machine, error) {
			return httpadapter.NewMachines(client, machinesAddress).List(ctx)
		}, settleTimeout).Should(HaveLen(2))
		engines := httpadapter.NewEngine(client)
		var text string
		prompt := []string{"hello [[tokens=20]]"}
		request := outside.GenerateRequest{RequestID: "r", Program: "p", Model: "small", Prompt: prompt, MaxTokens: 40}
		Expect(engines.Generate(ctx, engineAddress, request, func(chunk outside.EngineChunk) error {
			text += chunk.Text
			return nil
		})).To(Succeed())
		Expect(text).To(Equal(engine.ExpectedOutput("p", "r", prompt, 40).Text))
		Expect(engines.Load(ctx, engineAddress, "large", "", "2", outside.Fence{Epoch: 1})).To(Succeed())
		Eventually(func() (string, error) {
			report, err := engines.Report(ctx, engineAddress)
			return report.Model + report.Version, err
		}, settleTimeout).Should(Equal("large2"))
		offset, err := httpadapter.NewLog(client, logAddress).Append(ctx, "s", []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(offset).To(BeZero())
	})
})
