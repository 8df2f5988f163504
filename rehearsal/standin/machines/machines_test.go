package machines

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/outside/wire"
)

var _ = Describe("Machine list stand-in", func() {
	It("shows each change after the lag", func() {
		list := New(Config{Lag: time.Hour})
		Expect(list.Register(wire.Machine{ID: "e1", Role: "engine", Address: "127.0.0.1:1"})).To(Succeed())
		Expect(list.Leave("e1")).To(Succeed())
		registered, left := list.versions[1].validFrom, list.versions[2].validFrom
		Expect(list.visibleAt(registered.Add(time.Hour - 1))).To(BeEmpty())
		Expect(list.visibleAt(registered.Add(time.Hour))[0].State).To(Equal("live"))
		Expect(list.visibleAt(left.Add(time.Hour))[0].State).To(Equal("leaving"))
		Expect(list.Remove("e1")).To(Succeed())
		Expect(list.visibleAt(time.Now().Add(time.Hour))).To(BeEmpty())
	})

	It("rejects invalid changes and leaves the list unchanged", func() {
		list := New(Config{Machines: []wire.Machine{{ID: "e1", Role: "engine", Address: "127.0.0.1:1"}}})
		Expect(list.Register(wire.Machine{ID: "e2"})).NotTo(Succeed())
		Expect(list.Leave("e2")).NotTo(Succeed())
		Expect(list.Remove("e2")).NotTo(Succeed())
		Expect(list.SetLag(-1)).NotTo(Succeed())
		Expect(list.visibleAt(time.Now())).To(HaveLen(1))
	})
})
