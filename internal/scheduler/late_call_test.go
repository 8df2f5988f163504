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

var _ = Describe("a call that the network held back", func() {
	It("is not taken, since its gateway has given it up", func() {
		scheduler := &Scheduler{begun: time.Now(), arrivals: arrival.NewReceiver()}
		held := httptest.NewRequest(http.MethodPost, CallPath, http.NoBody)
		arrival.NewSender().Stamp(held.Header, 2*time.Second)
		// The same stamp came at once on another request.
		Expect(scheduler.arrivals.Expired(held.Header, time.Since(scheduler.begun))).To(BeFalse())
		scheduler.begun = scheduler.begun.Add(-8 * time.Second)
		recorder := httptest.NewRecorder()
		scheduler.serveCall(recorder, held)
		event := &schedulerv1.CallEvent{}
		Expect(protodelim.UnmarshalFrom(recorder.Body, event)).To(Succeed())
		Expect(event.GetFailed().GetCode()).To(Equal(uint32(resultcode.NoLeader)))
	})
})
