package weights

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/outside/wire"
)

var _ = Describe("Weight store stand-in", func() {
	It("grants its burst, then tells when to come back without taking tokens", func() {
		const hours = 3600
		store := New(Config{PerSecond: 1.0 / hours, Burst: 2})
		order := wire.ReserveRequest{Model: "m", Version: "1"}
		for range 2 {
			Expect(store.reserve(order)).To(Equal(wire.ReserveAnswer{Granted: true}))
		}
		for range 5 {
			answer, err := store.reserve(order)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Granted).To(BeFalse())
			Expect(answer.WaitMillis).To(BeNumerically("~", hours*1000, hours*100))
		}
		_, err := store.reserve(wire.ReserveRequest{})
		Expect(err).To(HaveOccurred())
	})
})
