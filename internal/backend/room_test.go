package backend

import (
	"fmt"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/load"
	. "github.com/onsi/gomega"
)

var roomNow = time.Unix(1000, 0)

// sharedEngines is a directory of engines with six slots, and its view.
func sharedEngines(engines int) (*Directory, *load.View) {
	directory, view := NewDirectory(), load.NewView()
	directory.SetLoadView(view)
	for number := range engines {
		directory.Upsert(Instance{ID: fmt.Sprint("e", number), Service: "s", Zone: "z", Slots: 6}, time.Time{})
	}
	return directory, view
}

// show has the other nodes have some requests at each engine, in order.
func show(view *load.View, running ...int) {
	total := load.NewReport()
	for number, requests := range running {
		total.Engines[fmt.Sprint("e", number)] = load.Engine{Running: requests}
	}
	view.Update(total, load.NewReport(), 0, roomNow)
}

// pickAll picks until nothing has room, and counts the picks by engine.
func pickAll(directory *Directory, request *Request) map[string]int {
	picked := map[string]int{}
	for range 1000 {
		engine := directory.Pick(request, roomNow)
		if engine == nil {
			break
		}
		picked[engine.ID]++
	}
	return picked
}

func TestRoomCountsOtherNodes(t *testing.T) {
	expect := NewWithT(t)
	directory, view := sharedEngines(2)
	show(view, 12, 4)
	expect.Expect(directory.FreeCapacity("s", roomNow)).To(Equal(8), "six slots and a queue of six at a single engine")
	expect.Expect(pickAll(directory, &Request{Service: "s"})).To(Equal(map[string]int{"e1": 8}))
	expect.Expect(directory.FreeCapacity("s", roomNow)).To(BeZero())
}

func TestRoomWithoutAViewIsTheNodesOwn(t *testing.T) {
	expect := NewWithT(t)
	directory, view := sharedEngines(1)
	show(view, 12)
	later := roomNow.Add(load.MaxViewAge + time.Millisecond)
	expect.Expect(directory.FreeCapacity("s", later)).To(Equal(8), "six slots and a queue of a third")
	picked := 0
	for directory.Pick(&Request{Service: "s"}, later) != nil {
		picked++
	}
	expect.Expect(picked).To(Equal(8))
}

func TestNodeWithNothingUnderWayMayAskOnce(t *testing.T) {
	expect := NewWithT(t)
	directory, view := sharedEngines(1)
	show(view, 24)
	expect.Expect(directory.FreeCapacity("s", roomNow)).To(Equal(1), "a view may be wrong")
	expect.Expect(pickAll(directory, &Request{Service: "s"})).To(Equal(map[string]int{"e0": 1}))
}

func TestEngineThatRefusedIsNotAskedAgain(t *testing.T) {
	expect := NewWithT(t)
	directory, _ := sharedEngines(1)
	directory.Finish(directory.Pick(&Request{Service: "s"}, roomNow), Full, roomNow)
	expect.Expect(directory.Pick(&Request{Service: "s"}, roomNow)).To(BeNil())
	next, refused := directory.NextRetryTime("s", roomNow)
	expect.Expect(refused).To(BeTrue())
	expect.Expect(next).To(Equal(roomNow.Add(fullPause)))
	expect.Expect(directory.Pick(&Request{Service: "s"}, next)).NotTo(BeNil())
}

func TestEngineThatRefusesAllIsAskedLessAndLess(t *testing.T) {
	expect := NewWithT(t)
	directory, _ := sharedEngines(1)
	asks := func(from time.Time, while time.Duration, outcome Outcome) int {
		count := 0
		for at := from; at.Before(from.Add(while)); at = at.Add(5 * time.Millisecond) {
			engine := directory.Pick(&Request{Service: "s"}, at)
			if engine != nil {
				count++
				directory.Finish(engine, outcome, at)
			}
		}
		return count
	}
	expect.Expect(asks(roomNow, time.Second, Full)).To(BeNumerically("<=", 6))
	expect.Expect(asks(roomNow.Add(time.Second), time.Second, Full)).To(BeNumerically("<=", 3))
	expect.Expect(asks(roomNow.Add(3*time.Second), time.Second, Succeeded)).To(Equal(200))
	expect.Expect(asks(roomNow.Add(4*time.Second), fullPause+5*time.Millisecond, Full)).To(Equal(2), "the pause is short again")
}

