// Package scheduler is the scheduler process: it hosts replicas of shards,
// leads some of them, and keeps the engine pools whose shards it leads.
//
// All control state is one Core, owned by one goroutine and advanced only by
// Step. Traffic goroutines turn the network and timers into events, and carry
// out the effects.
package scheduler

import (
	"math/rand"
	"time"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/replication"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Config is what a core has to know of its process.
type Config struct {
	// Process names the machine; an incarnation of it is drawn at each start.
	Process string
	Region  string
	Zone    string
	// Shards is the fixed number of shards, alike in every process.
	Shards uint32
	// Replicas is the number of members of a group.
	Replicas    int
	Replication replication.Config
	// BacklogBytes bounds the committed entries of all shards hosted that are not
	// yet archived; 0 is no bound.
	BacklogBytes int
	// SnapshotBytes is how much is archived of a shard before a snapshot is put
	// into its stream; 0 is never. A snapshot larger than it waits for as much as
	// its own size.
	SnapshotBytes int
	// SnapshotEntries is how many entries a new leader finds archived since the
	// last snapshot before it has one made.
	SnapshotEntries uint64
	// ArchiveIntents is how long the sending of a call that is not repeatable
	// waits at most for the log to hold its intent; 0 is not at all.
	ArchiveIntents time.Duration
	// OfferRetry is how long an offer to a keeper waits for its answer.
	OfferRetry time.Duration
	// HeldInterval is how often a leader tells keepers which grants it holds.
	HeldInterval time.Duration
	// LiveInterval is how often a leader tells keepers its live programs.
	LiveInterval time.Duration
	// FoundingWait is how long a founder waits for members in further zones.
	FoundingWait time.Duration
	// EndedMemory is how long the record of a program that is over is kept.
	EndedMemory time.Duration
	// MaximumAttempts bounds the runs of a repeatable call.
	MaximumAttempts uint32
	// DefaultCallDeadline bounds a tool call whose service names none.
	DefaultCallDeadline time.Duration
	// DefaultWaitBound is the predicted wait above which a tier that names none
	// is refused.
	DefaultWaitBound time.Duration
}

// Core is the control state of one scheduler process.
//
// Invariants: it changes only within Step; it reads no clock, socket or random
// source but what it is given; effects are carried out in their order.
type Core struct {
	config        Config
	random        *rand.Rand
	registry      *replication.Registry
	batcher       *replication.Batcher
	configuration ConfigurationView
	fresh         bool
	directory     *directory
	// listAskedAt is when the machine list in force was asked for.
	listAskedAt time.Duration
	// lastStep is the clock of the step before, once there was one; wokenAt is that of the
	// first step after the last freeze.
	lastStep time.Duration
	stepped  bool
	wokenAt  time.Duration
	layout   *layout
	homes    map[uint32]*home
	hosts    map[uint32]*host
	// hosted are the numbers of hosts in order, nil after a change.
	hosted []uint32
	// touched are the hosts whose replicas may have output; settled is the list
	// of the round before, kept for its room.
	touched []*host
	settled []*host
	pools   map[string]*pool
	// toolFailedAt tells when a tool back end last failed a call of this process.
	toolFailedAt map[string]time.Duration
	polled       []EngineAddress
	stopping     bool
	lastHeld     time.Duration
	// heldBefore names the pools whose keepers are told of held grants, with how many
	// more reports they get should none be held.
	heldBefore map[string]int
	outbox     map[string]*schedulerv1.PeerBatch
	// due are the processes whose batch goes out at the step's end; after a tick
	// all do.
	due    map[string]bool
	ticked bool
	// answering is the peer whose batch is being taken in, and answerTo its ask:
	// what is queued for it by the step's end goes back as the answer.
	answering string
	// snapshotting is true while a SnapshotStream is under way, and snapshotCount
	// numbers them.
	snapshotting  bool
	snapshotCount int
	counters      Counters
	answerTo      AskID
	effects       []Effect
	now           time.Duration
}

// NewCore returns a core that knows nothing yet. The random source must be
// seeded differently at every start of the process.
func NewCore(config Config, random *rand.Rand) *Core {
	registry := replication.NewRegistry(config.Process, random)
	known := newDirectory(config.Process)
	return &Core{
		config:       config,
		random:       random,
		registry:     registry,
		batcher:      replication.NewBatcher(registry.Boot()),
		directory:    known,
		layout:       newLayout(known),
		homes:        make(map[uint32]*home),
		hosts:        make(map[uint32]*host),
		pools:        make(map[string]*pool),
		toolFailedAt: make(map[string]time.Duration),
		heldBefore:   make(map[string]int),
		outbox:       make(map[string]*schedulerv1.PeerBatch),
		due:          make(map[string]bool),
		counters:     newCounters(),
	}
}

// Incarnation names this start of the process.
func (core *Core) Incarnation() string { return string(core.registry.Boot()) }

// Step takes one event in and returns what is to be done. The slice is valid
// until the next step. now is a monotonic clock's reading, taken just before.
func (core *Core) Step(now time.Duration, event Event) []Effect {
	core.now = now
	core.effects = core.effects[:0]
	core.noteStep(now)
	core.take(event)
	core.settleReplicas()
	core.flushOutbox()
	return core.effects
}

func (core *Core) take(event Event) {
	switch event := event.(type) {
	case CallAsked:
		core.callAsked(event)
	case FirstChunkArrived:
		core.firstChunkArrived(event.Run)
	case RunEnded:
		core.runEnded(event)
	case PeerBatchReceived:
		core.peerBatchReceived(event)
	case EngineReported:
		core.engineReported(event)
	case EngineSilent:
		core.engineSilent(event.Engine)
	case Tick:
		core.tick()
	default:
		core.takeRare(event)
	}
}

func (core *Core) takeRare(event Event) {
	switch event := event.(type) {
	case CreateAsked:
		core.createAsked(event)
	case EndAsked:
		core.endAsked(event)
	case GetAsked:
		core.getAsked(event)
	case HistoryAsked:
		core.historyAsked(event)
	case ListAsked:
		core.listAsked(event)
	case ExplainAsked:
		core.explainAsked(event)
	case StatusAsked:
		core.statusAsked(event)
	case StatsAsked:
		core.emit(StatsTaken{Ask: event.Ask, Stats: core.stats()})
	case ConfigurationChanged:
		core.configurationChanged(event.View)
	case FreshnessChanged:
		core.fresh = event.Fresh
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
	case StopOrdered:
		core.stopOrdered()
	}
}

func (core *Core) emit(effect Effect) {
	core.effects = append(core.effects, effect)
}

func (core *Core) log(event string, shard uint32, program, request, detail string) {
	core.emit(Logged{Event: event, Shard: shard, Program: program, Request: request, Detail: detail})
}

// tick drives every timer of the core.
func (core *Core) tick() {
	core.ticked = true
	for _, number := range core.hostNumbers() {
		core.hosts[number].tick(core.now)
	}
	core.tickHomes()
	for _, name := range core.poolNames() {
		core.pools[name].tick()
	}
	if core.now-core.lastHeld >= core.config.HeldInterval {
		core.lastHeld = core.now
		core.reportHeldGrants()
		core.forgetToolFailures()
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
	core.arrangePools()
}

// stopOrdered goes on with a planned stop: no call is started here any more, and
// each shard is handed over once that cuts none of those under way.
func (core *Core) stopOrdered() {
	core.stopping = true
	for _, number := range core.hostNumbers() {
		core.hosts[number].handOver()
	}
}

// wireError converts a failure for the wire.
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
