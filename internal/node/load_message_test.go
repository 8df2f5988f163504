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

// The target size in docs/DEVELOPERS.md.
const (
	targetNodes   = 390
	targetZones   = 6
	targetEngines = 600
	targetTenants = 320
	// targetRequests is the number of concurrent requests: 1.4 million tokens per second at 25
	// tokens per second and request.
	targetRequests = 56_000
	targetRoutes   = 20
)

// targetList returns an engine list of the target size.
func targetList() engineList {
	names := make([]string, 0, targetEngines)
	for number := range targetEngines {
		names = append(names, fmt.Sprintf("model-engine-%03d", number))
	}
	return newEngineList(names)
}

// targetReports returns the reports of all nodes at the target size: requests at random engines,
// some still without a first byte, recent successes, and programs at a few owners.
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

func sumReports(reports []load.Report) load.Report {
	total := load.NewReport()
	for _, report := range reports {
		total.Add(report)
	}
	return total
}

var _ = Describe("Load messages", func() {
	random := rand.New(rand.NewPCG(1, 2))
	list := targetList()
	reports := targetReports(list, random)
	total := sumReports(reports)

	reportSize := func(report load.Report) int {
		return messageOverhead + proto.Size(compressReport(toLoadReport(report, list)))
	}
	replySize := func(report load.Report) int { return proto.Size(compressReport(toLoadReport(report, list))) }

	It("survive a round trip except for rounded counts", func() {
		report := reports[0]
		report.Waiting[load.QueueKey{Service: "models", Priority: 2}] = 5
		report.Engines["engine-that-is-new"] = load.Engine{Running: 3, AwaitingFirstByte: 1, Succeeded: 1.5, Failed: 0.25}
		message, err := decompressReport(compressReport(toLoadReport(report, list)))
		Expect(err).NotTo(HaveOccurred())
		decoded := fromLoadReport(message, list)
		Expect(decoded.Waiting).To(Equal(report.Waiting))
		Expect(decoded.Routes).To(Equal(report.Routes))
		Expect(decoded.Tenants).To(Equal(report.Tenants))
		Expect(decoded.Engines).To(HaveLen(len(report.Engines)))
		for id, engine := range report.Engines {
			Expect(decoded.Engines[id].Running).To(Equal(engine.Running))
			Expect(decoded.Engines[id].AwaitingFirstByte).To(Equal(engine.AwaitingFirstByte))
			Expect(decoded.Engines[id].Succeeded).To(BeNumerically("~", engine.Succeeded, countResolution/2))
			Expect(decoded.Engines[id].Failed).To(BeNumerically("~", engine.Failed, countResolution/2))
		}
	})

	It("name the engines without a shared list", func() {
		report := reports[0]
		Expect(fromLoadReport(toLoadReport(report, engineList{}), engineList{}).Engines).To(Equal(report.Engines))
	})

	It("omit successes of engines without failures", func() {
		sum := load.NewReport()
		sum.Engines["sound"] = load.Engine{Running: 3, Succeeded: 9}
		sum.Engines["failing"] = load.Engine{Running: 3, Succeeded: 9, Failed: 2}
		Expect(engineLoadOnly(sum).Engines).To(Equal(map[string]load.Engine{"sound": {Running: 3}, "failing": {Running: 3, Succeeded: 9, Failed: 2}}))
	})

	It("carry an engine list verified by its digest", func() {
		read, err := readEngineList(list.digest, list.compressedNames())
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal(list))
		_, err = readEngineList(list.digest+1, list.compressedNames())
		Expect(err).To(MatchError(errListDigest))
		none, err := readEngineList(newEngineList(nil).digest, newEngineList(nil).compressedNames())
		Expect(err).NotTo(HaveOccurred())
		Expect(none.names).To(BeEmpty())
		GinkgoWriter.Printf("bytes of a list: %d\n", len(list.compressedNames()))
	})

	It("are rejected or truncated if malformed", func() {
		Expect(fromColumn(&nodev1.Column{Steps: []uint32{4, 0, 1}, Values: []uint32{1, 2, 3}}, 3)).To(Equal([]uint32{0, 0, 0}))
		Expect(fromColumn(&nodev1.Column{Steps: []uint32{1}, Values: []uint32{7, 8}}, 3)).To(Equal([]uint32{7, 0, 0}))
		Expect(fromColumn(&nodev1.Column{Values: []uint32{1, 2, 3, 4}}, 3)).To(Equal([]uint32{1, 2, 3}))
		_, err := decompressReport(&nodev1.LoadReport{Packed: []byte("not compressed")})
		Expect(err).To(HaveOccurred())
		_, err = decompressReport(&nodev1.LoadReport{Packed: compress(make([]byte, maxDecompressedBytes+1))})
		Expect(err).To(MatchError(errMessageTooLong))
	})

	It("keep within their byte rate and the report TTL at the target size", func() {
		const maxInterval = load.ReportTTL / 2 // Two reports arrive within the TTL.
		node := reportSize(reports[100]) + replySize(engineLoadOnly(total))
		owner := reportSize(reports[0]) + replySize(total)
		zoneTotal := reportSize(sumReports(reports[:targetNodes/targetZones]))
		Expect(intervalFor(node, reportBytesPerSecond)).To(BeNumerically("<", maxInterval), "%d bytes", node)
		Expect(intervalFor(owner, ownerReportBytesPerSecond)).To(BeNumerically("<", maxInterval), "%d bytes", owner)
		Expect(intervalFor(zoneTotal, exchangeBytesPerSecond)).To(BeNumerically("<", maxInterval), "%d bytes", zoneTotal)
		GinkgoWriter.Printf("bytes: node %d, owner %d, zone total %d; intervals: %s %s %s\n", node, owner, zoneTotal,
			intervalFor(node, reportBytesPerSecond), intervalFor(owner, ownerReportBytesPerSecond), intervalFor(zoneTotal, exchangeBytesPerSecond))
	})

	It("are sent no faster than their byte rate allows", func() {
		Expect(intervalFor(100, reportBytesPerSecond)).To(Equal(reportInterval))
		Expect(intervalFor(4*reportBytesPerSecond, reportBytesPerSecond)).To(Equal(4 * time.Second))
	})
})
