package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/freeze"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
)

const (
	// enginePollInterval is the interval between reads of the engine records. They are polled
	// because a waiting read would return on every heartbeat.
	enginePollInterval = 400 * time.Millisecond
	// configurationMaxWait is how long a read waits for a configuration change.
	configurationMaxWait = 1500 * time.Millisecond
	// minRetryDelay follows a first failed read; the delay doubles up to maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// staleRereadDelay is the delay before a full reread while the log returns an older state than
	// one already seen, as it may after trimming.
	staleRereadDelay = 700 * time.Millisecond
	// delegatedPollInterval is how often a follower checks whether another node still reads the
	// topic on its behalf.
	delegatedPollInterval = 60 * time.Millisecond
)

// follower reads one keyed topic for the node's lifetime.
type follower struct {
	topic  *durable.TopicFollower
	name   string
	logger *zap.Logger
	// delegated reports whether another node currently reads the topic for this one, delegatedEnd
	// the offset that the view has reached through it. delegated may be nil.
	delegated    func() bool
	delegatedEnd func() int64
	// delegateInitialRead allows delegation before this node's own first read.
	delegateInitialRead bool
	// maxWait is how long a read may wait for a change; interval returns the pause after a read.
	maxWait  time.Duration
	interval func() time.Duration
	// apply receives each update with a time as of which it was valid.
	apply func(update durable.Update, asOf time.Time)
	// failing is true after a failed read until the next success. lastFailedReadStart is when the
	// last failed read began.
	failing             atomic.Bool
	lastFailedReadStart atomicTime
	// freezes detects intervals in which the process did not run.
	freezes *freeze.Detector
	// lastResponse is when the log last answered this follower.
	lastResponse atomicTime
	// retryDelay is the delay after the last failed read, zero after a success.
	retryDelay time.Duration
	// lastReadStart is when the last successful read began.
	lastReadStart time.Time
	// lastEnd is the highest end offset seen.
	lastEnd int64
}

// unresponsive reports whether the log has not answered for longer than a read may take.
func (follower *follower) unresponsive(now time.Time) bool {
	allowed := followerUnresponsiveAfter + follower.maxWait
	if follower.failing.Load() {
		allowed = followerUnresponsiveAfter
	}
	return follower.lastResponse.age(now) > allowed+follower.interval()
}

func (follower *follower) run(ctx context.Context) {
	first := true
	for ctx.Err() == nil {
		if (!first || follower.delegateInitialRead) && follower.waitIfDelegated(ctx) {
			continue
		}
		wait := follower.nextMaxWait()
		bounded, cancel := context.WithTimeout(ctx, logTimeout+wait)
		requestedAt := time.Now()
		update, err := follower.topic.Next(bounded, wait)
		cancel()
		if err != nil {
			follower.recordFailure(ctx, requestedAt, err)
			continue
		}
		follower.lastReadStart = requestedAt
		follower.recordSuccess()
		if update.Full && !first {
			follower.logger.Info("view reread in full", zap.String("view", follower.name), zap.Int64("end", update.EndOffset), zap.Int64("before", follower.lastEnd))
		}
		first = false
		follower.apply(update, validAsOf(update, requestedAt, wait))
		follower.pauseAfterRead(ctx, update)
	}
}

// validAsOf returns the latest time as of which an update is known to be valid. A waiting read
// returns without records only after its full wait.
func validAsOf(update durable.Update, requestedAt time.Time, maxWait time.Duration) time.Time {
	if len(update.Records) == 0 && !update.Full {
		return requestedAt.Add(min(maxWait, time.Since(requestedAt)))
	}
	return requestedAt
}

// nextMaxWait returns how long the next read waits for a change. The first read after a freeze
// does not wait, since calls depend on its result.
func (follower *follower) nextMaxWait() time.Duration {
	if follower.freezes.FrozenSince(follower.lastReadStart) {
		return 0
	}
	return follower.maxWait
}

// waitIfDelegated pauses and returns true if another node reads the topic for this one.
func (follower *follower) waitIfDelegated(ctx context.Context) bool {
	if follower.delegated == nil || !follower.delegated() {
		return false
	}
	wait.Sleep(ctx, delegatedPollInterval)
	follower.lastResponse.set(time.Now())
	follower.topic.SkipTo(follower.delegatedEnd())
	return true
}

// pauseAfterRead pauses before the next read. A full read that ends before the highest end seen
// returned an old state; it is restarted, since continuing from its end would only repeat known
// records.
func (follower *follower) pauseAfterRead(ctx context.Context, update durable.Update) {
	stale := update.Full && update.EndOffset < follower.lastEnd
	follower.lastEnd = max(follower.lastEnd, update.EndOffset)
	if stale {
		follower.topic.Restart()
		wait.Sleep(ctx, staleRereadDelay)
		return
	}
	if interval := follower.interval(); interval > 0 {
		wait.Sleep(ctx, interval)
	}
}

func (follower *follower) recordFailure(ctx context.Context, requestedAt time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	follower.lastFailedReadStart.advance(requestedAt)
	if !follower.failing.Swap(true) {
		follower.logger.Warn("view update failed", zap.String("view", follower.name), logging.ErrorField(err))
	}
	follower.retryDelay = min(max(2*follower.retryDelay, minRetryDelay), maxRetryDelay)
	wait.Sleep(ctx, follower.retryDelay)
}

func (follower *follower) recordSuccess() {
	follower.lastResponse.set(time.Now())
	if follower.failing.Swap(false) {
		follower.logger.Info("view update recovered", zap.String("view", follower.name))
	}
	follower.retryDelay = 0
}

