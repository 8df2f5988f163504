package nodesettings

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestNodeSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "nodesettings suite")
}

var _ = Describe("A node's settings file", func() {
	It("holds what is set, and no field that is not", func() {
		settings := Settings{Name: "node-1", Front: 1, Ready: 2, Peer: 3, Metrics: 4, Store: "127.0.0.1:9", Partitions: 4, Grace: 8}
		path, err := settings.Write(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		content, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		lines := strings.Split(string(content), "\n")
		Expect(lines).To(ContainElements("NodeName=node-1", "Listen.Front=127.0.0.1:1", "Listen.Readiness=127.0.0.1:2",
			"InternalPortRange=3,4", "Platform.Address=127.0.0.1:9", "Platform.parts=4", "Bounds.GraceS=8"))
		Expect(string(content)).NotTo(Or(ContainSubstring("Listen.Control"), ContainSubstring("Seeds")))

		settings.Control = 5
		settings.Seeds = []string{"a", "b"}
		Expect(strings.Split(settings.content(), "\n")).To(ContainElements("Listen.Control=127.0.0.1:5", "Seeds=a,b"))
	})
})
