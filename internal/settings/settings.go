// Package settings loads and validates a process's settings: a TOML file for a
// node, or a YAML file for a gateway or scheduler, overridden by command-line
// flags. A test checks the tables of all keys in docs/OPERATIONS.md against this
// package.
package settings

import (
	"time"

	"github.com/magpielug/magpielug/internal/certificate"
)

// Roles of a process.
const (
	RoleGateway   = "gateway"
	RoleScheduler = "scheduler"
)

// Settings are all settings of a gateway or scheduler. The struct tags give each
// key's name, its validation rules and its description in docs/OPERATIONS.md.
type Settings struct {
	Node              Node          `koanf:"node"`
	Platform          Platform      `koanf:"platform"`
	Limits            Limits        `koanf:"limits"`
	Scheduler         Scheduler     `koanf:"scheduler"`
	Gateway           Gateway       `koanf:"gateway"`
	Configuration     Configuration `koanf:"configuration"`
	Log               Log           `koanf:"log"`
	TLS               TLS           `koanf:"tls"`
	OperatorKeySHA256 string        `koanf:"operator_key_sha256" validate:"omitempty,len=64,hexadecimal" about:"SHA-256 of the operators' key, hex. Without it a gateway refuses every operator call."`
}

// Node identifies the process and its addresses.
type Node struct {
	ID        string `koanf:"id" validate:"required,max=64,name" about:"Name of the process, unique in the system."`
	Role      string `koanf:"role" validate:"required,oneof=gateway scheduler" about:"What the process does."`
	Region    string `koanf:"region" validate:"required,max=64,name" about:"Region of the zone."`
	Zone      string `koanf:"zone" validate:"required,max=64,name" about:"Zone of the machine; replicas of a shard spread over zones."`
	Listen    string `koanf:"listen" validate:"required,address" about:"IP address and port to listen on; port 0 takes a free one."`
	Advertise string `koanf:"advertise" validate:"omitempty,address" about:"IP address and port that other processes use; empty takes node.listen."`
	Source    string `koanf:"source" validate:"omitempty,ip" about:"IP address that connections to others come from; empty leaves it to the system."`
}

// Platform has the addresses of the platform's services and how to call them.
type Platform struct {
	Log             string        `koanf:"log" validate:"required,base_url" about:"Base URL of the append-only log service."`
	Machines        string        `koanf:"machines" validate:"required,base_url" about:"Base URL of the machine list."`
	Weights         string        `koanf:"weights" validate:"omitempty,base_url" about:"Base URL of the weight store; empty leaves loads unpaced."`
	AppendTimeout   time.Duration `koanf:"append_timeout" validate:"gte=10ms,lte=60s" about:"Longest wait for an append's answer; after it the outcome is unknown."`
	ReadTimeout     time.Duration `koanf:"read_timeout" validate:"gte=10ms,lte=60s" about:"Longest wait for a read from the log, the machine list or the weight store."`
	MachinesPoll    time.Duration `koanf:"machines_poll" validate:"gte=50ms,lte=10s" about:"How often the machine list is read."`
	EngineReports   time.Duration `koanf:"engine_reports" validate:"gte=10ms,lte=10s" about:"How often an engine's load report and cache events are read."`
	EngineTimeout   time.Duration `koanf:"engine_timeout" validate:"gte=10ms,lte=60s" about:"Longest wait for an engine's answer to an order."`
	EngineSilence   time.Duration `koanf:"engine_silence" validate:"gte=100ms,lte=10m" about:"Longest silence inside an engine's stream before it is taken for failed."`
	IdleConnections int           `koanf:"idle_connections" validate:"gte=1,lte=4096" about:"Idle connections kept per address."`
}

