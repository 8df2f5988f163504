package arrival_test

import (
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/arrival"
)

const timeout = 2 * time.Second

func stampedHeader(sender *arrival.Sender) http.Header {
	header := make(http.Header)
	sender.Stamp(header, timeout)
	return header
}

var _ = Describe("expired requests", func() {
	It("are those past their sender's timeout, whatever the clock difference", func() {
		sender, receiver := arrival.NewSender(), arrival.NewReceiver()
		delayed := stampedHeader(sender)
		clockDifference := 30 * 24 * time.Hour
		Expect(receiver.Expired(stampedHeader(sender), clockDifference)).To(BeFalse())
		Expect(receiver.Expired(stampedHeader(sender), clockDifference+timeout/2)).To(BeFalse())
		Expect(receiver.Expired(delayed, clockDifference+2*timeout)).To(BeTrue())
		Expect(receiver.Expired(stampedHeader(arrival.NewSender()), clockDifference+2*timeout)).To(BeFalse())
	})

	It("are not reported because of clock drift", func() {
		receiver := arrival.NewReceiver()
		stamp := stampedHeader(arrival.NewSender())
		// The receiver's clock gains 5 s in 10,000.
		for second := int64(0); second < 10_000; second += 100 {
			stamp.Set("X-Magpielug-Sent-Ms", strconv.FormatInt(second*1000, 10))
			now := time.Duration(second) * (time.Second + 500*time.Microsecond)
			Expect(receiver.Expired(stamp, now)).To(BeFalse())
		}
	})

	It("are never those without a valid stamp", func() {
		receiver := arrival.NewReceiver()
		Expect(receiver.Expired(make(http.Header), time.Hour)).To(BeFalse())
		invalid := stampedHeader(arrival.NewSender())
		Expect(receiver.Expired(invalid, 0)).To(BeFalse())
		invalid.Set("X-Magpielug-Sent-Ms", "soon")
		Expect(receiver.Expired(invalid, time.Hour)).To(BeFalse())
	})
})
