package process

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/magpielug/magpielug/internal/outside"
)

// changingMachines is a machine list with one engine, in a variable state.
type changingMachines struct{ state outside.MachineState }

func (machines *changingMachines) List(context.Context) ([]outside.Machine, error) {
	return []outside.Machine{{ID: "engine-1", Role: outside.RoleEngine, State: machines.state}}, nil
}

// slowMachines is a machine list whose responses wait for a value in states.
type slowMachines struct {
	requests chan struct{}
	states   chan outside.MachineState
}

func (machines *slowMachines) List(context.Context) ([]outside.Machine, error) {
	machines.requests <- struct{}{}
	return []outside.Machine{{ID: "engine-1", Role: outside.RoleEngine, State: <-machines.states}}, nil
}

var _ = Describe("machineCache", func() {
	It("reads the list again before returning one from before a freeze", func() {
		source := &changingMachines{state: outside.MachineLive}
		const interval, timeout = 20 * time.Millisecond, 10 * time.Millisecond
		cache := newMachineCache(source, interval, timeout, zap.NewNop())
		cache.refresh(context.Background())
		source.state = outside.MachineLeaving
		// No goroutine polls the list, as in a frozen process.
		Eventually(cache.stale, 10*time.Second).Should(BeTrue())
		listed, err := cache.List(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(listed[0].State).To(Equal(outside.MachineLeaving))
	})

	// A read in progress must not make the list from before a freeze count as
	// current, or a resumed scheduler sends work to an engine that has left.
	It("does not return a list from before a freeze while a read is in progress", func() {
		source := &slowMachines{requests: make(chan struct{}, 4), states: make(chan outside.MachineState, 4)}
		const interval, timeout = 20 * time.Millisecond, 10 * time.Second
		cache := newMachineCache(source, interval, timeout, zap.NewNop())
		source.states <- outside.MachineLive
		cache.refresh(context.Background())
		<-source.requests
		Eventually(cache.stale, 10*time.Second).Should(BeTrue())
		go cache.refresh(context.Background())
		Eventually(source.requests, 10*time.Second).Should(Receive())
		listed := make(chan []outside.Machine, 1)
		go func() {
			machines, _ := cache.Newest(context.Background())
			listed <- machines
		}()
		Consistently(listed, 100*time.Millisecond).ShouldNot(Receive())
		source.states <- outside.MachineLeaving
		source.states <- outside.MachineLeaving
		var machines []outside.Machine
		Eventually(listed, 10*time.Second).Should(Receive(&machines))
		Expect(machines[0].State).To(Equal(outside.MachineLeaving))
	})
})
