package node

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/admission"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/tenant"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
)

const (
	// ownershipWarmUp is how long a new owner admits every program of a shard: until it has seen a
	// turn of nearly every active program, it cannot tell a new program from a running one.
	ownershipWarmUp = 4 * time.Second
	// admissionInterval is the interval at which the controller observes the load.
	admissionInterval = 200 * time.Millisecond
)

// admitter decides which new programs of this node's shards may start.
type admitter struct {
	node *Node
	// warmUp is the time after acquiring a shard in which every program is admitted.
	warmUp time.Duration
	// mutex guards table, controller and pendingFirstTurns.
	mutex      sync.Mutex
	table      *admission.Table
	controller *admission.Controller
	// pendingFirstTurns counts admitted first turns, by program, whose token reservation is still
	// in progress. Sub-agents of the program may send turns in the meantime.
	pendingFirstTurns map[tenant.Program]int
	metrics           *admissionMetrics
}

func newAdmitter(node *Node) *admitter {
	options := admission.Options{TenantShares: feature.Enabled(feature.TenantShares), MemoryLimit: feature.Enabled(feature.MemoryAdmission)}
	created := &admitter{node: node, warmUp: ownershipWarmUp, table: admission.NewTable(), controller: admission.NewController(options), pendingFirstTurns: map[tenant.Program]int{}}
	created.metrics = newAdmissionMetrics(created)
	return created
}

// run feeds the controller with load observations and drops programs of shards that this node no
// longer owns.
func (admitter *admitter) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, admissionInterval)
		now := time.Now()
		state := admitter.state(now)
		admitter.mutex.Lock()
		admitter.controller.Observe(state, now)
		admitter.table.RemoveWhere(admitter.ownedElsewhere)
		admitter.mutex.Unlock()
	}
}

// ownedElsewhere reports whether this node does not own a program's shard.
func (admitter *admitter) ownedElsewhere(program tenant.Program) bool {
	return !admitter.node.ownership.OwnsOrClaims(admitter.node.programs.shardOf(program.ID))
}

// report returns the load of the programs of this node's shards and of the tool calls that it
// serves.
func (admitter *admitter) report() (map[string]load.Route, map[load.TenantPriority]int) {
	admitter.mutex.Lock()
	routes, tenants := admitter.table.Report(time.Now())
	admitter.mutex.Unlock()
	for service, calls := range admitter.node.service.ToolCalls.Counts() {
		name, route := admission.ToolCallRoute(service, calls)
		routes[name] = route
	}
	return routes, tenants
}

// isFirstTurn reports whether a turn is the first of its program, as far as this node knows.
func (admitter *admitter) isFirstTurn(request *nodev1.ReserveRequest) bool {
	if request.Previous != "" {
		return false
	}
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	return !admitter.hasStarted(programOf(request))
}

// hasStarted reports whether a program has started or has a pending first turn. The caller holds the
// mutex.
func (admitter *admitter) hasStarted(program tenant.Program) bool {
	return admitter.table.HasStarted(program) || admitter.pendingFirstTurns[program] > 0
}

// finishFirstTurn records that the reservation of an admitted first turn has ended.
func (admitter *admitter) finishFirstTurn(request *nodev1.ReserveRequest) {
	program := programOf(request)
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	admitter.pendingFirstTurns[program]--
	if admitter.pendingFirstTurns[program] <= 0 {
		delete(admitter.pendingFirstTurns, program)
	}
}

// admit reports whether a program may start, and fills in the reply if not. After admission the
// caller must call finishFirstTurn.
func (admitter *admitter) admit(shard int, request *nodev1.ReserveRequest, reply *nodev1.ReserveReply) bool {
	now := time.Now()
	since, owned := admitter.node.ownership.OwnedSince(shard)
	if !feature.Enabled(feature.Admission) || !owned || now.Sub(since) < admitter.warmUp {
		return true
	}
	state := admitter.state(now)
	decision := admitter.decide(request, state, now)
	if decision.Admitted {
		return true
	}
	admitter.logRefusal(request, decision, state.Age)
	reply.Verdict = nodev1.Verdict_VERDICT_NO_ROOM
	reply.Reason = string(decision.Reason)
	reply.RetryAfterMs = decision.RetryAfter.Milliseconds()
	reply.Owner = admitter.node.settings.Name
	return false
}

