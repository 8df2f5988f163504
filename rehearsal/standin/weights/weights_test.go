package weights

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/outside/wire"
)

var _ = Describe("Weight store stand-in", func() {
	It("grants its burst, then returns the wait without consuming tokens", func() {
		const hours = 3600
		store := New(Config{PerSecond: 1.0 / hours, Burst: 2})
		request := wire.ReserveRequest{Model: "m", Version: "1"}
		for range 2 {
			Expect(store.reserve(request)).To(Equal(wire.ReserveResponse{Granted: true}))
		}
		for range 5 {
			response, err := store.reserve(request)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Granted).To(BeFalse())
			Expect(response.WaitMillis).To(BeNumerically("~", hours*1000, hours*100))
		}
		_, err := store.reserve(wire.ReserveRequest{})
		Expect(err).To(HaveOccurred())
	})
})
