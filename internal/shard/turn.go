package shard

import (
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
)

// Turn is one finished call in a program's history.
type Turn = schedulerv1.Turn

// StoredTurn is one finished call as a replica keeps it: the content
// compressed. It never changes, so that traffic goroutines can decode it while
// the control goroutine goes on.
type StoredTurn struct {
	record *shardv1.FinishedCall
}

// maximumTurnBytes bounds a decoded turn.
const maximumTurnBytes = 64 << 20

var (
	// Both are safe for concurrent use by EncodeAll and DecodeAll.
	turnEncoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault))
	turnDecoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maximumTurnBytes))
)

// storeTurn compresses a finished call.
func storeTurn(turn *Turn, digest []byte, chunkBytes []uint32) StoredTurn {
	// Marshal fails only for text that is not UTF-8, which is refused before.
	body, _ := proto.Marshal(&shardv1.TurnRecord{Turn: turn, ChunkBytes: chunkBytes})
	return StoredTurn{record: &shardv1.FinishedCall{
		RequestId: turn.RequestId,
		Number:    turn.Number,
		Digest:    digest,
		Body:      turnEncoder.EncodeAll(body, nil),
	}}
}

// RequestID returns the request id of the call.
func (stored StoredTurn) RequestID() string { return stored.record.RequestId }

// Number returns the call's place in the program's order, from 1.
func (stored StoredTurn) Number() uint32 { return stored.record.Number }

// Bytes returns the size of the compressed content.
func (stored StoredTurn) Bytes() int { return len(stored.record.Body) }

// Decode returns the content.
func (stored StoredTurn) Decode() (*shardv1.TurnRecord, error) {
	body, err := turnDecoder.DecodeAll(stored.record.Body, nil)
	if err != nil {
		return nil, eris.Wrapf(err, "decompress turn %d", stored.Number())
	}
	content := &shardv1.TurnRecord{}
	if err := proto.Unmarshal(body, content); err != nil {
		return nil, eris.Wrapf(err, "decode turn %d", stored.Number())
	}
	return content, nil
}

// Prompt is a call's whole prompt before it is put together: the program's
// stored turns and what the call adds. It never changes.
type Prompt struct {
	history []StoredTurn
	added   []*schedulerv1.Message
	partial string
}

// Parts puts the prompt together, one part a message: the history first, then
// the call's own messages, then what earlier attempts have generated. An earlier
// output is a part with its text unchanged, so that an engine finds its cached
// blocks.
func (prompt Prompt) Parts() ([]string, error) {
	var parts []string
	for _, stored := range prompt.history {
		content, err := stored.Decode()
		if err != nil {
			return nil, err
		}
		parts = appendMessages(parts, content.Turn.Messages)
		if content.Turn.Output != "" {
			parts = append(parts, content.Turn.Output)
		}
	}
	parts = appendMessages(parts, prompt.added)
	if prompt.partial != "" {
		parts = append(parts, prompt.partial)
	}
	return parts, nil
}

func appendMessages(parts []string, messages []*schedulerv1.Message) []string {
	for _, message := range messages {
		parts = append(parts, "\n"+message.Role+": "+message.Content)
	}
	return parts
}
