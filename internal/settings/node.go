package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/magpielug/magpielug/internal/region"
)

// RoleNode is the role of a node, whose settings are NodeSettings.
const RoleNode = "node"

// NodeSettings are all settings of one node. They don't list other nodes: nodes
// discover each other through the store.
type NodeSettings struct {
	Node   NodeIdentity `koanf:"node"`
	Listen NodeListen   `koanf:"listen"`
	Store  NodeStore    `koanf:"store"`
	Limits NodeLimits   `koanf:"limits"`
	Quota  NodeQuota    `koanf:"quota"`
	Cold   NodeCold     `koanf:"cold"`
	Log    Log          `koanf:"log"`
}

// NodeIdentity identifies the node and selects how it works.
type NodeIdentity struct {
	Name      string `koanf:"name" validate:"required,max=64,name" about:"Name of the node, unique in the system; it stays over restarts."`
	Zone      string `koanf:"zone" validate:"required,max=64,name" about:"Zone of the machine."`
	Regions   string `koanf:"regions" validate:"omitempty,max=4096" about:"Region of each zone, as zone=region with commas; needed where the configuration binds routes or tenants to regions."`
	Placement string `koanf:"placement" validate:"oneof=assigned program session prompt least random" about:"How an engine is chosen; docs/measurements/placement.md compares the ways."`
	Disabled  string `koanf:"disabled" validate:"omitempty,max=512" about:"Mechanisms that the node runs without, to rule one out: names of internal/feature with commas."`
}

// NodeListen are the node's listen addresses.
type NodeListen struct {
	Callers   string `koanf:"callers" validate:"required,address" about:"Takes callers' requests."`
	Readiness string `koanf:"readiness" validate:"required,address" about:"Answers /ready with 200 while the node takes callers."`
	Peers     string `koanf:"peers" validate:"required,address" about:"Serves the other nodes, which find it in the store: a single address and a port other than 0."`
	Metrics   string `koanf:"metrics" validate:"omitempty,address" about:"Serves /metrics, /healthz and /readyz; empty serves none."`
}

// NodeStore is the durable store shared by all nodes.
type NodeStore struct {
	Address    string `koanf:"address" validate:"required,address" about:"The store."`
	Partitions int    `koanf:"partitions" validate:"gte=1,lte=4096" about:"Partitions of the store's topics, and as many shards of programs; alike on every node and never changed."`
	// Retention is how long the store keeps a record.
	Retention time.Duration `koanf:"retention" validate:"gte=0s,lte=8760h" about:"How long the store keeps a record; what is needed for longer is written again before. 0s is for good."`
}

// NodeLimits bound the node's resource use.
type NodeLimits struct {
	Memory       Size          `koanf:"memory" validate:"gte=0B,lte=1024GiB" about:"What the process may hold; the garbage collector works harder from 0.6 of it on. 0B is no bound."`
	Cores        float64       `koanf:"cores" validate:"gte=0,lte=1024" about:"Processor cores that the process has; stronger nodes own more shards. 0 is not known."`
	Connections  int           `koanf:"connections" validate:"gte=64,lte=1000000" about:"Open connections of callers; one more is refused with code 2004."`
	DrainTimeout time.Duration `koanf:"drain_timeout" validate:"gte=3s,lte=1h" about:"Longest planned stop: what is still under way then is cut. New requests are taken for its first 2.5s."`
	// EngineDrainTime is how long an engine that leaves still takes requests.
	EngineDrainTime time.Duration `koanf:"engine_drain_time" validate:"gte=0s,lte=1h" about:"How long an engine serves on that says that it leaves; half of it is used for streams that no other engine can resume. 0s sends it nothing."`
}

// NodeQuota is the tolerance in enforcing tenants' rate limits.
type NodeQuota struct {
	Window  time.Duration `koanf:"window" validate:"gte=0s,lte=1h" about:"Span over which a tenant's limit is judged; 0s tolerates nothing above the burst."`
	Overage float64       `koanf:"overage" validate:"gte=0,lte=1" about:"Share above the limit of a window that is tolerated."`
	Slack   float64       `koanf:"slack" validate:"gte=0,lte=1000000" about:"Requests beside that, in a window."`
}

// NodeCold is the tolerance in enforcing the rate limit of cold engines, which
// have recently started.
type NodeCold struct {
	Overage float64 `koanf:"overage" validate:"gte=1,lte=10" about:"How many times the requests a second that a cold engine bears are tolerated within one second, over all nodes."`
	Slack   float64 `koanf:"slack" validate:"gte=0,lte=1000000" about:"Requests beside that."`
}

const (
	// defaultNodeConnections is half of the usual limit of 8192 file descriptors;
	// the rest is for connections to engines and the store.
	defaultNodeConnections = 4096
	defaultNodePartitions  = 8
	// defaultDrainTimeout covers the 2.5 s in which a draining node still accepts
	// requests, and the time of a typical response.
	defaultDrainTimeout = 8 * time.Second
)

// NodeDefaults returns the settings of a node for the keys that neither the file
// nor an override sets.
func NodeDefaults() NodeSettings {
	return NodeSettings{
		Node:   NodeIdentity{Placement: "assigned"},
		Store:  NodeStore{Partitions: defaultNodePartitions},
		Limits: NodeLimits{Connections: defaultNodeConnections, DrainTimeout: defaultDrainTimeout},
		Cold:   NodeCold{Overage: 1},
		Log:    Log{Level: "info"},
	}
}

// LoadNode reads the TOML file at path, applies overrides and validates every
// key. It returns the same errors as Load.
func LoadNode(path string, overrides []Override) (NodeSettings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return NodeSettings{}, invalidf("settings file: %v", err)
	}
	return ParseNode(content, overrides)
}

// ParseNode is like LoadNode, with the file's content instead of its path.
func ParseNode(content []byte, overrides []Override) (NodeSettings, error) {
	tree, err := parseTree(content, "TOML", toml.Parser(), overrides)
	if err != nil {
		return NodeSettings{}, err
	}
	loaded, err := decode(tree, NodeDefaults())
	if err != nil {
		return NodeSettings{}, err
	}
	err = validateFields(loaded)
	if err != nil {
		return NodeSettings{}, err
	}
	err = validateRegions(loaded.Node.Regions)
	if err != nil {
		return NodeSettings{}, err
	}
	return loaded, validatePeerAddress(loaded.Listen)
}

// validateRegions checks the zone=region list.
func validateRegions(list string) error {
	_, err := region.Parse(list)
	if err != nil {
		return invalidf("node.regions: %v", err)
	}
	return nil
}

// validatePeerAddress rejects an unspecified IP address and port 0, which other
// nodes can't connect to.
func validatePeerAddress(listen NodeListen) error {
	address := netip.MustParseAddrPort(listen.Peers)
	if address.Addr().IsUnspecified() || address.Port() == 0 {
		return invalidf("listen.peers: %s must have a specific IP address and a port other than 0, so that other nodes can connect to it", listen.Peers)
	}
	return nil
}
