package region_test

import (
	"testing"

	"github.com/magpielug/magpielug/internal/region"
	. "github.com/onsi/gomega"
)

func TestAllowedZonesSatisfyAllRestrictions(t *testing.T) {
	expect := NewWithT(t)
	regions := region.Map{"a": "north", "b": "north", "c": "south", "d": "east"}
	expect.Expect(regions.AllowedZones(nil, nil)).To(BeNil())
	expect.Expect(regions.AllowedZones(nil, nil).Contains("anywhere")).To(BeTrue())
	expect.Expect(regions.AllowedZones([]string{"north"}, nil)).To(Equal(region.ZoneSet{"a", "b"}))
	both := regions.AllowedZones([]string{"north", "south"}, []string{"south", "east"})
	expect.Expect(both).To(Equal(region.ZoneSet{"c"}))
	expect.Expect(both.Contains("a")).To(BeFalse())
	none := regions.AllowedZones([]string{"north"}, []string{"south"})
	expect.Expect(none).NotTo(BeNil())
	expect.Expect(none.Contains("a")).To(BeFalse())
	expect.Expect(regions.AllowedZones([]string{"west"}).Contains("unknown")).To(BeFalse())
}
