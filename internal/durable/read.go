package durable

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
)

// ReadToEnd calls apply with each record of a partition from an offset to its end
// and returns the next offset to read. Trimmed records are skipped. On an error
// the returned offset follows the last record applied.
func ReadToEnd(ctx context.Context, log Log, partition Partition, from int64, apply func(record []byte)) (int64, error) {
	for {
		batch, err := log.Read(ctx, partition, from, 0)
		var trimmed *TrimmedError
		if errors.As(err, &trimmed) && trimmed.FirstOffset > from {
			from = trimmed.FirstOffset
			continue
		}
		if err != nil {
			return from, eris.Wrap(err, "read "+partition.String())
		}
		if batch.EndOffset < from {
			return from, eris.Errorf("partition %s ends at offset %d, before the read offset %d", partition, batch.EndOffset, from)
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