func TestRefusalsThatComeTogetherCountOnce(t *testing.T) {
	expect := NewWithT(t)
	directory, _ := sharedEngines(1)
	asked := []*Engine{directory.Pick(&Request{Service: "s"}, roomNow), directory.Pick(&Request{Service: "s"}, roomNow)}
	for _, engine := range asked {
		directory.Finish(engine, Full, roomNow)
	}
	expect.Expect(directory.Pick(&Request{Service: "s"}, roomNow.Add(fullPause))).NotTo(BeNil())
}

func TestAssignedEngineMayHaveALongerQueue(t *testing.T) {
	expect := NewWithT(t)
	directory, view := sharedEngines(2)
	show(view, 12, 0)
	request := &Request{Service: "s", Assigned: "e0"}
	expect.Expect(directory.Pick(&Request{Service: "s"}, roomNow).ID).To(Equal("e1"))
	for range 2 {
		expect.Expect(directory.Pick(request, roomNow).ID).To(Equal("e0"))
	}
	expect.Expect(directory.Pick(request, roomNow).ID).To(Equal("e1"), "to read the prompt again costs less than the queue")
}

func TestRoomByLoadHasAGate(t *testing.T) {
	expect := NewWithT(t)
	t.Cleanup(func() { _ = feature.Disable("") })
	expect.Expect(feature.Disable(string(feature.LoadBasedCapacity))).To(Succeed())
	directory, view := sharedEngines(1)
	show(view, 24)
	engine := directory.Pick(&Request{Service: "s"}, roomNow)
	directory.Finish(engine, Full, roomNow)
	expect.Expect(directory.Pick(&Request{Service: "s"}, roomNow)).NotTo(BeNil())
}

// TestOldViewsAreNotFollowed replays a view by which one engine of eight is idle, to nodes
// that each choose a few engines by it.
func TestOldViewsAreNotFollowed(t *testing.T) {
	expect := NewWithT(t)
	const nodes, each, engines = 58, 4, 8
	picked := map[string]int{}
	for range nodes {
		directory, view := sharedEngines(engines)
		show(view, 0, 4, 4, 4, 4, 4, 4, 4)
		expect.Expect(directory.SetPolicy(PolicyLeastLoaded)).To(Succeed())
		for range each {
			picked[directory.Pick(&Request{Service: "s", Zone: "z"}, roomNow).ID]++
		}
	}
	expect.Expect(picked).To(HaveLen(engines))
	expect.Expect(picked["e0"]).To(BeNumerically("<", nodes*each*2*choices*5/4/engines), "no herd")
}

func TestWhatAViewShowsFades(t *testing.T) {
	expect := NewWithT(t)
	expect.Expect(shownOf(time.Second, 0)).To(Equal(1.0), "nothing is known of how long requests take")
	expect.Expect(shownOf(0, time.Second)).To(Equal(1.0))
	expect.Expect(shownOf(time.Second, time.Second)).To(BeNumerically("~", 0.37, 0.01))
	expect.Expect(shownOf(time.Second, 25*time.Millisecond)).To(BeNumerically("<", 0.01))
}

func TestRoomIsSharedByRankAndNumber(t *testing.T) {
	expect := NewWithT(t)
	here, elsewhere := map[int]int{0: 2, 2: 4}, map[int]int{0: 2, 1: 3, 2: 4}
	for _, each := range []struct{ room, share float64 }{
		{2, 1},   // Half of the most urgent.
		{4, 2},   // All of them.
		{7, 2},   // What is left is for rank 1 elsewhere.
		{9, 3},   // And then half of rank 2.
		{100, 6}, // Room for all.
	} {
		expect.Expect(shareOfRoom(each.room, here, elsewhere)).To(Equal(each.share), "room %g", each.room)
	}
	expect.Expect(shareOfRoom(5, nil, elsewhere)).To(BeZero())
}

