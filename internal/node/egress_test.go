package node

import (
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Egress nodes", func() {
	newMembersWith := func(nodes int) *members {
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

	It("are a few nodes of each zone, at least one", func() {
		zones := newMembersWith(60).egressNodes()
		Expect(zones["zone-0"]).To(HaveLen(3))
		Expect(zones["zone-1"]).To(HaveLen(3))
		Expect(newMembersWith(2).egressNodes()["zone-1"]).To(HaveLen(1))
	})

	It("keep their engines when another egress node leaves", func() {
		list := newMembersWith(60)
		before := list.egressNodes()["zone-0"]
		draining := before[0]
		draining.Draining = true
		list.put(draining)
		after := list.egressNodes()["zone-0"]
		Expect(names(after)).NotTo(ContainElement(draining.Name))
		for number := range 50 {
			engine := "engine-" + strconv.Itoa(number)
			first := rankForEngine(engine, before)[0]
			if first.Name != draining.Name && len(names(after)) > 0 {
				Expect(rankForEngine(engine, after)[0].Name).To(Or(Equal(first.Name), Not(BeElementOf(names(before)))))
			}
		}
	})

	It("are recomputed when the membership changes", func() {
		node := &Node{members: newMembersWith(4)}
		topology := &egressTopology{node: node}
		before := topology.nodesIn("zone-0")
		Expect(before).To(HaveLen(1))
		draining := before[0]
		draining.Draining = true
		node.members.put(draining)
		Expect(names(topology.nodesIn("zone-0"))).NotTo(ContainElement(draining.Name))
	})
})
