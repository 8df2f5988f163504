package backend

import (
	"fmt"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/load"
	. "github.com/onsi/gomega"
)

var testNow = time.Unix(1000, 0)

// newTestDirectory returns a directory of engines with six slots each, and its load view.
func newTestDirectory(engines int) (*Directory, *load.View) {
	directory, view := NewDirectory(), load.NewView()
	directory.SetLoadView(view)
	for number := range engines {
		directory.Upsert(Instance{ID: fmt.Sprint("e", number), Service: "s", Zone: "z", Slots: 6}, time.Time{})
	}
	return directory, view
}

// setRemoteRunning sets the number of requests from other nodes at each engine, in order.
func setRemoteRunning(view *load.View, running ...int) {
	total := load.NewReport()
	for number, requests := range running {
		total.Engines[fmt.Sprint("e", number)] = load.Engine{Running: requests}
	}
	view.Update(total, load.NewReport(), 0, testNow)
}

// pickAll picks until no engine is admitted, and returns the picks by engine.
func pickAll(directory *Directory, request *Request) map[string]int {
	picked := map[string]int{}
	for range 1000 {
		engine := directory.Pick(request, testNow)
		if engine == nil {
			break
		}
		picked[engine.ID]++
	}
	return picked
}

func TestFreeCapacityCountsRemoteRequests(t *testing.T) {
	expect := NewWithT(t)
	directory, view := newTestDirectory(2)
	setRemoteRunning(view, 12, 4)
	expect.Expect(directory.FreeCapacity("s", testNow)).To(Equal(8), "six slots and a queue of six at a single engine")
	expect.Expect(pickAll(directory, &Request{Service: "s"})).To(Equal(map[string]int{"e1": 8}))
	expect.Expect(directory.FreeCapacity("s", testNow)).To(BeZero())
}

func TestFreeCapacityWithoutLoadView(t *testing.T) {
	expect := NewWithT(t)
	directory, view := newTestDirectory(1)
	setRemoteRunning(view, 12)
	later := testNow.Add(load.MaxViewAge + time.Millisecond)
	expect.Expect(directory.FreeCapacity("s", later)).To(Equal(8), "six slots and a queue of a third")
	picked := 0
	for directory.Pick(&Request{Service: "s"}, later) != nil {
		picked++
	}
	expect.Expect(picked).To(Equal(8))
}

func TestIdleNodeMaySendOneRequest(t *testing.T) {
	expect := NewWithT(t)
	directory, view := newTestDirectory(1)
	setRemoteRunning(view, 24)
	expect.Expect(directory.FreeCapacity("s", testNow)).To(Equal(1), "the view may be wrong")
	expect.Expect(pickAll(directory, &Request{Service: "s"})).To(Equal(map[string]int{"e0": 1}))
}

func TestFullEngineIsAvoidedUntilBackoffEnds(t *testing.T) {
	expect := NewWithT(t)
	directory, _ := newTestDirectory(1)
	directory.Finish(directory.Pick(&Request{Service: "s"}, testNow), Full, testNow)
	expect.Expect(directory.Pick(&Request{Service: "s"}, testNow)).To(BeNil())
	next, refused := directory.NextRetryTime("s", testNow)
	expect.Expect(refused).To(BeTrue())
	expect.Expect(next).To(Equal(testNow.Add(fullBackoff)))
	expect.Expect(directory.Pick(&Request{Service: "s"}, next)).NotTo(BeNil())
}

func TestFullBackoffGrowsWithConsecutiveRefusals(t *testing.T) {
	expect := NewWithT(t)
	directory, _ := newTestDirectory(1)
	attempts := func(from time.Time, duration time.Duration, outcome Outcome) int {
		count := 0
		for at := from; at.Before(from.Add(duration)); at = at.Add(5 * time.Millisecond) {
			engine := directory.Pick(&Request{Service: "s"}, at)
			if engine != nil {
				count++
				directory.Finish(engine, outcome, at)
			}
		}
		return count
	}
	expect.Expect(attempts(testNow, time.Second, Full)).To(BeNumerically("<=", 6))
	expect.Expect(attempts(testNow.Add(time.Second), time.Second, Full)).To(BeNumerically("<=", 3))
	expect.Expect(attempts(testNow.Add(3*time.Second), time.Second, Succeeded)).To(Equal(200))
	expect.Expect(attempts(testNow.Add(4*time.Second), fullBackoff+5*time.Millisecond, Full)).To(Equal(2), "the backoff starts over")
}

