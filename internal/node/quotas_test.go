package node

import (
	"context"
	"net/http"
	"time"

	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Limits at a node", func() {
	holder := &tenant.Tenant{Name: "t", Limit: tenant.Limit{PerSecond: 1000, Burst: 1000}}

	// newAlone is a node that no other one answers.
	newAlone := func() *Node {
		logger, err := logging.New("error", GinkgoWriter)
		Expect(err).NotTo(HaveOccurred())
		node := &Node{settings: Settings{Name: "self", Shards: 16}, incarnation: "life", members: newMembers(), meter: newMeter(), logger: logger.Bounded()}
		node.peers = newPeers(node.members, &http.Client{})
		node.members.put(Member{Name: "self"})
		node.quotas = newQuotas(node)
		return node
	}

	order := func() *forward.AdmissionRequest {
		return &forward.AdmissionRequest{Call: &forward.Call{ID: "r"}, Holder: holder, MaxWait: time.Second}
	}

	It("are kept by the node itself where it is alone", func() {
		node := newAlone()
		Expect(node.quotas.groups).To(HaveLen(4))
		Expect(node.quotas.Admit(context.Background(), order()).Verdict).To(Equal(forward.Admitted))
	})

	It("are kept by the next node where the first one does not answer", func() {
		node := newAlone()
		lent := node.quotas.groupOf(holder.Name)
		first := func() string { return node.members.candidates(quotaShard - lent.group)[0].Name }
		for number := 0; first() == "self"; number++ {
			node.members.put(Member{Name: string(rune('a' + number)), Address: "127.0.0.1:1"})
		}
		Expect(node.quotas.Admit(context.Background(), order()).Verdict).NotTo(Equal(forward.OverLimit))
		Expect(node.quotas.suspects.holds(first(), time.Now())).To(BeTrue())
	})

	It("give a request up whose caller has left", func() {
		node := newAlone()
		ctx, leave := context.WithCancel(context.Background())
		leave()
		Expect(node.quotas.Admit(ctx, order()).Verdict).To(Equal(forward.LimitUnavailable))
	})
})
