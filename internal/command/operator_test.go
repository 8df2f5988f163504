package command

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	"github.com/magpielug/magpielug/internal/configuration"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/operator"
	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// gateway is a fake gateway with an in-memory configuration. Its other methods
// return failure.
type gateway struct {
	version   uint64
	current   *operatorv1.Configuration
	changeIDs []string
	failure   error
}

func (gateway *gateway) Current() *configuration.Snapshot {
	if gateway.version == 0 {
		return nil
	}
	return configuration.NewSnapshot(gateway.version, gateway.current)
}

func (gateway *gateway) Publish(_ context.Context, request *operatorv1.PublishRequest) (uint64, error) {
	if request.GetBaseVersion() != gateway.version {
		return 0, resultcode.New(resultcode.VersionConflict, "version %d is in force", gateway.version)
	}
	gateway.version++
	gateway.current = request.GetConfiguration()
	gateway.changeIDs = append(gateway.changeIDs, request.GetChangeId())
	return gateway.version, nil
}

func (gateway *gateway) Nodes(context.Context) ([]*operatorv1.Node, error) {
	return []*operatorv1.Node{{Id: "scheduler-1", Role: "scheduler", Zone: "zone-1", ShardsLed: 11}}, gateway.failure
}

func (gateway *gateway) Programs(context.Context, string, uint32) ([]*operatorv1.Program, error) {
	return []*operatorv1.Program{{Id: "p1", Tier: "kiosk", SpentMicros: 17}}, gateway.failure
}

func (gateway *gateway) StopProgram(context.Context, string, string) error { return gateway.failure }

func (gateway *gateway) ExplainCall(context.Context, string, string) (*operatorv1.ExplainCallReply, error) {
	return &operatorv1.ExplainCallReply{
		CallState: "queued",
		Decisions: []*operatorv1.Decision{{What: "wait", Why: "no slot"}},
	}, gateway.failure
}

func (gateway *gateway) handler() http.Handler {
	digest := sha256.Sum256([]byte("operator-key"))
	return operator.NewHandler(operator.Dependencies{
		Publisher: gateway, Reader: gateway, Cluster: gateway, KeySHA256: hex.EncodeToString(digest[:]),
	})
}

// serve starts a server and returns the flags that connect to it.
func (gateway *gateway) serve() []string {
	server := httptest.NewServer(gateway.handler())
	DeferCleanup(server.Close)
	return []string{"operator", "--address", server.Listener.Addr().String(), "--key-file", keyFile("operator-key\n")}
}