// Limits bound the resources that clients can use, and the graceful shutdown.
type Limits struct {
	Connections     int           `koanf:"connections" validate:"gte=1,lte=1000000" about:"Open connections; one more is refused with code 2004."`
	Calls           int           `koanf:"calls" validate:"gte=1,lte=1000000" about:"Calls under way; one more is refused at once with code 2004."`
	Body            Size          `koanf:"body" validate:"gte=1KiB,lte=1GiB" about:"Longest request body; a longer one is refused with code 1002."`
	Header          Size          `koanf:"header" validate:"gte=1KiB,lte=1MiB" about:"Request target and headers together."`
	WriteBuffer     Size          `koanf:"write_buffer" validate:"gte=64KiB,lte=64MiB" about:"Bytes held for a client that does not take its answer."`
	IdleTimeout     time.Duration `koanf:"idle_timeout" validate:"gte=1s,lte=1h" about:"A connection without a request is closed after it."`
	RequestTimeout  time.Duration `koanf:"request_timeout" validate:"gte=100ms,lte=10m" about:"A half-sent request is closed after it."`
	WriteTimeout    time.Duration `koanf:"write_timeout" validate:"gte=100ms,lte=10m" about:"A client that takes nothing for so long is closed; its stream can be resumed."`
	RetryAfter      time.Duration `koanf:"retry_after" validate:"gte=1ms,lte=10m" about:"When a caller refused by a limit may come back."`
	DrainGrace      time.Duration `koanf:"drain_grace" validate:"gte=1ms,lte=10m" about:"How long a planned stop goes on accepting, so that clients see in time that the process leaves."`
	ShutdownTimeout time.Duration `koanf:"shutdown_timeout" validate:"gte=1s,lte=1h" about:"Longest planned stop: what is still under way then is cut."`
}

// Scheduler are the settings of the scheduler role.
type Scheduler struct {
	Shards              uint32        `koanf:"shards" validate:"gte=1,lte=65536" about:"Number of shards; alike in every process and never changed."`
	Replicas            int           `koanf:"replicas" validate:"gte=1,lte=7" about:"Members of a shard's group; odd numbers make sense."`
	Heartbeat           time.Duration `koanf:"heartbeat" validate:"gte=10ms,lte=10s" about:"How often a leader renews its lease."`
	Lease               time.Duration `koanf:"lease" validate:"gte=20ms,lte=60s" about:"How long a leader may act after a majority heard it; above scheduler.heartbeat and at most 0.9 of scheduler.election_min."`
	ElectionMin         time.Duration `koanf:"election_min" validate:"gte=20ms,lte=60s" about:"Shortest silence of a leader before another stands."`
	ElectionMax         time.Duration `koanf:"election_max" validate:"gte=20ms,lte=120s" about:"Longest such silence; above scheduler.election_min."`
	ArchiveBacklog      Size          `koanf:"archive_backlog" validate:"gte=64KiB,lte=8GiB" about:"Entries a shard keeps while the log is away; past three quarters of it new calls are refused with code 2008, the rest is for calls under way."`
	ArchiveBacklogTotal Size          `koanf:"archive_backlog_total" validate:"gte=64KiB,lte=64GiB" about:"The same over all shards of the process."`
	KeepEntries         int           `koanf:"keep_entries" validate:"gte=0,lte=1000000" about:"Archived entries kept in memory for members that lag."`
	SnapshotBytes       Size          `koanf:"snapshot_bytes" validate:"gte=64KiB,lte=64MiB" about:"Archived bytes of a shard after which a snapshot is put into its stream in the log; at least as much as the last snapshot's size."`
	SnapshotEntries     uint64        `koanf:"snapshot_entries" validate:"gte=1,lte=100000000" about:"Archived entries since the last snapshot that make a new leader have one made."`
	ArchiveIntents      time.Duration `koanf:"archive_intents" validate:"gte=0s,lte=10s" about:"Longest wait, before a call that is not repeatable is sent, for the log to hold its intent; 0 is no wait."`
	OfferRetry          time.Duration `koanf:"offer_retry" validate:"gte=10ms,lte=60s" about:"How long an offer to a keeper waits for its answer."`
	HeldInterval        time.Duration `koanf:"held_interval" validate:"gte=10ms,lte=60s" about:"How often a leader tells keepers the digest of the grants it holds; a keeper that sees others, or is new, asks for the list."`
	LiveInterval        time.Duration `koanf:"live_interval" validate:"gte=10ms,lte=10m" about:"How often a leader tells keepers the digest of its live programs; as for grants."`
	FoundingWait        time.Duration `koanf:"founding_wait" validate:"gte=0s,lte=10m" about:"How long a founder waits for members in further zones."`
	EndedMemory         time.Duration `koanf:"ended_memory" validate:"gte=1s,lte=24h" about:"How long the record of a program that is over is kept."`
	MaximumAttempts     uint32        `koanf:"maximum_attempts" validate:"gte=1,lte=100" about:"Runs of a repeatable call."`
	DefaultCallDeadline time.Duration `koanf:"default_call_deadline" validate:"gte=100ms,lte=24h" about:"Deadline of a tool call whose service names none."`
	DefaultWaitBound    time.Duration `koanf:"default_wait_bound" validate:"gte=10ms,lte=24h" about:"Predicted wait above which a tier that names none is refused."`
}

