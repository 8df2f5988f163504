package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/magpielug/magpielug/internal/assignment"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/egress"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/freeze"
	"github.com/magpielug/magpielug/internal/history"
	"github.com/magpielug/magpielug/internal/httpclient"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/overload"
	"github.com/magpielug/magpielug/internal/ownership"
	"github.com/magpielug/magpielug/internal/reach"
	"github.com/magpielug/magpielug/internal/routing"
	"github.com/magpielug/magpielug/internal/wait"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"
)

var (
	errUnknownNode     = errors.New("unknown node")
	errUnknownShard    = errors.New("shard out of range")
	errLogRefused      = errors.New("the durable log has recently rejected this node")
	errWriterStalled   = errors.New("the durable log responds to other nodes but not to the group writer")
	errNoLimit         = errors.New("admission request for a tenant without a limit")
	errNoLoadSharing   = twirp.Unimplemented.Error("load sharing is disabled on this node")
	errNoStreamOrigins = twirp.Unimplemented.Error("stream origins are disabled on this node")
	errStillReading    = errors.New("the turns before are still being read")
)

const (
	// gcMemoryShare is the fraction of the process memory limit at which the garbage collector
	// becomes more aggressive; historyShare is the fraction reserved for the turn history.
	gcMemoryShare = 0.6
	historyShare  = 0.2
	// defaultHistoryBytes bounds the turn history when the process has no memory limit.
	defaultHistoryBytes = 64 << 20
	// housekeepingInterval is the interval between expiry passes.
	housekeepingInterval = 2 * time.Second
	// summaryInterval is the interval between summary log lines.
	summaryInterval = 10 * time.Second
	// drainDelay is how long a draining node still accepts connections, so that load balancers can
	// observe its readiness failure first.
	drainDelay = 2500 * time.Millisecond
	// peerDialTimeout bounds connecting to another node.
	peerDialTimeout = 250 * time.Millisecond
	// unresponsivePeerTimeout closes a connection whose peer has acknowledged nothing for this long.
	unresponsivePeerTimeout = 1500 * time.Millisecond
)

// Node is one running scheduler node.
type Node struct {
	settings     Settings
	dependencies Dependencies
	logger       *logging.Logger
	incarnation  string
	routes       *routing.ActiveConfiguration
	engines      *backend.Directory
	// load is the view of the load on all nodes; sharing keeps it up to date.
	load         *load.View
	sharing      *loadSharing
	bufferLimits bufferLimits
	// waitingCalls counts the calls queued on this node; programLoad reports the active programs
	// that this node owns. Either may be nil.
	waitingCalls func() map[load.QueueKey]int
	programLoad  func() (map[string]load.Route, map[load.TenantPriority]int)
	// onLoadUpdate is called after each update of the load view; it may be nil.
	onLoadUpdate func()
	members      *members
	// registration maintains this node's membership record in the durable log.
	registration *registration

	configurationView *recordView
	engineView        *recordView
	memberView        *recordView

	// followers read the record views from the durable log. Set before any goroutine starts.
	followers []*follower

	contact peerContact
	// freezes detects intervals in which the process did not run.
	freezes *freeze.Detector
	// processor measures how long goroutines wait for the processor.
	processor *overload.Monitor
	// zones tracks which zones are reachable.
	zones *reach.Zones
	// logHealth tracks how the durable log responds to any node.
	logHealth logHealth
	peers     *peers
	learner   *learner
	turns     *history.Store
	recorder  *history.Recorder
	reader    *history.Reader
	refresher *history.Refresher
	// unownedReads is a semaphore for reading partitions of shards that other nodes own.
	unownedReads chan struct{}
	// searches deduplicates concurrent chain lookups by their last turn.
	searches singleflight.Group
	// recordings are those of other nodes' turns.
	recordings recordings

	ownership *ownership.Manager
	assigner  *assignment.Assigner
	programs  *programs
	admission *admitter
	quotas    *quotas
	// quarantine keeps requests under which engines ended from being sent again.
	quarantine *requestQuarantine
	// origins knows where streams began, for those that resume them.
	origins *streamOrigins
	service *forward.Service
	// egress sends requests to engines on behalf of other nodes.
	egress    *egress.Handler
	meter     *meter
	logOutput *logging.NonBlockingWriter
	stopping  atomic.Bool
	servers   []*httpserver.Server
}

