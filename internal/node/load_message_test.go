package node

import (
	"fmt"
	"math/rand/v2"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/load"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

// The size that docs/DEVELOPERS.md names.
const (
	targetNodes   = 390
	targetZones   = 6
	targetEngines = 600
	targetTenants = 320
	// targetRequests are under way at once: 1.4 million tokens a second at some 25 a second
	// and request, by the 71 ms that 95 in 100 tokens take at most.
	targetRequests = 56_000
	targetRoutes   = 20
)

// targetList is a list of engines of that size.
func targetList() engineList {
	names := make([]string, 0, targetEngines)
	for number := range targetEngines {
		names = append(names, fmt.Sprintf("model-engine-%03d", number))
	}
	return newEngineList(names)
}

// targetReports are the reports of all nodes at that size: requests at random engines, one
// in twenty without a byte, recent answers, and programs at a few owners.
func targetReports(list engineList, random *rand.Rand) []load.Report {
	reports := make([]load.Report, 0, targetNodes)
	for range targetNodes {
		reports = append(reports, load.NewReport())
	}
	for range targetRequests {
		report := reports[random.IntN(targetNodes)]
		id := list.names[random.IntN(targetEngines)]
		engine := report.Engines[id]
		engine.Running++
		if random.IntN(20) == 0 {
			engine.AwaitingFirstByte++
		}
		engine.Succeeded += random.Float64() / 2
		report.Engines[id] = engine
	}
	for route := range targetRoutes {
		reports[route%targetZones].Routes[fmt.Sprintf("route-%02d", route)] = load.Route{Service: "models", Priority: route % 3, Programs: 4350, Turns: 2800,
			ProgramsStarted: 170.5, Refused: 3.2, Late: 7.7, PromptTokens: 370_000_000}
	}
	for tenant := range targetTenants {
		for owner := range targetZones {
			reports[owner].Tenants[load.TenantPriority{Tenant: fmt.Sprintf("tenant-%03d", tenant), Priority: tenant % 3}] = 45
		}
	}
	return reports
}

func sumOf(reports []load.Report) load.Report {
	total := load.NewReport()
	for _, report := range reports {
		total.Add(report)
	}
	return total
}

var _ = Describe("Messages about load", func() {
	random := rand.New(rand.NewPCG(1, 2))
	list := targetList()
	reports := targetReports(list, random)
	total := sumOf(reports)

	length := func(report load.Report) int {
		return messageOverhead + proto.Size(packed(toLoadReport(report, list)))
	}
	answerLength := func(report load.Report) int { return proto.Size(packed(toLoadReport(report, list))) }

	It("come back as they were sent, but for counts rounded", func() {
		report := reports[0]
		report.Waiting[load.QueueKey{Service: "models", Priority: 2}] = 5
		report.Engines["engine-that-is-new"] = load.Engine{Running: 3, AwaitingFirstByte: 1, Succeeded: 1.5, Failed: 0.25}
		message, err := unpacked(packed(toLoadReport(report, list)))
		Expect(err).NotTo(HaveOccurred())
		back := fromLoadReport(message, list)
		Expect(back.Waiting).To(Equal(report.Waiting))
		Expect(back.Routes).To(Equal(report.Routes))
		Expect(back.Tenants).To(Equal(report.Tenants))
		Expect(back.Engines).To(HaveLen(len(report.Engines)))
		for id, engine := range report.Engines {
			Expect(back.Engines[id].Running).To(Equal(engine.Running))
			Expect(back.Engines[id].AwaitingFirstByte).To(Equal(engine.AwaitingFirstByte))
			Expect(back.Engines[id].Succeeded).To(BeNumerically("~", engine.Succeeded, countUnit/2))
			Expect(back.Engines[id].Failed).To(BeNumerically("~", engine.Failed, countUnit/2))
		}
	})

	It("name the engines to one who knows no list", func() {
		report := reports[0]
		Expect(fromLoadReport(toLoadReport(report, engineList{}), engineList{}).Engines).To(Equal(report.Engines))
	})

	It("tell nodes that choose engines of answers only where requests fail too", func() {
		sum := load.NewReport()
		sum.Engines["sound"] = load.Engine{Running: 3, Succeeded: 9}
		sum.Engines["failing"] = load.Engine{Running: 3, Succeeded: 9, Failed: 2}
		Expect(forEngines(sum).Engines).To(Equal(map[string]load.Engine{"sound": {Running: 3}, "failing": {Running: 3, Succeeded: 9, Failed: 2}}))
	})

	It("carry a list of engines, checked by its digest", func() {
		read, err := readEngineList(list.digest, list.packedNames())
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal(list))
		_, err = readEngineList(list.digest+1, list.packedNames())
		Expect(err).To(MatchError(errOtherList))
		none, err := readEngineList(newEngineList(nil).digest, newEngineList(nil).packedNames())
		Expect(err).NotTo(HaveOccurred())
		Expect(none.names).To(BeEmpty())
		GinkgoWriter.Printf("bytes of a list: %d\n", len(list.packedNames()))
	})

	It("do no harm where they are broken", func() {
		Expect(fromColumn(&nodev1.Column{Steps: []uint32{4, 0, 1}, Values: []uint32{1, 2, 3}}, 3)).To(Equal([]uint32{0, 0, 0}))
		Expect(fromColumn(&nodev1.Column{Steps: []uint32{1}, Values: []uint32{7, 8}}, 3)).To(Equal([]uint32{7, 0, 0}))
		Expect(fromColumn(&nodev1.Column{Values: []uint32{1, 2, 3, 4}}, 3)).To(Equal([]uint32{1, 2, 3}))
		_, err := unpacked(&nodev1.LoadReport{Packed: []byte("no such thing")})
		Expect(err).To(HaveOccurred())
		_, err = unpacked(&nodev1.LoadReport{Packed: compressed(make([]byte, mostUnpackedBytes+1))})
		Expect(err).To(MatchError(errLongMessage))
	})

	It("stay in their bound at the target size, with views that still count", func() {
		const freshPace = load.ReportTTL / 2 // Two reports come while a part counts.
		node := length(reports[100]) + answerLength(forEngines(total))
		owner := length(reports[0]) + answerLength(total)
		sum := length(sumOf(reports[:targetNodes/targetZones]))
		Expect(paceOf(node, shareBytes)).To(BeNumerically("<", freshPace), "%d bytes", node)
		Expect(paceOf(owner, ownerBytes)).To(BeNumerically("<", freshPace), "%d bytes", owner)
		Expect(paceOf(sum, exchangeBytes)).To(BeNumerically("<", freshPace), "%d bytes", sum)
		GinkgoWriter.Printf("bytes: node %d, owner %d, sum %d; paces: %s %s %s\n", node, owner, sum,
			paceOf(node, shareBytes), paceOf(owner, ownerBytes), paceOf(sum, exchangeBytes))
	})

	It("go out no faster than their bound allows", func() {
		Expect(paceOf(100, shareBytes)).To(Equal(sharePace))
		Expect(paceOf(4*shareBytes, shareBytes)).To(Equal(4 * time.Second))
	})
})
