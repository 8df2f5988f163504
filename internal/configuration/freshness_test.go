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

	It("expires when the bound has passed since the start of the last log read", func() {
		fresh := newFreshness(bound, "a")
		Expect(fresh.isFresh(0, at(0))).To(BeFalse())
		fresh.recordLogRead(at(1))
		fresh.recordLogRead(at(0))
		Expect(fresh.isFresh(0, at(6))).To(BeTrue())
		Expect(fresh.isFresh(0, at(7))).To(BeFalse())
	})

	It("requires a majority of zones to report the same version within the bound", func() {
		fresh := newFreshness(bound, "a")
		fresh.setZones([]string{"a", "b", "c", "d"})
		fresh.recordPeerVersion("b", 3, at(10))
		Expect(fresh.isFresh(3, at(10))).To(BeFalse())
		fresh.recordPeerVersion("c", 3, at(10))
		Expect(fresh.isFresh(3, at(15))).To(BeTrue())
		Expect(fresh.isFresh(3, at(16))).To(BeFalse())
	})

	It("is lost when a zone reports a later version, until that version is reached", func() {
		fresh := newFreshness(bound, "a")
		fresh.setZones([]string{"a", "b", "c"})
		fresh.recordPeerVersion("b", 3, at(10))
		Expect(fresh.isFresh(3, at(10))).To(BeTrue())
		fresh.recordPeerVersion("c", 4, at(10))
		fresh.recordPeerVersion("c", 3, at(11))
		Expect(fresh.isFresh(3, at(11))).To(BeFalse())
		fresh.recordPeerVersion("b", 4, at(12))
		Expect(fresh.isFresh(4, at(12))).To(BeTrue())
	})

	It("never holds with a single zone, and keeps the reports of zones that remain", func() {
		fresh := newFreshness(bound, "a")
		fresh.recordPeerVersion("a", 0, at(0))
		Expect(fresh.isFresh(0, at(0))).To(BeFalse())
		fresh.recordPeerVersion("b", 1, at(0))
		fresh.setZones([]string{"b"})
		Expect(fresh.isHeld(1, 0)).To(BeFalse())
		Expect(fresh.isHeld(1, 1)).To(BeTrue())
	})
})
