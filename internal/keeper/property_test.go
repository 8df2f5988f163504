package keeper_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/magpielug/magpielug/internal/keeper"
)

// audit mirrors, from the effects alone, what a keeper must conserve.
type audit struct {
	keeper *keeper.Keeper
	// twin gets the same events and must give the same effects.
	twin    *keeper.Keeper
	now     time.Duration
	waiting map[keeper.CallKey]keeper.Request
	running map[keeper.CallKey]string
	granted map[keeper.CallKey]time.Duration
	limits  map[string]int
	leaving map[string]bool
	drained map[string]bool
	// adapters and loading are those of the engines' last reports.
	adapters map[string][]string
	loading  map[string]bool
}

var (
	engineNames  = rapid.SampledFrom([]string{"e1", "e2", "e3"})
	programNames = rapid.SampledFrom([]string{"p1", "p2", "p3", "p4", "p5", "p6"})
	leaderNames  = rapid.SampledFrom([]string{"s1", "s2"})
)

const targetRunning = 3

func drawAudit(t *rapid.T) *audit {
	config := drawConfig(t)
	order := rapid.SampledFrom([]string{"least-attained", "fcfs", "call-priority", "oracle"}).Draw(t, "order")
	placed := rapid.SampledFrom([]string{"affinity-balanced", "round-robin", "least-loaded", "affinity"}).Draw(t, "placement")
	cached := rapid.SampledFrom([]string{"keep", "predictive", "release", "none"}).Draw(t, "cache")
	first, err := keeper.PoliciesByName(order, placed, cached, 0)
	if err != nil {
		t.Fatal(err)
	}
	// A placement has state, so the twin needs policies of its own.
	second, _ := keeper.PoliciesByName(order, placed, cached, 0)
	return &audit{
		keeper: keeper.New(config, first), twin: keeper.New(config, second),
		waiting: map[keeper.CallKey]keeper.Request{}, running: map[keeper.CallKey]string{},
		granted: map[keeper.CallKey]time.Duration{}, limits: map[string]int{}, leaving: map[string]bool{}, drained: map[string]bool{},
		adapters: map[string][]string{}, loading: map[string]bool{},
	}
}

func drawConfig(t *rapid.T) keeper.Config {
	return keeper.Config{
		TargetRunning: targetRunning,
		MaxWaiting:    rapid.IntRange(1, 12).Draw(t, "max waiting"),
		Preempt:       rapid.Bool().Draw(t, "preempt"),
		MaxPrograms:   rapid.IntRange(2, 8).Draw(t, "max programs"),
	}
}

// drawEvent draws any event, sensible or not.
func drawEvent(t *rapid.T, number int) keeper.Event {
	program := programNames.Draw(t, "program")
	call := keeper.CallKey{Program: program, RequestID: fmt.Sprint(rapid.IntRange(max(number-8, 0), number).Draw(t, "request"))}
	engine := engineNames.Draw(t, "engine")
	switch rapid.IntRange(0, 18).Draw(t, "event") {
	default:
		return keeper.CallQueued{Request: drawRequest(t, call)}
	case 5, 6, 7:
		return keeper.CallFinished{Call: call, PromptTokens: 200, OutputTokens: 30, Failed: rapid.Bool().Draw(t, "failed")}
	case 8:
		return keeper.CallCancelled{Call: call}
	case 9:
		return keeper.ProgramPaused{Program: program}
	case 10:
		return keeper.ProgramEnded{Program: program}
	case 11, 12:
		return keeper.EngineReported{
			Engine: engine, RunningLimit: rapid.IntRange(0, 5).Draw(t, "limit"), Leaving: rapid.Bool().Draw(t, "leaving"),
			BlocksTotal: 64, BlockTokens: 16, BlocksUsed: 4, ProgramBlocks: map[string]int{program: 4, "p1": 2},
			Loading: rapid.Bool().Draw(t, "loading"), Adapters: rapid.SampledFrom([][]string{nil, {"x"}, {"x", "y"}}).Draw(t, "adapters"),
		}
	case 13:
		return keeper.EngineLost{Engine: engine}
	case 14:
		return keeper.EngineDraining{Engine: engine}
	case 15:
		return keeper.EngineResumed{Engine: engine}
	case 16:
		return keeper.LeaderLost{Leader: leaderNames.Draw(t, "leader"), Shard: uint32(rapid.IntRange(0, 1).Draw(t, "shard"))}
	case 17:
		return keeper.GrantsHeld{Leader: leaderNames.Draw(t, "leader")}
	case 18:
		return keeper.ProgramsLive{Leader: "s1", Shard: 1, Programs: []string{program}}
	}
}

