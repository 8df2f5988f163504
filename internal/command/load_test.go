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

	// serve starts a server and returns its address.
	serve := func(handler http.HandlerFunc) string {
		server := httptest.NewServer(handler)
		DeferCleanup(server.Close)
		return server.Listener.Addr().String()
	}
	serveStatus := func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != load.StatusPath {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		if service := request.URL.Query().Get(load.StatusServiceParameter); service == "nowhere" {
			httpserver.WriteError(writer, resultcode.New(resultcode.UnknownTarget, "no engine of a service %q is known", service))
			return
		}
		_ = json.NewEncoder(writer).Encode(status)
	}

	It("prints tables", func() {
		got := run("load", "--address", serve(serveStatus))
		Expect(got.code).To(Equal(ExitOK), got.errors)
		Expect(got.output).To(MatchRegexp(`node-1 +a +0\.250 +known +230ms +3 +2 +no +b`))
		Expect(got.output).To(MatchRegexp(`models +2 +0 +12 +12 +9 +0:3,2:48 +- +-`))
		Expect(got.output).To(MatchRegexp(`models +slots +15\.2 +13\.0 +12\.0`))
		Expect(got.output).To(MatchRegexp(`turn +models +2 +60 +0 +0\.0 +8\.0 +0\.0`))
		Expect(got.output).To(MatchRegexp(`hot +2 +50 +4\.5`))
		Expect(got.output).To(ContainSubstring("(20 more)"))
		Expect(got.output).To(MatchRegexp(`e0 +models +b +no +6 +- +1 +zone,full`))
	})

	It("prints the node's JSON", func() {
		got := run("load", "--address", serve(serveStatus), "--output", "json")
		Expect(got.code).To(Equal(ExitOK), got.errors)
		var printed load.Status
		Expect(json.Unmarshal([]byte(got.output), &printed)).To(Succeed())
		Expect(printed).To(Equal(status))
	})

	DescribeTable("rejects an invalid flag with a single-line error", func(text string, flags ...string) {
		expectOneLine(run(append([]string{"load"}, flags...)...), ExitUsage, text)
	},
		Entry("address without a port", `6001 INVALID_SETTINGS: --address: "localhost" is not IP:PORT`, "--address", "localhost"),
		Entry("host name", `6001 INVALID_SETTINGS: --address: "node-1:9000" is not IP:PORT`, "--address", "node-1:9000"),
		Entry("port out of range", `6001 INVALID_SETTINGS: --address`, "--address", "127.0.0.1:70000"),
		Entry("unknown output format", `6001 INVALID_SETTINGS: --output: "xml" is not one of table, json`, "--address", "127.0.0.1:1", "--output", "xml"),
		Entry("zero timeout", `6001 INVALID_SETTINGS: --timeout`, "--address", "127.0.0.1:1", "--timeout", "0s"),
	)

	It("requires --address", func() {
		Expect(run("load").code).To(Equal(ExitUsage))
	})

	It("prints the node's error for an unknown service", func() {
		expectOneLine(run("load", "--address", serve(serveStatus), "--service", "nowhere"), ExitRefused, `1005 UNKNOWN_TARGET: no engine of a service "nowhere" is known`)
	})

	It("reports an address that is not a node's metrics address", func() {
		other := serve(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNotFound) })
		expectOneLine(run("load", "--address", other), ExitUsage, "6001 INVALID_SETTINGS: --address: "+other+" does not serve load status (HTTP 404)")
		empty := serve(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte("{}")) })
		expectOneLine(run("load", "--address", empty), ExitUsage, "does not serve load status (HTTP 200)")
	})

	It("exits with ExitUnavailable if the node can't be reached", func() {
		server := httptest.NewServer(http.NotFoundHandler())
		address := server.Listener.Addr().String()
		server.Close()
		expectOneLine(run("load", "--address", address), ExitUnavailable, "no response from the node")
	})
})
