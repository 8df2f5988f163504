package node

import (
	"context"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/logging"
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
	// repeatedAfterRestart is how often a view is read anew after its history
	// was gone, a pause apart: a store may then serve an old state for a while.
	repeatedAfterRestart = 8
	repeatPause          = 700 * time.Millisecond
)

// follower reads one keyed topic for as long as the node runs.
type follower struct {
	view   *durable.View
	name   string
	logger *zap.Logger
	// wait is passed to the view, pause follows each reading.
	wait  time.Duration
	pause func() time.Duration
	apply func(durable.Update)
	// lost is true while the store does not answer.
	lost bool
	// failurePause is the next one.
	failurePause time.Duration
	// repeats counts the anew readings still owed.
	repeats int
	lastEnd int64
}

func (follower *follower) run(ctx context.Context) {
	first := true
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout+follower.wait)
		update, err := follower.view.Next(bounded, follower.wait)
		cancel()
		if err != nil {
			follower.failed(ctx, err)
			continue
		}
		follower.regained()
		if update.Full && !first {
			follower.logger.Info("view read anew", zap.String("view", follower.name), zap.Int64("end", update.End), zap.Int64("before", follower.lastEnd))
			if follower.repeats == 0 {
				follower.repeats = repeatedAfterRestart
			}
		}
		first = false
		follower.lastEnd = max(follower.lastEnd, update.End)
		follower.apply(update)
		follower.rest(ctx)
	}
}

// rest pauses before the next reading.
func (follower *follower) rest(ctx context.Context) {
	if follower.repeats > 0 {
		follower.repeats--
		if follower.repeats > 0 {
			follower.view.Restart()
		}
		sleep(ctx, repeatPause)
		return
	}
	if pause := follower.pause(); pause > 0 {
		sleep(ctx, pause)
	}
}

func (follower *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !follower.lost {
		follower.logger.Warn("view lost", zap.String("view", follower.name), logging.Cause(err))
	}
	follower.lost = true
	follower.failurePause = min(max(2*follower.failurePause, firstFailurePause), longestFailurePause)
	sleep(ctx, follower.failurePause)
}

func (follower *follower) regained() {
	if follower.lost {
		follower.logger.Info("view regained", zap.String("view", follower.name))
	}
	follower.lost = false
	follower.failurePause = 0
}

// followConfiguration applies each newer version.
func (node *Node) followConfiguration() *follower {
	apply := func(update durable.Update) {
		for _, record := range update.Records {
			decoded, sound := node.around.DecodeConfiguration(record)
			if sound && node.routes.Apply(decoded) {
				node.logger.Info("configuration applied", zap.Int64("version", decoded.Version), zap.Int64("offset", record.Offset))
			}
		}
	}
	return &follower{
		view:   durable.NewView(node.around.Log, node.around.ConfigurationTopic),
		name:   "configuration",
		logger: node.logger.Logger,
		wait:   configurationWait,
		pause:  func() time.Duration { return 0 },
		apply:  apply,
	}
}

// followEngines keeps the directory of engines. A record older than one seen of
// the same engine changes nothing.
func (node *Node) followEngines() *follower {
	newest := map[string]int64{}
	apply := func(update durable.Update) {
		for _, record := range update.Records {
			if seen, known := newest[record.Key]; known && record.Offset < seen {
				continue
			}
			newest[record.Key] = record.Offset
			node.applyEngine(record)
		}
		if update.Full {
			node.keepListed(update, newest)
		}
	}
	return &follower{
		view:   durable.NewView(node.around.Log, node.around.EngineTopic),
		name:   "engines",
		logger: node.logger.Logger,
		pause:  func() time.Duration { return enginePoll },
		apply:  apply,
	}
}

func (node *Node) applyEngine(record durable.KeyedRecord) {
	if len(record.Value) == 0 {
		if node.engines.Remove(record.Key) {
			node.logger.Info("engine gone", zap.String("engine", record.Key), zap.Int64("offset", record.Offset))
		}
		return
	}
	instance, sound := node.around.DecodeEngine(record)
	if !sound {
		return
	}
	if node.engines.Put(instance) {
		node.logger.Info("engine listed", zap.String("engine", instance.ID), zap.String("address", instance.Address),
			zap.Bool("leaving", instance.Leaving), zap.Int64("offset", record.Offset))
	}
}

// keepListed removes engines that a whole reading does not list, unless the
// reading is older than what was seen of them.
func (node *Node) keepListed(update durable.Update, newest map[string]int64) {
	listed := make(map[string]bool, len(update.Records))
	for _, record := range update.Records {
		listed[record.Key] = true
	}
	for id, offset := range newest {
		if offset >= update.End {
			listed[id] = true
		}
	}
	node.engines.Keep(listed)
}

// followMembers keeps the list of nodes.
func (node *Node) followMembers() *follower {
	began := time.Now()
	apply := func(update durable.Update) {
		for _, record := range update.Records {
			member, sound := decodeMember(record)
			if sound && node.members.put(member) {
				node.logger.Info("node known", zap.String("node", member.Name), zap.String("address", member.Address),
					zap.String("incarnation", member.Incarnation), zap.Bool("leaving", member.Leaving))
			}
		}
	}
	pause := func() time.Duration {
		if time.Since(began) < memberEarly {
			return memberPollEarly
		}
		return memberPollLate
	}
	return &follower{view: durable.NewView(node.around.Log, memberTopic), name: "nodes", logger: node.logger.Logger, pause: pause, apply: apply}
}
