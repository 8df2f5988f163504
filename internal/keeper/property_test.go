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

// model tracks the expected state of a keeper from its events and effects alone.
type model struct {
	keeper *keeper.Keeper
	// replica gets the same events and must return the same effects.
	replica *keeper.Keeper
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

func drawModel(t *rapid.T) *model {
	config := drawConfig(t)
	order := rapid.SampledFrom([]string{"least-attained", "fcfs", "call-priority", "oracle"}).Draw(t, "order")
	placementName := rapid.SampledFrom([]string{"affinity-balanced", "round-robin", "least-loaded", "affinity"}).Draw(t, "placement")
	cacheName := rapid.SampledFrom([]string{"keep", "predictive", "release", "none"}).Draw(t, "cache")
	first, err := keeper.PoliciesByName(order, placementName, cacheName, 0)
	if err != nil {
		t.Fatal(err)
	}
	// Placement policies have state, so the replica needs its own.
	second, _ := keeper.PoliciesByName(order, placementName, cacheName, 0)
	return &model{
		keeper: keeper.New(config, first), replica: keeper.New(config, second),
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

// drawEvent draws any event, including ones that are invalid in the current state.
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

// applyEvent applies the direct consequences of an event to the model.
func (m *model) applyEvent(event keeper.Event) {
	switch event := event.(type) {
	case keeper.CallQueued:
		if _, runs := m.running[event.Request.Call]; !runs {
			m.waiting[event.Request.Call] = event.Request
		}
	case keeper.CallFinished:
		delete(m.running, event.Call)
	case keeper.CallCancelled:
		m.removeWaiting(event.Call)
	case keeper.EngineReported:
		m.limits[event.Engine] = min(event.RunningLimit, targetRunning)
		m.leaving[event.Engine] = event.Leaving
		m.adapters[event.Engine] = event.Adapters
		m.loading[event.Engine] = event.Loading
	case keeper.EngineDraining:
		m.drained[event.Engine] = true
	case keeper.EngineResumed:
		delete(m.drained, event.Engine)
	case keeper.EngineLost:
		delete(m.limits, event.Engine)
		for call, engine := range m.running {
			if engine == event.Engine {
				delete(m.running, call)
			}
		}
	}
}

func (m *model) removeWaiting(call keeper.CallKey) bool {
	if _, waits := m.waiting[call]; !waits {
		return false
	}
	delete(m.waiting, call)
	return true
}

// applyEffects applies the effects to the model and fails on any invalid one.
func (m *model) applyEffects(t *rapid.T, event keeper.Event, effects []keeper.Effect) {
	offered, _ := event.(keeper.CallQueued)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case keeper.Grant:
			m.checkGrant(t, effect, offered.Request.Call)
		case keeper.Refuse:
			if !m.removeWaiting(effect.Request.Call) {
				t.Fatalf("refused %v, which was not waiting", effect.Request.Call)
			}
		case keeper.LoadAdapter:
			if m.loading[effect.Engine] || slices.Contains(m.adapters[effect.Engine], effect.Adapter) {
				t.Fatalf("requested load of %s on %s, which is loading or has it", effect.Adapter, effect.Engine)
			}
		case keeper.Preempt:
			if m.running[effect.Request.Call] != effect.Engine {
				t.Fatalf("preempted %v, which is not running on %s", effect.Request.Call, effect.Engine)
			}
		}
	}
}

func (m *model) checkGrant(t *rapid.T, grant keeper.Grant, offered keeper.CallKey) {
	call := grant.Request.Call
	if engine, runs := m.running[call]; runs && call == offered && engine == grant.Engine {
		return
	}
	if !m.removeWaiting(call) {
		t.Fatalf("granted %v, which was not waiting", call)
	}
	limit, known := m.limits[grant.Engine]
	if !known || m.leaving[grant.Engine] || m.drained[grant.Engine] {
		t.Fatalf("granted %v on %s, which is lost, leaving or draining", call, grant.Engine)
	}
	if adapter := grant.Request.Adapter; adapter != "" && !slices.Contains(m.adapters[grant.Engine], adapter) {
		t.Fatalf("granted %v on %s, which does not have adapter %s", call, grant.Engine, adapter)
	}
	m.running[call] = grant.Engine
	m.granted[call] = m.now
	count := 0
	for _, engine := range m.running {
		if engine == grant.Engine {
			count++
		}
	}
	if count > limit {
		t.Fatalf("%d calls run on %s, limit %d", count, grant.Engine, limit)
	}
}

// removeLeader applies LeaderLost; owners holds the requests as the keeper knows
// them.
func (m *model) removeLeader(event keeper.LeaderLost, owners map[keeper.CallKey]keeper.Request) {
	for call, owner := range owners {
		if owner.Leader != event.Leader || owner.Shard != event.Shard {
			continue
		}
		m.removeWaiting(call)
		delete(m.running, call)
	}
}

// reassignGrants applies ProgramsLive: its leader takes over the shard's grants.
func (m *model) reassignGrants(event keeper.ProgramsLive, owners map[keeper.CallKey]keeper.Request) {
	for call := range m.running {
		owner := owners[call]
		if owner.Shard == event.Shard {
			owner.Leader = event.Leader
			owners[call] = owner
		}
	}
}

// expireGrants applies a GrantsHeld with an empty list: grants older than
// GrantConfirmTimeout end.
func (m *model) expireGrants(event keeper.GrantsHeld, owners map[keeper.CallKey]keeper.Request) {
	for call := range m.running {
		overdue := m.now-m.granted[call] > keeper.DefaultConfig().GrantConfirmTimeout
		if owners[call].Leader == event.Leader && overdue {
			delete(m.running, call)
		}
	}
}

// TestConservation checks that every queued call ends in exactly one of grant,
// refusal, cancel or drop, that grants respect limits, and that equal events give
// equal effects.
func TestConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		owners := map[keeper.CallKey]keeper.Request{}
		for number := range rapid.IntRange(1, 200).Draw(t, "events") {
			m.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			event := drawEvent(t, number)
			if queued, ok := event.(keeper.CallQueued); ok {
				owners[queued.Request.Call] = queued.Request
			}
			m.applyEvent(event)
			switch event := event.(type) {
			case keeper.LeaderLost:
				m.removeLeader(event, owners)
			case keeper.GrantsHeld:
				m.expireGrants(event, owners)
			case keeper.ProgramsLive:
				m.reassignGrants(event, owners)
			}
			effects := m.keeper.Step(m.now, event)
			m.applyEffects(t, event, effects)
			if again := m.replica.Step(m.now, event); !reflect.DeepEqual(effects, again) {
				t.Fatalf("after %T: %v, but the replica gives %v", event, effects, again)
			}
			if err := m.keeper.CheckInvariants(); err != nil {
				t.Fatalf("after %T: %v", event, err)
			}
			load := m.keeper.Snapshot()
			if load.Waiting != len(m.waiting) || load.Running != len(m.running) {
				t.Fatalf("after %T: keeper has %d waiting and %d running calls, want %d and %d",
					event, load.Waiting, load.Running, len(m.waiting), len(m.running))
			}
		}
	})
}

