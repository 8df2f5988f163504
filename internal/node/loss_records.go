package node

import (
	"context"
	"encoding/hex"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/quarantine"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

const (
	// recordedAtOnce is the number of engines that ended under a request from which each further end is
	// recorded before the call is answered. Fewer ends are common, since all requests of a batch share
	// the end of its engine; they are recorded by reconcile.
	recordedAtOnce = 2
	// reconcileInterval is the interval between comparisons of the records with what is held against
	// requests. After a failed append it doubles up to maxReconcileInterval.
	reconcileInterval    = 500 * time.Millisecond
	maxReconcileInterval = 4 * time.Second
	// recordsMaxWait is how long a read waits for a new record, and roleCheckInterval how often a node
	// that does not read checks whether it has to.
	recordsMaxWait    = 5 * time.Second
	roleCheckInterval = time.Second
	// maxRecordsPerAppend bounds one append, to some 200 KB.
	maxRecordsPerAppend = 512
)

// lossRecords keeps what is held against requests in a keyed topic of the durable log, so that it
// outlives the loss of all nodes. Each node reads the topic when it starts. Later records are read by
// the relays of the zones, which pass them on; one of them, the recorder, corrects the records.
type lossRecords struct {
	node    *Node
	tracker *quarantine.Tracker
	sharing *lossSharing
	merge   mergeLosses
	topic   *durable.TopicFollower
	// urgent records requests whose callers wait for that.
	urgent *outbox[quarantine.Fingerprint]
	// complete is true once this node knows what the log held when it started. known is closed then, or
	// after maxStartupExchange.
	complete  atomic.Bool
	known     chan struct{}
	knownOnce sync.Once

	// mutex guards the fields below. recorded holds the sum of the losses in each request's record, as
	// of offset end of the topic. current is true while this node reads all new records.
	mutex    sync.Mutex
	recorded map[quarantine.Fingerprint]uint64
	end      int64
	current  bool
}

func newLossRecords(node *Node, tracker *quarantine.Tracker, sharing *lossSharing, merge mergeLosses) *lossRecords {
	records := &lossRecords{node: node, tracker: tracker, sharing: sharing, merge: merge, known: make(chan struct{}), recorded: map[quarantine.Fingerprint]uint64{}}
	records.topic = durable.NewTopicFollower(node.dependencies.Log, node.dependencies.QuarantineTopic)
	records.urgent = &outbox[quarantine.Fingerprint]{maxBatch: maxRecordsPerAppend, deliver: records.recordUrgently}
	if !records.enabled() {
		records.setKnown()
	}
	return records
}

func (records *lossRecords) enabled() bool {
	return feature.Enabled(feature.RequestQuarantine) && feature.Enabled(feature.DurableQuarantine) && records.node.dependencies.QuarantineTopic != ""
}

// setComplete is called once this node knows what the log held when it started.
func (records *lossRecords) setComplete() {
	records.complete.Store(true)
	records.setKnown()
}

func (records *lossRecords) setKnown() { records.knownOnce.Do(func() { close(records.known) }) }

// isKnown reports whether known is closed.
func (records *lossRecords) isKnown() bool {
	select {
	case <-records.known:
		return true
	default:
		return false
	}
}

// run reads and corrects the records until ctx ends.
func (records *lossRecords) run(ctx context.Context) {
	limit := time.AfterFunc(maxStartupExchange, records.setKnown)
	defer limit.Stop()
	go records.follow(ctx)
	interval := reconcileInterval
	for ctx.Err() == nil {
		wait.Sleep(ctx, interval)
		err := records.reconcile(ctx, time.Now())
		if err == nil {
			interval = reconcileInterval
		} else {
			interval = min(2*interval, maxReconcileInterval)
		}
	}
}

// follow reads the topic: once when the node starts, later while the node is the relay of its zone.
func (records *lossRecords) follow(ctx context.Context) {
	delay := minRetryDelay
	loaded := false
	for ctx.Err() == nil {
		if loaded && !records.reads(time.Now()) {
			records.setCurrent(false)
			wait.Sleep(ctx, roleCheckInterval)
			continue
		}
		err := records.readOnce(ctx)
		if err != nil {
			records.setCurrent(false)
			wait.Sleep(ctx, delay)
			delay = min(2*delay, maxReconcileInterval)
			continue
		}
		delay = minRetryDelay
		loaded = true
		records.setComplete()
	}
}

// reads reports whether this node reads new records for its zone.
func (records *lossRecords) reads(now time.Time) bool {
	settings := records.node.settings
	return records.sharing.relayOf(settings.Zone, now) == settings.Name
}

// readOnce reads new records, merges them and passes on what was new. It waits for records once it has
// read all that there are.
func (records *lossRecords) readOnce(ctx context.Context) error {
	maxWait := time.Duration(0)
	if records.isCurrent() {
		maxWait = recordsMaxWait
	}
	bounded, cancel := context.WithTimeout(ctx, logTimeout+maxWait)
	defer cancel()
	update, err := records.topic.Next(bounded, maxWait)
	if err != nil {
		if ctx.Err() == nil {
			records.node.logger.Info("quarantine records not read", logging.ErrorField(err))
		}
		return err
	}
	records.apply(update, time.Now())
	return nil
}

// apply merges the losses of new records, passes on what was new, and notes what the log holds.
func (records *lossRecords) apply(update durable.Update, now time.Time) {
	states := map[quarantine.Fingerprint][]quarantine.Loss{}
	var losses []quarantine.Loss
	for _, record := range update.Records {
		fingerprint, recorded, valid := decodeLossRecord(record, now)
		if !valid {
			records.node.logger.Warn("quarantine record unusable", zap.String("key", record.Key), zap.Int64("offset", record.Offset))
			continue
		}
		states[fingerprint] = recorded
		losses = append(losses, recorded...)
	}
	// Losses are merged before they are noted as recorded, so that reconcile does not delete their records.
	news := records.merge(losses, now)
	records.noteRead(update, states)
	if len(news) > 0 {
		records.node.logger.Info("quarantine records read", zap.Int("records", len(update.Records)), zap.Int("losses", len(news)))
		records.sharing.forward(news)
	}
}

// noteRead notes what the log holds by an update with these losses.
func (records *lossRecords) noteRead(update durable.Update, states map[quarantine.Fingerprint][]quarantine.Loss) {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	if update.Full {
		clear(records.recorded)
	}
	records.note(states)
	records.current = update.EndOffset >= records.end
	records.end = max(records.end, update.EndOffset)
}

// note notes the records of requests. The caller holds the mutex.
func (records *lossRecords) note(states map[quarantine.Fingerprint][]quarantine.Loss) {
	for fingerprint, losses := range states {
		if len(losses) == 0 {
			delete(records.recorded, fingerprint)
		} else {
			records.recorded[fingerprint] = quarantine.Sum(losses)
		}
	}
}

func (records *lossRecords) isCurrent() bool {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	return records.current
}

func (records *lossRecords) setCurrent(current bool) {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	records.current = current
}

// recordNow records what is held against a request if that is more than a single end. The channel is
// closed once the log has it, or has not accepted it; it is nil if nothing is to be recorded. A wait that
// was given up early is too weak a sign to be recorded at once.
func (records *lossRecords) recordNow(identity quarantine.Identity, cause quarantine.Cause, now time.Time) <-chan struct{} {
	if !records.enabled() || cause == quarantine.Left || records.tracker.Count(identity, now) < recordedAtOnce {
		return nil
	}
	return records.urgent.add([]quarantine.Fingerprint{identity.Request}, 0)
}

// recordOnceEnded records a first end if its engine is found to have ended at once: an interrupted connection
// alone is too weak a sign. The channel is closed once the log has it, or it is not recorded now.
func (records *lossRecords) recordOnceEnded(request quarantine.Fingerprint, check *verification) <-chan struct{} {
	if !records.enabled() {
		return nil
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if check.endedSoon() {
			<-records.urgent.add([]quarantine.Fingerprint{request}, 0)
		}
	}()
	return done
}

func (records *lossRecords) recordUrgently(fingerprints []quarantine.Fingerprint) {
	now := time.Now()
	states := map[quarantine.Fingerprint][]quarantine.Loss{}
	for _, fingerprint := range fingerprints {
		states[fingerprint] = records.tracker.Unrefuted(fingerprint, now)
	}
	_ = records.write(context.Background(), states, durable.Condition{}) // write logs failures; reconcile repeats it.
}

// reconcile makes the records match what is held against requests, if this node is the recorder.
func (records *lossRecords) reconcile(ctx context.Context, now time.Time) error {
	if !records.isCurrent() || records.sharing.recorder(now) != records.node.settings.Name {
		return nil
	}
	changed, end := records.differences(now)
	if len(changed) == 0 {
		return nil
	}
	// A record that another node has appended since may hold more than this node knows.
	return records.write(ctx, changed, durable.Condition{ExpectedEnd: &end})
}

// differences returns the losses of requests whose records differ from them, none where the record is to
// be deleted, for at most one append, and the offset up to which the records are known.
func (records *lossRecords) differences(now time.Time) (map[quarantine.Fingerprint][]quarantine.Loss, int64) {
	records.mutex.Lock()
	recorded, end := maps.Clone(records.recorded), records.end
	records.mutex.Unlock()
	lasting := records.tracker.Lasting(now)
	changed := map[quarantine.Fingerprint][]quarantine.Loss{}
	for fingerprint, losses := range lasting {
		if len(changed) < maxRecordsPerAppend && recorded[fingerprint] != quarantine.Sum(losses) {
			changed[fingerprint] = losses
		}
	}
	for fingerprint := range recorded {
		if len(changed) < maxRecordsPerAppend && lasting[fingerprint] == nil {
			changed[fingerprint] = nil
		}
	}
	return changed, end
}

// write appends records with the losses of requests.
func (records *lossRecords) write(ctx context.Context, states map[quarantine.Fingerprint][]quarantine.Loss, condition durable.Condition) error {
	encoded := make([][]byte, 0, len(states))
	for fingerprint, losses := range states {
		record, err := encodeLossRecord(fingerprint, losses)
		if err != nil {
			records.node.logger.Error("quarantine record encoding failed", logging.ErrorField(err))
			continue
		}
		encoded = append(encoded, record)
	}
	bounded, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	result, err := records.node.dependencies.Log.Append(bounded, durable.Partition{Topic: records.node.dependencies.QuarantineTopic}, encoded, condition)
	if err != nil {
		records.node.logger.Info("quarantine not recorded", zap.Int("requests", len(encoded)), logging.ErrorField(err))
		return err
	}
	records.node.logger.Info("quarantine recorded", zap.Int("requests", len(encoded)), zap.Int64("offset", result.Offset))
	records.noteWritten(states, result)
	return nil
}

// noteWritten notes what was recorded, unless other records precede it that are not read yet.
func (records *lossRecords) noteWritten(states map[quarantine.Fingerprint][]quarantine.Loss, result durable.AppendResult) {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	if result.Offset != records.end {
		return
	}
	records.note(states)
	records.end = result.EndOffset
}

// encodeLossRecord returns the record of a request, a deletion if there are no losses.
func encodeLossRecord(fingerprint quarantine.Fingerprint, losses []quarantine.Loss) ([]byte, error) {
	key := hex.EncodeToString(fingerprint[:])
	if len(losses) == 0 {
		return durable.EncodeKeyed(key, nil), nil
	}
	message := &nodev1.QuarantineRecord{}
	for _, loss := range losses {
		encoded := lossToProto(loss)
		encoded.Request = nil // The key holds it.
		encoded.AtUnixMs = loss.At.UnixMilli()
		message.Losses = append(message.Losses, encoded)
	}
	value, err := proto.Marshal(message)
	if err != nil {
		return nil, err
	}
	return durable.EncodeKeyed(key, value), nil
}

// decodeLossRecord returns the losses of a record, none if it is a deletion. A time in the future, as of a
// node whose clock is ahead, counts as now.
func decodeLossRecord(record durable.KeyedRecord, now time.Time) (fingerprint quarantine.Fingerprint, losses []quarantine.Loss, valid bool) {
	key, err := hex.DecodeString(record.Key)
	if err != nil || len(key) != len(fingerprint) {
		return fingerprint, nil, false
	}
	fingerprint = quarantine.Fingerprint(key)
	var message nodev1.QuarantineRecord
	if proto.Unmarshal(record.Value, &message) != nil {
		return fingerprint, nil, false
	}
	for _, encoded := range message.Losses {
		at := time.UnixMilli(encoded.AtUnixMs)
		if at.After(now) {
			at = now
		}
		losses = append(losses, lossFromProto(encoded, fingerprint, at))
	}
	return fingerprint, losses, true
}
