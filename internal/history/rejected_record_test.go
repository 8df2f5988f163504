package history

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/rotisserie/eris"
)

// boundedLog rejects appends with a record of more than limit bytes.
type boundedLog struct {
	*durable.Memory
	limit   int
	appends int
}

func (log *boundedLog) Append(ctx context.Context, partition durable.Partition, records [][]byte, condition durable.Condition) (durable.AppendResult, error) {
	log.appends++
	time.Sleep(4 * time.Millisecond)
	for _, record := range records {
		if len(record) > log.limit {
			return durable.AppendResult{}, eris.Wrap(durable.ErrRejected, "record too large")
		}
	}
	return log.Memory.Append(ctx, partition, records, condition)
}

// Guards against a turn that the log rejects for good: it fails the turns of its batch, is sent on to
// partition after partition and node after node until its caller's deadline, and makes each of them
// count as unable to record.
func TestARejectedTurnFailsAloneAndAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &boundedLog{Memory: durable.NewMemory(), limit: 1000}
		recorder := NewRecorder(log, 4)
		relayed := 0
		recorder.SetRelay(func(context.Context, int, *Turn) error {
			relayed++
			return errors.New("not recorded")
		})
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		results := make(chan error, 12)
		began := time.Now()
		for number := range cap(results) {
			go func() {
				turn := &Turn{ID: fmt.Sprint("turn-", number)}
				if number == 5 {
					turn.Output = make([]byte, 2*log.limit)
				}
				results <- recorder.Record(ctx, 1, turn)
			}()
		}
		failed := 0
		for range cap(results) {
			err := <-results
			if err != nil {
				failed++
				if !errors.Is(err, durable.ErrRejected) {
					t.Errorf("a turn failed with %v", err)
				}
			}
		}
		if took := time.Since(began); failed != 1 || took > time.Second {
			t.Errorf("%d of %d turns failed within %v, 1 is rejected", failed, cap(results), took)
		}
		if relayed != 0 || recorder.AppendFailedRecently() {
			t.Errorf("%d relays; the recorder counts as failing: %v", relayed, recorder.AppendFailedRecently())
		}
	})
}