func keyFile(content string) string {
	path := filepath.Join(GinkgoT().TempDir(), "key")
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

const exampleConfiguration = "../../examples/namibia/configuration.yaml"

var _ = Describe("operator", func() {
	var served *gateway
	var flags []string
	ask := func(arguments ...string) result { return run(append(flags, arguments...)...) }

	BeforeEach(func() {
		served = &gateway{}
		flags = served.serve()
	})

	It("publishes on the version in force, reads back, and reports a version conflict", func() {
		got := ask("publish", exampleConfiguration, "--change-id", "first")
		Expect(got.code).To(Equal(ExitOK), got.errors)
		Expect(got.output).To(Equal("VERSION  CHANGE\n1        first\n"))
		expectOneLine(ask("publish", exampleConfiguration, "--base-version", "0"), ExitRefused, "5001 VERSION_CONFLICT: version 1 is in force")
		Expect(ask("publish", exampleConfiguration).code).To(Equal(ExitOK))
		Expect(served.changeIDs).To(HaveLen(2))
		Expect(served.changeIDs[1]).To(HaveLen(2 * changeIDBytes))
		shown := ask("get").output
		Expect(shown).To(And(ContainSubstring("metering/kiosk"), ContainSubstring("token-dispute")))
		Expect(shown).NotTo(ContainSubstring("key_sha256"))
	})

	It("prints a configuration that publish accepts", func() {
		Expect(ask("publish", exampleConfiguration).code).To(Equal(ExitOK))
		path := filepath.Join(GinkgoT().TempDir(), "read.json")
		Expect(os.WriteFile(path, []byte(ask("--output", "json", "get", "--content").output), 0o600)).To(Succeed())
		Expect(ask("--output", "json", "get").output).To(HavePrefix("{\n  \"version\": \"1\",\n"))
		got := ask("publish", path)
		Expect(got.code).To(Equal(ExitOK), got.errors)
		Expect(served.version).To(BeEquivalentTo(2))
	})

	It("prints tables and JSON for every command", func() {
		for line, text := range map[string]string{
			"nodes": "scheduler-1", "drain": "engine-1", "programs": "p1", "stop-program": "p1", "explain": "no slot",
		} {
			arguments := map[string][]string{
				"nodes": {line}, "programs": {line}, "drain": {line, "engine-1"},
				"stop-program": {line, "p1"}, "explain": {line, "p1", "r1"},
			}[line]
			got := ask(arguments...)
			Expect(got.code).To(Equal(ExitOK), got.errors)
			Expect(got.output).To(ContainSubstring(text))
			got = ask(append([]string{"--output", "json"}, arguments...)...)
			Expect(json.Valid([]byte(got.output))).To(BeTrue(), got.output)
		}
	})

	It("has different exit codes for refusal, unavailability and invalid usage", func() {
		served.failure = resultcode.New(resultcode.UnknownProgram, "no such program")
		expectOneLine(ask("stop-program", "p9"), ExitRefused, "1004 UNKNOWN_PROGRAM")
		got := ask("--output", "json", "stop-program", "p9")
		var body httpserver.ErrorBody
		Expect(json.Unmarshal([]byte(got.errors), &body)).To(Succeed())
		Expect(body.Error.Code).To(Equal(resultcode.UnknownProgram))
		served.failure = resultcode.New(resultcode.NoLeader, "no leader")
		expectOneLine(ask("stop-program", "p9"), ExitUnavailable, "2006 NO_LEADER")
		expectOneLine(ask("--output", "xml", "nodes"), ExitUsage, "--output")
		expectOneLine(ask("publish", "absent.yaml"), ExitUsage, "absent.yaml")
		expectOneLine(run("operator", "--address", "127.0.0.1:1", "--key-file", keyFile("k"), "nodes"), ExitUnavailable, "no gateway answered")
		expectOneLine(run("operator", "--address", "127.0.0.1:1", "--key-file", keyFile(" "), "nodes"), ExitUsage, "key is missing")
		expectOneLine(run("operator", "--key-file", keyFile("k"), "nodes"), ExitUsage, "--address: missing")
	})

	It("connects over TLS only to gateways of the authority", func() {
		server := httptest.NewTLSServer(served.handler())
		DeferCleanup(server.Close)
		path := filepath.Join(GinkgoT().TempDir(), "authority.pem")
		block := &pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}
		Expect(os.WriteFile(path, pem.EncodeToMemory(block), 0o600)).To(Succeed())
		secured := []string{"operator", "--address", server.Listener.Addr().String(), "--key-file", keyFile("operator-key"), "nodes"}
		Expect(run(append(secured, "--authority-file", path)...).code).To(Equal(ExitOK))
		expectOneLine(run(secured...), ExitUnavailable, "no gateway answered")
		expectOneLine(run(append(secured, "--authority-file", "absent.pem")...), ExitUsage, "--authority-file")
	})

	It("reports a wrong key, and tries the next gateway if one is unreachable", func() {
		expectOneLine(run("operator", "--address", flags[2], "--key-file", keyFile("guess"), "nodes"), ExitRefused, "1003 BAD_KEY")
		got := run(append([]string{"operator", "--address", "127.0.0.1:1"}, append(flags[1:], "nodes")...)...)
		Expect(got.code).To(Equal(ExitOK), got.errors)
	})
})
