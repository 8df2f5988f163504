package durable

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
)

// ReadProgress is how far a partition has been read.
type ReadProgress struct {
	// NextOffset is the next offset to read.
	NextOffset int64
	// FirstOffset is the oldest retained offset as of the latest response.
	FirstOffset int64
}

// ReadToEnd calls apply with each record of a partition, from progress.NextOffset to the partition's
// end. Trimmed records are skipped. On an error, the returned progress covers the records applied.
func ReadToEnd(ctx context.Context, log Log, partition Partition, progress ReadProgress, apply func(offset int64, record []byte)) (ReadProgress, error) {
	for {
		batch, err := log.Read(ctx, partition, progress.NextOffset, 0)
		var trimmed *TrimmedError
		if errors.As(err, &trimmed) && trimmed.FirstOffset > progress.NextOffset {
			progress = ReadProgress{NextOffset: trimmed.FirstOffset, FirstOffset: trimmed.FirstOffset}
			continue
		}
		if err != nil {
			return progress, eris.Wrap(err, "read "+partition.String())
		}
		if batch.EndOffset < progress.NextOffset {
			return progress, eris.Errorf("partition %s ends at offset %d, before the read offset %d", partition, batch.EndOffset, progress.NextOffset)
		}
		progress.FirstOffset = batch.FirstOffset
		for _, record := range batch.Records {
			apply(progress.NextOffset, record)
			progress.NextOffset++
		}
		if progress.NextOffset >= batch.EndOffset || len(batch.Records) == 0 {
			return progress, nil
		}
	}
}
