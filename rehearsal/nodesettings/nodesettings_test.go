package nodesettings

import (
	"os"
	"strings"
	"testing"
	"time"

	productsettings "github.com/magpielug/magpielug/internal/settings"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestNodeSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "nodesettings suite")
}

var _ = Describe("A node's settings file", func() {
	It("contains the fields that are set and omits the others", func() {
		settings := Settings{Name: "node-1", CallerPort: 1, ReadinessPort: 2, PeerPort: 3, MetricsPort: 4, StoreAddress: "127.0.0.1:9", Partitions: 4, DrainSeconds: 8}
		path, err := settings.WriteConf(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		content, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		lines := strings.Split(string(content), "\n")
		Expect(lines).To(ContainElements("NodeName=node-1", "Listen.Front=127.0.0.1:1", "Listen.Readiness=127.0.0.1:2",
			"InternalPortRange=3,4", "Platform.Address=127.0.0.1:9", "Platform.parts=4", "Bounds.GraceS=8"))
		Expect(string(content)).NotTo(Or(ContainSubstring("Listen.Control"), ContainSubstring("Seeds")))

		settings.ControlPort = 5
		settings.Seeds = []string{"a", "b"}
		Expect(strings.Split(settings.confContent(), "\n")).To(ContainElements("Listen.Control=127.0.0.1:5", "Seeds=a,b"))
	})

	It("contains the same fields in the product's TOML format", func() {
		settings := Settings{Name: "node-1", Zone: "zone-3", CallerPort: 1, ReadinessPort: 2, PeerPort: 3, MetricsPort: 4, StoreAddress: "127.0.0.1:9", Partitions: 4, DrainSeconds: 8,
			Quota: &Quota{WindowSeconds: 5, Overage: 0.1, Slack: 20}}
		path, err := settings.WriteTOML(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		loaded, err := productsettings.LoadNode(path, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Node.Name).To(Equal("node-1"))
		Expect(loaded.Node.Zone).To(Equal("zone-3"))
		Expect(loaded.Listen).To(Equal(productsettings.NodeListen{Callers: "127.0.0.1:1", Readiness: "127.0.0.1:2", Peers: "127.0.0.1:3", Metrics: "127.0.0.1:4"}))
		Expect(loaded.Store).To(Equal(productsettings.NodeStore{Address: "127.0.0.1:9", Partitions: 4}))
		Expect(loaded.Limits.DrainTimeout).To(Equal(8 * time.Second))
		Expect(loaded.Quota).To(Equal(productsettings.NodeQuota{Window: 5 * time.Second, Overage: 0.1, Slack: 20}))
	})
})