func TestConcurrentRefusalsCountOnce(t *testing.T) {
	expect := NewWithT(t)
	directory, _ := newTestDirectory(1)
	picked := []*Engine{directory.Pick(&Request{Service: "s"}, testNow), directory.Pick(&Request{Service: "s"}, testNow)}
	for _, engine := range picked {
		directory.Finish(engine, Full, testNow)
	}
	expect.Expect(directory.Pick(&Request{Service: "s"}, testNow.Add(fullBackoff))).NotTo(BeNil())
}

func TestAssignedEngineMayHaveLongerQueue(t *testing.T) {
	expect := NewWithT(t)
	directory, view := newTestDirectory(2)
	setRemoteRunning(view, 12, 0)
	request := &Request{Service: "s", Assigned: "e0"}
	expect.Expect(directory.Pick(&Request{Service: "s"}, testNow).ID).To(Equal("e1"))
	for range 2 {
		expect.Expect(directory.Pick(request, testNow).ID).To(Equal("e0"))
	}
	expect.Expect(directory.Pick(request, testNow).ID).To(Equal("e1"), "prefilling the prompt elsewhere costs less than the queue")
}

func TestLoadBasedCapacityDisabled(t *testing.T) {
	expect := NewWithT(t)
	t.Cleanup(func() { _ = feature.Disable("") })
	expect.Expect(feature.Disable(string(feature.LoadBasedCapacity))).To(Succeed())
	directory, view := newTestDirectory(1)
	setRemoteRunning(view, 24)
	engine := directory.Pick(&Request{Service: "s"}, testNow)
	directory.Finish(engine, Full, testNow)
	expect.Expect(directory.Pick(&Request{Service: "s"}, testNow)).NotTo(BeNil())
}

// TestStaleViewCausesNoHerding guards against all nodes choosing the one engine that is idle in
// their common view.
func TestStaleViewCausesNoHerding(t *testing.T) {
	expect := NewWithT(t)
	const nodes, each, engines = 58, 4, 8
	picked := map[string]int{}
	for range nodes {
		directory, view := newTestDirectory(engines)
		setRemoteRunning(view, 0, 4, 4, 4, 4, 4, 4, 4)
		expect.Expect(directory.SetPolicy(PolicyLeastLoaded)).To(Succeed())
		for range each {
			picked[directory.Pick(&Request{Service: "s", Zone: "z"}, testNow).ID]++
		}
	}
	expect.Expect(picked).To(HaveLen(engines))
	expect.Expect(picked["e0"]).To(BeNumerically("<", nodes*each*2*sampleSize*5/4/engines), "no herding")
}

func TestViewWeight(t *testing.T) {
	expect := NewWithT(t)
	expect.Expect(viewWeight(time.Second, 0)).To(Equal(1.0), "mean duration not known")
	expect.Expect(viewWeight(0, time.Second)).To(Equal(1.0))
	expect.Expect(viewWeight(time.Second, time.Second)).To(BeNumerically("~", 0.37, 0.01))
	expect.Expect(viewWeight(time.Second, 25*time.Millisecond)).To(BeNumerically("<", 0.01))
}

func TestShareForWaiting(t *testing.T) {
	expect := NewWithT(t)
	local, remote := map[int]int{0: 2, 2: 4}, map[int]int{0: 2, 1: 3, 2: 4}
	for _, each := range []struct{ free, share float64 }{
		{2, 1},   // Half of the calls with priority 0.
		{4, 2},   // All of them.
		{7, 2},   // The rest goes to remote calls with priority 1.
		{9, 3},   // Half of the rest for priority 2.
		{100, 6}, // Capacity for all.
	} {
		expect.Expect(shareForWaiting(each.free, local, remote)).To(Equal(each.share), "free capacity %g", each.free)
	}
	expect.Expect(shareForWaiting(5, nil, remote)).To(BeZero())
}

