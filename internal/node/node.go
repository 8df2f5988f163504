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
	"github.com/magpielug/magpielug/internal/ownership"
	"github.com/magpielug/magpielug/internal/reach"
	"github.com/magpielug/magpielug/internal/routing"
	"github.com/magpielug/magpielug/internal/wait"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"
)

var (
	errUnknownNode  = errors.New("no such node is known")
	errUnknownShard = errors.New("no such shard")
	errLogRefuses   = errors.New("the log refuses this node too")
	errNoLimit      = errors.New("the tenant has no limit to keep")
	errNoLoad       = twirp.Unimplemented.Error("this node gathers no load")
	errStillReading = errors.New("the turns before are still being read")
)

const (
	// memoryShare of the process's bound is where the garbage collector works
	// harder; historyShare of it is for turns.
	memoryShare  = 0.6
	historyShare = 0.2
	// defaultHistoryBytes is used where nothing bounds the memory.
	defaultHistoryBytes = 64 << 20
	// housekeepingPause separates two rounds of dropping what is over.
	housekeepingPause = 2 * time.Second
	// summaryPause separates two summary lines.
	summaryPause = 10 * time.Second
	// drainNotice is how long a leaving node still takes new connections, so
	// that those in front of it see in time that it is not ready.
	drainNotice = 2500 * time.Millisecond
	// peerDialTimeout bounds the opening of a connection to another node.
	peerDialTimeout = 250 * time.Millisecond
	// peerSilence is how long another node's machine may acknowledge nothing.
	peerSilence = 1500 * time.Millisecond
)

// Node is a running node.
type Node struct {
	settings    Settings
	around      Dependencies
	logger      *logging.Logger
	incarnation string
	routes      *routing.ActiveConfiguration
	engines     *backend.Directory
	// load is what all nodes have under way, sharing keeps it current.
	load    *load.View
	sharing *loadSharing
	held    heldBounds
	// waitingCalls counts the calls that wait here for engines, programLoad tells what the
	// programs that this node owns have under way. Either may be nil.
	waitingCalls func() map[load.QueueKey]int
	programLoad  func() (map[string]load.Route, map[load.TenantPriority]int)
	// loadRenewed is called after each new view of the load; it may be nil.
	loadRenewed func()
	members     *members
	// registration keeps the node's own record in the log.
	registration *registration

	configurationView *recordView
	engineView        *recordView
	memberView        *recordView

	// following read the views from the store; set before anything else runs.
	following []*follower

	contact contact
	// freezes tells when the process was frozen.
	freezes *freeze.Detector
	// zones tells which zones are reached.
	zones *reach.Zones
	// logHealth tells when the log last answered a node.
	logHealth logHealth
	peers     *peers
	learner   *learner
	turns     *history.Store
	recorder  *history.Recorder
	reader    *history.Reader
	// foreign has a place for each partition of another node's shard that is being read.
	foreign chan struct{}
	// searches are those for chains under way, by the turn they end with.
	searches  singleflight.Group
	ownership *ownership.Manager
	assigner  *assignment.Assigner
	programs  *programs
	admission *admitter
	quotas    *quotas
	service   *forward.Service
	// egress sends turns for other nodes.
	egress    *egress.Handler
	meter     *meter
	logOutput *logging.NonBlocking
	stopping  atomic.Bool
	servers   []*httpserver.Server
}

