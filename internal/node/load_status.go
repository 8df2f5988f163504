package node

import (
	"encoding/json"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/admission"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// serveLoad serves the load status endpoint.
func (node *Node) serveLoad(writer http.ResponseWriter, request *http.Request) {
	status, err := node.loadStatusFor(request)
	if err != nil {
		httpserver.WriteError(writer, err)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(status)
}

func (node *Node) loadStatusFor(request *http.Request) (load.Status, error) {
	if request.Method != http.MethodGet {
		return load.Status{}, resultcode.New(resultcode.UnknownRoute, "%s %s: only GET is served", request.Method, load.StatusPath)
	}
	query := request.URL.Query()
	for name, values := range query {
		if name != load.StatusServiceParameter || len(values) != 1 {
			return load.Status{}, resultcode.New(resultcode.BadRequest, "%s: invalid query %q: only a single %s=NAME is supported", load.StatusPath, request.URL.RawQuery, load.StatusServiceParameter)
		}
	}
	status := node.loadStatus(time.Now())
	if !query.Has(load.StatusServiceParameter) {
		return status, nil
	}
	service := query.Get(load.StatusServiceParameter)
	if !slices.ContainsFunc(status.Services, func(known load.ServiceStatus) bool { return known.Service == service }) {
		return load.Status{}, resultcode.New(resultcode.UnknownTarget, "no engine of a service %q is known", service)
	}
	return filterService(status, service), nil
}

// filterService keeps only the entries of one service.
func filterService(status load.Status, service string) load.Status {
	status.Services = slices.DeleteFunc(status.Services, func(each load.ServiceStatus) bool { return each.Service != service })
	status.Engines = slices.DeleteFunc(status.Engines, func(each load.EngineStatus) bool { return each.Service != service })
	status.Admission = slices.DeleteFunc(status.Admission, func(each load.AdmissionStatus) bool { return each.Service != service })
	status.Routes = slices.DeleteFunc(status.Routes, func(each load.RouteStatus) bool { return each.Service != service })
	return status
}

// loadStatus returns this node's view of the load.
func (node *Node) loadStatus(now time.Time) load.Status {
	total, known := node.load.Total(now)
	status := load.Status{
		Node:             node.settings.Name,
		Zone:             node.settings.Zone,
		View:             node.viewStatus(known, now),
		OwnedShare:       node.admission.ownedShardShare(),
		UnreachableZones: []string{},
		ZoneIsolated:     node.zoneIsolated(now),
	}
	for _, zone := range node.otherZones() {
		if !node.zones.Reachable(zone, now) {
			status.UnreachableZones = append(status.UnreachableZones, zone)
		}
	}
	engines := node.engines.Statuses(now)
	status.Engines = engineStatuses(engines, total, known)
	status.Services = node.serviceStatuses(engines, total, known, now)
	status.Admission, status.Tenants, status.OtherTenants = node.admission.status(now)
	status.Routes, status.OtherRoutes = routeStatuses(total, known)
	return status
}

func (node *Node) viewStatus(known bool, now time.Time) load.ViewStatus {
	status := load.ViewStatus{Known: known, Nodes: node.members.activeCount(), ReportingNodes: node.sharing.aggregator.NodeCount(now)}
	if age, hasView := node.load.Age(now); hasView {
		milliseconds := age.Milliseconds()
		status.AgeMillis = &milliseconds
	}
	return status
}

func engineStatuses(engines []backend.Status, total load.Report, known bool) []load.EngineStatus {
	statuses := make([]load.EngineStatus, 0, len(engines))
	for _, engine := range engines {
		status := load.EngineStatus{
			Engine:         engine.ID,
			Service:        engine.Service,
			Zone:           engine.Zone,
			ZoneReachable:  engine.ZoneReachable,
			Slots:          engine.Slots,
			RunningLocally: engine.Running,
		}
		if known {
			running := total.Engines[engine.ID].Running
			status.Running = &running
		}
		for _, reason := range engine.AvoidReasons {
			status.AvoidReasons = append(status.AvoidReasons, string(reason))
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// serviceStatuses aggregates engine statuses by service, in the order of service names.
func (node *Node) serviceStatuses(engines []backend.Status, total load.Report, known bool, now time.Time) []load.ServiceStatus {
	sums := map[string]*load.ServiceStatus{}
	for _, engine := range engines {
		sum := sums[engine.Service]
		if sum == nil {
			sum = newServiceStatus(engine.Service, total, known)
			sums[engine.Service] = sum
		}
		sum.Engines++
		if len(engine.AvoidReasons) > 0 {
			sum.AvoidedEngines++
		}
		if !engine.Draining {
			sum.Slots += engine.Slots
		}
		if known {
			*sum.Running += total.Engines[engine.ID].Running
		}
	}
	for _, capacity := range node.engines.Capacities(now) {
		if sum := sums[capacity.Service]; sum != nil {
			sum.HealthySlots = capacity.Slots
		}
	}
	local := node.service.WaitQueue.Counts()
	statuses := make([]load.ServiceStatus, 0, len(sums))
	for _, service := range slices.Sorted(maps.Keys(sums)) {
		status := *sums[service]
		status.WaitingLocally = waitingByPriority(local, service)
		statuses = append(statuses, status)
	}
	return statuses
}

func newServiceStatus(service string, total load.Report, known bool) *load.ServiceStatus {
	status := &load.ServiceStatus{Service: service}
	if !known {
		return status
	}
	status.Running = new(int)
	status.Waiting = waitingByPriority(total.Waiting, service)
	if name, _ := admission.ToolCallRoute(service, 0); total.Routes[name].Turns > 0 {
		calls := total.Routes[name].Turns
		status.ToolCalls = &calls
	}
	return status
}

// waitingByPriority returns a service's queued calls by priority, most urgent first.
func waitingByPriority(waiting map[load.QueueKey]int, service string) []load.PriorityCalls {
	var counts []load.PriorityCalls
	for queue, calls := range waiting {
		if queue.Service == service && calls > 0 {
			counts = append(counts, load.PriorityCalls{Priority: queue.Priority, Calls: calls})
		}
	}
	slices.SortFunc(counts, func(left, right load.PriorityCalls) int { return left.Priority - right.Priority })
	return counts
}

// routeStatuses returns the routes with the most active programs and the number of routes left
// out.
func routeStatuses(total load.Report, known bool) ([]load.RouteStatus, int) {
	statuses := []load.RouteStatus{}
	if !known {
		return statuses, 0
	}
	for _, name := range slices.Sorted(maps.Keys(total.Routes)) {
		route := total.Routes[name]
		routeName := admission.TrimRouteName(name, route.Service, route.Priority)
		if routeName == "" {
			continue // A tool call route.
		}
		statuses = append(statuses, load.RouteStatus{
			Route:            routeName,
			Service:          route.Service,
			Priority:         route.Priority,
			Programs:         route.Programs,
			Turns:            route.Turns,
			StartedPerSecond: admission.DecayedRate(route.ProgramsStarted),
			RefusedPerSecond: admission.DecayedRate(route.Refused),
			LatePerSecond:    admission.DecayedRate(route.Late),
		})
	}
	slices.SortStableFunc(statuses, func(left, right load.RouteStatus) int { return right.Programs - left.Programs })
	listed := min(len(statuses), load.MaxStatusRoutes)
	return statuses[:listed], len(statuses) - listed
}

// status returns the resources that admission considers, the tenants with the most active
// programs, and the number of tenants left out.
func (admitter *admitter) status(now time.Time) ([]load.AdmissionStatus, []load.TenantStatus, int) {
	resources, tenants := []load.AdmissionStatus{}, []load.TenantStatus{}
	state := admitter.state(now)
	if !state.Known {
		return resources, tenants, 0
	}
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	for _, resource := range admitter.controller.Resources(state) {
		resources = append(resources, load.AdmissionStatus{
			Service:  resource.Service,
			Resource: resourceName(resource),
			Demand:   resource.Demand,
			Limit:    resource.Limit,
			Capacity: resource.Capacity,
		})
	}
	shares := admitter.controller.TenantShares(state)
	listed := min(len(shares), load.MaxStatusTenants)
	for _, share := range shares[:listed] {
		tenants = append(tenants, tenantStatus(share))
	}
	return resources, tenants, len(shares) - listed
}

// resourceName returns the resource's label in metrics.
func resourceName(resource admission.Resource) string {
	if resource.Memory {
		return "memory"
	}
	return "slots"
}

func tenantStatus(share admission.TenantShare) load.TenantStatus {
	status := load.TenantStatus{Tenant: share.Tenant, Priority: share.Priority, Programs: share.Programs}
	if !math.IsInf(share.FairShare, 1) {
		status.FairShare = &share.FairShare
	}
	return status
}
