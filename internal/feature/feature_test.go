package feature_test

import (
	"testing"

	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/gomega"
)

func TestDisable(t *testing.T) {
	expect := NewWithT(t)
	t.Cleanup(func() { _ = feature.Disable("") })
	for _, each := range feature.All {
		expect.Expect(feature.Enabled(each)).To(BeTrue())
	}
	expect.Expect(feature.Disable("yielding, isolation")).To(Succeed())
	expect.Expect(feature.Enabled(feature.OwnershipHandover)).To(BeFalse())
	expect.Expect(feature.Enabled(feature.Isolation)).To(BeFalse())
	expect.Expect(feature.Enabled(feature.Allowances)).To(BeTrue())

	err := feature.Disable("allowances,guesses")
	expect.Expect(resultcode.CodeOf(err)).To(Equal(resultcode.InvalidSettings))
	expect.Expect(feature.Enabled(feature.Allowances)).To(BeTrue(), "nothing has changed")
	expect.Expect(feature.Enabled(feature.OwnershipHandover)).To(BeFalse())
}