// Run runs a node until it is told to stop.
func Run(ctx context.Context, version string, settings Settings, around Dependencies) error {
	err := settings.Check()
	if err != nil {
		return err
	}
	err = feature.Disable(settings.DisabledFeatures)
	if err != nil {
		return err
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	output := logging.NewNonBlocking(os.Stdout)
	defer output.Close()
	unbounded, err := logging.New(settings.LogLevel, output)
	if err != nil {
		return err
	}
	logger := unbounded.Bounded()
	node, err := build(ctx, settings, around, logger)
	if err != nil {
		return err
	}
	logger.Info("node starts", zap.String("node", settings.Name), zap.String("features_off", settings.DisabledFeatures), zap.String("zone", settings.Zone),
		zap.String("incarnation", node.incarnation), zap.String("version", version),
		zap.String("callers", settings.CallerAddress), zap.String("peers", settings.PeerAddress), zap.Int("shards", settings.Shards))
	node.logOutput = output
	return node.run(ctx)
}

func build(ctx context.Context, settings Settings, around Dependencies, logger *logging.Logger) (*Node, error) {
	client, err := httpclient.New(httpclient.Options{DialTimeout: peerDialTimeout, SilenceTimeout: peerSilence})
	if err != nil {
		return nil, err
	}
	meter := newMeter()
	node := &Node{
		meter:       meter,
		settings:    settings,
		around:      around,
		logger:      logger,
		incarnation: strconv.FormatUint(rand.Uint64(), 36),
		routes:      &routing.ActiveConfiguration{},
		assigner:    assignment.New(),
		freezes:     freeze.NewDetector(),
		engines:     backend.NewDirectory(),
		load:        load.NewView(),
		held:        newHeldBounds(settings.MemoryBytes),
		zones:       reach.NewZones(settings.Zone),
		members:     newMembers(),
		turns:       history.NewStore(historyBytes(settings.MemoryBytes)),
	}
	around.Log = &durable.HedgedReads{Log: &durable.Instrumented{Log: around.Log, Observe: node.storeCall}}
	node.around = around
	node.recorder = history.NewRecorder(around.Log, settings.Shards)
	err = node.prepareChoices()
	if err != nil {
		return nil, err
	}
	node.newViews()
	node.registration = newRegistration(around.Log, around.MemberTopic, logger.Logger, node.self, node.memberView.read)
	node.learner = newLearner(node)
	node.contact.note()
	client.Transport = node.countingTransport(node.zoneTransport(node.contact.transport(client.Transport)))
	node.peers = newPeers(node.members, client)
	node.foreign = make(chan struct{}, foreignReadings)
	node.reader = history.NewReader(around.Log, node.turns, settings.Shards)
	node.ownership = ownership.NewManager(ctx, around.Log, logger.Logger, ownership.Identity{
		Node:        settings.Name,
		Incarnation: node.incarnation,
		Address:     settings.PeerAddress,
	}, settings.Shards, ownership.Dependencies{RequestHandover: node.askToYield, FreezeDetector: node.freezes, LogUnavailable: node.logAway, CountsSecondAllowance: node.countsSecondAllowance})
	node.programs = newPrograms(node)
	node.admission = newAdmitter(node)
	node.quotas = newQuotas(node)
	node.sharing = newLoadSharing(node)
	node.reader.SetRemoteLookup(node.lineElsewhere)
	if feature.Enabled(feature.RemoteRecording) {
		node.recorder.SetRelay(node.recordElsewhere)
	}
	node.egress = &egress.Handler{Engines: node.engines, Sender: around.Sender, Logger: logger.Logger, Stopping: node.stopping.Load,
		Views: callViews{node}, FreezeDetector: node.freezes}
	node.service = node.newService(egress.NewSender(around.Sender, &egressTopology{node: node}, client, logger.Logger, meter.handed))
	node.waitingCalls = node.service.WaitQueue.Counts
	node.programLoad = node.admission.report
	node.loadRenewed = node.service.WaitQueue.WakeForLoadUpdate
	return node, nil
}

// prepareChoices tells those who choose engines what to go by.
func (node *Node) prepareChoices() error {
	node.engines.SetLoadView(node.load)
	if feature.Enabled(feature.ZoneReachability) {
		node.engines.SetZones(node.zones)
	}
	node.engines.SetNodeCount(node.members.staying)
	node.engines.SetColdLimits(node.coldLimit, node.placeAtEngine)
	node.engines.OnBreakerChange(node.logBreaker)
	return node.engines.SetPolicy(node.settings.Placement)
}

// newService makes what takes calls their way.
func (node *Node) newService(sender forward.Sender) *forward.Service {
	waiting := backend.NewWaitQueue()
	waiting.SetCapacitySource(node.engines)
	return &forward.Service{
		Routes:         node.routes,
		Engines:        node.engines,
		WaitQueue:      waiting,
		Sender:         sender,
		Programs:       node.programs,
		Quotas:         node.quotas,
		Meter:          node.meter,
		Logger:         node.logger.Logger,
		Zone:           node.settings.Zone,
		Regions:        node.settings.Regions,
		Nodes:          node.members.staying,
		ViewAge:        node.engineView.age,
		Views:          callViews{node},
		FreezeDetector: node.freezes,
		LogUnavailable: node.recordingAway,
		Started:        time.Now(),
		HeldResponses:  node.held.answers,
		ZoneIsolated:   func() bool { return node.zoneCutOff(time.Now()) },

		ToolCalls: forward.NewToolCalls(),
	}
}

// storeCall implements durable.Observe.
func (node *Node) storeCall(operation, topic string, took time.Duration, err error) {
	node.meter.storeCall(operation, topic, took, err)
	node.logHealth.observe(err)
}

func historyBytes(memory int64) int {
	if memory <= 0 {
		return defaultHistoryBytes
	}
	return int(historyShare * float64(memory))
}

// capacityUnit is the unit of Member.Capacity, in a core.
const capacityUnit = 1000

// self is this node's own record.
func (node *Node) self() Member {
	return Member{
		Name:            node.settings.Name,
		Address:         node.settings.PeerAddress,
		Zone:            node.settings.Zone,
		Incarnation:     node.incarnation,
		Draining:        node.stopping.Load(),
		Capacity:        uint32(capacityUnit * node.settings.Capacity),
		ProtocolVersion: understandsSecondAllowance,
	}
}

// countsSecondAllowance tells whether all nodes count a second allowance of an owner.
func (node *Node) countsSecondAllowance() bool {
	return node.memberView.read() && node.members.allUnderstand(understandsSecondAllowance)
}

func (node *Node) run(ctx context.Context) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	working, cancel := context.WithCancel(ctx)
	defer cancel()
	node.members.put(node.self())
	node.following = node.followers()
	for _, follower := range node.following {
		follower.lastAnswer.set(time.Now())
	}
	go node.ownership.Run()
	err := node.listen()
	if err != nil {
		return err
	}
	go node.freezes.Run(working)
	go node.registration.run(working)
	for _, follower := range node.following {
		go follower.run(working)
	}
	go node.learner.run(working, node.following)
	go node.quotas.lend(working)
	go node.probeZones(working)
	go node.sharing.run(working)
	go node.admission.run(working)
	go node.keepHouse(working)
	for {
		select {
		case <-reload:
			node.logger.Info("settings file changed", zap.String("effect", "none: a node takes its settings at its start"))
		case <-stop:
			node.drain(working)
			return nil
		case <-ctx.Done():
			node.drain(working)
			return nil
		}
	}
}

