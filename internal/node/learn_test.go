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

// newReader is a node whose store answered some time ago, and whose views are from just now.
func newReader(sinceStore time.Duration) *Node {
	node := &Node{engines: backend.NewDirectory()}
	node.learner = newLearner(node)
	node.learner.started = time.Now().Add(-time.Minute)
	ignore := func(durable.KeyedRecord) bool { return false }
	node.configurationView = newRecordView("configuration", zap.NewNop(), ignore)
	node.engineView = newRecordView("engines", zap.NewNop(), ignore)
	node.memberView = newRecordView("nodes", zap.NewNop(), ignore)
	pause := func() time.Duration { return enginePoll }
	follower := &follower{name: "engines", pause: pause, logger: zap.NewNop()}
	follower.lastAnswer.set(time.Now().Add(-sinceStore))
	node.following = append(node.following, follower)
	node.engineView.take(durable.Update{End: 1}, time.Now())
	return node
}

func answerOf(node *Node) *nodev1.LearnReply {
	reply, err := (&peerServer{node: node}).Learn(context.Background(), &nodev1.LearnRequest{})
	Expect(err).NotTo(HaveOccurred())
	return reply
}

var _ = Describe("A node that others learn from", func() {
	answer := func(sinceStore time.Duration) *nodev1.LearnReply { return answerOf(newReader(sinceStore)) }

	It("is not current before it has read the engines' records, and tells how old they are", func() {
		node := newReader(0)
		node.engineView = newRecordView("engines", zap.NewNop(), func(durable.KeyedRecord) bool { return false })
		Expect(answerOf(node).Current).To(BeFalse())
		node.engineView.take(durable.Update{End: 1}, time.Now())
		node.engineView.checked.set(time.Now().Add(-time.Second))
		Expect(answerOf(node).EnginesAgeMs).To(BeNumerically(">=", 1000))
		Expect(answerOf(node).Current).To(BeTrue())
		node.engineView.checked.set(time.Now().Add(-currentAge))
		Expect(answerOf(node).Current).To(BeFalse())
	})

	It("is current while the store answers it", func() {
		Expect(answer(0).Current).To(BeTrue())
	})

	// A node with an old configuration took the answer of one that had just started, which holds
	// nothing and whose views are as old as its process, for a confirmation of its own.
	It("confirms nothing that it has not read itself", func() {
		started := newReader(0)
		started.configurationView = newRecordView("configuration", zap.NewNop(), func(durable.KeyedRecord) bool { return false })
		started.engineView = newRecordView("engines", zap.NewNop(), func(durable.KeyedRecord) bool { return false })
		server := httptest.NewServer(nodev1.NewNodeServer(&peerServer{node: started}))
		DeferCleanup(server.Close)
		asker := newReader(0)
		asker.logger = &logging.Logger{Logger: zap.NewNop()}
		asker.members = newMembers()
		asker.peers = newPeers(asker.members, http.DefaultClient)
		longAgo := time.Now().Add(-time.Minute)
		asker.configurationView.take(durable.Update{End: 5}, longAgo)
		asker.configurationView.checked.set(longAgo)
		asker.engineView.checked.set(longAgo)
		_, err := asker.learner.askRecords(context.Background(), server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Expect(asker.configurationView.age()).To(BeNumerically(">=", time.Minute))
		Expect(asker.engineView.age()).To(BeNumerically(">=", time.Minute))
	})

	It("is not while the store is silent to it, however new the views that it learned from others", func() {
		Expect(answer(time.Minute).Current).To(BeFalse())
	})
})
