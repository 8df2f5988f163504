package admission

import (
	"time"

	"github.com/magpielug/magpielug/internal/load"
)

const (
	// usageWindow is the averaging window for what programs use. It is long compared with a
	// program's lifetime, so that a burst does not change the estimate.
	usageWindow = 10 * time.Second
	// occupancyWindow is the averaging window for the requests at engines, to smooth the random
	// variation of a few dozen short requests.
	occupancyWindow = 500 * time.Millisecond
	// sampleInterval is the minimum time between samples. Load views arrive only a few times
	// per second.
	sampleInterval = 100 * time.Millisecond
	// maxSampleDuration bounds the weight of one sample after a gap.
	maxSampleDuration = time.Second
	// defaultProgramSlots and defaultLifetime are assumed for a program's slots and lifetime
	// until enough programs were observed.
	defaultProgramSlots = 1.0
	defaultLifetime     = time.Second
	// maxLifetime bounds the estimated lifetime.
	maxLifetime = time.Minute
	// minPrograms is the mean number of running programs from which an estimate is used.
	minPrograms = 0.5
)

// routeUsage is the observed usage of a route's programs.
type routeUsage struct {
	// uncongestedTurns and uncongestedPrograms are averaged only while no requests queue, since
	// queueing inflates the number of concurrent turns; the other means are always updated.
	uncongestedTurns    runningMean
	uncongestedPrograms runningMean
	totalPromptTokens   runningMean
	activePrograms      runningMean
	// startRate is in programs per second.
	startRate runningMean
}

// slotsPerProgram returns the mean number of slots that a program uses.
func (usage *routeUsage) slotsPerProgram() float64 {
	if usage == nil || usage.uncongestedPrograms.value < minPrograms {
		return defaultProgramSlots
	}
	return usage.uncongestedTurns.value / usage.uncongestedPrograms.value
}

// promptTokensPerProgram returns the mean length of a program's prompts.
func (usage *routeUsage) promptTokensPerProgram() float64 {
	if usage == nil || usage.activePrograms.value < minPrograms {
		return 0
	}
	return usage.totalPromptTokens.value / usage.activePrograms.value
}

// lifetime returns the mean time that a program runs: running programs divided by their start
// rate.
func (usage *routeUsage) lifetime() time.Duration {
	if usage == nil || usage.activePrograms.value < minPrograms || usage.startRate.value <= 0 {
		return defaultLifetime
	}
	lifetime := time.Duration(usage.activePrograms.value / usage.startRate.value * float64(time.Second))
	return min(lifetime, maxLifetime)
}

// serviceUsage is the observed usage of a service's engines.
type serviceUsage struct {
	// occupancy is the number of running and queued requests.
	occupancy runningMean
	// otherTraffic is the part of the occupancy that does not belong to programs.
	otherTraffic runningMean
	limit        utilizationLimit
}

// estimator estimates the demand of programs. Each owner derives it from the load of all nodes,
// so that all owners reach about the same estimates.
type estimator struct {
	routes   map[string]*routeUsage
	services map[string]*serviceUsage
	// refusedFraction is the fraction of programs refused recently.
	refusedFraction runningMean
	sampledAt       time.Time
	// recentRequests are this owner's admission requests of the last requestWindow.
	recentRequests []recentRequest
}

func newEstimator() *estimator {
	return &estimator{routes: map[string]*routeUsage{}, services: map[string]*serviceUsage{}}
}

// observe updates the estimates from a state. It returns the time that the sample covers, and
// false if the previous sample is too recent.
func (estimator *estimator) observe(state *State, now time.Time) (time.Duration, bool) {
	step := now.Sub(estimator.sampledAt)
	if step < sampleInterval {
		return 0, false
	}
	estimator.sampledAt = now
	estimator.expireRequests(now)
	step = min(step, maxSampleDuration)
	occupancy := occupancyByService(state)
	turns := turnsByService(state)
	congested := estimator.observeServices(state, occupancy, turns, step)
	estimator.refusedFraction.observe(refusedFraction(state), step, scarcityWindow)
	for name, route := range state.Total.Routes {
		estimator.observeRoute(name, route, congested, step)
	}
	return step, true
}

func refusedFraction(state *State) float64 {
	var started, refused float64
	for _, route := range state.Total.Routes {
		started += route.ProgramsStarted
		refused += route.Refused
	}
	if refused <= 0 {
		return 0
	}
	return refused / (started + refused)
}

// occupancyByService returns the number of running and queued requests of each service.
func occupancyByService(state *State) map[string]float64 {
	occupancy := map[string]float64{}
	for _, service := range state.Services {
		occupancy[service.Name] = float64(service.Running)
	}
	for queue, calls := range state.Total.Waiting {
		occupancy[queue.Service] += float64(calls)
	}
	return occupancy
}

// hasPrograms reports whether programs run on a route; routes of tool calls have none.
func (estimator *estimator) hasPrograms(name string, route load.Route) bool {
	usage := estimator.routes[name]
	return route.Programs > 0 || (usage != nil && usage.activePrograms.value > 0)
}

// turnsByService returns the number of turns and tool calls that programs have in flight at
// each service.
func turnsByService(state *State) map[string]float64 {
	turns := map[string]float64{}
	for _, route := range state.Total.Routes {
		turns[route.Service] += float64(route.Turns)
	}
	return turns
}

// observeServices reports whether requests queue for slots at any service.
func (estimator *estimator) observeServices(state *State, occupancy, turns map[string]float64, step time.Duration) bool {
	congested := false
	for _, service := range state.Services {
		usage := estimator.service(service.Name)
		usage.occupancy.observe(occupancy[service.Name], step, occupancyWindow)
		// Whether requests queue is unknown for engines that do not report their slots.
		full := service.Slots > 0 && usage.occupancy.value >= float64(service.Slots)
		if full {
			congested = true
			continue
		}
		usage.otherTraffic.observe(occupancy[service.Name]-turns[service.Name], step, usageWindow)
	}
	return congested
}

func (estimator *estimator) service(name string) *serviceUsage {
	usage := estimator.services[name]
	if usage == nil {
		usage = &serviceUsage{limit: utilizationLimit{level: initialLimit}}
		estimator.services[name] = usage
	}
	return usage
}

func (estimator *estimator) observeRoute(name string, route load.Route, congested bool, step time.Duration) {
	usage := estimator.routes[name]
	if usage == nil {
		usage = &routeUsage{}
		estimator.routes[name] = usage
	}
	usage.activePrograms.observe(float64(route.Programs), step, usageWindow)
	usage.startRate.observe(perSecond(route.ProgramsStarted), step, usageWindow)
	usage.totalPromptTokens.observe(float64(route.PromptTokens), step, usageWindow)
	aboveUsual := float64(route.Turns) > usage.slotsPerProgram()*float64(route.Programs)
	if congested && aboveUsual && usage.uncongestedPrograms.value >= minPrograms {
		return
	}
	usage.uncongestedPrograms.observe(float64(route.Programs), step, usageWindow)
	usage.uncongestedTurns.observe(float64(route.Turns), step, usageWindow)
}