// answerReadiness says 200 while the node takes new callers.
func (node *Node) answerReadiness(writer http.ResponseWriter, request *http.Request) {
	ready := request.URL.Path == node.around.ReadinessPath && node.ready()
	if !ready {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// ready tells whether the node can serve: it knows a configuration and engines, and
// is not cut off from all else.
func (node *Node) ready() bool {
	return !node.stopping.Load() && node.routes.Load() != nil && node.engines.EngineCount() > 0 && !node.isolated()
}

func (node *Node) keepHouse(ctx context.Context) {
	summary := time.Now()
	woken := time.Time{}
	for ctx.Err() == nil {
		wait.Sleep(ctx, housekeepingPause)
		now := time.Now()
		woken = node.logFreeze(woken)
		if now.Sub(summary) >= summaryPause {
			summary = now
			node.logSummary()
		}
		node.turns.Expire(now)
		node.assigner.Expire(now)
		node.around.Connections.CloseExpired(now)
	}
}

// logSummary writes what the process holds and has done since the last one.
func (node *Node) logSummary() {
	turns, bytes := node.turns.Size()
	node.logger.Info("summary", zap.Int("in_flight", node.inFlight()), zap.Int("engines", node.engines.EngineCount()),
		zap.Int("nodes", node.members.staying()), zap.Int("turns", turns), zap.Int("turn_bytes", bytes),
		zap.Int64("lines_dropped", node.logOutput.Dropped()), zap.String("store_calls", node.meter.takeRecent()), zap.String("peer_bytes", node.meter.takePeerBytes()))
}

// drain is a planned stop: not ready at once, shards handed over, requests under
// way finished within the grace.
func (node *Node) drain(working context.Context) {
	began := time.Now()
	node.stopping.Store(true)
	node.logger.Info("node stops", zap.Int("in_flight", node.inFlight()))
	ctx, cancel := context.WithTimeout(context.Background(), node.settings.ShutdownTimeout-stopMargin)
	defer cancel()
	node.members.put(node.self())
	node.registration.check()
	node.ownership.Release(ctx)
	callers := node.servers[len(node.servers)-1]
	err := callers.Shutdown(ctx)
	node.awaitEgress(ctx)
	node.logger.Info("node stopped", zap.Duration("took", time.Since(began)), zap.Int("in_flight", callers.InFlight()),
		zap.Int("for_others", node.egress.InFlight()), logging.Cause(err))
}

// egressLook separates two looks whether requests for other nodes are under way.
const egressLook = 20 * time.Millisecond

// awaitEgress waits for the requests that this node sends for others; it takes no more.
func (node *Node) awaitEgress(ctx context.Context) {
	for node.egress.InFlight() > 0 && ctx.Err() == nil {
		wait.Sleep(ctx, egressLook)
	}
}

// stopMargin is kept before the platform kills a stopping process.
const stopMargin = 400 * time.Millisecond

func (node *Node) inFlight() int {
	count := 0
	for _, server := range node.servers {
		count += server.InFlight()
	}
	return count
}
