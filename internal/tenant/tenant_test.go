package tenant_test

import (
	"fmt"

	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Directory", func() {
	directory := tenant.NewDirectory([]tenant.TenantKeys{
		{Tenant: tenant.Tenant{Name: "a", Limit: tenant.Limit{PerSecond: 3}}, Keys: []string{"key-1", "key-2"}},
		{Tenant: tenant.Tenant{Name: "b"}, Keys: []string{"key-3", "key-1", ""}},
		{Tenant: tenant.Tenant{Name: "c"}},
	})

	It("finds the tenant of a key, and none for unknown keys", func() {
		Expect(directory.TenantForKey("key-2").Name).To(Equal("a"))
		Expect(directory.TenantForKey("key-3").Name).To(Equal("b"))
		Expect(directory.TenantForKey("key-1").Name).To(Equal("a"), "the first of two tenants that list it")
		for _, unknown := range []string{"", "key", "key-11", "KEY-1"} {
			Expect(directory.TenantForKey(unknown)).To(BeNil())
		}
	})

	It("distinguishes no tenants from tenants without keys", func() {
		Expect(tenant.Directory{}.RequiresKey()).To(BeFalse())
		Expect(tenant.NewDirectory(nil).RequiresKey()).To(BeTrue())
		Expect(tenant.NewDirectory(nil).TenantForKey("key-1")).To(BeNil())
		Expect(directory.HasLimits()).To(BeTrue())
		Expect(tenant.NewDirectory(nil).HasLimits()).To(BeFalse())
	})

	It("returns the rates of the tenants that have a limit", func() {
		Expect(directory.Rates()).To(Equal(map[string]float64{"a": 3}))
		Expect(tenant.Directory{}.Rates()).To(BeEmpty())
	})

	It("does not disclose keys when printed", func() {
		Expect(fmt.Sprintf("%+v", directory)).NotTo(ContainSubstring("key-2"))
		Expect(tenant.KeyFingerprint("key-2")).To(HaveLen(8))
	})
})