// Run starts a node and blocks until ctx ends or the process receives SIGTERM or SIGINT. It
// returns an error if the settings are invalid or the node cannot start.
func Run(ctx context.Context, version string, settings Settings, dependencies Dependencies) error {
	err := settings.Check()
	if err != nil {
		return err
	}
	err = feature.Disable(settings.DisabledFeatures)
	if err != nil {
		return err
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(gcMemoryShare * float64(settings.MemoryBytes)))
	}
	output := logging.NewNonBlockingWriter(os.Stdout)
	defer output.Close()
	baseLogger, err := logging.New(settings.LogLevel, output)
	if err != nil {
		return err
	}
	logger := baseLogger.Sampled()
	node, err := build(ctx, settings, dependencies, logger)
	if err != nil {
		return err
	}
	logger.Info("node starting", zap.String("node", settings.Name), zap.String("features_off", settings.DisabledFeatures), zap.String("zone", settings.Zone),
		zap.String("incarnation", node.incarnation), zap.String("version", version),
		zap.String("callers", settings.CallerAddress), zap.String("peers", settings.PeerAddress), zap.Int("shards", settings.Shards))
	node.logOutput = output
	return node.run(ctx)
}

func build(ctx context.Context, settings Settings, dependencies Dependencies, logger *logging.Logger) (*Node, error) {
	client, err := httpclient.New(httpclient.Options{DialTimeout: peerDialTimeout, DeadPeerTimeout: unresponsivePeerTimeout})
	if err != nil {
		return nil, err
	}
	meter := newMeter()
	node := &Node{
		meter:        meter,
		settings:     settings,
		dependencies: dependencies,
		logger:       logger,
		incarnation:  strconv.FormatUint(rand.Uint64(), 36),
		routes:       &routing.ActiveConfiguration{},
		assigner:     assignment.New(),
		freezes:      freeze.NewDetector(),
		processor:    &overload.Monitor{},
		engines:      backend.NewDirectory(),
		load:         load.NewView(),
		bufferLimits: newBufferLimits(settings.MemoryBytes),
		zones:        reach.NewZones(settings.Zone),
		members:      newMembers(),
		turns:        history.NewStore(historyBytes(settings.MemoryBytes)),
	}
	dependencies.Log = &durable.HedgedReads{Log: &durable.Instrumented{Log: dependencies.Log, Observe: node.observeLogCall}}
	node.dependencies = dependencies
	node.recorder = history.NewRecorder(dependencies.Log, settings.Shards)
	err = node.configureEngineSelection()
	if err != nil {
		return nil, err
	}
	node.createViews()
	node.registration = newRegistration(dependencies.Log, dependencies.MemberTopic, logger.Logger, node.self, node.memberView.loaded)
	node.learner = newLearner(node)
	node.contact.record()
	client.Transport = node.countingTransport(node.zoneTransport(node.contact.transport(client.Transport)))
	node.peers = newPeers(node.members, client)
	node.unownedReads = make(chan struct{}, maxUnownedReads)
	node.reader = history.NewReader(dependencies.Log, node.turns, settings.Shards)
	node.refresher = history.NewRefresher(node.turns, node.recordAgain, settings.LogRetention)
	node.ownership = ownership.NewManager(ctx, dependencies.Log, logger.Logger, ownership.Identity{
		Node:        settings.Name,
		Incarnation: node.incarnation,
		Address:     settings.PeerAddress,
	}, settings.Shards, ownership.Dependencies{RequestHandover: node.requestHandover, FreezeDetector: node.freezes, LogUnavailable: node.logUnavailable, LogRetention: settings.LogRetention, SupportsSecondAllowance: node.supportsSecondAllowance})
	node.programs = newPrograms(node)
	node.admission = newAdmitter(node)
	node.quotas = newQuotas(node)
	node.sharing = newLoadSharing(node)
	node.quarantine = newRequestQuarantine(node)
	node.origins = newStreamOrigins(node)
	node.reader.SetRemoteLookup(node.remotePartialChain)
	if feature.Enabled(feature.RemoteRecording) {
		node.recorder.SetRelay(node.recordRemotely)
	}
	if feature.Enabled(feature.GroupCommit) {
		node.recorder.EnableGroupCommit(node.recordInGroup, &node.logHealth)
	}
	node.egress = &egress.Handler{Engines: node.engines, Sender: dependencies.Sender, Logger: logger.Logger, Stopping: node.stopping.Load,
		Views: callViews{node}, FreezeDetector: node.freezes, Relayed: node.quarantine.ends.relayed}
	node.service = node.newService(egress.NewSender(dependencies.Sender, &egressTopology{node: node}, client, logger.Logger, meter.countHandover))
	node.waitingCalls = node.service.WaitQueue.Counts
	node.programLoad = node.admission.report
	node.onLoadUpdate = node.service.WaitQueue.WakeForLoadUpdate
	return node, nil
}

