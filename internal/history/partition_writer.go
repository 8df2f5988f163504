package history

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
)

const (
	// maxBatchBytes bounds the size of the records in one append.
	maxBatchBytes = 512 << 10
	// appendTimeout bounds one append.
	appendTimeout = 2500 * time.Millisecond
	// maxAppendsInFlight bounds a node's appends of new records to one partition. A slow log works on
	// one while the response to the other is on its way; more of them would only queue. While the log
	// is fast, records need not wait for an append whose response is lost.
	maxAppendsInFlight = 2
	// maxUnconfirmedAppends bounds the appends to one partition while none has been acknowledged and
	// no other append is known to be fast.
	maxUnconfirmedAppends = 3
	// checkInterval is the time between two checks while the log does not respond to them.
	checkInterval = 500 * time.Millisecond
	// recentRecords is how many records before the partition's end the first check begins to read.
	recentRecords = 64
	// maxSilence is how long records wait for a log that does not respond at once before they are
	// appended again. It has probably dropped the append.
	maxSilence = time.Second
)

// partitionWriter appends a node's records to one partition. Few appends are in flight, and the records
// that arrive meanwhile go into the next one: each further append to a slow partition would delay all
// that follow it. An overdue append is checked by a read, which tells a lost response from a slow log
// at no cost to the partition. It is safe for concurrent use.
type partitionWriter struct {
	recorder  *Recorder
	partition durable.Partition
	// mutex guards all that follows, and the state of the records.
	mutex sync.Mutex
	// waiting holds the records that no append in flight carries, oldest first.
	waiting []*pendingRecord
	// inFlight holds the appends without a response, oldest first.
	inFlight []*partitionAppend
	// checkOffset is where the next check begins to read: no record in flight or waiting is stored
	// before it. It is durable.UnknownEnd before the first response of the log.
	checkOffset int64
	// latency is that of the latest acknowledged append, acknowledgedAt when it ended. latestBegan is
	// when the latest one that has been acknowledged began.
	latency        time.Duration
	acknowledgedAt time.Time
	latestBegan    time.Time
	// serviceTime is the shortest time between the responses to two appends in flight since appends are
	// slow, 0 if it is not known. The log works on one append for that long at most.
	serviceTime time.Duration
	// checking is true during a check. nextCheck is the earliest time of the next one.
	checking  bool
	nextCheck time.Time
	// timer calls wake when an append or a check is due.
	timer *time.Timer
}

// pendingRecord is a record that the log has not acknowledged. ctx ends when its result is of no more
// use.
type pendingRecord struct {
	ctx          context.Context
	record       []byte
	done         chan<- error
	acknowledged bool
	// failed is true once an error was reported. The record may be acknowledged afterwards.
	failed bool
	// alone is true for a record that is appended without others: the log has rejected an append that
	// it was part of.
	alone bool
}

// errPartitionSilent means that a partition does not respond while another one does.
var errPartitionSilent = errors.New("the partition does not respond")

func newPartitionWriter(recorder *Recorder, partition durable.Partition) *partitionWriter {
	return &partitionWriter{recorder: recorder, partition: partition, checkOffset: durable.UnknownEnd}
}

// partitionAppend is an append in flight.
type partitionAppend struct {
	records []*pendingRecord
	began   time.Time
}

// add queues a record until ctx ends. done receives the result; its buffer has room for it.
func (writer *partitionWriter) add(ctx context.Context, record []byte, done chan<- error) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	writer.waiting = append(writer.waiting, &pendingRecord{ctx: ctx, record: record, done: done})
	writer.advance()
}

func (writer *partitionWriter) wake() {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	writer.advance()
}

// advance begins what is due, an append or a check, and sets the timer for what is due later. The
// caller holds the mutex.
func (writer *partitionWriter) advance() {
	now := time.Now()
	for len(writer.waiting) > 0 && !now.Before(writer.nextAppendAt(now)) {
		writer.start()
	}
	if len(writer.inFlight) == 0 {
		return
	}
	checkAt := writer.checkAt()
	if !writer.checking && !now.Before(checkAt) {
		writer.checking = true
		go writer.check(writer.checkOffset)
	}
	writer.wakeAt(checkAt, now)
}

// wakeAt sets the timer for the next check or append, whichever is due first. The caller holds the
// mutex.
func (writer *partitionWriter) wakeAt(checkAt, now time.Time) {
	due := checkAt
	if len(writer.waiting) > 0 {
		appendAt := writer.nextAppendAt(now)
		if appendAt.Before(due) || !now.Before(due) {
			due = appendAt
		}
	}
	if writer.timer != nil {
		writer.timer.Stop()
	}
	if now.Before(due) {
		writer.timer = time.AfterFunc(due.Sub(now), writer.wake)
	}
}

