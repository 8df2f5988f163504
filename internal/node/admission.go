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
	// knowsPrograms is how long an owner has to own a shard to know its programs. Before
	// that it refuses nobody there: it takes a program that goes on for one that begins. Within this time nearly
	// every program under way has shown itself by a turn; a turn lasts 3 s at most.
	knowsPrograms = 4 * time.Second
	// admissionPause separates two looks at the load.
	admissionPause = 200 * time.Millisecond
)

// admitter decides for this node which programs of its shards may begin.
type admitter struct {
	node *Node
	// patience is how long after it has come to own a shard this node refuses nobody there.
	patience time.Duration
	// mutex guards table and controller.
	mutex      sync.Mutex
	table      *admission.Table
	controller *admission.Controller
	// beginning counts, by program, the first turns that were admitted and whose tokens are
	// being reserved: that may take a write to the log, and sub-agents come meanwhile.
	beginning map[tenant.Program]int
	metrics   *admissionMetrics
}

func newAdmitter(node *Node) *admitter {
	options := admission.Options{TenantShares: feature.Enabled(feature.TenantShares), MemoryLimit: feature.Enabled(feature.MemoryAdmission)}
	made := &admitter{node: node, patience: knowsPrograms, table: admission.NewTable(), controller: admission.NewController(options), beginning: map[tenant.Program]int{}}
	made.metrics = newAdmissionMetrics(made)
	return made
}

// run learns what programs need, also while none begins here.
func (admitter *admitter) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, admissionPause)
		now := time.Now()
		state := admitter.state(now)
		admitter.mutex.Lock()
		admitter.controller.Observe(state, now)
		admitter.table.RemoveWhere(admitter.elsewhere)
		admitter.mutex.Unlock()
	}
}

// elsewhere tells whether another node owns a program's shard.
func (admitter *admitter) elsewhere(program tenant.Program) bool {
	return !admitter.node.ownership.Owns(admitter.node.programs.shardOf(program.ID))
}

// report returns the programs of this node's shards and the calls of tools that it serves,
// for the load report.
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

// begins tells whether a turn is the first of its program, as far as this node knows.
func (admitter *admitter) begins(request *nodev1.ReserveRequest) bool {
	if request.Previous != "" {
		return false
	}
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	return !admitter.goesOn(programOf(request))
}

// goesOn tells whether a program has begun, or was admitted. The caller holds the mutex.
func (admitter *admitter) goesOn(program tenant.Program) bool {
	return admitter.table.HasStarted(program) || admitter.beginning[program] > 0
}

// reserved notes that the reservation of an admitted first turn has ended.
func (admitter *admitter) reserved(request *nodev1.ReserveRequest) {
	program := programOf(request)
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	admitter.beginning[program]--
	if admitter.beginning[program] <= 0 {
		delete(admitter.beginning, program)
	}
}

// admits tells whether a program may begin; reserved ends what it notes. Where it may not,
// the reply says so.
func (admitter *admitter) admits(shard int, request *nodev1.ReserveRequest, reply *nodev1.ReserveReply) bool {
	now := time.Now()
	since, owned := admitter.node.ownership.OwnedSince(shard)
	if !feature.Enabled(feature.Admission) || !owned || now.Sub(since) < admitter.patience {
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

// decide asks the controller, unless another turn of the program was admitted meanwhile.
func (admitter *admitter) decide(request *nodev1.ReserveRequest, state *admission.State, now time.Time) admission.Decision {
	order := orderOf(request)
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	decision := admission.Decision{Admitted: true}
	if !admitter.goesOn(order.Program) {
		decision = admitter.controller.Decide(order, state, now)
	}
	if decision.Admitted {
		admitter.beginning[order.Program]++
	} else {
		admitter.table.RecordRefusal(order, now)
		admitter.metrics.countRefusal(request.Route, request.Rank, string(decision.Reason))
	}
	return decision
}

func orderOf(request *nodev1.ReserveRequest) admission.Request {
	const parts = 1 << 16
	return admission.Request{
		Program:           programOf(request),
		Route:             admission.RouteName(request.Route, request.Service, int(request.Rank)),
		Service:           request.Service,
		Priority:          int(request.Rank),
		PromptTokens:      request.Prompt,
		UntilSoftDeadline: milliseconds(request.AimLeftMs),
		HasSoftDeadline:   request.HasAim,
		RetryJitter:       float64(xxhash.Sum64String(request.Request)%parts) / parts,
	}
}

// logRefusal writes what decided.
func (admitter *admitter) logRefusal(request *nodev1.ReserveRequest, decision admission.Decision, age time.Duration) {
	admitter.node.logger.Info("program refused", zap.String("key", request.Request), zap.String("program", request.Program),
		zap.String("tenant", request.Tenant), zap.String("route", request.Route), zap.Int32("rank", request.Rank),
		zap.String("reason", string(decision.Reason)), zap.String("service", decision.Service),
		zap.Float64("demand", decision.Demand), zap.Float64("need", decision.ProgramDemand), zap.Float64("limit", decision.Limit),
		zap.Float64("capacity", decision.Capacity), zap.Float64("rate", decision.Rate),
		zap.Float64("held", decision.TenantPrograms), zap.Float64("fair", decision.FairShare),
		zap.Duration("view_age", age), zap.Duration("retry_after", decision.RetryAfter))
}

// turnBegins notes a turn whose tokens were reserved.
func (admitter *admitter) turnBegins(request *nodev1.ReserveRequest, until time.Time, begins bool) {
	now := time.Now()
	turn := admission.Turn{
		Program:      programOf(request),
		RequestID:    request.Request,
		Session:      request.Session,
		Route:        request.Route,
		Service:      request.Service,
		Priority:     int(request.Rank),
		PromptTokens: request.Prompt,
		ExpiresAt:    until,
		FirstTurn:    begins,
	}
	if request.HasAim {
		turn.SoftDeadline = now.Add(milliseconds(request.AimLeftMs))
	}
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	admitter.table.RecordTurnStart(turn, now)
}

// turnEnds notes a turn's end.
func (admitter *admitter) turnEnds(program tenant.Program, request string) {
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	admitter.table.RecordTurnEnd(program, request, time.Now())
}

// state puts together what a decision goes by.
func (admitter *admitter) state(now time.Time) *admission.State {
	node := admitter.node
	total, known := node.load.Total(now)
	age, _ := node.load.Age(now)
	state := &admission.State{Total: total, Known: known, Age: age, OwnerShare: admitter.share()}
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

// serviceState tells what a service's engines have, and what runs there.
func (node *Node) serviceState(capacity backend.Capacity, total load.Report) admission.Service {
	service := admission.Service{Name: capacity.Service, Slots: capacity.Slots, Engines: len(capacity.Engines), MemoryTokens: node.memoryOf(capacity.Service)}
	for _, engine := range capacity.Engines {
		service.Running += total.Engines[engine].Running
	}
	return service
}

// share is the part of all shards that this node owns.
func (admitter *admitter) share() float64 {
	owned := 0
	for shard := range admitter.node.settings.Shards {
		if _, owns := admitter.node.ownership.OwnedSince(shard); owns {
			owned++
		}
	}
	return float64(owned) / float64(admitter.node.settings.Shards)
}
