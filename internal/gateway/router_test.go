package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/magpielug/magpielug/internal/outside"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// mutableMachineList is a machine list whose contents and error a test sets.
type mutableMachineList struct {
	machines []outside.Machine
	err      error
}

func (list *mutableMachineList) List(context.Context) ([]outside.Machine, error) {
	return list.machines, list.err
}

func schedulers(count int) []outside.Machine {
	var machines []outside.Machine
	for index := range count {
		id := fmt.Sprint("s", index)
		machines = append(machines, outside.Machine{ID: id, Address: id, Role: outside.RoleScheduler})
	}
	return machines
}

var _ = Describe("Router", func() {
	It("keeps the last machine list after a failed or empty read", func() {
		list := &mutableMachineList{machines: append(schedulers(3), outside.Machine{ID: "g", Address: "g", Role: outside.RoleGateway})}
		router := NewShardRouter(list, HashPlacement{Shards: 8}, nil)
		Expect(router.Candidates("p")).To(BeEmpty())
		Expect(router.Refresh(context.Background())).To(Succeed())
		Expect(router.Candidates("p")).To(ConsistOf("s0", "s1", "s2"))
		list.machines = nil
		Expect(router.Refresh(context.Background())).To(Succeed())
		list.err = errors.New("machine list unavailable")
		Expect(router.Refresh(context.Background())).NotTo(Succeed())
		Expect(router.Candidates("p")).To(HaveLen(3))
	})

	It("asks the known leader first until it is forgotten", func() {
		router := NewShardRouter(&mutableMachineList{machines: schedulers(9)}, HashPlacement{Shards: 1}, nil)
		Expect(router.Refresh(context.Background())).To(Succeed())
		order := router.Candidates("p")
		Expect(order).To(HaveLen(maxCandidates))
		router.RecordLeader("p", order[2])
		Expect(router.Candidates("another of the shard")[0]).To(Equal(order[2]))
		Expect(router.Candidates("p")).To(ConsistOf(order))
		router.ForgetLeader("p", order[1])
		Expect(router.Candidates("p")[0]).To(Equal(order[2]))
		router.ForgetLeader("p", order[2])
		Expect(router.Candidates("p")).To(Equal(order))
	})

	It("asks an unresponsive scheduler last until suspectPeriod ends or it leads again", func() {
		now := time.Unix(0, 0)
		router := NewShardRouter(&mutableMachineList{machines: schedulers(3)}, HashPlacement{Shards: 1}, nil)
		router.now = func() time.Time { return now }
		Expect(router.Refresh(context.Background())).To(Succeed())
		order := router.Candidates("p")
		router.RecordLeader("p", order[0])
		router.MarkSuspect("p", order[0])
		Expect(router.Candidates("p")).To(Equal([]string{order[1], order[2], order[0]}))
		now = now.Add(suspectPeriod)
		Expect(router.Candidates("p")).To(Equal(order))
		router.MarkSuspect("p", order[0])
		router.RecordLeader("p", order[0])
		Expect(router.Candidates("p")).To(Equal(order))
	})

	It("moves only the shards of a removed machine and places leaving machines last", func() {
		placement := HashPlacement{Shards: 64}
		all := schedulers(9)
		for shard := range placement.Shards {
			before := placement.Order(shard, all)
			if before[0] != "s8" {
				Expect(placement.Order(shard, all[:8])[0]).To(Equal(before[0]))
			}
			leaving := schedulers(9)
			leaving[8].State = outside.MachineLeaving
			Expect(placement.Order(shard, leaving)[8]).To(Equal("s8"))
		}
	})
})