// nextAppendAt returns when the next append of waiting records may begin. While appends are slow, it
// begins before the previous one has ended, so that the partition does not idle while the response is
// on its way, but not so early that it would queue. The caller holds the mutex.
func (writer *partitionWriter) nextAppendAt(now time.Time) time.Time {
	if len(writer.inFlight) == 0 {
		return now
	}
	latest := writer.inFlight[len(writer.inFlight)-1]
	if len(writer.inFlight) >= maxAppendsInFlight {
		return latest.began.Add(appendTimeout)
	}
	if writer.latency < durable.SlowAppend {
		return now
	}
	return latest.began.Add(max(writer.latency/maxAppendsInFlight, writer.serviceTime))
}

// checkAt returns when the oldest append in flight is to be checked. The caller holds the mutex.
func (writer *partitionWriter) checkAt() time.Time {
	due := writer.inFlight[0].began.Add(writer.recorder.appendLatency.OverdueAfter())
	if writer.nextCheck.After(due) {
		return writer.nextCheck
	}
	return due
}

// start begins an append of as many waiting records as fit. The caller holds the mutex.
func (writer *partitionWriter) start() {
	flight := &partitionAppend{began: time.Now()}
	bytes := 0
	for len(writer.waiting) > 0 {
		record := writer.waiting[0]
		if len(flight.records) > 0 && (bytes+len(record.record) > maxBatchBytes || record.alone || flight.records[0].alone) {
			break
		}
		writer.waiting = writer.waiting[1:]
		if record.needed() {
			flight.records = append(flight.records, record)
			bytes += len(record.record)
		}
	}
	if len(flight.records) == 0 {
		return
	}
	writer.inFlight = append(writer.inFlight, flight)
	go writer.send(flight)
}