// configureEngineSelection supplies the engine directory with its inputs and policy.
func (node *Node) configureEngineSelection() error {
	node.engines.SetLoadView(node.load)
	if feature.Enabled(feature.ZoneReachability) {
		node.engines.SetZones(node.zones)
	}
	node.engines.SetNodeCount(node.members.activeCount)
	node.engines.SetDrainTime(node.settings.EngineDrainTime)
	node.engines.SetColdLimits(node.coldLimit, node.senderRank)
	node.engines.OnBreakerChange(node.logBreakerChange)
	return node.engines.SetPolicy(node.settings.Placement)
}

// newService creates the service that handles callers' requests.
func (node *Node) newService(sender forward.Sender) *forward.Service {
	queue := backend.NewWaitQueue()
	queue.SetCapacitySource(node.engines)
	service := &forward.Service{
		Routes:         node.routes,
		Engines:        node.engines,
		WaitQueue:      queue,
		Sender:         sender,
		Programs:       node.programs,
		Quotas:         node.quotas,
		Metrics:        node.meter,
		Logger:         node.logger.Logger,
		Zone:           node.settings.Zone,
		Regions:        node.settings.Regions,
		Nodes:          node.members.activeCount,
		ViewAge:        node.engineView.age,
		Views:          callViews{node},
		FreezeDetector: node.freezes,
		LogUnavailable: node.recordingUnavailable,
		Started:        time.Now(),
		HeldResponses:  node.bufferLimits.heldResponses,
		ZoneIsolated:   func() bool { return node.zoneIsolated(time.Now()) },

		ToolCalls: forward.NewToolCalls(),
	}
	if feature.Enabled(feature.RequestQuarantine) {
		service.Quarantine = node.quarantine
	}
	if feature.Enabled(feature.StreamVersions) {
		service.StreamOrigins = node.origins
	}
	return service
}

// observeLogCall is a durable.ObserveFunc.
func (node *Node) observeLogCall(operation, topic string, took time.Duration, err error) {
	node.meter.observeLogCall(operation, topic, took, err)
	node.logHealth.observe(operation, took, err)
}

func historyBytes(memoryBytes int64) int {
	if memoryBytes <= 0 {
		return defaultHistoryBytes
	}
	return int(historyShare * float64(memoryBytes))
}

// capacityUnitsPerCore is the number of Member.Capacity units in one processor core.
const capacityUnitsPerCore = 1000

// self returns this node's membership record.
func (node *Node) self() Member {
	return Member{
		Name:            node.settings.Name,
		Address:         node.settings.PeerAddress,
		Zone:            node.settings.Zone,
		Incarnation:     node.incarnation,
		Draining:        node.stopping.Load(),
		Capacity:        uint32(capacityUnitsPerCore * node.settings.Capacity),
		ProtocolVersion: protocolSecondAllowance,
	}
}

