package history

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
)

// scriptedLog stores each append after took, and answers it unless lost returns true for its number.
type scriptedLog struct {
	*durable.Memory
	mutex   sync.Mutex
	appends []int
	at      []time.Time
	reads   int
	took    func(number int) time.Duration
	lost    func(number int) bool
	readErr error
}

func (log *scriptedLog) Append(ctx context.Context, partition durable.Partition, records [][]byte, condition durable.Condition) (durable.AppendResult, error) {
	log.mutex.Lock()
	number := len(log.appends)
	log.appends = append(log.appends, len(records))
	log.at = append(log.at, time.Now())
	log.mutex.Unlock()
	time.Sleep(log.took(number))
	result, err := log.Memory.Append(context.Background(), partition, records, condition)
	if log.lost != nil && log.lost(number) {
		<-ctx.Done()
		return durable.AppendResult{}, ctx.Err()
	}
	return result, err
}

func (log *scriptedLog) Read(ctx context.Context, partition durable.Partition, from int64, wait time.Duration) (durable.Batch, error) {
	log.mutex.Lock()
	log.reads++
	log.mutex.Unlock()
	time.Sleep(3 * time.Millisecond)
	if log.readErr != nil {
		return durable.Batch{}, log.readErr
	}
	return log.Memory.Read(ctx, partition, from, wait)
}

// counts returns how many appends and reads have arrived.
func (log *scriptedLog) counts() (appends, reads int) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return len(log.appends), log.reads
}

func newTestWriter(log durable.Log) *partitionWriter {
	recorder := NewRecorder(log, 1)
	return recorder.writer(durable.Partition{Topic: Topic})
}

// Guards against an append whose answer is lost while a later one is answered: the check reads from
// after it, so its record is appended again although the log has it.
func TestACheckFindsAStoredRecordAfterALaterAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &scriptedLog{Memory: durable.NewMemory(), took: func(int) time.Duration { return 4 * time.Millisecond }, lost: func(number int) bool { return number == 1 }}
		writer := newTestWriter(log)
		done := make(chan error, 8)
		writer.add(context.Background(), []byte("zero"), done)
		time.Sleep(20 * time.Millisecond)
		writer.add(context.Background(), []byte("one"), done)
		time.Sleep(2 * time.Millisecond)
		writer.add(context.Background(), []byte("two"), done)
		time.Sleep(10 * time.Second)
		if appends, _ := log.counts(); appends != 3 || len(done) != 3 {
			t.Errorf("%d appends for 3 records, %d acknowledged", appends, len(done))
		}
	})
}

// Guards against records beyond one append's size that wait for a lost answer: nothing wakes the
// writer, neither the next append nor the check.
func TestRecordsBeyondABatchDoNotWaitForALostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &scriptedLog{Memory: durable.NewMemory(), lost: func(number int) bool { return number >= 2 }}
		log.took = func(number int) time.Duration { return time.Duration(4+6*min(number, 1)) * time.Millisecond }
		writer := newTestWriter(log)
		done := make(chan error, 64)
		writer.add(context.Background(), []byte("a"), done)
		time.Sleep(20 * time.Millisecond)
		// Two appends are in flight, the second one lost; what arrives then exceeds a batch.
		writer.add(context.Background(), []byte("b"), done)
		writer.add(context.Background(), []byte("c"), done)
		for number := range 4 {
			writer.add(context.Background(), bytes.Repeat([]byte{byte('0' + number)}, 200<<10), done)
		}
		began := time.Now()
		for count := 0; count < 7; count++ {
			select {
			case <-done:
			case <-time.After(2 * time.Second):
				appends, reads := log.counts()
				t.Fatalf("%d of 7 records acknowledged after %v; %d appends, %d reads", count, time.Since(began), appends, reads)
			}
		}
		t.Logf("all after %v", time.Since(began))
		time.Sleep(20 * time.Second)
	})
}

// Guards against a single slower append that is sent again while reads are fast.
func TestOneSlowerAppendIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &scriptedLog{Memory: durable.NewMemory(), took: func(number int) time.Duration {
			if number == 20 {
				return 80 * time.Millisecond
			}
			return 4 * time.Millisecond
		}}
		writer := newTestWriter(log)
		done := make(chan error, 64)
		for number := range 21 {
			writer.add(context.Background(), []byte(fmt.Sprint(number)), done)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		if appends, _ := log.counts(); appends != 21 {
			t.Errorf("%d appends for 21 records", appends)
		}
	})
}