func (writer *partitionWriter) send(flight *partitionAppend) {
	records := make([][]byte, len(flight.records))
	for index, record := range flight.records {
		records[index] = record.record
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	result, err := writer.recorder.log.Append(ctx, writer.partition, records, durable.Condition{})
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if err == nil {
		writer.succeed(flight, result)
	} else {
		writer.fail(flight, err)
	}
	writer.advance()
}

// succeed reports an acknowledged append. The caller holds the mutex.
func (writer *partitionWriter) succeed(flight *partitionAppend, result durable.AppendResult) {
	for _, record := range flight.records {
		record.acknowledge()
	}
	writer.recorder.observeSuccess(flight.began)
	writer.observeLatency(flight.began)
	if len(writer.inFlight) > 0 && writer.inFlight[0] == flight {
		writer.checkOffset = result.EndOffset
	}
	if flight.began.After(writer.latestBegan) {
		writer.latestBegan = flight.began
	}
	writer.removeAcknowledged()
}

// removeAcknowledged stops waiting for appends whose records are all acknowledged. The caller holds
// the mutex.
func (writer *partitionWriter) removeAcknowledged() {
	writer.inFlight = slices.DeleteFunc(writer.inFlight, func(flight *partitionAppend) bool {
		return !slices.ContainsFunc(flight.records, func(record *pendingRecord) bool { return !record.acknowledged })
	})
}

// observeLatency updates the latency and the service time after a successful append. The caller holds
// the mutex.
func (writer *partitionWriter) observeLatency(began time.Time) {
	now := time.Now()
	writer.latency = now.Sub(began)
	between := now.Sub(writer.acknowledgedAt)
	if writer.latency < durable.SlowAppend {
		writer.serviceTime = 0
	} else if began.Before(writer.acknowledgedAt) && (writer.serviceTime == 0 || between < writer.serviceTime) {
		writer.serviceTime = between
	}
	writer.acknowledgedAt = now
}

// fail reports a failed append, unless its records are appended again. The caller holds the mutex.
func (writer *partitionWriter) fail(flight *partitionAppend, err error) {
	index := slices.Index(writer.inFlight, flight)
	if index < 0 {
		return
	}
	rejected := errors.Is(err, durable.ErrRejected)
	if !rejected && flight.began.After(writer.latestBegan) { // Otherwise the log works, or only the response is lost.
		writer.recorder.observeFailure()
	}
	writer.inFlight = slices.Delete(writer.inFlight, index, index+1)
	if rejected && len(flight.records) > 1 {
		writer.appendAlone(flight)
		return
	}
	repeated := append(neededRecords(writer.inFlight), writer.waiting...)
	for _, record := range neededRecords([]*partitionAppend{flight}) {
		if !slices.Contains(repeated, record) {
			record.fail(err)
		}
	}
}

// appendAlone queues the records of a rejected append again, each for an append of its own: one of
// them is at fault. The caller holds the mutex.
func (writer *partitionWriter) appendAlone(flight *partitionAppend) {
	var records []*pendingRecord
	for _, record := range neededRecords([]*partitionAppend{flight}) {
		record.alone = true
		if !slices.Contains(writer.waiting, record) {
			records = append(records, record)
		}
	}
	writer.waiting = append(records, writer.waiting...)
}

// check reads what was appended since an offset. The records that the log has are acknowledged. Those
// of an overdue append that it does not have are appended again, if the log responds at once.
func (writer *partitionWriter) check(offset int64) {
	began := time.Now()
	batch, responded := durable.ReadAtOnce(context.Background(), writer.recorder.log, writer.partition, offset)
	otherResponds := !responded && writer.otherPartitionResponds()
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	writer.checking = false
	if responded && offset == durable.UnknownEnd {
		writer.checkOffset = max(batch.EndOffset-recentRecords, batch.FirstOffset, 0)
		writer.advance()
		return
	}
	if responded {
		writer.acknowledgeStored(batch.Records)
		writer.checkOffset = max(offset+int64(len(batch.Records)), batch.FirstOffset)
	}
	if otherResponds {
		writer.failAll(errPartitionSilent)
	}
	if len(writer.inFlight) > 0 {
		writer.handleOverdue(began, responded)
	}
	writer.advance()
}

// otherPartitionResponds reports whether the log responds to a read of another partition at once.
func (writer *partitionWriter) otherPartitionResponds() bool {
	other := (writer.partition.Number + 1) % writer.recorder.shards
	return other != writer.partition.Number && writer.recorder.LogRespondsAtOnce(context.Background(), other)
}

// failAll reports an error for all records, so that they are appended elsewhere. The caller holds the
// mutex.
func (writer *partitionWriter) failAll(err error) {
	for _, record := range append(neededRecords(writer.inFlight), writer.waiting...) {
		record.fail(err)
	}
	writer.waiting = nil
}

// acknowledgeStored acknowledges the records that the log has returned. The caller holds the mutex.
func (writer *partitionWriter) acknowledgeStored(records [][]byte) {
	stored := make(map[string]bool, len(records))
	for _, record := range records {
		stored[string(record)] = true
	}
	for _, record := range append(neededRecords(writer.inFlight), writer.waiting...) {
		if stored[string(record.record)] {
			record.acknowledge()
		}
	}
	writer.removeAcknowledged()
}

// handleOverdue appends the records of overdue appends again after a check, if the log has responded
// or has been silent for long. The caller holds the mutex; an append is in flight.
func (writer *partitionWriter) handleOverdue(checkBegan time.Time, responded bool) {
	now := time.Now()
	writer.nextCheck = now.Add(2 * writer.recorder.appendLatency.OverdueAfter())
	if responded {
		writer.requeueLost(checkBegan)
	}
	overdue := 0
	for overdue < len(writer.inFlight) && checkBegan.Sub(writer.inFlight[overdue].began) >= durable.SlowAppend {
		overdue++
	}
	records := writer.repeatable(overdue)
	if len(records) == 0 {
		return
	}
	latest := writer.inFlight[overdue-1]
	silent := min(now.Sub(latest.began), now.Sub(writer.acknowledgedAt)) >= maxSilence
	unconfirmed := len(writer.inFlight) >= maxUnconfirmedAppends && !writer.recorder.fastAppendSince(latest.began)
	if !silent && (!responded || unconfirmed) {
		writer.nextCheck = now.Add(checkInterval)
		return
	}
	if len(writer.inFlight) >= maxUnconfirmedAppends {
		writer.inFlight = writer.inFlight[overdue:]
	}
	writer.waiting = append(records, writer.waiting...)
	writer.start()
}

// requeueLost queues the records of the appends whose response is lost: they were overdue when a check
// began, the check has not found them, and an append that began later is acknowledged. A partition
// takes its appends in turn. The caller holds the mutex.
func (writer *partitionWriter) requeueLost(checkBegan time.Time) {
	lost := 0
	for lost < len(writer.inFlight) && writer.inFlight[lost].began.Before(writer.latestBegan) &&
		checkBegan.Sub(writer.inFlight[lost].began) >= writer.recorder.appendLatency.OverdueAfter() {
		lost++
	}
	records := writer.repeatable(lost)
	writer.inFlight = writer.inFlight[lost:]
	writer.waiting = append(records, writer.waiting...)
}

// repeatable returns the records of the oldest appends in flight that no later one carries. The caller
// holds the mutex.
func (writer *partitionWriter) repeatable(count int) []*pendingRecord {
	later := neededRecords(writer.inFlight[count:])
	return slices.DeleteFunc(neededRecords(writer.inFlight[:count]), func(record *pendingRecord) bool { return slices.Contains(later, record) })
}

// neededRecords returns the records of appends that are still needed, oldest first.
func neededRecords(appends []*partitionAppend) []*pendingRecord {
	var records []*pendingRecord
	for _, flight := range appends {
		for _, record := range flight.records {
			if record.needed() && !slices.Contains(records, record) {
				records = append(records, record)
			}
		}
	}
	return records
}

// needed reports whether the record has not been acknowledged and its result is still of use.
func (record *pendingRecord) needed() bool {
	return !record.acknowledged && !record.failed && record.ctx.Err() == nil
}

// fail reports an error.
func (record *pendingRecord) fail(err error) {
	record.failed = true
	record.report(err)
}

// acknowledge reports the record's success, once.
func (record *pendingRecord) acknowledge() {
	if record.acknowledged {
		return
	}
	record.acknowledged = true
	record.report(nil)
}

// report passes a result on, unless the caller has returned.
func (record *pendingRecord) report(err error) {
	select {
	case record.done <- err:
	default:
	}
}