// TestNoTierStarves checks that with every tier backlogged, the lowest tier gets
// at least one in a bounded number of grants, for every order with tiers.
func TestNoTierStarves(t *testing.T) {
	const bound = 64
	rapid.Check(t, func(t *rapid.T) {
		order := rapid.SampledFrom([]string{"least-attained", "call-priority"}).Draw(t, "order")
		policies, _ := keeper.PoliciesByName(order, "", "", 0)
		pool := keeper.New(keeper.Config{}, policies)
		pool.Step(0, keeper.EngineReported{Engine: "e1", RunningLimit: 2, BlocksTotal: 1000, BlockTokens: 16})
		sinceLowest, number := 0, 0
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
		record := func(effects []keeper.Effect) {
			for _, effect := range effects {
				grant, ok := effect.(keeper.Grant)
				if !ok {
					continue
				}
				running = append(running, grant.Request.Call)
				sinceLowest++
				if grant.Request.Weight == 1 {
					sinceLowest = 0
				}
			}
		}
		for range 8 {
			record(offer(8))
			record(offer(3))
			record(offer(1))
		}
		for range 300 {
			done := running[0]
			running = running[1:]
			record(pool.Step(time.Duration(number)*time.Millisecond, keeper.CallFinished{Call: done, PromptTokens: 10, OutputTokens: 10}))
			record(offer(rapid.SampledFrom([]uint32{8, 8, 3}).Draw(t, "weight")))
			record(offer(8))
			record(offer(1))
			if sinceLowest > bound {
				t.Fatalf("%d consecutive grants without one to the lowest tier", sinceLowest)
			}
		}
	})
}
