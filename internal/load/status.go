package load

// StatusPath is the path under a node's metrics address that serves its Status. StatusServiceParameter is
// the query parameter that restricts the Status to one service.
const (
	StatusPath             = "/load"
	StatusServiceParameter = "service"
)

// MaxStatusTenants and MaxStatusRoutes bound the tenants and routes that a Status lists, those
// with the most running programs first, so that the response size stays bounded.
const (
	MaxStatusTenants = 50
	MaxStatusRoutes  = 100
)

// Status is a node's load report for operators. Counts over all nodes come from the node's
// view, and are omitted if the view is not valid.
type Status struct {
	Node string     `json:"node"`
	Zone string     `json:"zone"`
	View ViewStatus `json:"view"`
	// OwnedShare is the fraction of all shards that the node owns. Only owners and their
	// successors receive program counts; elsewhere Admission, Routes and Tenants are empty.
	OwnedShare float64         `json:"owned_share"`
	Services   []ServiceStatus `json:"services"`
	Engines    []EngineStatus  `json:"engines"`
	// Admission lists the resources that programs share, as this node sees them.
	Admission []AdmissionStatus `json:"admission"`
	Routes    []RouteStatus     `json:"routes"`
	// OtherRoutes and OtherTenants are the numbers of those not listed.
	OtherRoutes  int            `json:"other_routes"`
	Tenants      []TenantStatus `json:"tenants"`
	OtherTenants int            `json:"other_tenants"`
	// UnreachableZones are other zones that this node cannot reach. ZoneIsolated is true if its
	// own zone reaches neither the store nor another zone.
	UnreachableZones []string `json:"zones_out_of_reach"`
	ZoneIsolated     bool     `json:"cut_off"`
}

// ViewStatus describes the node's view of the load.
type ViewStatus struct {
	// Known is false if there is no view or it is older than MaxViewAge.
	Known     bool   `json:"known"`
	AgeMillis *int64 `json:"age_ms,omitempty"`
	// Nodes is the number of nodes that are not draining, ReportingNodes the number of those
	// that report their load to this node.
	Nodes          int `json:"nodes"`
	ReportingNodes int `json:"gathered_nodes"`
}

// ServiceStatus is the state of a service's engines and queues.
type ServiceStatus struct {
	Service string `json:"service"`
	Engines int    `json:"engines"`
	// AvoidedEngines is the number of engines that get requests only if no other engine can.
	// HealthySlots is the number of slots of the healthy engines; admission counts only these.
	AvoidedEngines int  `json:"passed_over"`
	Slots          int  `json:"slots"`
	HealthySlots   int  `json:"sound_slots"`
	Running        *int `json:"running,omitempty"`
	// Waiting is over all nodes, WaitingLocally at this node.
	Waiting        []PriorityCalls `json:"waiting,omitempty"`
	WaitingLocally []PriorityCalls `json:"waiting_here,omitempty"`
	// ToolCalls is the number of programs' calls to the service that are not turns.
	ToolCalls *int `json:"tool_calls,omitempty"`
}

// PriorityCalls is the number of calls of a priority; priority 0 is the most urgent.
type PriorityCalls struct {
	Priority int `json:"rank"`
	Calls    int `json:"calls"`
}

// EngineStatus is the state of one engine.
type EngineStatus struct {
	Engine        string `json:"engine"`
	Service       string `json:"service"`
	Zone          string `json:"zone"`
	ZoneReachable bool   `json:"zone_reached"`
	Slots         int    `json:"slots"`
	// Running is over all nodes, RunningLocally at this node.
	Running        *int `json:"running,omitempty"`
	RunningLocally int  `json:"running_here"`
	// AvoidReasons lists why the node avoids the engine; empty if it does not.
	AvoidReasons []string `json:"passed_over,omitempty"`
}

// AdmissionStatus is a resource that programs share: slots, or memory in prompt tokens.
type AdmissionStatus struct {
	Service  string  `json:"service"`
	Resource string  `json:"resource"`
	Demand   float64 `json:"demand"`
	Limit    float64 `json:"limit"`
	Capacity float64 `json:"capacity"`
}

// RouteStatus is the load of a route's programs of one priority, over all nodes.
type RouteStatus struct {
	Route    string `json:"route"`
	Service  string `json:"service"`
	Priority int    `json:"rank"`
	Programs int    `json:"programs"`
	Turns    int    `json:"turns"`
	// Rates over about the last half second.
	StartedPerSecond float64 `json:"begun_per_second"`
	RefusedPerSecond float64 `json:"refused_per_second"`
	LatePerSecond    float64 `json:"late_per_second"`
}

// TenantStatus is the load of a tenant's programs of one priority, over all nodes.
type TenantStatus struct {
	Tenant   string `json:"tenant"`
	Priority int    `json:"rank"`
	Programs int    `json:"programs"`
	// FairShare is the number of programs it may run before it is refused in favour of other
	// tenants, omitted while there is capacity for all.
	FairShare *float64 `json:"fair,omitempty"`
}
