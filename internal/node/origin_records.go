package node

import (
	"context"
	"sync"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/streamversion"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/proto"
)

const (
	// Origins travel to the log in two steps, each with at most one message in this interval: from a node
	// to the relay of its zone, and from there to the log. While several versions of a service are known,
	// most resumptions depend on the origin, and the interval is short.
	originInterval        = 250 * time.Millisecond
	severalOriginInterval = 50 * time.Millisecond
	// recalledRecords is the number of records at the end of the topic that are read. With 6 zones they
	// hold at least 17 s of streams, which is longer than most streams last.
	recalledRecords = 2048
	// recallInterval is the shortest interval between reads of the topic by one node, and recallTimeout
	// how long a caller waits for one.
	recallInterval = 500 * time.Millisecond
	recallTimeout  = 400 * time.Millisecond
	// originRetryPeriod is for how long origins are appended again that the log does not take, at most
	// maxRetriedOrigins of them. Most streams have ended by then.
	originRetryPeriod = 20 * time.Second
	maxRetriedOrigins = 8192
)

// originRecords keeps the origins of streams in the durable log, for streams whose keepers are all lost.
// The relay of each zone writes and reads for its zone.
type originRecords struct {
	node  *Node
	table *streamversion.Table
	// toRelay holds origins on their way to the zone's relay, toLog those on their way to the log.
	toRelay *outbox[streamversion.Record]
	toLog   *outbox[streamversion.Record]
	// failingSince is when the first of the latest appends failed, zero after a success. Only append uses it.
	failingSince time.Time
	// reads deduplicates concurrent reads of the topic.
	reads singleflight.Group

	// mutex guards the position of the next read and the time of the last one.
	mutex      sync.Mutex
	nextOffset int64
	readAt     time.Time
}

func newOriginRecords(node *Node, table *streamversion.Table) *originRecords {
	records := &originRecords{node: node, table: table}
	records.toRelay = &outbox[streamversion.Record]{maxBatch: maxOriginsPerMessage, deliver: records.handOver}
	records.toLog = &outbox[streamversion.Record]{maxBatch: maxOriginsPerMessage, deliver: records.append}
	return records
}

func (records *originRecords) enabled() bool {
	return feature.Enabled(feature.DurableOrigins) && records.node.dependencies.OriginTopic != ""
}

func (records *originRecords) partition() durable.Partition {
	return durable.Partition{Topic: records.node.dependencies.OriginTopic}
}

// record records an origin. It does not block.
func (records *originRecords) record(record streamversion.Record) {
	if records.enabled() {
		records.toRelay.add([]streamversion.Record{record}, 0)
	}
}

// pace waits until the next message may be sent.
func (records *originRecords) pace() {
	if records.node.engines.HasSeveralVersions() {
		time.Sleep(severalOriginInterval)
		return
	}
	time.Sleep(originInterval)
}

// relay returns the relay of this node's zone, this node if there is no other.
func (records *originRecords) relay() string {
	settings := records.node.settings
	relay := records.node.members.relayOf(settings.Zone, time.Now(), records.node.origins.suspects)
	if relay == "" {
		return settings.Name
	}
	return relay
}

// handOver sends origins to the relay, or to the next candidate if it does not respond. If neither does, this node
// appends them to the log itself: any number of candidates may be lost.
func (records *originRecords) handOver(batch []streamversion.Record) {
	defer records.pace()
	message := &nodev1.KeepStreamOriginsRequest{Record: true, Origins: make([]*nodev1.StreamOrigin, len(batch))}
	for index, record := range batch {
		message.Origins[index] = originToProto(record)
	}
	for range relayAttempts {
		relay := records.relay()
		if relay == records.node.settings.Name {
			records.toLog.add(batch, 0)
			return
		}
		err := records.node.origins.send(relay, message)
		records.node.meter.countOriginMessage(originsRecorded, err)
		if err == nil {
			return
		}
		records.suspect(relay, err)
	}
	records.toLog.add(batch, 0)
}

func (records *originRecords) suspect(relay string, err error) {
	records.node.origins.suspects.add(relay, time.Now().Add(originPeerSuspicion))
	records.node.logger.Info("stream origins not handed over", zap.String("node", relay), logging.ErrorField(err))
}

// append appends origins to the log.
func (records *originRecords) append(batch []streamversion.Record) {
	defer records.pace()
	content, err := encodeOrigins(batch)
	if err != nil {
		records.node.logger.Error("stream origin encoding failed", logging.ErrorField(err))
		return
	}
	bounded, cancel := context.WithTimeout(context.Background(), logTimeout)
	defer cancel()
	_, err = records.node.dependencies.Log.Append(bounded, records.partition(), [][]byte{content}, durable.Condition{})
	if err != nil {
		records.node.logger.Info("stream origins not recorded", zap.Int("streams", len(batch)), logging.ErrorField(err))
		records.retry(batch, time.Now())
		return
	}
	records.failingSince = time.Time{}
}