// Guards against a writer that is stuck after a log that was silent: neither acknowledged, failed nor
// appended again.
func TestWriterRecoversFromASilentLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		end := time.Now().Add(6 * time.Second)
		log := &scriptedLog{Memory: durable.NewMemory(), took: func(int) time.Duration { return 4 * time.Millisecond }}
		log.lost = func(int) bool { return time.Now().Before(end) }
		log.readErr = durable.ErrUnavailable
		writer := newTestWriter(log)
		done := make(chan error, 2048)
		for number := range 200 {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			writer.add(ctx, []byte(fmt.Sprint("record ", number)), done)
			time.Sleep(25 * time.Millisecond)
		}
		time.Sleep(time.Until(end))
		log.mutex.Lock()
		t.Logf("%d appends of %v records in 6 s of silence", len(log.appends), log.appends)
		log.mutex.Unlock()
		late := make(chan error, 4)
		writer.add(context.Background(), []byte("late"), late)
		select {
		case err := <-late:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(2 * time.Second):
			t.Error("a record was not appended within 2 s after the log responds again")
		}
		time.Sleep(20 * time.Second)
		writer.mutex.Lock()
		defer writer.mutex.Unlock()
		if len(writer.inFlight)+len(writer.waiting) > 0 || writer.checking {
			t.Errorf("%d in flight, %d waiting, checking %v", len(writer.inFlight), len(writer.waiting), writer.checking)
		}
	})
}

// limitedLog returns 288 KB per read at most, as the platform's client does.
type limitedLog struct{ *scriptedLog }

func (log *limitedLog) Read(ctx context.Context, partition durable.Partition, from int64, wait time.Duration) (durable.Batch, error) {
	batch, err := log.scriptedLog.Read(ctx, partition, from, wait)
	size := 0
	for index, record := range batch.Records {
		size += len(record)
		if size > 288<<10 {
			batch.Records = batch.Records[:index]
			break
		}
	}
	return batch, err
}

// expectFound appends a record whose answer is lost, and fails if no check has acknowledged it after 2 s.
func expectFound(t *testing.T, log *scriptedLog, writer *partitionWriter, done chan error, record string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	writer.add(ctx, []byte(record), done)
	time.Sleep(2 * time.Second)
	if appends, reads := log.counts(); len(done) == 0 {
		t.Errorf("not acknowledged after 2 s although the log has it and responds to reads: %d appends, %d reads", appends, reads)
	}
}

// Guards against checks that read from an old end: they return other nodes' records, up to the limit
// of a read, and miss the one that is overdue.
func TestACheckFindsTheRecordBehindOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &scriptedLog{Memory: durable.NewMemory(), took: func(int) time.Duration { return 4 * time.Millisecond }, lost: func(number int) bool { return number > 0 }}
		writer := newTestWriter(&limitedLog{log})
		done := make(chan error, 8)
		writer.add(context.Background(), []byte("first"), done)
		time.Sleep(time.Second)
		<-done
		for number := range 100 { // of other nodes
			_, _ = log.Memory.Append(context.Background(), writer.partition, [][]byte{bytes.Repeat([]byte{byte(number)}, 4<<10)}, durable.Condition{})
		}
		expectFound(t, log, writer, done, "second")
		time.Sleep(20 * time.Second)
	})
}

// The same where the end is not known yet: a new node, or one that did not write to the partition.
func TestACheckFindsTheFirstRecordOfAWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &scriptedLog{Memory: durable.NewMemory(), took: func(int) time.Duration { return 4 * time.Millisecond }, lost: func(int) bool { return true }}
		writer := newTestWriter(&limitedLog{log})
		done := make(chan error, 8)
		expectFound(t, log, writer, done, "first")
		time.Sleep(20 * time.Second)
	})
}

// The same where every answer to an append is lost for 4 s.
func TestChecksAcknowledgeWhileEveryAnswerIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		log := &scriptedLog{Memory: durable.NewMemory(), took: func(int) time.Duration { return 4 * time.Millisecond }}
		log.lost = func(int) bool { return time.Since(start) > time.Second }
		writer := newTestWriter(&limitedLog{log})
		var failed, asked int
		var group sync.WaitGroup
		for number := range 200 {
			record := bytes.Repeat([]byte{byte(number), byte(number >> 8)}, 2<<10)
			asked++
			group.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				done := make(chan error, 4)
				writer.add(ctx, record, done)
				select {
				case <-done:
				case <-ctx.Done():
					log.mutex.Lock()
					failed++
					log.mutex.Unlock()
				}
			})
			time.Sleep(25 * time.Millisecond)
		}
		group.Wait()
		if appends, reads := log.counts(); failed > 0 {
			t.Errorf("%d of %d records not acknowledged within 2 s although the log has them: %d appends, %d reads", failed, asked, appends, reads)
		}
		time.Sleep(20 * time.Second)
	})
}
