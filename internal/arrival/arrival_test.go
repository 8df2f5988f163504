package arrival_test

import (
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/arrival"
)

const waits = 2 * time.Second

func stamped(sender *arrival.Sender) http.Header {
	header := make(http.Header)
	sender.Stamp(header, waits)
	return header
}

var _ = Describe("late requests", func() {
	It("are those that their sender has given up, whatever the clocks' difference", func() {
		sender, receiver := arrival.NewSender(), arrival.NewReceiver()
		held := stamped(sender)
		far := 30 * 24 * time.Hour
		Expect(receiver.Expired(stamped(sender), far)).To(BeFalse())
		Expect(receiver.Expired(stamped(sender), far+waits/2)).To(BeFalse())
		Expect(receiver.Expired(held, far+2*waits)).To(BeTrue())
		Expect(receiver.Expired(stamped(arrival.NewSender()), far+2*waits)).To(BeFalse())
	})

	It("are not found where one clock runs a little faster", func() {
		receiver := arrival.NewReceiver()
		stamp := stamped(arrival.NewSender())
		// The receiver's clock gains 5 s in 10,000.
		for second := int64(0); second < 10_000; second += 100 {
			stamp.Set("X-Magpielug-Sent-Ms", strconv.FormatInt(second*1000, 10))
			now := time.Duration(second) * (time.Second + 500*time.Microsecond)
			Expect(receiver.Expired(stamp, now)).To(BeFalse())
		}
	})

	It("are never ones without a stamp that can be read", func() {
		receiver := arrival.NewReceiver()
		Expect(receiver.Expired(make(http.Header), time.Hour)).To(BeFalse())
		broken := stamped(arrival.NewSender())
		Expect(receiver.Expired(broken, 0)).To(BeFalse())
		broken.Set("X-Magpielug-Sent-Ms", "soon")
		Expect(receiver.Expired(broken, time.Hour)).To(BeFalse())
	})
})
