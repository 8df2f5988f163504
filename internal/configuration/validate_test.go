package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func keyDigest(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

func newTier(tenant, name, key string) *operatorv1.Tier {
	return &operatorv1.Tier{
		Tenant: tenant, Name: name, KeySha256: keyDigest(key),
		Weight: 1, BudgetMicros: 1000, ProgramCapMicros: 100,
	}
}

func validConfiguration() *operatorv1.Configuration {
	return &operatorv1.Configuration{
		Services: []*operatorv1.Service{
			{Name: "model", Kind: operatorv1.ServiceKind_SERVICE_KIND_MODEL, Adapters: []string{"adapter"}},
			{Name: "meter", Kind: operatorv1.ServiceKind_SERVICE_KIND_TOOL},
		},
		Tiers: []*operatorv1.Tier{
			newTier("one", "gold", "key one"),
			newTier("two", "gold", "key two"),
		},
		ProgramKinds:    []*operatorv1.ProgramKind{{Name: "dispute", Tiers: []string{"gold"}, Services: []string{"model", "meter"}}},
		Scheduling:      &operatorv1.SchedulingPolicy{AffinityPercent: 50},
		DrainedBackEnds: []string{"engine-1"},
	}
}

var _ = Describe("Validate", func() {
	It("accepts a valid and an empty configuration", func() {
		Expect(Validate(validConfiguration())).To(Succeed())
		Expect(Validate(&operatorv1.Configuration{})).To(Succeed())
	})

	DescribeTable("names the invalid field",
		func(field string, modify func(*operatorv1.Configuration)) {
			configuration := validConfiguration()
			modify(configuration)
			err := Validate(configuration)
			Expect(resultcode.CodeOf(err)).To(Equal(resultcode.InvalidConfiguration))
			Expect(err.Error()).To(ContainSubstring("INVALID_CONFIGURATION: " + field + ": "))
			Expect(err.Error()).NotTo(ContainSubstring("\n"))
		},
		Entry("duplicate service", "services[1].name", func(c *operatorv1.Configuration) { c.Services[1].Name = "model" }),
		Entry("service without a kind", "services[0].kind", func(c *operatorv1.Configuration) { c.Services[0].Kind = 0 }),
		Entry("tool with adapters", "services[1].adapters", func(c *operatorv1.Configuration) { c.Services[1].Adapters = []string{"a"} }),
		Entry("duplicate adapter", "services[0].adapters[1]", func(c *operatorv1.Configuration) { c.Services[0].Adapters = []string{"a", "a"} }),
		Entry("deadline too long", "services[0].call_deadline_ms", func(c *operatorv1.Configuration) { c.Services[0].CallDeadlineMs = 4e9 }),
		Entry("tier without a tenant", "tiers[0].tenant", func(c *operatorv1.Configuration) { c.Tiers[0].Tenant = "" }),
		Entry("tier without a name", "tiers[0].name", func(c *operatorv1.Configuration) { c.Tiers[0].Name = "" }),
		Entry("name with a space", "tiers[0].name", func(c *operatorv1.Configuration) { c.Tiers[0].Name = "a b" }),
		Entry("long name", "tiers[0].name", func(c *operatorv1.Configuration) { c.Tiers[0].Name = strings.Repeat("a", 129) }),
		Entry("duplicate tier", "tiers[1].name", func(c *operatorv1.Configuration) { c.Tiers[1].Tenant = "one" }),
		Entry("key that is not a digest", "tiers[0].key_sha256", func(c *operatorv1.Configuration) { c.Tiers[0].KeySha256 = "key one" }),
		Entry("upper-case digest", "tiers[0].key_sha256", func(c *operatorv1.Configuration) {
			c.Tiers[0].KeySha256 = strings.ToUpper(c.Tiers[0].KeySha256)
		}),
		Entry("duplicate key", "tiers[1].key_sha256", func(c *operatorv1.Configuration) { c.Tiers[1].KeySha256 = c.Tiers[0].KeySha256 }),
		Entry("no weight", "tiers[0].weight", func(c *operatorv1.Configuration) { c.Tiers[0].Weight = 0 }),
		Entry("no budget", "tiers[0].budget_micros", func(c *operatorv1.Configuration) { c.Tiers[0].BudgetMicros = 0 }),
		Entry("budget that would overflow", "tiers[0].budget_micros", func(c *operatorv1.Configuration) { c.Tiers[0].BudgetMicros = 1 << 63 }),
		Entry("price that would overflow", "tiers[0].prompt_price_micros", func(c *operatorv1.Configuration) { c.Tiers[0].PromptPriceMicros = 1 << 60 }),
		Entry("cap above the budget", "tiers[0].program_cap_micros", func(c *operatorv1.Configuration) { c.Tiers[0].ProgramCapMicros = 1001 }),
		Entry("kind with an unknown tier", "program_kinds[0].tiers[0]", func(c *operatorv1.Configuration) { c.ProgramKinds[0].Tiers[0] = "tin" }),
		Entry("kind without tiers", "program_kinds[0].tiers", func(c *operatorv1.Configuration) { c.ProgramKinds[0].Tiers = nil }),
		Entry("kind with an unknown service", "program_kinds[0].services[1]", func(c *operatorv1.Configuration) { c.ProgramKinds[0].Services[1] = "x" }),
		Entry("unknown queue", "scheduling.queue", func(c *operatorv1.Configuration) { c.Scheduling.Queue = "x" }),
		Entry("unknown placement", "scheduling.placement", func(c *operatorv1.Configuration) { c.Scheduling.Placement = "x" }),
		Entry("unknown cache policy", "scheduling.cache", func(c *operatorv1.Configuration) { c.Scheduling.Cache = "x" }),
		Entry("affinity over 100", "scheduling.affinity_percent", func(c *operatorv1.Configuration) { c.Scheduling.AffinityPercent = 101 }),
		Entry("duplicate back end", "drained_back_ends[1]", func(c *operatorv1.Configuration) { c.DrainedBackEnds = []string{"a", "a"} }),
	)

	It("rejects a missing and an oversized configuration", func() {
		Expect(Validate(nil)).To(MatchError(ContainSubstring("configuration: missing")))
		large := validConfiguration()
		for range 20_000 {
			large.DrainedBackEnds = append(large.DrainedBackEnds, strings.Repeat("x", 60))
		}
		Expect(Validate(large)).To(MatchError(ContainSubstring("configuration: over")))
	})
})

var _ = Describe("Snapshot", func() {
	It("finds only what the configuration declares", func() {
		snapshot := NewSnapshot(7, validConfiguration())
		tier, found := snapshot.TierByKey("key two")
		Expect(found).To(BeTrue())
		Expect(tier.GetTenant()).To(Equal("two"))
		_, found = snapshot.TierByKey("key three")
		Expect(found).To(BeFalse())
		_, found = snapshot.TierByKey("")
		Expect(found).To(BeFalse())
		_, found = snapshot.Tier("two", "gold")
		Expect(found).To(BeTrue())
		_, found = snapshot.Tier("two", "silver")
		Expect(found).To(BeFalse())
		service, found := snapshot.Service("meter")
		Expect(found).To(BeTrue())
		Expect(service.GetKind()).To(Equal(operatorv1.ServiceKind_SERVICE_KIND_TOOL))
		kind, found := snapshot.Kind("dispute")
		Expect(found).To(BeTrue())
		Expect(kind.GetServices()).To(HaveLen(2))
		Expect(snapshot.Drained("engine-1")).To(BeTrue())
		Expect(snapshot.Drained("engine-2")).To(BeFalse())
		Expect(NewSnapshot(1, &operatorv1.Configuration{}).Policy()).NotTo(BeNil())
	})
})