func TestQuotaInput(t *testing.T) {
	expect := NewWithT(t)
	localWaiting := map[int]int{0: 1}
	expect.Expect(quotaInput{free: -80, running: 400, local: 10, nodes: 40}.quota(localWaiting, nil, 0)).To(Equal(-2), "reduces its load by its share")
	expect.Expect(quotaInput{free: 10, running: 300, local: 10, nodes: 40}.quota(localWaiting, map[int]int{0: 19}, 0)).To(BeZero(), "half a call, rounded down")
	expect.Expect(quotaInput{free: 10, running: 300, local: 10, nodes: 40}.quota(localWaiting, map[int]int{0: 19}, 0.6)).To(Equal(1), "half a call, rounded up by the draw")
	expect.Expect(quotaInput{free: 160, running: 200, local: 5, nodes: 40}.quota(nil, nil, 0)).To(Equal(20), "an eighth of the free capacity")
	expect.Expect(quotaInput{free: 160, running: 200, local: 20, nodes: 40}.quota(nil, nil, 0)).To(Equal(28), "in proportion to its running requests")
}

func TestNodeKeepsToItsQuotaUntilNextView(t *testing.T) {
	expect := NewWithT(t)
	directory, view := newTestDirectory(2)
	directory.SetNodeCount(func() int { return 4 })
	setRemoteRunning(view, 6, 6)
	directory.UpdateLoad(nil, testNow)
	picked := pickAll(directory, &Request{Service: "s"})
	expect.Expect(picked["e0"]+picked["e1"]).To(BeNumerically("<=", 2), "of four free slots")
	before := directory.FreeCapacity("s", testNow)
	directory.Finish(directory.engines["e0"], Succeeded, testNow)
	expect.Expect(directory.FreeCapacity("s", testNow)).To(Equal(before+1), "a finished request may be replaced")
}

func TestServiceLimitAfterWidespreadRefusals(t *testing.T) {
	expect := NewWithT(t)
	directory, _ := newTestDirectory(3)
	var picked []*Engine
	for range 12 {
		picked = append(picked, directory.Pick(&Request{Service: "s"}, testNow))
	}
	directory.Finish(picked[0], Full, testNow)
	directory.Finish(picked[1], Full, testNow)
	later := testNow.Add(time.Second)
	expect.Expect(directory.remainingQuota("s", directory.eligible("s"), later)).To(BeZero())
	expired := testNow.Add(limitExpiry + time.Second)
	expect.Expect(directory.remainingQuota("s", directory.eligible("s"), expired)).To(BeNumerically(">", 100))
}

func TestForecastWait(t *testing.T) {
	expect := NewWithT(t)
	forecast, known := forecastWait(59, 30, 10, 240*time.Millisecond)
	expect.Expect(known).To(BeTrue())
	expect.Expect(forecast.Wait).To(Equal(480 * time.Millisecond))
	expect.Expect(forecast.Interval).To(Equal(24 * time.Millisecond))
	expect.Expect(forecast.Exceeds(400 * time.Millisecond)).To(BeTrue())
	expect.Expect(forecast.Exceeds(500 * time.Millisecond)).To(BeFalse())
	_, known = forecastWait(59, 0, 0, 240*time.Millisecond)
	expect.Expect(known).To(BeFalse(), "nothing is running")
	forecast, known = forecastWait(59, 30, 10, 0)
	expect.Expect(known).To(BeFalse(), "mean duration not known")
	expect.Expect(forecast.Exceeds(0)).To(BeFalse())
}

