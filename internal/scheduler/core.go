// Package scheduler implements the scheduler process. It hosts replicas of shards, leads some of
// them, and runs the keepers of the engine pools that belong to the shards it leads.
//
// All control state is in one Core, which is owned by one goroutine and changes only in Step.
// Other goroutines turn network messages and timers into events, and execute the effects.
package scheduler

import (
	"math/rand"
	"time"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/replication"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Config configures a core.
type Config struct {
	// Process is the machine's name. Each start of the process has a new incarnation of it.
	Process string
	Region  string
	Zone    string
	// Shards is the number of shards. It is fixed and equal in all processes.
	Shards uint32
	// Replicas is the number of members of a group.
	Replicas    int
	Replication replication.Config
	// BacklogBytes bounds the committed but unarchived entries of all hosted shards; 0 is
	// unbounded.
	BacklogBytes int
	// SnapshotBytes is the number of archived bytes after which a shard's stream gets a
	// snapshot; 0 disables snapshots. If the last snapshot is larger, its size is used instead.
	SnapshotBytes int
	// SnapshotEntries is the number of entries archived since the last snapshot above which a
	// new leader requests one.
	SnapshotEntries uint64
	// ArchiveIntents is the maximum time that a call that is not repeatable waits for its intent
	// to be archived before it is sent; 0 disables the wait.
	ArchiveIntents time.Duration
	// OfferRetry is the time after which an unanswered offer to a keeper is repeated.
	OfferRetry time.Duration
	// HeldInterval is the interval at which a leader reports the grants that it holds to
	// keepers.
	HeldInterval time.Duration
	// LiveInterval is the interval at which a leader reports its live programs to keepers.
	LiveInterval time.Duration
	// FoundingWait is the maximum time that a founder waits for the other founders.
	FoundingWait time.Duration
	// EndedMemory is how long the record of an ended program is retained.
	EndedMemory time.Duration
	// MaximumAttempts bounds the attempts of a call.
	MaximumAttempts uint32
	// DefaultCallDeadline is the time limit of a tool call if its service sets none.
	DefaultCallDeadline time.Duration
	// DefaultWaitBound is the predicted wait above which a call is refused if its tier sets
	// none.
	DefaultWaitBound time.Duration
}

// Core is the control state of one scheduler process.
//
// Invariants: it changes only in Step; its only sources of time and randomness are the arguments
// of Step and NewCore; effects are executed in order.
type Core struct {
	config               Config
	random               *rand.Rand
	registry             *replication.Registry
	batcher              *replication.Batcher
	configuration        ConfigurationView
	configurationCurrent bool
	directory            *directory
	// listRequestedAt is the time at which the current machine list was requested.
	listRequestedAt time.Duration
	// lastStep is the time of the previous step, valid if stepped is true; resumedAt is the time
	// of the first step after the last freeze.
	lastStep    time.Duration
	stepped     bool
	resumedAt   time.Duration
	layout      *layout
	assignments map[uint32]*assignment
	hosts       map[uint32]*host
	// hostOrder caches the sorted keys of hosts; nil means that it is out of date.
	hostOrder []uint32
	// dirty holds the hosts whose replicas may have output; dirtySpare is the previous list,
	// kept to reuse its memory.
	dirty      []*host
	dirtySpare []*host
	pools      map[string]*pool
	// toolFailedAt is the time at which a tool back end last failed a call of this process.
	toolFailedAt    map[string]time.Duration
	polledEngines   []EngineAddress
	stopping        bool
	lastGrantReport time.Duration
	// grantReportsLeft is the number of further grant reports that a pool's keeper gets if this
	// process holds no grant from it.
	grantReportsLeft map[string]int
	outbox           map[string]*schedulerv1.PeerBatch
	// flushPeers holds the processes whose batch is sent at the end of the step. After a tick,
	// all batches are sent.
	flushPeers map[string]bool
	ticked     bool
	// replyPeer is the peer whose batch is being handled, and peerReplyTo its reply id. Messages
	// to that peer are sent in the reply.
	replyPeer string
	// snapshotting is true while a SnapshotStream is in progress; snapshotCount numbers them.
	snapshotting  bool
	snapshotCount int
	counters      Counters
	peerReplyTo   ReplyID
	effects       []Effect
	now           time.Duration
}

// NewCore returns a core without any state. The random source must have a different seed at each
// start of the process.
func NewCore(config Config, random *rand.Rand) *Core {
	registry := replication.NewRegistry(config.Process, random)
	known := newDirectory(config.Process)
	return &Core{
		config:           config,
		random:           random,
		registry:         registry,
		batcher:          replication.NewBatcher(registry.Boot()),
		directory:        known,
		layout:           newLayout(known),
		assignments:      make(map[uint32]*assignment),
		hosts:            make(map[uint32]*host),
		pools:            make(map[string]*pool),
		toolFailedAt:     make(map[string]time.Duration),
		grantReportsLeft: make(map[string]int),
		outbox:           make(map[string]*schedulerv1.PeerBatch),
		flushPeers:       make(map[string]bool),
		counters:         newCounters(),
	}
}

// Incarnation returns the boot incarnation of the process.
func (core *Core) Incarnation() string { return string(core.registry.Boot()) }

// Step handles one event and returns the effects to execute. The slice is valid until the next
// step. now is the current reading of a monotonic clock.
func (core *Core) Step(now time.Duration, event Event) []Effect {
	core.now = now
	core.effects = core.effects[:0]
	core.detectFreeze(now)
	core.handle(event)
	core.processDirtyReplicas()
	core.flushOutbox()
	return core.effects
}

func (core *Core) handle(event Event) {
	switch event := event.(type) {
	case CallRequested:
		core.callRequested(event)
	case FirstChunkArrived:
		core.firstChunkArrived(event.Run)
	case RunEnded:
		core.runEnded(event)
	case PeerBatchReceived:
		core.peerBatchReceived(event)
	case EngineReported:
		core.engineReported(event)
	case EngineUnresponsive:
		core.engineUnresponsive(event.Engine)
	case Tick:
		core.tick()
	default:
		core.handleRare(event)
	}
}

func (core *Core) handleRare(event Event) {
	switch event := event.(type) {
	case CreateRequested:
		core.createRequested(event)
	case EndRequested:
		core.endRequested(event)
	case GetRequested:
		core.getRequested(event)
	case HistoryRequested:
		core.historyRequested(event)
	case ListRequested:
		core.listRequested(event)
	case ExplainRequested:
		core.explainRequested(event)
	case StatusRequested:
		core.statusRequested(event)
	case StatsRequested:
		core.emit(StatsReply{ReplyTo: event.ReplyTo, Stats: core.stats()})
	case ConfigurationChanged:
		core.configurationChanged(event.View)
	case FreshnessChanged:
		core.configurationCurrent = event.Fresh
	case MachinesListed:
		core.machinesListed(event)
	case StreamRead:
		core.streamRead(event)
	case StreamAppended:
		core.streamAppended(event)
	case StreamOpened:
		core.streamOpened(event)
	case StreamSnapshotted:
		core.streamSnapshotted(event)
	case LoadRefused:
		core.loadRefused(event)
	case StopRequested:
		core.stopRequested()
	}
}

func (core *Core) emit(effect Effect) {
	core.effects = append(core.effects, effect)
}

func (core *Core) log(event string, shard uint32, program, request, detail string) {
	core.emit(Logged{Event: event, Shard: shard, Program: program, Request: request, Detail: detail})
}

// tick runs all timers of the core.
func (core *Core) tick() {
	core.ticked = true
	for _, number := range core.hostNumbers() {
		core.hosts[number].tick(core.now)
	}
	core.tickAssignments()
	for _, name := range core.poolNames() {
		core.pools[name].tick()
	}
	if core.now-core.lastGrantReport >= core.config.HeldInterval {
		core.lastGrantReport = core.now
		core.reportHeldGrants()
		core.expireToolFailures()
	}
}

func (core *Core) configurationChanged(view ConfigurationView) {
	if core.configuration != nil && view.Version() <= core.configuration.Version() {
		return
	}
	core.configuration = view
	for _, name := range core.poolNames() {
		core.pools[name].configurationChanged()
	}
	core.updatePools()
}

// stopRequested starts or continues a planned stop. No further calls are started, and the
// leadership of each shard is transferred once that does not lose any call.
func (core *Core) stopRequested() {
	core.stopping = true
	for _, number := range core.hostNumbers() {
		core.hosts[number].handOver()
	}
}

// wireError converts an error to its wire format.
func wireError(failure *resultcode.Error) *schedulerv1.Error {
	if failure == nil {
		return nil
	}
	return &schedulerv1.Error{
		Code:         uint32(failure.Code),
		Message:      failure.Message,
		RetryAfterMs: millisecondsOf(failure.RetryAfter),
	}
}