func TestPartOfRoom(t *testing.T) {
	expect := NewWithT(t)
	waits := map[int]int{0: 1}
	expect.Expect(partOfRoom{room: -80, all: 400, own: 10, nodes: 40}.of(waits, nil, 0)).To(Equal(-2), "it gives back its part")
	expect.Expect(partOfRoom{room: 10, all: 300, own: 10, nodes: 40}.of(waits, map[int]int{0: 19}, 0)).To(BeZero(), "half a call")
	expect.Expect(partOfRoom{room: 10, all: 300, own: 10, nodes: 40}.of(waits, map[int]int{0: 19}, 0.6)).To(Equal(1), "in half of the cases")
	expect.Expect(partOfRoom{room: 160, all: 200, own: 5, nodes: 40}.of(nil, nil, 0)).To(Equal(20), "an eighth of what is free")
	expect.Expect(partOfRoom{room: 160, all: 200, own: 20, nodes: 40}.of(nil, nil, 0)).To(Equal(28), "by what it has")
}

func TestNodeKeepsToItsPartUntilTheNextView(t *testing.T) {
	expect := NewWithT(t)
	directory, view := sharedEngines(2)
	directory.SetNodeCount(func() int { return 4 })
	show(view, 6, 6)
	directory.UpdateLoad(nil, roomNow)
	picked := pickAll(directory, &Request{Service: "s"})
	expect.Expect(picked["e0"]+picked["e1"]).To(BeNumerically("<=", 2), "of four places free")
	before := directory.FreeCapacity("s", roomNow)
	directory.Finish(directory.engines["e0"], Succeeded, roomNow)
	expect.Expect(directory.FreeCapacity("s", roomNow)).To(Equal(before+1), "another may follow one that has ended")
}

func TestServiceThatRefusesEverywhereIsAskedLess(t *testing.T) {
	expect := NewWithT(t)
	directory, _ := sharedEngines(3)
	var asked []*Engine
	for range 12 {
		asked = append(asked, directory.Pick(&Request{Service: "s"}, roomNow))
	}
	directory.Finish(asked[0], Full, roomNow)
	directory.Finish(asked[1], Full, roomNow)
	later := roomNow.Add(time.Second)
	expect.Expect(directory.leftHere("s", directory.usable("s"), later)).To(BeZero())
	forgotten := roomNow.Add(limitForgotten + time.Second)
	expect.Expect(directory.leftHere("s", directory.usable("s"), forgotten)).To(BeNumerically(">", 100))
}

func TestPredictedWait(t *testing.T) {
	expect := NewWithT(t)
	forecast, known := predict(59, 30, 10, 240*time.Millisecond)
	expect.Expect(known).To(BeTrue())
	expect.Expect(forecast.Wait).To(Equal(480 * time.Millisecond))
	expect.Expect(forecast.Interval).To(Equal(24 * time.Millisecond))
	expect.Expect(forecast.Exceeds(400 * time.Millisecond)).To(BeTrue())
	expect.Expect(forecast.Exceeds(500 * time.Millisecond)).To(BeFalse())
	_, known = predict(59, 0, 0, 240*time.Millisecond)
	expect.Expect(known).To(BeFalse(), "nothing ends")
	forecast, known = predict(59, 30, 10, 0)
	expect.Expect(known).To(BeFalse(), "nothing has ended yet")
	expect.Expect(forecast.Exceeds(0)).To(BeFalse())
}

