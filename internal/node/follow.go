package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/freeze"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
)

const (
	// enginePoll separates two readings of the engines' records: engines write
	// all the time, and a waiting read would return at each record.
	enginePoll = 400 * time.Millisecond
	// configurationWait is how long a read waits for a change.
	configurationWait = 1500 * time.Millisecond
	// firstFailurePause follows a failed read; it doubles up to
	// longestFailurePause.
	firstFailurePause   = 100 * time.Millisecond
	longestFailurePause = 400 * time.Millisecond
	// stalePause separates two whole readings while the store serves an older
	// state than was seen, as it may after its history was dropped.
	stalePause = 700 * time.Millisecond
	// restPause separates two looks whether another node still reads a topic for
	// this one.
	restPause = 60 * time.Millisecond
)

// follower reads one keyed topic for as long as the node runs.
type follower struct {
	view   *durable.TopicFollower
	name   string
	logger *zap.Logger
	// resting tells whether another node reads the topic for this one now, and
	// reached how far that has come.
	resting func() bool
	reached func() int64
	// restsFirst lets another node read it also before this one has.
	restsFirst bool
	// wait is passed to the view, pause follows each reading.
	wait  time.Duration
	pause func() time.Duration
	// apply is told of each reading, with the time at which what it tells was so at least.
	apply func(update durable.Update, asOf time.Time)
	// lost is true while the store does not answer, failedAsk when the last reading was begun
	// that failed.
	lost      atomic.Bool
	failedAsk moment
	// freezes tells when the process was frozen.
	freezes *freeze.Detector
	// lastAnswer is when the store last answered.
	lastAnswer moment
	// failurePause is the next one.
	failurePause time.Duration
	// lastAsk is when the newest reading was begun that has come.
	lastAsk time.Time
	// lastEnd is the furthest end seen.
	lastEnd int64
}

// silent tells whether the store has not answered for longer than it may take.
func (follower *follower) silent(now time.Time) bool {
	allowed := learnAfter + follower.wait
	if follower.lost.Load() {
		allowed = learnAfter
	}
	return follower.lastAnswer.age(now) > allowed+follower.pause()
}

func (follower *follower) run(ctx context.Context) {
	first := true
	for ctx.Err() == nil {
		if (!first || follower.restsFirst) && follower.rests(ctx) {
			continue
		}
		wait := follower.waitNow()
		bounded, cancel := context.WithTimeout(ctx, storeTimeout+wait)
		askedAt := time.Now()
		update, err := follower.view.Next(bounded, wait)
		cancel()
		if err != nil {
			follower.failed(ctx, askedAt, err)
			continue
		}
		follower.lastAsk = askedAt
		follower.regained()
		if update.Full && !first {
			follower.logger.Info("view read anew", zap.String("view", follower.name), zap.Int64("end", update.End), zap.Int64("before", follower.lastEnd))
		}
		first = false
		follower.apply(update, asOf(update, askedAt, wait))
		follower.rest(ctx, update)
	}
}

// asOf is the time at which what a reading tells was so at least. The store answers a reading
// that waits without a record only once the wait is over.
func asOf(update durable.Update, askedAt time.Time, waited time.Duration) time.Time {
	if len(update.Records) == 0 && !update.Full {
		return askedAt.Add(min(waited, time.Since(askedAt)))
	}
	return askedAt
}

// waitNow is how long the next reading waits for a change. The first one after a freeze does
// not wait: calls wait for it.
func (follower *follower) waitNow() time.Duration {
	if follower.freezes.FrozenSince(follower.lastAsk) {
		return 0
	}
	return follower.wait
}

// rests waits a moment where another node reads the topic for this one.
func (follower *follower) rests(ctx context.Context) bool {
	if follower.resting == nil || !follower.resting() {
		return false
	}
	wait.Sleep(ctx, restPause)
	follower.lastAnswer.set(time.Now())
	follower.view.SkipTo(follower.reached())
	return true
}

// rest pauses before the next reading. A reading that ends before what was seen
// is of an old state: going on from its end would repeat what is known, so the
// view is read as a whole again. One that ends later is completed by the records
// that follow it.
func (follower *follower) rest(ctx context.Context, update durable.Update) {
	stale := update.Full && update.End < follower.lastEnd
	follower.lastEnd = max(follower.lastEnd, update.End)
	if stale {
		follower.view.Restart()
		wait.Sleep(ctx, stalePause)
		return
	}
	if pause := follower.pause(); pause > 0 {
		wait.Sleep(ctx, pause)
	}
}

func (follower *follower) failed(ctx context.Context, askedAt time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	follower.failedAsk.advance(askedAt)
	if !follower.lost.Swap(true) {
		follower.logger.Warn("view lost", zap.String("view", follower.name), logging.Cause(err))
	}
	follower.failurePause = min(max(2*follower.failurePause, firstFailurePause), longestFailurePause)
	wait.Sleep(ctx, follower.failurePause)
}

