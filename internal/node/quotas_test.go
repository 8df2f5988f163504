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

var _ = Describe("Tenant limits", func() {
	holder := &tenant.Tenant{Name: "t", Limit: tenant.Limit{PerSecond: 1000, Burst: 1000}}

	// newNodeWithoutPeers returns a node without reachable peers.
	newNodeWithoutPeers := func() *Node {
		logger, err := logging.New("error", GinkgoWriter)
		Expect(err).NotTo(HaveOccurred())
		node := &Node{settings: Settings{Name: "self", Shards: 16}, incarnation: "life", members: newMembers(), meter: newMeter(), logger: logger.Sampled()}
		node.peers = newPeers(node.members, &http.Client{})
		node.members.put(Member{Name: "self"})
		node.quotas = newQuotas(node)
		return node
	}

	newRequest := func() *forward.AdmissionRequest {
		return &forward.AdmissionRequest{Call: &forward.Call{ID: "r"}, Tenant: holder, MaxWait: time.Second}
	}

	It("are coordinated by a node itself if it is the only one", func() {
		node := newNodeWithoutPeers()
		Expect(node.quotas.groups).To(HaveLen(4))
		Expect(node.quotas.Admit(context.Background(), newRequest()).Verdict).To(Equal(forward.Admitted))
	})

	It("are coordinated by the next candidate if the first does not answer", func() {
		node := newNodeWithoutPeers()
		group := node.quotas.groupOf(holder.Name)
		first := func() string { return node.members.candidates(quotaPseudoShard - group.number)[0].Name }
		for number := 0; first() == "self"; number++ {
			node.members.put(Member{Name: string(rune('a' + number)), Address: "127.0.0.1:1"})
		}
		Expect(node.quotas.Admit(context.Background(), newRequest()).Verdict).NotTo(Equal(forward.OverLimit))
		Expect(node.quotas.silent.passesOver(first(), time.Now())).To(BeTrue())
	})

	It("abandon a request whose caller has left", func() {
		node := newNodeWithoutPeers()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(node.quotas.Admit(ctx, newRequest()).Verdict).To(Equal(forward.LimitUnavailable))
	})
})
