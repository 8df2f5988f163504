package node

import (
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Egress nodes", func() {
	known := func(nodes int) *members {
		list := newMembers()
		for number := range nodes {
			list.put(Member{Name: "node-" + strconv.Itoa(number), Address: strconv.Itoa(number), Zone: "zone-" + strconv.Itoa(number%2), Capacity: 800})
		}
		return list
	}
	names := func(members []Member) []string {
		var list []string
		for _, member := range members {
			list = append(list, member.Name)
		}
		return list
	}

	It("are a few of each zone, one at least", func() {
		zones := known(60).egressNodes()
		Expect(zones["zone-0"]).To(HaveLen(3))
		Expect(zones["zone-1"]).To(HaveLen(3))
		Expect(known(2).egressNodes()["zone-1"]).To(HaveLen(1))
	})

	It("keep their engines when another one leaves", func() {
		list := known(60)
		before := list.egressNodes()["zone-0"]
		left := before[0]
		left.Draining = true
		list.put(left)
		after := list.egressNodes()["zone-0"]
		Expect(names(after)).NotTo(ContainElement(left.Name))
		for number := range 50 {
			engine := "engine-" + strconv.Itoa(number)
			first := inOrderOf(engine, before)[0]
			if first.Name != left.Name && len(names(after)) > 0 {
				Expect(inOrderOf(engine, after)[0].Name).To(Or(Equal(first.Name), Not(BeElementOf(names(before)))))
			}
		}
	})

	It("are found anew once the nodes change", func() {
		node := &Node{members: known(4)}
		topology := &egressTopology{node: node}
		before := topology.of("zone-0")
		Expect(before).To(HaveLen(1))
		left := before[0]
		left.Draining = true
		node.members.put(left)
		Expect(names(topology.of("zone-0"))).NotTo(ContainElement(left.Name))
	})
})
