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

// slowMachines is a machine list whose answers wait to be released.
type slowMachines struct {
	asked   chan struct{}
	answers chan outside.MachineState
}

func (machines *slowMachines) List(context.Context) ([]outside.Machine, error) {
	machines.asked <- struct{}{}
	return []outside.Machine{{ID: "engine-1", Role: outside.RoleEngine, State: <-machines.answers}}, nil
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

	// A scheduler that had just woken began a request at an engine that had left during the
	// freeze. The process asks for the list by itself at the wake, and while that reading was
	// under way the list from before the freeze counted as one just asked for: it was given
	// out, and looked at again half a second later.
	It("does not give out a list from before a freeze while a reading is under way", func() {
		source := &slowMachines{asked: make(chan struct{}, 4), answers: make(chan outside.MachineState, 4)}
		const interval, timeout = 20 * time.Millisecond, 10 * time.Second
		cache := newMachineCache(source, interval, timeout, zap.NewNop())
		source.answers <- outside.MachineLive
		cache.refresh(context.Background())
		<-source.asked
		Eventually(cache.outdated, 10*time.Second).Should(BeTrue())
		go cache.refresh(context.Background())
		Eventually(source.asked, 10*time.Second).Should(Receive())
		listed := make(chan []outside.Machine, 1)
		go func() {
			machines, _ := cache.Newest(context.Background())
			listed <- machines
		}()
		Consistently(listed, 100*time.Millisecond).ShouldNot(Receive())
		source.answers <- outside.MachineLeaving
		source.answers <- outside.MachineLeaving
		var machines []outside.Machine
		Eventually(listed, 10*time.Second).Should(Receive(&machines))
		Expect(machines[0].State).To(Equal(outside.MachineLeaving))
	})
})