// createViews creates the views of configuration, engines and nodes.
func (node *Node) createViews() {
	logger := node.logger.Logger
	node.configurationView = newRecordView("configuration", logger, node.applyConfiguration)
	node.engineView = newRecordView("engines", logger, node.applyEngine)
	node.memberView = newRecordView("nodes", logger, node.applyMember)
}

// newFollowers creates the followers that read the views from the durable log.
func (node *Node) newFollowers() []*follower {
	constant := func(interval time.Duration) func() time.Duration { return func() time.Duration { return interval } }
	started := time.Now()
	memberInterval := func() time.Duration {
		if time.Since(started) < memberStartupPeriod {
			return memberStartupPollInterval
		}
		return memberPollInterval
	}
	engines := node.newFollower(node.engineView, node.dependencies.EngineTopic, 0, constant(enginePollInterval))
	engines.delegated = node.learner.engineSource.skipsLog
	engines.delegateInitialRead = true
	return []*follower{
		node.newFollower(node.configurationView, node.dependencies.ConfigurationTopic, configurationMaxWait, constant(0)),
		engines,
		node.newFollower(node.memberView, node.dependencies.MemberTopic, 0, memberInterval),
	}
}

func (node *Node) newFollower(view *recordView, topic string, wait time.Duration, interval func() time.Duration) *follower {
	return &follower{
		topic:        durable.NewTopicFollower(node.dependencies.Log, topic),
		name:         view.name,
		logger:       node.logger.Logger,
		freezes:      node.freezes,
		maxWait:      wait,
		interval:     interval,
		apply:        view.merge,
		delegated:    node.learner.hasReader,
		delegatedEnd: view.endOffset,
	}
}

// applyConfiguration applies a newer configuration version, or a zone evacuation record.
func (node *Node) applyConfiguration(record durable.KeyedRecord) bool {
	if zone, found := node.dependencies.DecodeEvacuation(record); found {
		return node.applyEvacuation(zone, record)
	}
	decoded, valid := node.dependencies.DecodeConfiguration(record)
	if !valid || !node.routes.Apply(decoded) {
		return false
	}
	node.applyCallerLimits(decoded.Limits)
	node.logger.Info("configuration applied", zap.Int64("version", decoded.Version), zap.Int64("offset", record.Offset))
	return true
}

// applyEvacuation starts or ends the evacuation of a zone.
func (node *Node) applyEvacuation(zone string, record durable.KeyedRecord) bool {
	evacuated := len(record.Value) > 0
	if !node.engines.SetEvacuated(zone, evacuated) {
		return false
	}
	node.logger.Info("zone evacuation changed", zap.String("zone", zone), zap.Bool("active", evacuated), zap.Int64("offset", record.Offset))
	return true
}

// applyEngine adds or updates an engine. An unusable record removes the engine; a live engine
// writes its record again within a heartbeat.
func (node *Node) applyEngine(record durable.KeyedRecord) bool {
	instance, valid := node.dependencies.DecodeEngine(record)
	if !valid {
		return node.removeEngine(record)
	}
	previous, known := node.engines.Known(instance.ID)
	change := node.engines.Upsert(instance, time.Now())
	if change == backend.Unchanged {
		return false
	}
	if !node.engines.IsSoleVersion(instance.Service, instance.Version) {
		node.origins.toNodes.startAll() // Streams depend on their origins from now on.
	}
	if known && previous.Incarnation != instance.Incarnation {
		node.quarantine.ends.ended(engineLife(previous), false)
	}
	if change == backend.Restarted {
		node.dependencies.Connections.CloseIdle(instance.Address)
	}
	node.logger.Info("engine added or updated", zap.String("engine", instance.ID), zap.String("address", instance.Address),
		zap.String("version", instance.Version), zap.Bool("leaving", instance.Draining), zap.Bool("restarted", change == backend.Restarted), zap.Int64("life", instance.Incarnation),
		zap.Duration("cold_left", instance.ColdRemaining), zap.Int64("offset", record.Offset))
	return true
}

// removeEngine removes the engine of a record that is empty or unusable.
func (node *Node) removeEngine(record durable.KeyedRecord) bool {
	if len(record.Value) > 0 {
		node.logger.Warn("engine record unusable", zap.String("engine", record.Key), zap.Int("bytes", len(record.Value)), zap.Int64("offset", record.Offset))
	}
	instance, removed := node.engines.Remove(record.Key)
	if removed {
		if feature.Enabled(feature.AllEngineEnds) || !instance.Draining {
			node.quarantine.ends.ended(engineLife(instance), instance.Draining)
		}
		node.logger.Info("engine removed", zap.String("engine", record.Key), zap.Bool("leaving", instance.Draining),
			zap.Int64("life", instance.Incarnation), zap.Int64("offset", record.Offset))
	}
	return removed
}

// applyMember updates the membership from a node's record.
func (node *Node) applyMember(record durable.KeyedRecord) bool {
	member, valid := decodeMember(record)
	if !valid {
		return false
	}
	if member.Name == node.settings.Name {
		return node.registration.observe(member)
	}
	known, _ := node.members.get(member.Name)
	if !node.members.put(member) {
		return false
	}
	if member.Incarnation != known.Incarnation {
		go node.origins.refill(member)
	}
	node.logger.Info("node added or updated", zap.String("node", member.Name), zap.String("address", member.Address),
		zap.String("incarnation", member.Incarnation), zap.Bool("leaving", member.Draining))
	return true
}
