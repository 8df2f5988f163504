package command

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/magpielug/magpielug/rehearsal/standin/logstore"
	"github.com/magpielug/magpielug/rehearsal/standin/records"
)

// exampleSettings is the settings file of the README's example.
const exampleSettings = "../../examples/node.toml"

// post sends a request to a node. It returns the status, the body, and the number of
// reads that the body took.
func post(address, path, id, body string) (status int, content string, reads int) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Request-Id", id)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: settleTimeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error(), 0
	}
	defer func() { _ = response.Body.Close() }()
	buffer := make([]byte, 4096)
	for err == nil {
		var count int
		count, err = response.Body.Read(buffer)
		content += string(buffer[:count])
		reads++
	}
	Expect(err).To(MatchError(io.EOF))
	return response.StatusCode, content, reads
}

// startNode starts a node with the example settings on free ports, and returns the
// address for callers.
func startNode(store string) (callerAddress string) {
	binary, err := gexec.Build("github.com/magpielug/magpielug/cmd/magpielug")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
	callerAddress = freeAddress()
	session, err := gexec.Start(exec.Command(binary, "node", "--settings", exampleSettings, "--set", "store.address="+store, "--set", "listen.callers="+callerAddress,
		"--set", "listen.readiness="+freeAddress(), "--set", "listen.peers="+freeAddress(), "--set", "listen.metrics="+freeAddress()), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { session.Kill().Wait() })
	return callerAddress
}

var _ = Describe("A store, an engine, a tool and a node started by hand", func() {
	It("stream an answer, and run a tool call", func() {
		store := freeAddress()
		startCommand(&Engine{}, "--listen", freeAddress(), "--store", store, "--events", "5", "--pause", "20ms")
		startCommand(&Tool{}, "--listen", freeAddress(), "--store", store)
		startCommand(&Store{}, "--listen", store)
		callerAddress := startNode(store)
		// Each attempt is a separate request, with its own request id.
		Eventually(func() int {
			status, _, _ := post(callerAddress, records.PathUnsafe+"x", "tool-"+time.Now().String(), "credit")
			return status
		}, settleTimeout, "50ms").Should(Equal(http.StatusOK))
		status, content, reads := post(callerAddress, records.PathRetained+"chat", "turn-1", "why was the token refused?")
		Expect(status).To(Equal(http.StatusOK))
		Expect(content).To(And(HavePrefix("id: 1\ndata: turn-1-1\n\n"), HaveSuffix("id: 5\ndata: turn-1-5\n\n")))
		Expect(reads).To(BeNumerically(">", 2), "the response was not streamed")
	})

	It("remove their records from the store when they stop", func() {
		store, err := logstore.Start(freeAddress())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(store.Close)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		command := &Engine{Listen: freeAddress(), Events: 1}
		command.Store, command.ID, command.Zone = store.Address(), "engine-1", "zone-2"
		go func() { ended <- command.Run(ctx) }()
		state := func() string {
			snapshot, err := store.Log.Latest(context.Background(), records.TopicEngines)
			Expect(err).NotTo(HaveOccurred())
			if len(snapshot.Records) == 0 || len(snapshot.Records[0].Value) == 0 {
				return "gone"
			}
			var server records.Server
			Expect(json.Unmarshal(snapshot.Records[0].Value, &server)).To(Succeed())
			Expect(server).To(Equal(records.Server{Service: records.ServiceModels, Address: command.Listen, Zone: "zone-2", Slots: records.Slots, State: server.State}))
			return server.State
		}
		Eventually(state, settleTimeout).Should(Equal(records.StateReady))
		cancel()
		Eventually(state, settleTimeout).Should(Equal(records.StateDraining))
		Consistently(ended, "200ms").ShouldNot(Receive())
		Eventually(state, settleTimeout).Should(Equal("gone"))
		Eventually(ended, settleTimeout).Should(Receive(Succeed()))
	})
})