func TestPredictionCountsOtherNodes(t *testing.T) {
	expect := NewWithT(t)
	directory, view := sharedEngines(1)
	total := load.NewReport()
	total.Engines["e0"] = load.Engine{Running: 8}
	total.Waiting = map[load.QueueKey]int{{Service: "s", Priority: 0}: 3, {Service: "s", Priority: 1}: 6, {Service: "s", Priority: 2}: 9, {Service: "t"}: 9}
	view.Update(total, load.NewReport(), 0, roomNow)
	directory.RecordDuration("s", 80*time.Millisecond)
	forecast, _ := directory.Predict(Waiter{Service: "s", Priority: 1}, 2, map[int]int{1: 2}, roomNow)
	expect.Expect(forecast.Ahead).To(Equal(2+3+2), "those here, the more urgent, and half of its rank elsewhere")
	expect.Expect(forecast.Wait).To(Equal(80 * time.Millisecond))
}

func TestRetryBudget(t *testing.T) {
	expect := NewWithT(t)
	budget := &RetryBudget{}
	take := func(at time.Time) int {
		taken := 0
		for taken < 1000 && budget.Acquire(at) {
			taken++
		}
		return taken
	}
	expect.Expect(take(roomNow)).To(Equal(10), "what is saved up")
	expect.Expect(budget.Remaining(roomNow)).To(BeNumerically("~", 0, 1e-6))
	expect.Expect(take(roomNow.Add(3*time.Second))).To(Equal(3), "the floor")
	for range 40 {
		budget.RecordSuccess()
	}
	expect.Expect(take(roomNow.Add(3*time.Second))).To(Equal(4), "a tenth of what was served")
	budget.Release()
	expect.Expect(take(roomNow.Add(3 * time.Second))).To(Equal(1))
	expect.Expect(budget.DeniedCount()).To(Equal(int64(4)))
	expect.Expect(take(roomNow.Add(time.Hour))).To(Equal(10), "no more is saved up")

	t.Cleanup(func() { _ = feature.Disable("") })
	expect.Expect(feature.Disable(string(feature.RetryBudget))).To(Succeed())
	expect.Expect(take(roomNow.Add(time.Hour))).To(Equal(1000))
}

func TestAsksOfACall(t *testing.T) {
	expect := NewWithT(t)
	budget, asking := &RetryBudget{}, &RefusalState{}
	expect.Expect(asking.AcquireAttempt(budget, roomNow)).To(BeTrue())
	expect.Expect(budget.Remaining(roomNow)).To(Equal(10.0), "the first is none after a refusal")
	asking.RecordRefusal()
	expect.Expect(asking.AcquireAttempt(budget, roomNow)).To(BeTrue())
	asking.ReleaseAttempt(budget)
	expect.Expect(budget.Remaining(roomNow)).To(Equal(10.0))
	asking.RecordRefusal()
	expect.Expect(asking.AcquireAttempt(budget, roomNow)).To(BeFalse(), "it has to wait for room")
	asking.RecordWait()
	expect.Expect(asking.AcquireAttempt(budget, roomNow)).To(BeTrue())
	asking.RecordRefusal()
	expect.Expect(asking.Exhausted()).To(BeFalse())
	asking.RecordRefusal()
	expect.Expect(asking.Exhausted()).To(BeTrue())
}

func TestCallsComeBackInTurn(t *testing.T) {
	expect := NewWithT(t)
	returns := &RetryScheduler{}
	after := func(predicted time.Duration) time.Duration {
		return returns.RetryAfter("s", predicted*time.Millisecond, 20*time.Millisecond, 400*time.Millisecond, roomNow)
	}
	expect.Expect(after(300)).To(Equal(300 * time.Millisecond))
	expect.Expect(after(300)).To(Equal(320 * time.Millisecond))
	expect.Expect(after(350)).To(Equal(350 * time.Millisecond))
	expect.Expect(after(350)).To(Equal(370 * time.Millisecond))
	expect.Expect(after(1000)).To(Equal(390*time.Millisecond), "no later than its caller can come")
	var spread []time.Duration
	for range 10 {
		spread = append(spread, after(1000))
	}
	expect.Expect(spread[0]).To(Equal(200 * time.Millisecond))
	expect.Expect(spread[9]).To(Equal(380 * time.Millisecond))
}