func drawRequest(t *rapid.T, call keeper.CallKey) keeper.Request {
	return keeper.Request{
		Call: call, Leader: leaderNames.Draw(t, "leader"), Shard: uint32(rapid.IntRange(0, 1).Draw(t, "shard")),
		Tenant: "t", Tier: "tier", Weight: rapid.SampledFrom([]uint32{1, 3, 8}).Draw(t, "weight"),
		PromptTokens: rapid.IntRange(1, 1500).Draw(t, "prompt"), MaxTokens: 100,
		AttainedService: float64(rapid.IntRange(0, 5000).Draw(t, "attained")), Repeatable: true,
		Adapter: rapid.SampledFrom([]string{"", "", "x", "y"}).Draw(t, "adapter"), WaitBound: time.Duration(rapid.IntRange(0, 10).Draw(t, "bound")) * time.Second,
		Deadline: time.Duration(rapid.IntRange(0, 60).Draw(t, "deadline")) * time.Second,
	}
}

// before applies what an event itself does to the mirror.
func (a *audit) before(event keeper.Event) {
	switch event := event.(type) {
	case keeper.CallQueued:
		if _, runs := a.running[event.Request.Call]; !runs {
			a.waiting[event.Request.Call] = event.Request
		}
	case keeper.CallFinished:
		delete(a.running, event.Call)
	case keeper.CallCancelled:
		a.settle(event.Call)
	case keeper.EngineReported:
		a.limits[event.Engine] = min(event.RunningLimit, targetRunning)
		a.leaving[event.Engine] = event.Leaving
		a.adapters[event.Engine] = event.Adapters
		a.loading[event.Engine] = event.Loading
	case keeper.EngineDraining:
		a.drained[event.Engine] = true
	case keeper.EngineResumed:
		delete(a.drained, event.Engine)
	case keeper.EngineLost:
		delete(a.limits, event.Engine)
		for call, engine := range a.running {
			if engine == event.Engine {
				delete(a.running, call)
			}
		}
	}
}

func (a *audit) settle(call keeper.CallKey) bool {
	if _, waits := a.waiting[call]; !waits {
		return false
	}
	delete(a.waiting, call)
	return true
}

// check applies the effects to the mirror and fails on any that must not be.
func (a *audit) check(t *rapid.T, event keeper.Event, effects []keeper.Effect) {
	offered, _ := event.(keeper.CallQueued)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case keeper.Grant:
			a.checkGrant(t, effect, offered.Request.Call)
		case keeper.Refuse:
			if !a.settle(effect.Request.Call) {
				t.Fatalf("refused %v, which did not wait", effect.Request.Call)
			}
		case keeper.LoadAdapter:
			if a.loading[effect.Engine] || slices.Contains(a.adapters[effect.Engine], effect.Adapter) {
				t.Fatalf("ordered %s on %s, which loads or has it", effect.Adapter, effect.Engine)
			}
		case keeper.Preempt:
			if a.running[effect.Request.Call] != effect.Engine {
				t.Fatalf("preempted %v, which does not run on %s", effect.Request.Call, effect.Engine)
			}
		}
	}
}

func (a *audit) checkGrant(t *rapid.T, grant keeper.Grant, offered keeper.CallKey) {
	call := grant.Request.Call
	if engine, runs := a.running[call]; runs && call == offered && engine == grant.Engine {
		return
	}
	if !a.settle(call) {
		t.Fatalf("granted %v, which did not wait", call)
	}
	limit, known := a.limits[grant.Engine]
	if !known || a.leaving[grant.Engine] || a.drained[grant.Engine] {
		t.Fatalf("granted %v on %s, which is lost, leaving or drained", call, grant.Engine)
	}
	if adapter := grant.Request.Adapter; adapter != "" && !slices.Contains(a.adapters[grant.Engine], adapter) {
		t.Fatalf("granted %v on %s, which does not have adapter %s", call, grant.Engine, adapter)
	}
	a.running[call] = grant.Engine
	a.granted[call] = a.now
	count := 0
	for _, engine := range a.running {
		if engine == grant.Engine {
			count++
		}
	}
	if count > limit {
		t.Fatalf("%d calls run on %s, limit %d", count, grant.Engine, limit)
	}
}

// loseLeader follows LeaderLost with the requests as the keeper knows them.
func (a *audit) loseLeader(event keeper.LeaderLost, owners map[keeper.CallKey]keeper.Request) {
	for call, owner := range owners {
		if owner.Leader != event.Leader || owner.Shard != event.Shard {
			continue
		}
		a.settle(call)
		delete(a.running, call)
	}
}