// Gateway are the settings of the gateway role.
type Gateway struct {
	MaxMessages         int           `koanf:"max_messages" validate:"gte=1,lte=1000000" about:"Messages of one call."`
	MaxOutputTokens     uint32        `koanf:"max_output_tokens" validate:"gte=1,lte=1000000" about:"Most output tokens a call may ask for."`
	DefaultOutputTokens uint32        `koanf:"default_output_tokens" validate:"gte=1,lte=1000000" about:"Output tokens of a call that names none; at most gateway.max_output_tokens."`
	MaxHistoryLimit     uint32        `koanf:"max_history_limit" validate:"gte=1,lte=100000" about:"Most turns returned by one read of a history."`
	MaxWait             time.Duration `koanf:"max_wait" validate:"gte=1s,lte=24h" about:"Longest deadline a caller may ask for."`
	RouteBound          time.Duration `koanf:"route_bound" validate:"gte=10ms,lte=60s" about:"Longest look for a shard's leader before a call is refused as not run."`
	ReattachBound       time.Duration `koanf:"reattach_bound" validate:"gte=10ms,lte=10m" about:"Longest look for the leader of an accepted call."`
	FirstEventBound     time.Duration `koanf:"first_event_bound" validate:"gte=10ms,lte=60s" about:"Longest silence of a scheduler after a call is sent to it."`
	IdleBound           time.Duration `koanf:"idle_bound" validate:"gte=10ms,lte=10m" about:"Longest silence on an accepted call before the gateway attaches anew."`
	UnaryBound          time.Duration `koanf:"unary_bound" validate:"gte=10ms,lte=60s" about:"Longest wait for an answer that is no stream."`
	RetryRatio          float64       `koanf:"retry_ratio" validate:"gte=0,lte=1" about:"Retries allowed per request, over gateway.retry_burst."`
	RetryBurst          float64       `koanf:"retry_burst" validate:"gte=0,lte=100000" about:"Retries allowed in a burst."`
}

// Configuration controls how the process reads and publishes the operators'
// configuration.
type Configuration struct {
	FreshBound     time.Duration `koanf:"fresh_bound" validate:"gte=100ms,lte=10m" about:"A process that heard neither the log nor a majority of zones for so long refuses new calls with code 2005."`
	Poll           time.Duration `koanf:"poll" validate:"gte=10ms,lte=60s" about:"How often the configuration stream is read; at most half of configuration.fresh_bound."`
	ServeStale     bool          `koanf:"serve_stale" about:"Take new calls also when not fresh. It gives up that an accepted configuration is in force everywhere within seconds."`
	PublishTimeout time.Duration `koanf:"publish_timeout" validate:"gte=100ms,lte=10m" about:"Longest time to settle a publish before it is answered with code 5003."`
}

// Log are the settings of the process's own log.
type Log struct {
	Level string `koanf:"level" validate:"oneof=debug info warn error" about:"Least level of events written."`
}

// TLS has the paths of PEM files, which are reloaded when they change. With
// Certificate the process serves only TLS; with Authority it uses TLS to connect
// to other processes.
type TLS struct {
	Certificate   string `koanf:"certificate" about:"File with the process's certificate, for its IP address. Empty serves plain HTTP."`
	Key           string `koanf:"key" about:"File with the certificate's private key."`
	Authority     string `koanf:"authority" about:"File with the authority that signs the processes' certificates. Empty speaks plain HTTP to other processes."`
	RequireClient bool   `koanf:"require_client" about:"Accept only clients with a certificate of tls.authority; for schedulers, which talk to processes alone."`
}

// Files converts the settings for package certificate.
func (settings TLS) Files() certificate.Files {
	return certificate.Files{
		Certificate:   settings.Certificate,
		Key:           settings.Key,
		Authority:     settings.Authority,
		RequireClient: settings.RequireClient,
	}
}

// AdvertisedAddress returns the address that other processes connect to.
func (node Node) AdvertisedAddress() string {
	if node.Advertise != "" {
		return node.Advertise
	}
	return node.Listen
}