func TestPredictCountsRemoteCalls(t *testing.T) {
	expect := NewWithT(t)
	directory, view := newTestDirectory(1)
	total := load.NewReport()
	total.Engines["e0"] = load.Engine{Running: 8}
	total.Waiting = map[load.QueueKey]int{{Service: "s", Priority: 0}: 3, {Service: "s", Priority: 1}: 6, {Service: "s", Priority: 2}: 9, {Service: "t"}: 9}
	view.Update(total, load.NewReport(), 0, testNow)
	directory.RecordDuration("s", 80*time.Millisecond)
	forecast, _ := directory.Predict(Waiter{Service: "s", Priority: 1}, 2, map[int]int{1: 2}, testNow)
	expect.Expect(forecast.Ahead).To(Equal(2+3+2), "local ones, more urgent remote ones, and half of the remote ones of its priority")
	expect.Expect(forecast.Wait).To(Equal(80 * time.Millisecond))
}

func TestRetryBudget(t *testing.T) {
	expect := NewWithT(t)
	budget := &RetryBudget{}
	acquireAll := func(at time.Time) int {
		acquired := 0
		for acquired < 1000 && budget.Acquire(at) {
			acquired++
		}
		return acquired
	}
	expect.Expect(acquireAll(testNow)).To(Equal(10), "the full burst")
	expect.Expect(budget.Remaining(testNow)).To(BeNumerically("~", 0, 1e-6))
	expect.Expect(acquireAll(testNow.Add(3*time.Second))).To(Equal(3), "the minimum rate")
	for range 40 {
		budget.RecordSuccess()
	}
	expect.Expect(acquireAll(testNow.Add(3*time.Second))).To(Equal(4), "a tenth of the successes")
	budget.Release()
	expect.Expect(acquireAll(testNow.Add(3 * time.Second))).To(Equal(1))
	expect.Expect(budget.DeniedCount()).To(Equal(int64(4)))
	expect.Expect(acquireAll(testNow.Add(time.Hour))).To(Equal(10), "limited to the burst")

	t.Cleanup(func() { _ = feature.Disable("") })
	expect.Expect(feature.Disable(string(feature.RetryBudget))).To(Succeed())
	expect.Expect(acquireAll(testNow.Add(time.Hour))).To(Equal(1000))
}

func TestRefusalState(t *testing.T) {
	expect := NewWithT(t)
	budget, state := &RetryBudget{}, &RefusalState{}
	expect.Expect(state.AcquireAttempt(budget, testNow)).To(BeTrue())
	expect.Expect(budget.Remaining(testNow)).To(Equal(10.0), "the first attempt is free")
	state.RecordRefusal()
	expect.Expect(state.AcquireAttempt(budget, testNow)).To(BeTrue())
	state.ReleaseAttempt(budget)
	expect.Expect(budget.Remaining(testNow)).To(Equal(10.0))
	state.RecordRefusal()
	expect.Expect(state.AcquireAttempt(budget, testNow)).To(BeFalse(), "must wait for capacity")
	state.RecordWait()
	expect.Expect(state.AcquireAttempt(budget, testNow)).To(BeTrue())
	state.RecordRefusal()
	expect.Expect(state.Exhausted()).To(BeFalse())
	state.RecordRefusal()
	expect.Expect(state.Exhausted()).To(BeTrue())
}

func TestRetryScheduler(t *testing.T) {
	expect := NewWithT(t)
	scheduler := &RetryScheduler{}
	retryAfter := func(predicted time.Duration) time.Duration {
		return scheduler.RetryAfter("s", predicted*time.Millisecond, 20*time.Millisecond, 400*time.Millisecond, testNow)
	}
	expect.Expect(retryAfter(300)).To(Equal(300 * time.Millisecond))
	expect.Expect(retryAfter(300)).To(Equal(320 * time.Millisecond))
	expect.Expect(retryAfter(350)).To(Equal(350 * time.Millisecond))
	expect.Expect(retryAfter(350)).To(Equal(370 * time.Millisecond))
	expect.Expect(retryAfter(1000)).To(Equal(390*time.Millisecond), "within the maximum delay")
	var spread []time.Duration
	for range 10 {
		spread = append(spread, retryAfter(1000))
	}
	expect.Expect(spread[0]).To(Equal(200 * time.Millisecond))
	expect.Expect(spread[9]).To(Equal(380 * time.Millisecond))
}