// decide asks the controller, unless another turn of the program has been admitted in the
// meantime.
func (admitter *admitter) decide(request *nodev1.ReserveRequest, state *admission.State, now time.Time) admission.Decision {
	candidate := admissionRequest(request)
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	decision := admission.Decision{Admitted: true}
	if !admitter.hasStarted(candidate.Program) {
		decision = admitter.controller.Decide(candidate, state, now)
	}
	if decision.Admitted {
		admitter.pendingFirstTurns[candidate.Program]++
	} else {
		admitter.table.RecordRefusal(candidate, now)
		admitter.metrics.countRefusal(request.Route, request.Rank, string(decision.Reason))
	}
	return decision
}

func admissionRequest(request *nodev1.ReserveRequest) admission.Request {
	const jitterSteps = 1 << 16
	return admission.Request{
		Program:           programOf(request),
		Route:             admission.RouteName(request.Route, request.Service, int(request.Rank)),
		Service:           request.Service,
		Priority:          int(request.Rank),
		PromptTokens:      request.Prompt,
		UntilSoftDeadline: milliseconds(request.AimLeftMs),
		HasSoftDeadline:   request.HasAim,
		RetryJitter:       float64(xxhash.Sum64String(request.Request)%jitterSteps) / jitterSteps,
	}
}

// logRefusal logs a refusal and the figures it is based on.
func (admitter *admitter) logRefusal(request *nodev1.ReserveRequest, decision admission.Decision, age time.Duration) {
	admitter.node.logger.Info("program refused", zap.String("key", request.Request), zap.String("program", request.Program),
		zap.String("tenant", request.Tenant), zap.String("route", request.Route), zap.Int32("rank", request.Rank),
		zap.String("reason", string(decision.Reason)), zap.String("service", decision.Service),
		zap.Float64("demand", decision.Demand), zap.Float64("need", decision.ProgramDemand), zap.Float64("limit", decision.Limit),
		zap.Float64("capacity", decision.Capacity), zap.Float64("rate", decision.Rate),
		zap.Float64("held", decision.TenantPrograms), zap.Float64("fair", decision.FairShare),
		zap.Duration("view_age", age), zap.Duration("retry_after", decision.RetryAfter))
}

// recordTurnStart records a turn whose tokens have been reserved.
func (admitter *admitter) recordTurnStart(request *nodev1.ReserveRequest, expiresAt time.Time, firstTurn bool) {
	now := time.Now()
	turn := admission.Turn{
		Program:      programOf(request),
		RequestID:    request.Request,
		Session:      request.Session,
		Route:        request.Route,
		Service:      request.Service,
		Priority:     int(request.Rank),
		PromptTokens: request.Prompt,
		ExpiresAt:    expiresAt,
		FirstTurn:    firstTurn,
	}
	if request.HasAim {
		turn.SoftDeadline = now.Add(milliseconds(request.AimLeftMs))
	}
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	admitter.table.RecordTurnStart(turn, now)
}

// recordTurnEnd records the end of a turn.
func (admitter *admitter) recordTurnEnd(program tenant.Program, request string) {
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	admitter.table.RecordTurnEnd(program, request, time.Now())
}

// state returns the inputs for an admission decision.
func (admitter *admitter) state(now time.Time) *admission.State {
	node := admitter.node
	total, known := node.load.Total(now)
	age, _ := node.load.Age(now)
	state := &admission.State{Total: total, Known: known, Age: age, OwnerShare: admitter.ownedShardShare()}
	if !known {
		return state
	}
	for _, capacity := range node.engines.Capacities(now) {
		state.Services = append(state.Services, node.serviceState(capacity, total))
	}
	if configuration := node.routes.Load(); configuration != nil {
		state.TenantWeights = configuration.Tenants.Rates()
	}
	return state
}

// serviceState returns the capacity and the running requests of a service.
func (node *Node) serviceState(capacity backend.Capacity, total load.Report) admission.Service {
	service := admission.Service{Name: capacity.Service, Slots: capacity.Slots, Engines: len(capacity.Engines), MemoryTokens: node.engineMemoryTokens(capacity.Service)}
	for _, engine := range capacity.Engines {
		service.Running += total.Engines[engine].Running
	}
	return service
}

// ownedShardShare returns the fraction of all shards that this node owns.
func (admitter *admitter) ownedShardShare() float64 {
	owned := 0
	for shard := range admitter.node.settings.Shards {
		if _, owns := admitter.node.ownership.OwnedSince(shard); owns {
			owned++
		}
	}
	return float64(owned) / float64(admitter.node.settings.Shards)
}