// retry appends origins again after a failure, unless appends have been failing for long.
func (records *originRecords) retry(batch []streamversion.Record, now time.Time) {
	if records.failingSince.IsZero() {
		records.failingSince = now
	}
	if now.Sub(records.failingSince) > originRetryPeriod {
		records.failingSince = time.Time{}
		return
	}
	records.toLog.addUpTo(batch, maxRetriedOrigins)
}

// find returns the origin of a stream that the log holds. If no relay answers, this node reads the log itself.
func (records *originRecords) find(ctx context.Context, key streamversion.Key) (streamversion.Origin, bool) {
	if !records.enabled() {
		return streamversion.Origin{}, false
	}
	for range relayAttempts {
		relay := records.relay()
		if relay == records.node.settings.Name || ctx.Err() != nil {
			break
		}
		origin, err := records.askRelay(ctx, relay, key)
		if err == nil {
			return fromFound(origin)
		}
		records.suspect(relay, err)
	}
	bounded, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	records.recall(bounded)
	return records.table.Find(key, time.Now())
}

func (records *originRecords) askRelay(ctx context.Context, relay string, key streamversion.Key) (*streamversion.Origin, error) {
	bounded, cancel := context.WithTimeout(ctx, recallTimeout/relayAttempts)
	defer cancel()
	return records.node.origins.ask(bounded, relay, &nodev1.FindStreamOriginRequest{Key: key[:], Recall: true})
}

// fromFound returns the origin that another node has found, false if it has found none.
func fromFound(origin *streamversion.Origin) (streamversion.Origin, bool) {
	if origin == nil {
		return streamversion.Origin{}, false
	}
	return *origin, true
}

// recall reads the latest records into the table, unless that has just been done. It returns once they
// are read or ctx ends; the read goes on.
func (records *originRecords) recall(ctx context.Context) {
	read := records.reads.DoChan("", func() (any, error) {
		records.mutex.Lock()
		next, recent := records.nextOffset, time.Since(records.readAt) < recallInterval
		records.mutex.Unlock()
		if recent {
			return nil, nil
		}
		return nil, records.read(next)
	})
	select {
	case <-read:
	case <-ctx.Done():
	}
}

// read reads the records from an offset on, but not more than recalledRecords.
func (records *originRecords) read(from int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), logTimeout)
	defer cancel()
	log := records.node.dependencies.Log
	end, err := endOffset(ctx, log, records.partition())
	if err != nil {
		records.node.logger.Info("stream origins not read", logging.ErrorField(err))
		return err
	}
	count := 0
	progress := durable.ReadProgress{NextOffset: max(from, end-recalledRecords)}
	progress, err = durable.ReadToEnd(ctx, log, records.partition(), progress, func(_ int64, content []byte) { count += records.put(content) })
	if err != nil {
		records.node.logger.Info("stream origins not read", logging.ErrorField(err))
	} else {
		records.node.logger.Info("stream origins read", zap.Int("streams", count), zap.Int64("end", progress.NextOffset))
	}
	records.mutex.Lock()
	defer records.mutex.Unlock()
	records.nextOffset = max(records.nextOffset, progress.NextOffset)
	if err == nil {
		records.readAt = time.Now()
	}
	return err
}

// put puts the origins of a record into the table and returns their number.
func (records *originRecords) put(content []byte) int {
	var message nodev1.StreamOriginsRecord
	if proto.Unmarshal(content, &message) != nil {
		return 0
	}
	count := 0
	for _, group := range message.Groups {
		origin := streamversion.Origin{Service: group.Service, Version: group.Version}
		for _, key := range group.Keys {
			if len(key) == len(streamversion.Key{}) {
				records.table.Put(streamversion.Record{Key: streamversion.Key(key), Origin: origin}, time.Now())
				count++
			}
		}
	}
	return count
}

// encodeOrigins returns the record of a batch.
func encodeOrigins(batch []streamversion.Record) ([]byte, error) {
	groups := map[streamversion.Origin]*nodev1.StreamOriginGroup{}
	message := &nodev1.StreamOriginsRecord{}
	for _, record := range batch {
		group := groups[record.Origin]
		if group == nil {
			group = &nodev1.StreamOriginGroup{Service: record.Origin.Service, Version: record.Origin.Version}
			groups[record.Origin] = group
			message.Groups = append(message.Groups, group)
		}
		group.Keys = append(group.Keys, record.Key[:])
	}
	return proto.Marshal(message)
}
