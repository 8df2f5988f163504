package backend

import (
	"context"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/load"
	. "github.com/onsi/gomega"
)

// fakeRooms has some room, and may pause.
type fakeRooms struct {
	room    int
	next    time.Time
	renewed map[load.QueueKey]int
}

func (rooms *fakeRooms) FreeCapacity(string, time.Time) int { return rooms.room }
func (rooms *fakeRooms) NextRetryTime(string, time.Time) (time.Time, bool) {
	return rooms.next, !rooms.next.IsZero()
}
func (rooms *fakeRooms) UpdateLoad(here map[load.QueueKey]int, _ time.Time) { rooms.renewed = here }

// stillQueue is a queue at one moment; looks are what it would do later.
type stillQueue struct {
	*WaitQueue
	rooms *fakeRooms
	looks []time.Duration
	run   []func()
}

func newStillQueue() *stillQueue {
	still := &stillQueue{WaitQueue: NewWaitQueue(), rooms: &fakeRooms{}}
	still.SetCapacitySource(still.rooms)
	still.now = func() time.Time { return roomNow }
	still.after = func(while time.Duration, run func()) {
		still.looks = append(still.looks, while)
		still.run = append(still.run, run)
	}
	return still
}

func (still *stillQueue) enterRank(rank int, aim time.Duration) *waiting {
	entered := newWaiting(Waiter{Priority: rank, SoftDeadline: roomNow.Add(aim)}, roomNow)
	still.enter("s", entered)
	return entered
}

func TestQueueOrderByRank(t *testing.T) {
	expect := NewWithT(t)
	still := newStillQueue()
	still.rooms.room = 1
	lateUrgent, later, soon := still.enterRank(0, -time.Second), still.enterRank(2, time.Hour), still.enterRank(2, time.Second)
	urgent := still.enterRank(0, time.Hour)
	expect.Expect(still.Counts()).To(Equal(map[load.QueueKey]int{{Service: "s", Priority: 0}: 2, {Service: "s", Priority: 2}: 2}))
	expect.Expect(still.Ahead(Waiter{Service: "s", Priority: 1, SoftDeadline: roomNow}, roomNow)).To(Equal(2))
	for _, next := range []*waiting{urgent, lateUrgent, soon, later} {
		still.WakeNext("s")
		expect.Expect(next.woken).To(Receive())
	}
}

func TestQueueWakesNoMoreThanHaveRoom(t *testing.T) {
	expect := NewWithT(t)
	still := newStillQueue()
	for range 5 {
		still.enterRank(1, time.Hour)
	}
	still.WakeNext("s")
	expect.Expect(still.CountByPriority("s")).To(Equal(map[int]int{1: 5}), "an end without room")
	still.rooms.room = 2
	still.WakeForLoadUpdate()
	expect.Expect(still.rooms.renewed).To(Equal(map[load.QueueKey]int{{Service: "s", Priority: 1}: 5}))
	expect.Expect(still.CountByPriority("s")).To(Equal(map[int]int{1: 3}))
	still.WakeNext("s")
	expect.Expect(still.CountByPriority("s")).To(Equal(map[int]int{1: 2}))
}

func TestQueueLooksWhenAnEngineMayBeAskedAgain(t *testing.T) {
	expect := NewWithT(t)
	still := newStillQueue()
	waits := still.enterRank(1, time.Hour)
	expect.Expect(still.looks).To(Equal([]time.Duration{longestLook}), "nothing tells of room")
	still.rooms.next = roomNow.Add(fullPause)
	still.enterRank(1, time.Hour)
	expect.Expect(still.looks).To(Equal([]time.Duration{longestLook, fullPause}))
	still.enterRank(1, time.Hour)
	expect.Expect(still.looks).To(HaveLen(2), "it looks by then already")
	still.rooms.room = 1
	still.run[0]()
	expect.Expect(waits.woken).NotTo(Receive(), "the later look is void")
	still.run[1]()
	expect.Expect(waits.woken).To(Receive())
}

func TestCallerThatLeavesPassesItsTurnOn(t *testing.T) {
	expect := NewWithT(t)
	still := newStillQueue()
	still.rooms.room = 1
	ctx, leave := context.WithCancel(context.Background())
	left := make(chan struct{})
	next := still.enterRank(2, time.Hour)
	// The caller leaves at the moment of its turn.
	still.after = func(time.Duration, func()) {}
	still.mutex.Lock()
	go func() {
		still.Wait(ctx, Waiter{Service: "s", SoftDeadline: roomNow.Add(time.Hour)}, time.Hour)
		close(left)
	}()
	still.mutex.Unlock()
	expect.Eventually(func() int { return still.CountByPriority("s")[0] }).Should(Equal(1))
	leave()
	still.WakeNext("s")
	expect.Eventually(left).Should(BeClosed())
	expect.Expect(still.CountByPriority("s")[0]).To(BeZero())
	expect.Eventually(func() int {
		still.WakeNext("s")
		return len(next.woken)
	}).Should(Equal(1), "the other one's turn comes")
}
