package load

// StatusPath is where a node's metrics address serves its Status, and StatusService the
// parameter of the query that limits it to one service.
const (
	StatusPath    = "/load"
	StatusService = "service"
)

// MaxStatusTenants and MaxStatusRoutes bound the tenants and the routes that a Status lists: those
// with the most programs under way, so that an answer stays some tens of KB whatever the
// configuration names.
const (
	MaxStatusTenants = 50
	MaxStatusRoutes  = 100
)

// Status is what a node tells operators of the load. Counts over all nodes come from the
// node's view, and are left out where it knows none.
type Status struct {
	Node string     `json:"node"`
	Zone string     `json:"zone"`
	View ViewStatus `json:"view"`
	// OwnedShare is the part of all shards that the node owns. Only owners, and the nodes
	// next in line, are told of programs: elsewhere Admission, Routes and Tenants are empty.
	OwnedShare float64         `json:"owned_share"`
	Services   []ServiceStatus `json:"services"`
	Engines    []EngineStatus  `json:"engines"`
	// Admission is what programs share, as this node sees it.
	Admission []AdmissionStatus `json:"admission"`
	Routes    []RouteStatus     `json:"routes"`
	// OtherRoutes and OtherTenants count those beyond the bounds.
	OtherRoutes  int            `json:"other_routes"`
	Tenants      []TenantStatus `json:"tenants"`
	OtherTenants int            `json:"other_tenants"`
	// UnreachableZones are other zones that this node does not reach; CutOff says that its
	// own zone reaches neither the store nor another zone.
	UnreachableZones []string `json:"zones_out_of_reach"`
	ZoneIsolated     bool     `json:"cut_off"`
}

// ViewStatus tells how good the node's view of the load is.
type ViewStatus struct {
	// Known is false where there is none or it is older than Trust.
	Known     bool   `json:"known"`
	AgeMillis *int64 `json:"age_ms,omitempty"`
	// Nodes is the number of nodes that are not leaving, GatheredNodes of those that tell
	// this node their load.
	Nodes          int `json:"nodes"`
	ReportingNodes int `json:"gathered_nodes"`
}

// ServiceStatus is what a service's engines have, and what waits for them.
type ServiceStatus struct {
	Service string `json:"service"`
	Engines int    `json:"engines"`
	// AvoidedEngines engines get requests only where no other can. SoundSlots are those that
	// admission counts.
	AvoidedEngines int  `json:"passed_over"`
	Slots          int  `json:"slots"`
	HealthySlots   int  `json:"sound_slots"`
	Running        *int `json:"running,omitempty"`
	// Waiting is over all nodes, WaitingHere at this one.
	Waiting        []PriorityCalls `json:"waiting,omitempty"`
	WaitingLocally []PriorityCalls `json:"waiting_here,omitempty"`
	// ToolCalls are calls of programs there that are not turns.
	ToolCalls *int `json:"tool_calls,omitempty"`
}

// PriorityCalls counts calls of a rank; rank 0 is the most urgent.
type PriorityCalls struct {
	Priority int `json:"rank"`
	Calls    int `json:"calls"`
}

// EngineStatus is one engine.
type EngineStatus struct {
	Engine        string `json:"engine"`
	Service       string `json:"service"`
	Zone          string `json:"zone"`
	ZoneReachable bool   `json:"zone_reached"`
	Slots         int    `json:"slots"`
	// Running is over all nodes, RunningHere this node's own.
	Running        *int `json:"running,omitempty"`
	RunningLocally int  `json:"running_here"`
	// AvoidReasons says why the node passes the engine over; it is empty where it does not.
	AvoidReasons []string `json:"passed_over,omitempty"`
}

// AdmissionStatus is one thing that programs share: slots, or memory for prompts in tokens.
type AdmissionStatus struct {
	Service  string  `json:"service"`
	Resource string  `json:"resource"`
	Demand   float64 `json:"demand"`
	Limit    float64 `json:"limit"`
	Capacity float64 `json:"capacity"`
}

// RouteStatus is a route's programs of one rank, over all nodes.
type RouteStatus struct {
	Route    string `json:"route"`
	Service  string `json:"service"`
	Priority int    `json:"rank"`
	Programs int    `json:"programs"`
	Turns    int    `json:"turns"`
	// The rates are those of the last half second or so.
	StartedPerSecond float64 `json:"begun_per_second"`
	RefusedPerSecond float64 `json:"refused_per_second"`
	LatePerSecond    float64 `json:"late_per_second"`
}

// TenantStatus is a tenant's programs of one rank, over all nodes.
type TenantStatus struct {
	Tenant   string `json:"tenant"`
	Priority int    `json:"rank"`
	Programs int    `json:"programs"`
	// FairShare is how many it may have before it is refused for the others' sake, left out
	// while there is room for all.
	FairShare *float64 `json:"fair,omitempty"`
}