// adopt follows ProgramsLive: its leader answers for the shard's grants.
func (a *audit) adopt(event keeper.ProgramsLive, owners map[keeper.CallKey]keeper.Request) {
	for call := range a.running {
		owner := owners[call]
		if owner.Shard == event.Shard {
			owner.Leader = event.Leader
			owners[call] = owner
		}
	}
}

// unconfirm follows GrantsHeld with an empty list: grants older than the
// confirmation time end.
func (a *audit) unconfirm(event keeper.GrantsHeld, owners map[keeper.CallKey]keeper.Request) {
	for call := range a.running {
		overdue := a.now-a.granted[call] > keeper.DefaultConfig().GrantConfirm
		if owners[call].Leader == event.Leader && overdue {
			delete(a.running, call)
		}
	}
}

// TestConservation: every queued call ends in exactly one of grant, refusal,
// cancel or drop; grants keep to limits; equal events give equal effects.
func TestConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawAudit(t)
		owners := map[keeper.CallKey]keeper.Request{}
		for number := range rapid.IntRange(1, 200).Draw(t, "events") {
			a.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			event := drawEvent(t, number)
			if queued, ok := event.(keeper.CallQueued); ok {
				owners[queued.Request.Call] = queued.Request
			}
			a.before(event)
			switch event := event.(type) {
			case keeper.LeaderLost:
				a.loseLeader(event, owners)
			case keeper.GrantsHeld:
				a.unconfirm(event, owners)
			case keeper.ProgramsLive:
				a.adopt(event, owners)
			}
			effects := a.keeper.Step(a.now, event)
			a.check(t, event, effects)
			if again := a.twin.Step(a.now, event); !reflect.DeepEqual(effects, again) {
				t.Fatalf("after %T: %v, but the twin gives %v", event, effects, again)
			}
			if err := a.keeper.CheckBooks(); err != nil {
				t.Fatalf("after %T: %v", event, err)
			}
			load := a.keeper.Snapshot()
			if load.Waiting != len(a.waiting) || load.Running != len(a.running) {
				t.Fatalf("after %T: keeper has %d waiting, %d running; the books say %d and %d",
					event, load.Waiting, load.Running, len(a.waiting), len(a.running))
			}
		}
	})
}

// TestNoTierStarves: with every tier backlogged, the lowest is granted at least
// once in a bounded number of grants, whatever the order inside a tier does.
func TestNoTierStarves(t *testing.T) {
	const bound = 64
	rapid.Check(t, func(t *rapid.T) {
		order := rapid.SampledFrom([]string{"least-attained", "call-priority"}).Draw(t, "order")
		policies, _ := keeper.PoliciesByName(order, "", "", 0)
		pool := keeper.New(keeper.Config{}, policies)
		pool.Step(0, keeper.EngineReported{Engine: "e1", RunningLimit: 2, BlocksTotal: 1000, BlockTokens: 16})
		since, number := 0, 0
		offer := func(weight uint32) []keeper.Effect {
			number++
			call := keeper.CallKey{Program: fmt.Sprint(number), RequestID: "1"}
			request := keeper.Request{
				Call: call, Weight: weight, Tier: fmt.Sprint(weight), PromptTokens: rapid.IntRange(1, 9000).Draw(t, "prompt"),
				AttainedService: float64(rapid.IntRange(0, 100000).Draw(t, "attained")),
			}
			return pool.Step(time.Duration(number)*time.Millisecond, keeper.CallQueued{Request: request})
		}
		var running []keeper.CallKey
		note := func(effects []keeper.Effect) {
			for _, effect := range effects {
				grant, ok := effect.(keeper.Grant)
				if !ok {
					continue
				}
				running = append(running, grant.Request.Call)
				since++
				if grant.Request.Weight == 1 {
					since = 0
				}
			}
		}
		for range 8 {
			note(offer(8))
			note(offer(3))
			note(offer(1))
		}
		for range 300 {
			done := running[0]
			running = running[1:]
			note(pool.Step(time.Duration(number)*time.Millisecond, keeper.CallFinished{Call: done, PromptTokens: 10, OutputTokens: 10}))
			note(offer(rapid.SampledFrom([]uint32{8, 8, 3}).Draw(t, "weight")))
			note(offer(8))
			note(offer(1))
			if since > bound {
				t.Fatalf("%d grants passed without one to the lowest tier", since)
			}
		}
	})
}
