package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/logging"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

// newLogReader returns a node with fresh views whose log last answered a given time ago.
func newLogReader(logResponseAge time.Duration) *Node {
	node := &Node{engines: backend.NewDirectory()}
	node.learner = newLearner(node)
	node.learner.started = time.Now().Add(-time.Minute)
	ignore := func(durable.KeyedRecord) bool { return false }
	node.configurationView = newRecordView("configuration", zap.NewNop(), ignore)
	node.engineView = newRecordView("engines", zap.NewNop(), ignore)
	node.memberView = newRecordView("nodes", zap.NewNop(), ignore)
	pause := func() time.Duration { return enginePollInterval }
	follower := &follower{name: "engines", interval: pause, logger: zap.NewNop()}
	follower.lastResponse.set(time.Now().Add(-logResponseAge))
	node.followers = append(node.followers, follower)
	node.engineView.merge(durable.Update{EndOffset: 1}, time.Now())
	return node
}

func learnReplyOf(node *Node) *nodev1.LearnReply {
	reply, err := (&peerServer{node: node}).Learn(context.Background(), &nodev1.LearnRequest{})
	Expect(err).NotTo(HaveOccurred())
	return reply
}

var _ = Describe("A node that answers learn requests", func() {
	replyAtLogResponseAge := func(logResponseAge time.Duration) *nodev1.LearnReply {
		return learnReplyOf(newLogReader(logResponseAge))
	}

	It("is current only with recent engine records, whose age it reports", func() {
		node := newLogReader(0)
		node.engineView = newRecordView("engines", zap.NewNop(), func(durable.KeyedRecord) bool { return false })
		Expect(learnReplyOf(node).Current).To(BeFalse())
		node.engineView.merge(durable.Update{EndOffset: 1}, time.Now())
		node.engineView.confirmedAt.set(time.Now().Add(-time.Second))
		Expect(learnReplyOf(node).EnginesAgeMs).To(BeNumerically(">=", 1000))
		Expect(learnReplyOf(node).Current).To(BeTrue())
		node.engineView.confirmedAt.set(time.Now().Add(-maxCurrentAge))
		Expect(learnReplyOf(node).Current).To(BeFalse())
	})

	It("is current while the log answers it", func() {
		Expect(replyAtLogResponseAge(0).Current).To(BeTrue())
	})

	// Guards against treating the reply of a newly started node, which has read nothing, as a
	// confirmation of one's own views.
	It("does not confirm views that it has not loaded", func() {
		started := newLogReader(0)
		started.configurationView = newRecordView("configuration", zap.NewNop(), func(durable.KeyedRecord) bool { return false })
		started.engineView = newRecordView("engines", zap.NewNop(), func(durable.KeyedRecord) bool { return false })
		server := httptest.NewServer(nodev1.NewNodeServer(&peerServer{node: started}))
		DeferCleanup(server.Close)
		requester := newLogReader(0)
		requester.logger = &logging.Logger{Logger: zap.NewNop()}
		requester.members = newMembers()
		requester.peers = newPeers(requester.members, http.DefaultClient)
		longAgo := time.Now().Add(-time.Minute)
		requester.configurationView.merge(durable.Update{EndOffset: 5}, longAgo)
		requester.configurationView.confirmedAt.set(longAgo)
		requester.engineView.confirmedAt.set(longAgo)
		_, err := requester.learner.learnRecordsFrom(context.Background(), server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Expect(requester.configurationView.age()).To(BeNumerically(">=", time.Minute))
		Expect(requester.engineView.age()).To(BeNumerically(">=", time.Minute))
	})

	It("is not current while the log is unresponsive to it, even with fresh views from other nodes", func() {
		Expect(replyAtLogResponseAge(time.Minute).Current).To(BeFalse())
	})
})
