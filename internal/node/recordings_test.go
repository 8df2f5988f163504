package node

import (
	"context"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/history"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Recordings for other nodes", func() {
	// Guards against a refresh that is taken for the turn's first recording and writes nothing.
	It("write a turn once, and once more when it is recorded again", func() {
		log := durable.NewMemory()
		recorder := history.NewRecorder(log, 1)
		var recordings recordings
		turn := &history.Turn{ID: "turn", Program: "p", EndedAt: time.Now(), Retention: time.Minute}
		again := *turn
		again.RecordedAt = time.Now().Add(time.Second)
		for _, each := range []*history.Turn{turn, turn, &again, &again} {
			started := recordings.start(recorder, 0, each)
			Eventually(started.done, eventuallyTimeout).Should(BeClosed())
			Expect(started.err).NotTo(HaveOccurred())
		}
		batch, err := log.Read(context.Background(), durable.Partition{Topic: history.Topic}, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Records).To(HaveLen(2))
	})
})
