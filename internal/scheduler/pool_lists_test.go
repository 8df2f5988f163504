package scheduler

import (
	"math/rand"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/outside"
)

var _ = Describe("lists reported by leaders to a keeper", func() {
	var managed *pool

	BeforeEach(func() {
		core := NewCore(Config{Process: "keeper", Shards: 1}, rand.New(rand.NewSource(1)))
		managed = core.newPool("pool", 0)
	})

	// asked returns the lists that the keeper has requested since the last call.
	asked := func() *schedulerv1.ListsWanted {
		batch := managed.core.outbox["leader"]
		delete(managed.core.outbox, "leader")
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

	It("are requested by a new keeper at the first digest, and later if two consecutive digests differ", func() {
		managed.grantsHeld(request, digestOf())
		Expect(asked().GetGrants()).To(BeTrue())
		managed.grantsHeld(request, &schedulerv1.GrantsHeld{Grants: []*schedulerv1.HeldGrant{heldGrant("1"), heldGrant("2")}})
		for _, held := range []*schedulerv1.GrantsHeld{digestOf("2", "1"), digestOf("1"), digestOf("1", "2"), digestOf("1", "3")} {
			managed.grantsHeld(request, held)
			Expect(asked()).To(BeNil())
		}
		managed.grantsHeld(request, digestOf("1", "3"))
		Expect(asked().GetGrants()).To(BeTrue())
	})

	It("are requested after a leader's last grant even if every other report is lost", func() {
		leader := NewCore(Config{Process: "leader", Shards: 1}, rand.New(rand.NewSource(2)))
		leader.directory.leaders[0] = "keeper"
		leader.grantReportsLeft["pool"] = emptyGrantReports
		managed.grantsHeld(request, &schedulerv1.GrantsHeld{Grants: []*schedulerv1.HeldGrant{heldGrant("1")}})
		// reported returns the leader's next periodic report, if any.
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
		for report := 0; report < emptyGrantReports; report++ {
			held := reported()
			Expect(held).NotTo(BeNil(), "report %d", report)
			if report%2 == 1 {
				continue // Lost.
			}
			managed.grantsHeld(request, held)
			if asked().GetGrants() {
				asks++
			}
		}
		Expect(asks).To(Equal(1))
		Expect(reported()).To(BeNil())
	})

	It("are requested immediately if the live programs of a shard differ", func() {
		live := func(programs ...string) *schedulerv1.ProgramsLive {
			return &schedulerv1.ProgramsLive{Digest: digestOfPrograms(&schedulerv1.ProgramsLive{Programs: programs}).wire()}
		}
		managed.programsLive(request, live())
		Expect(asked().GetPrograms()).To(BeTrue())
		managed.programsLive(request, &schedulerv1.ProgramsLive{Programs: []string{"p", "q"}})
		managed.programsLive(request, live("q", "p"))
		Expect(asked()).To(BeNil())
		managed.programsLive(request, live("p"))
		Expect(asked().GetPrograms()).To(BeTrue())
	})

	It("are requested from all schedulers by a new keeper", func() {
		managed.core.directory.schedulers["leader"] = outside.Machine{ID: "leader"}
		managed.requestAllLists()
		wanted := asked()
		Expect(wanted.GetGrants() && wanted.GetPrograms() && wanted.GetAllShards()).To(BeTrue())
	})
})
