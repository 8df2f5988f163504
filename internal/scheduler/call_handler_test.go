package scheduler

import (
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/arrival"
	"github.com/magpielug/magpielug/internal/resultcode"
)

var _ = Describe("a call that was delayed by the network", func() {
	It("is rejected because its gateway has given up", func() {
		scheduler := &Scheduler{startedAt: time.Now(), receiver: arrival.NewReceiver()}
		held := httptest.NewRequest(http.MethodPost, CallPath, http.NoBody)
		arrival.NewSender().Stamp(held.Header, 2*time.Second)
		// A request with the same stamp that arrives in time is accepted.
		Expect(scheduler.receiver.Expired(held.Header, time.Since(scheduler.startedAt))).To(BeFalse())
		scheduler.startedAt = scheduler.startedAt.Add(-8 * time.Second)
		recorder := httptest.NewRecorder()
		scheduler.serveCall(recorder, held)
		event := &schedulerv1.CallEvent{}
		Expect(protodelim.UnmarshalFrom(recorder.Body, event)).To(Succeed())
		Expect(event.GetFailed().GetCode()).To(Equal(uint32(resultcode.NoLeader)))
	})
})
