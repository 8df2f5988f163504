package settings

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const valid = `
node:
  id: scheduler-1
  role: scheduler
  region: windhoek
  zone: a
  listen: 127.1.0.1:7100
platform:
  log: http://127.0.0.1:9001
  machines: http://127.0.0.1:9002
scheduler:
  heartbeat: 100ms
  lease: 400ms
  archive_backlog: 4MiB
`

var _ = Describe("Load", func() {
	It("applies the file over the defaults and overrides over the file", func() {
		path := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
		Expect(os.WriteFile(path, []byte(valid), 0o600)).To(Succeed())
		loaded, err := Load(path, []Override{
			{Key: "node.zone", Value: "b"},
			{Key: "scheduler.shards", Value: "8"},
			{Key: "scheduler.lease", Value: "300ms"},
			{Key: "limits.body", Value: "1MiB"},
			{Key: "configuration.serve_stale", Value: "true"},
			{Key: "node.role", Value: "gateway", OnlyIfMissing: true},
			{Key: "log.level", Value: "debug", OnlyIfMissing: true},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Node.Zone).To(Equal("b"))
		Expect(loaded.Node.AdvertisedAddress()).To(Equal("127.1.0.1:7100"))
		Expect(loaded.Scheduler.Shards).To(BeEquivalentTo(8))
		Expect(loaded.Scheduler.Heartbeat).To(Equal(100 * time.Millisecond))
		Expect(loaded.Scheduler.Lease).To(Equal(300 * time.Millisecond))
		Expect(loaded.Scheduler.ArchiveBacklog).To(Equal(4 * MiB))
		Expect(loaded.Limits.Body).To(Equal(MiB))
		Expect(loaded.Configuration.ServeStale).To(BeTrue())
		Expect(loaded.Scheduler.Replicas).To(Equal(3))
		Expect(loaded.Node.Role).To(Equal(RoleScheduler))
		Expect(loaded.Log.Level).To(Equal("debug"))
	})

	DescribeTable("rejects an invalid key with a single-line error that names it",
		func(key, value, message string) {
			_, err := Parse([]byte(valid), []Override{{Key: key, Value: value}})
			Expect(resultcode.CodeOf(err)).To(Equal(resultcode.InvalidSettings))
			Expect(err.Error()).To(HavePrefix("6001 INVALID_SETTINGS: " + key + ": "))
			Expect(err.Error()).To(ContainSubstring(message))
			Expect(err.Error()).NotTo(ContainSubstring("\n"))
		},
		Entry("unknown key", "scheduler.heartbeet", "1s", "unknown key"),
		Entry("unknown section", "schedulers", "1", "unknown key"),
		Entry("wrong case", "Log", "{level: info}", "unknown key"),
		Entry("duration without a unit", "scheduler.heartbeat", "250", "needs a unit"),
		Entry("duration with a size unit", "scheduler.heartbeat", "4KiB", "not a duration"),
		Entry("size without a unit", "limits.body", "4096", "needs a unit"),
		Entry("size with a duration unit", "limits.body", "4s", "needs a unit"),
		Entry("size over 64 bits", "limits.body", "99999999999GiB", "not a size"),
		Entry("negative size", "limits.body", "-1KiB", "not a size"),
		Entry("size out of bounds", "limits.body", "2GiB", "above 1GiB"),
		Entry("duration out of bounds", "limits.idle_timeout", "1ms", "below 1s"),
		Entry("number out of bounds", "scheduler.shards", "0", "below 1"),
		Entry("negative number", "scheduler.shards", "-1", "cannot"),
		Entry("text for a number", "scheduler.shards", "many", "uint32"),
		Entry("number for text", "node.id", "7", "string"),
		Entry("list for a section", "node", "[1]", "map"),
		Entry("text for true or false", "configuration.serve_stale", "maybe", "bool"),
		Entry("missing", "node.id", "''", "missing"),
		Entry("invalid name", "node.id", "a/b", "characters"),
		Entry("unknown role", "node.role", "engine", "gateway, scheduler"),
		Entry("host name as address", "node.listen", "localhost:80", "IP address with a port"),
		Entry("address without a port", "node.listen", "127.0.0.1", "IP address with a port"),
		Entry("port out of range", "node.listen", "127.0.0.1:70000", "IP address with a port"),
		Entry("URL without a scheme", "platform.log", "127.0.0.1:9001", "not a URL"),
		Entry("invalid operator key digest", "operator_key_sha256", "abc", "64 hexadecimal"),
		Entry("certificate without a key", "tls.certificate", "a.pem", "tls.certificate and tls.key must be set together"),
		Entry("missing authority", "tls.authority", "absent.pem", "absent.pem"),
		Entry("lease too long", "scheduler.lease", "1900ms", "0.9 of scheduler.election_min"),
		Entry("lease below the heartbeat", "scheduler.lease", "50ms", "above scheduler.heartbeat"),
		Entry("election_max below election_min", "scheduler.election_max", "1s", "above scheduler.election_min"),
		Entry("drain grace above the shutdown timeout", "limits.drain_grace", "1m", "below limits.shutdown_timeout"),
		Entry("poll too slow", "configuration.poll", "4s", "half of configuration.fresh_bound"),
	)

	It("requires node.advertise if node.listen is unspecified", func() {
		_, err := Parse([]byte(valid), []Override{{Key: "node.listen", Value: "0.0.0.0:7100"}})
		Expect(err).To(MatchError(ContainSubstring("node.advertise: required")))
	})

	It("reports a missing file and a file that is not YAML", func() {
		_, err := Load("absent.yaml", nil)
		Expect(err).To(MatchError(ContainSubstring("absent.yaml")))
		_, err = Parse([]byte("node: [\n"), nil)
		Expect(err).To(MatchError(ContainSubstring("not YAML")))
		Expect(err.Error()).NotTo(ContainSubstring("\n"))
	})

	It("accepts the defaults", func() {
		_, err := Parse([]byte(valid), nil)
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = Describe("docs/OPERATIONS.md", func() {
	DescribeTable("lists every key with its default, unit and bounds", func(rows []Row) {
		page, err := os.ReadFile("../../docs/OPERATIONS.md")
		Expect(err).NotTo(HaveOccurred())
		for _, line := range strings.Split(Markdown(rows), "\n") {
			Expect(string(page)).To(ContainSubstring(line))
		}
		Expect(strings.Count(string(page), "\n| `")).To(BeNumerically(">=", len(Table())+len(NodeTable())))
	},
		Entry("gateways and schedulers", Table()),
		Entry("nodes", NodeTable()),
	)
})
