package durable

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
)

// ReadToEnd hands every record of a partition from an offset on to apply, up to
// its end, and returns the offset to go on from. Records that are gone are
// passed over. On an error the offset returned is how far apply has come.
func ReadToEnd(ctx context.Context, log Log, partition Partition, from int64, apply func(record []byte)) (int64, error) {
	for {
		batch, err := log.Read(ctx, partition, from, 0)
		var trimmed *TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > from {
			from = trimmed.First
			continue
		}
		if err != nil {
			return from, eris.Wrap(err, "read "+partition.String())
		}
		if batch.EndOffset < from {
			return from, eris.Errorf("%s ends at %d, before %d", partition, batch.EndOffset, from)
		}
		for _, record := range batch.Records {
			apply(record)
		}
		from += int64(len(batch.Records))
		if from >= batch.EndOffset || len(batch.Records) == 0 {
			return from, nil
		}
	}
}
