package settings

import (
	"os"
	"path/filepath"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const validNode = `
[node]
name = "node-1"
zone = "zone-1"
[listen]
callers = "127.0.0.1:7700"
readiness = "127.0.0.1:7701"
peers = "127.0.0.1:7702"
[store]
address = "127.0.0.1:7600"
[limits]
memory = "256MiB"
cores = 0.5
[quota]
window = "5s"
overage = 0.1
`

var _ = Describe("LoadNode", func() {
	It("applies a TOML file over the defaults and overrides over the file", func() {
		path := filepath.Join(GinkgoT().TempDir(), "node.toml")
		Expect(os.WriteFile(path, []byte(validNode), 0o600)).To(Succeed())
		loaded, err := LoadNode(path, []Override{{Key: "node.zone", Value: "zone-2"}, {Key: "limits.drain_timeout", Value: "4s"}})
		Expect(err).NotTo(HaveOccurred())
		expected := NodeDefaults()
		expected.Node.Name, expected.Node.Zone = "node-1", "zone-2"
		expected.Listen = NodeListen{Callers: "127.0.0.1:7700", Readiness: "127.0.0.1:7701", Peers: "127.0.0.1:7702"}
		expected.Store.Address = "127.0.0.1:7600"
		expected.Limits.Memory, expected.Limits.Cores, expected.Limits.DrainTimeout = 256*MiB, 0.5, 4*time.Second
		expected.Quota.Window, expected.Quota.Overage = 5*time.Second, 0.1
		Expect(loaded).To(Equal(expected))
	})

	DescribeTable("rejects an invalid key with a single-line error that names it",
		func(key, value, message string) {
			_, err := ParseNode([]byte(validNode), []Override{{Key: key, Value: value}})
			Expect(resultcode.CodeOf(err)).To(Equal(resultcode.InvalidSettings))
			Expect(err.Error()).To(HavePrefix("6001 INVALID_SETTINGS: " + key + ": "))
			Expect(err.Error()).To(ContainSubstring(message))
			Expect(err.Error()).NotTo(ContainSubstring("\n"))
		},
		Entry("list of other nodes", "node.seeds", "127.0.0.1:1", "unknown key"),
		Entry("missing name", "node.name", "''", "missing"),
		Entry("missing store", "store.address", "''", "missing"),
		Entry("store as a host name", "store.address", "store:7600", "IP address with a port"),
		Entry("no partitions", "store.partitions", "0", "below 1"),
		Entry("zone without a region", "node.regions", "a=north,b", "zone=region"),
		Entry("cold overage below 1", "cold.overage", "0.5", "below 1"),
		Entry("unknown placement", "node.placement", "nearest", "assigned, program"),
		Entry("peers on an unspecified address", "listen.peers", "0.0.0.0:7702", "other nodes"),
		Entry("peers on port 0", "listen.peers", "127.0.0.1:0", "other nodes"),
		Entry("memory without a unit", "limits.memory", "256", "needs a unit"),
		Entry("negative cores", "limits.cores", "-1", "below 0"),
		Entry("drain timeout too short", "limits.drain_timeout", "2s", "below 3s"),
		Entry("overage above 1", "quota.overage", "1.5", "above 1"),
		Entry("unknown level", "log.level", "loud", "debug, info"),
	)

	It("reports a missing file and a file that is not TOML", func() {
		_, err := LoadNode("absent.toml", nil)
		Expect(err).To(MatchError(ContainSubstring("absent.toml")))
		_, err = ParseNode([]byte("node: 1\n"), nil)
		Expect(err).To(MatchError(ContainSubstring("not TOML")))
	})
})
