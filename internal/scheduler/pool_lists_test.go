package scheduler

import (
	"math/rand"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/outside"
)

var _ = Describe("The lists of a keeper's leaders", func() {
	var kept *pool

	BeforeEach(func() {
		core := NewCore(Config{Process: "keeper", Shards: 1}, rand.New(rand.NewSource(1)))
		kept = core.newPool("pool", 0)
	})

	// asked returns what the keeper has asked the leader for since the last look.
	asked := func() *schedulerv1.ListsWanted {
		batch := kept.core.outbox["leader"]
		delete(kept.core.outbox, "leader")
		if batch == nil {
			return nil
		}
		return batch.KeeperReplies[0].GetListsWanted()
	}
	request := &schedulerv1.KeeperRequest{Pool: "pool", Leader: "leader", Shard: 7}
	heldGrant := func(requestID string) *schedulerv1.HeldGrant {
		return &schedulerv1.HeldGrant{
			Engine: "engine",
			Offer:  &schedulerv1.CallOffer{Call: &schedulerv1.CallKey{ProgramId: "p", RequestId: requestID}},
		}
	}
	digestOf := func(requestIDs ...string) *schedulerv1.GrantsHeld {
		digest := &listDigest{}
		for _, requestID := range requestIDs {
			digest.addGrant(callKey(heldGrant(requestID).Offer.Call), "engine")
		}
		return &schedulerv1.GrantsHeld{Digest: digest.wire()}
	}

	It("are asked for by a new keeper at the first digest, by a known one when two in a row differ", func() {
		kept.grantsHeld(request, digestOf())
		Expect(asked().GetGrants()).To(BeTrue())
		kept.grantsHeld(request, &schedulerv1.GrantsHeld{Grants: []*schedulerv1.HeldGrant{heldGrant("1"), heldGrant("2")}})
		for _, held := range []*schedulerv1.GrantsHeld{digestOf("2", "1"), digestOf("1"), digestOf("1", "2"), digestOf("1", "3")} {
			kept.grantsHeld(request, held)
			Expect(asked()).To(BeNil())
		}
		kept.grantsHeld(request, digestOf("1", "3"))
		Expect(asked().GetGrants()).To(BeTrue())
	})

	It("are asked for where a leader holds none any more, though one report in two is lost", func() {
		leader := NewCore(Config{Process: "leader", Shards: 1}, rand.New(rand.NewSource(2)))
		leader.directory.leaders[0] = "keeper"
		leader.heldBefore["pool"] = noneReports
		kept.grantsHeld(request, &schedulerv1.GrantsHeld{Grants: []*schedulerv1.HeldGrant{heldGrant("1")}})
		// reported returns what the leader reports at its next interval, if anything.
		reported := func() *schedulerv1.GrantsHeld {
			leader.reportHeldGrants()
			batch := leader.outbox["keeper"]
			delete(leader.outbox, "keeper")
			if batch == nil {
				return nil
			}
			return batch.KeeperRequests[0].GetHeld()
		}
		asks := 0
		for report := 0; report < noneReports; report++ {
			held := reported()
			Expect(held).NotTo(BeNil(), "report %d", report)
			if report%2 == 1 {
				continue // Lost.
			}
			kept.grantsHeld(request, held)
			if asked().GetGrants() {
				asks++
			}
		}
		Expect(asks).To(Equal(1))
		Expect(reported()).To(BeNil())
	})

	It("are asked for at once where the live programs of a shard differ", func() {
		live := func(programs ...string) *schedulerv1.ProgramsLive {
			return &schedulerv1.ProgramsLive{Digest: digestOfPrograms(&schedulerv1.ProgramsLive{Programs: programs}).wire()}
		}
		kept.programsLive(request, live())
		Expect(asked().GetPrograms()).To(BeTrue())
		kept.programsLive(request, &schedulerv1.ProgramsLive{Programs: []string{"p", "q"}})
		kept.programsLive(request, live("q", "p"))
		Expect(asked()).To(BeNil())
		kept.programsLive(request, live("p"))
		Expect(asked().GetPrograms()).To(BeTrue())
	})

	It("are asked of every scheduler by a keeper that has just begun", func() {
		kept.core.directory.schedulers["leader"] = outside.Machine{ID: "leader"}
		kept.askForLists()
		wanted := asked()
		Expect(wanted.GetGrants() && wanted.GetPrograms() && wanted.GetAllShards()).To(BeTrue())
	})
})