// supportsSecondAllowance reports whether all nodes support a second token allowance for a shard's
// owner.
func (node *Node) supportsSecondAllowance() bool {
	return node.memberView.loaded() && node.members.allSupport(protocolSecondAllowance)
}

func (node *Node) run(ctx context.Context) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	runContext, cancel := context.WithCancel(ctx)
	defer cancel()
	node.members.put(node.self())
	node.followers = node.newFollowers()
	for _, follower := range node.followers {
		follower.lastResponse.set(time.Now())
	}
	go node.ownership.Run()
	err := node.listen()
	if err != nil {
		return err
	}
	go node.freezes.Run(runContext)
	go node.processor.Run(runContext)
	go node.registration.run(runContext)
	for _, follower := range node.followers {
		go follower.run(runContext)
	}
	go node.learner.run(runContext, node.followers)
	go node.quotas.renewLeases(runContext)
	go node.probeZones(runContext)
	go node.sharing.run(runContext)
	go node.admission.run(runContext)
	if feature.Enabled(feature.RequestQuarantine) {
		go node.quarantine.run(runContext)
	}
	if feature.Enabled(feature.StreamVersions) {
		go node.origins.run(runContext)
		go node.origins.inUse.run(runContext)
	}
	go node.runHousekeeping(runContext)
	for {
		select {
		case <-reload:
			node.logger.Info("SIGHUP ignored", zap.String("effect", "none: settings are read at startup only"))
		case <-stop:
			node.drain(runContext)
			return nil
		case <-ctx.Done():
			node.drain(runContext)
			return nil
		}
	}
}

// serveReadiness answers 200 while the node accepts new callers, 503 otherwise.
func (node *Node) serveReadiness(writer http.ResponseWriter, request *http.Request) {
	ready := request.URL.Path == node.dependencies.ReadinessPath && node.ready()
	if !ready {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// ready reports whether the node can serve: it has a configuration and engines, knows the requests
// that must not be sent, is not draining and is not isolated.
func (node *Node) ready() bool {
	return !node.stopping.Load() && node.routes.Load() != nil && node.engines.EngineCount() > 0 && node.quarantine.ready() && !node.isolated()
}

func (node *Node) runHousekeeping(ctx context.Context) {
	lastSummary := time.Now()
	lastResume := time.Time{}
	for ctx.Err() == nil {
		wait.Sleep(ctx, housekeepingInterval)
		now := time.Now()
		lastResume = node.logFreeze(lastResume)
		if now.Sub(lastSummary) >= summaryInterval {
			lastSummary = now
			node.logSummary()
		}
		node.turns.Expire(now)
		node.assigner.Expire(now)
		node.quarantine.expire(now)
		node.dependencies.Connections.CloseExpired(now)
	}
}

// logSummary logs resource usage and the activity since the previous summary.
func (node *Node) logSummary() {
	turns, bytes := node.turns.Size()
	node.logger.Info("summary", zap.Int("in_flight", node.inFlight()), zap.Int("engines", node.engines.EngineCount()),
		zap.Int("nodes", node.members.activeCount()), zap.Int("turns", turns), zap.Int("turn_bytes", bytes),
		zap.Int("recordings", node.recorder.InFlight()), zap.Bool("appends_slow", node.logHealth.AppendsSlow()),
		zap.Int64("lines_dropped", node.logOutput.Dropped()), zap.String("store_calls", node.meter.takeLogCallSummary()), zap.String("peer_bytes", node.meter.takePeerByteSummary()),
		zap.String("peer_calls", node.meter.takePeerCallSummary()), zap.Float64("processor_pressure", node.processor.TakeHighest()))
}

func (node *Node) inFlight() int {
	count := 0
	for _, server := range node.servers {
		count += server.InFlight()
	}
	return count
}
