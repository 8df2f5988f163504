package configuration

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("freshness", func() {
	const bound = 5 * time.Second
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

	It("lasts the bound from when a read of the log was sent", func() {
		fresh := newFreshness(bound, "a")
		Expect(fresh.isFresh(0, at(0))).To(BeFalse())
		fresh.heardLog(at(1))
		fresh.heardLog(at(0))
		Expect(fresh.isFresh(0, at(6))).To(BeTrue())
		Expect(fresh.isFresh(0, at(7))).To(BeFalse())
	})

	It("takes a majority of zones at the same version, heard within the bound", func() {
		fresh := newFreshness(bound, "a")
		fresh.setZones([]string{"a", "b", "c", "d"})
		fresh.heardPeer("b", 3, at(10))
		Expect(fresh.isFresh(3, at(10))).To(BeFalse())
		fresh.heardPeer("c", 3, at(10))
		Expect(fresh.isFresh(3, at(15))).To(BeTrue())
		Expect(fresh.isFresh(3, at(16))).To(BeFalse())
	})

	It("is lost for good when any zone has a later version, until that is reached", func() {
		fresh := newFreshness(bound, "a")
		fresh.setZones([]string{"a", "b", "c"})
		fresh.heardPeer("b", 3, at(10))
		Expect(fresh.isFresh(3, at(10))).To(BeTrue())
		fresh.heardPeer("c", 4, at(10))
		fresh.heardPeer("c", 3, at(11))
		Expect(fresh.isFresh(3, at(11))).To(BeFalse())
		fresh.heardPeer("b", 4, at(12))
		Expect(fresh.isFresh(4, at(12))).To(BeTrue())
	})

	It("does not trust a zone on its own, nor forgets zones that stay", func() {
		fresh := newFreshness(bound, "a")
		fresh.heardPeer("a", 0, at(0))
		Expect(fresh.isFresh(0, at(0))).To(BeFalse())
		fresh.heardPeer("b", 1, at(0))
		fresh.setZones([]string{"b"})
		Expect(fresh.isHeld(1, 0)).To(BeFalse())
		Expect(fresh.isHeld(1, 1)).To(BeTrue())
	})
})