func (follower *follower) regained() {
	follower.lastAnswer.set(time.Now())
	if follower.lost.Swap(false) {
		follower.logger.Info("view regained", zap.String("view", follower.name))
	}
	follower.failurePause = 0
}

// newViews makes the views of configuration, engines and nodes.
func (node *Node) newViews() {
	logger := node.logger.Logger
	node.configurationView = newRecordView("configuration", logger, node.applyConfiguration)
	node.engineView = newRecordView("engines", logger, node.applyEngine)
	node.memberView = newRecordView("nodes", logger, node.applyMember)
}

// followers read the views from the store.
func (node *Node) followers() []*follower {
	always := func(pause time.Duration) func() time.Duration { return func() time.Duration { return pause } }
	began := time.Now()
	memberPause := func() time.Duration {
		if time.Since(began) < memberEarly {
			return memberPollEarly
		}
		return memberPollLate
	}
	engines := node.newFollower(node.engineView, node.around.EngineTopic, 0, always(enginePoll))
	engines.resting = node.learner.engines.sparesStore
	engines.restsFirst = true
	return []*follower{
		node.newFollower(node.configurationView, node.around.ConfigurationTopic, configurationWait, always(0)),
		engines,
		node.newFollower(node.memberView, node.around.MemberTopic, 0, memberPause),
	}
}

func (node *Node) newFollower(view *recordView, topic string, wait time.Duration, pause func() time.Duration) *follower {
	return &follower{
		view:    durable.NewTopicFollower(node.around.Log, topic),
		name:    view.name,
		logger:  node.logger.Logger,
		freezes: node.freezes,
		wait:    wait,
		pause:   pause,
		apply:   view.take,
		resting: node.learner.learns,
		reached: view.reached,
	}
}

// applyConfiguration puts a newer version in force, or evacuates a zone or takes it back.
func (node *Node) applyConfiguration(record durable.KeyedRecord) bool {
	if zone, found := node.around.DecodeEvacuation(record); found {
		return node.applyEvacuation(zone, record)
	}
	decoded, sound := node.around.DecodeConfiguration(record)
	if !sound || !node.routes.Apply(decoded) {
		return false
	}
	node.adjustCallers(decoded.Limits)
	node.logger.Info("configuration applied", zap.Int64("version", decoded.Version), zap.Int64("offset", record.Offset))
	return true
}

// applyEvacuation notes whether a zone is evacuated.
func (node *Node) applyEvacuation(zone string, record durable.KeyedRecord) bool {
	evacuated := len(record.Value) > 0
	if !node.engines.SetEvacuated(zone, evacuated) {
		return false
	}
	node.logger.Info("zone evacuated", zap.String("zone", zone), zap.Bool("active", evacuated), zap.Int64("offset", record.Offset))
	return true
}

// applyEngine notes an engine's newest record. One that names no engine to use counts as
// none: the engine writes its record again within a heartbeat, if it lives.
func (node *Node) applyEngine(record durable.KeyedRecord) bool {
	instance, sound := node.around.DecodeEngine(record)
	if !sound {
		return node.removeEngine(record)
	}
	change := node.engines.Upsert(instance, time.Now())
	if change == backend.Unchanged {
		return false
	}
	if change == backend.Restarted {
		node.around.Connections.CloseIdle(instance.Address)
	}
	node.logger.Info("engine listed", zap.String("engine", instance.ID), zap.String("address", instance.Address),
		zap.Bool("leaving", instance.Draining), zap.Bool("restarted", change == backend.Restarted), zap.Int64("life", instance.Incarnation),
		zap.Duration("cold_left", instance.ColdRemaining), zap.Int64("offset", record.Offset))
	return true
}

// removeEngine notes that a key names no engine any more.
func (node *Node) removeEngine(record durable.KeyedRecord) bool {
	if len(record.Value) > 0 {
		node.logger.Warn("engine record not usable", zap.String("engine", record.Key), zap.Int("bytes", len(record.Value)), zap.Int64("offset", record.Offset))
	}
	removed := node.engines.Remove(record.Key)
	if removed {
		node.logger.Info("engine gone", zap.String("engine", record.Key), zap.Int64("offset", record.Offset))
	}
	return removed
}

// applyMember notes a node's newest record.
func (node *Node) applyMember(record durable.KeyedRecord) bool {
	member, sound := decodeMember(record)
	if !sound {
		return false
	}
	if member.Name == node.settings.Name {
		return node.registration.observe(member)
	}
	if !node.members.put(member) {
		return false
	}
	node.logger.Info("node known", zap.String("node", member.Name), zap.String("address", member.Address),
		zap.String("incarnation", member.Incarnation), zap.Bool("leaving", member.Draining))
	return true
}
