package load_test

import (
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/load"
	. "github.com/onsi/gomega"
)

var now = time.Unix(1000, 0)

// reportOf returns a node's report of requests at one engine.
func reportOf(engine string, running int) load.Report {
	report := load.NewReport()
	report.Engines[engine] = load.Engine{Running: running}
	return report
}

func TestViewReturnsLoadOfOtherNodes(t *testing.T) {
	expect := NewWithT(t)
	own := reportOf("e", 2)
	total := load.NewReport()
	total.Add(own)
	total.Add(reportOf("e", 5))
	view := load.NewView()
	view.Update(total, own, 100*time.Millisecond, now)

	remote, known := view.RemoteEngine("e", now)
	expect.Expect(known).To(BeTrue())
	expect.Expect(remote.Running).To(Equal(5))
	remote, known = view.RemoteEngine("f", now)
	expect.Expect(known).To(BeTrue(), "an engine without requests is known to have none")
	expect.Expect(remote).To(BeZero())
}

func TestOutdatedViewIsInvalid(t *testing.T) {
	expect := NewWithT(t)
	view := load.NewView()
	_, known := view.RemoteEngine("e", now)
	expect.Expect(known).To(BeFalse(), "there is no view yet")
	view.Update(reportOf("e", 1), load.NewReport(), 0, now)
	_, known = view.Total(now.Add(load.MaxViewAge))
	expect.Expect(known).To(BeTrue())
	_, known = view.Total(now.Add(load.MaxViewAge + time.Millisecond))
	expect.Expect(known).To(BeFalse())
}

func TestReportAdd(t *testing.T) {
	expect := NewWithT(t)
	total := load.NewReport()
	for range 3 {
		part := load.NewReport()
		part.Waiting[load.QueueKey{Service: "s", Priority: 1}] = 2
		part.Tenants[load.TenantPriority{Tenant: "t", Priority: 1}] = 4
		part.Routes["r"] = load.Route{Service: "s", Priority: 1, Programs: 5, Turns: 7, ProgramsStarted: 1.5, Refused: 0.5, Late: 0.25, PromptTokens: 100}
		total.Add(part)
	}
	expect.Expect(total.Waiting).To(HaveKeyWithValue(load.QueueKey{Service: "s", Priority: 1}, 6))
	expect.Expect(total.Tenants).To(HaveKeyWithValue(load.TenantPriority{Tenant: "t", Priority: 1}, 12))
	expect.Expect(total.Routes["r"]).To(Equal(load.Route{Service: "s", Priority: 1, Programs: 15, Turns: 21, ProgramsStarted: 4.5, Refused: 1.5, Late: 0.75, PromptTokens: 300}))
}
