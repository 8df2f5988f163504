package command

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"

	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("load", func() {
	running, fair, age := 9, 4.5, int64(230)
	status := load.Status{
		Node:       "node-1",
		Zone:       "a",
		View:       load.ViewStatus{Known: true, AgeMillis: &age, Nodes: 3, ReportingNodes: 2},
		OwnedShare: 0.25,
		Services: []load.ServiceStatus{{Service: "models", Engines: 2, Slots: 12, HealthySlots: 12, Running: &running,
			Waiting: []load.PriorityCalls{{Priority: 0, Calls: 3}, {Priority: 2, Calls: 48}}}},
		Engines:          []load.EngineStatus{{Engine: "e0", Service: "models", Zone: "b", Slots: 6, RunningLocally: 1, AvoidReasons: []string{"zone", "full"}}},
		Admission:        []load.AdmissionStatus{{Service: "models", Resource: "slots", Demand: 15.25, Limit: 13, Capacity: 12}},
		Routes:           []load.RouteStatus{{Route: "turn", Service: "models", Priority: 2, Programs: 60, RefusedPerSecond: 8}},
		Tenants:          []load.TenantStatus{{Tenant: "hot", Priority: 2, Programs: 50, FairShare: &fair}},
		OtherTenants:     20,
		UnreachableZones: []string{"b"},
	}

	// serve answers with a result, and returns the address.
	serve := func(answer http.HandlerFunc) string {
		server := httptest.NewServer(answer)
		DeferCleanup(server.Close)
		return server.Listener.Addr().String()
	}
	answerStatus := func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != load.StatusPath {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		if service := request.URL.Query().Get(load.StatusService); service == "nowhere" {
			httpserver.WriteError(writer, resultcode.New(resultcode.UnknownTarget, "no engine of a service %q is known", service))
			return
		}
		_ = json.NewEncoder(writer).Encode(status)
	}

	It("prints tables", func() {
		got := run("load", "--address", serve(answerStatus))
		Expect(got.code).To(Equal(ExitOK), got.errors)
		Expect(got.output).To(MatchRegexp(`node-1 +a +0\.250 +known +230ms +3 +2 +no +b`))
		Expect(got.output).To(MatchRegexp(`models +2 +0 +12 +12 +9 +0:3,2:48 +- +-`))
		Expect(got.output).To(MatchRegexp(`models +slots +15\.2 +13\.0 +12\.0`))
		Expect(got.output).To(MatchRegexp(`turn +models +2 +60 +0 +0\.0 +8\.0 +0\.0`))
		Expect(got.output).To(MatchRegexp(`hot +2 +50 +4\.5`))
		Expect(got.output).To(ContainSubstring("(20 more)"))
		Expect(got.output).To(MatchRegexp(`e0 +models +b +no +6 +- +1 +zone,full`))
	})

	It("prints the node's own JSON", func() {
		got := run("load", "--address", serve(answerStatus), "--output", "json")
		Expect(got.code).To(Equal(ExitOK), got.errors)
		var printed load.Status
		Expect(json.Unmarshal([]byte(got.output), &printed)).To(Succeed())
		Expect(printed).To(Equal(status))
	})

	DescribeTable("names a wrong flag in one numbered line", func(text string, flags ...string) {
		expectOneLine(run(append([]string{"load"}, flags...)...), ExitUsage, text)
	},
		Entry("no address", `6001 INVALID_SETTINGS: --address: "localhost" is not IP:PORT`, "--address", "localhost"),
		Entry("a name", `6001 INVALID_SETTINGS: --address: "node-1:9000" is not IP:PORT`, "--address", "node-1:9000"),
		Entry("a port too high", `6001 INVALID_SETTINGS: --address`, "--address", "127.0.0.1:70000"),
		Entry("another format", `6001 INVALID_SETTINGS: --output: "xml" is none of table, json`, "--address", "127.0.0.1:1", "--output", "xml"),
		Entry("no time", `6001 INVALID_SETTINGS: --timeout`, "--address", "127.0.0.1:1", "--timeout", "0s"),
	)

	It("needs an address", func() {
		Expect(run("load").code).To(Equal(ExitUsage))
	})

	It("names a service that is not known as the node does", func() {
		expectOneLine(run("load", "--address", serve(answerStatus), "--service", "nowhere"), ExitRefused, `1005 UNKNOWN_TARGET: no engine of a service "nowhere" is known`)
	})

	It("says that an address is not a node's metrics address", func() {
		other := serve(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNotFound) })
		expectOneLine(run("load", "--address", other), ExitUsage, "6001 INVALID_SETTINGS: --address: "+other+" serves no load (HTTP 404)")
		hollow := serve(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte("{}")) })
		expectOneLine(run("load", "--address", hollow), ExitUsage, "serves no load (HTTP 200)")
	})

	It("tells a node that is not reached by its exit code", func() {
		server := httptest.NewServer(http.NotFoundHandler())
		address := server.Listener.Addr().String()
		server.Close()
		expectOneLine(run("load", "--address", address), ExitUnavailable, "no node answered")
	})
})
