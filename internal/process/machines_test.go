package process

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/magpielug/magpielug/internal/outside"
)

// changingMachines is a machine list of which an engine leaves.
type changingMachines struct{ state outside.MachineState }

func (machines *changingMachines) List(context.Context) ([]outside.Machine, error) {
	return []outside.Machine{{ID: "engine-1", Role: outside.RoleEngine, State: machines.state}}, nil
}

var _ = Describe("machineCache", func() {
	It("reads the list before it gives out one from before the process was frozen", func() {
		source := &changingMachines{state: outside.MachineLive}
		const interval, timeout = 20 * time.Millisecond, 10 * time.Millisecond
		cache := newMachineCache(source, interval, timeout, zap.NewNop())
		cache.refresh(context.Background())
		source.state = outside.MachineLeaving
		// Nothing runs the cache meanwhile, as in a frozen process.
		Eventually(cache.outdated, 10*time.Second).Should(BeTrue())
		listed, err := cache.List(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(listed[0].State).To(Equal(outside.MachineLeaving))
	})
})
