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

// StoredTurn is the compressed record of one finished call. It is immutable, so any
// goroutine can decode it concurrently with Apply.
type StoredTurn struct {
	record *shardv1.FinishedCall
}

// maximumTurnBytes is the maximum size of a decompressed turn.
const maximumTurnBytes = 64 << 20

var (
	// EncodeAll and DecodeAll are safe for concurrent use.
	turnEncoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault))
	turnDecoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maximumTurnBytes))
)

func newStoredTurn(turn *Turn, digest []byte, chunkBytes []uint32) StoredTurn {
	// Marshal fails only for invalid UTF-8, which is rejected earlier.
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

// Number returns the turn number of the call, from 1.
func (stored StoredTurn) Number() uint32 { return stored.record.Number }

// Bytes returns the size of the compressed turn.
func (stored StoredTurn) Bytes() int { return len(stored.record.Body) }

// Decode decompresses and decodes the turn.
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

// Prompt holds the parts of a call's prompt: the program's stored turns, the call's
// own messages and the output of earlier attempts. It is immutable.
type Prompt struct {
	history       []StoredTurn
	newMessages   []*schedulerv1.Message
	partialOutput string
}

// Parts assembles the prompt, one part per message: the history, the call's own
// messages, and the output of earlier attempts. The output of a turn is its own part
// with unchanged text, so that it matches the engine's cached blocks.
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
	parts = appendMessages(parts, prompt.newMessages)
	if prompt.partialOutput != "" {
		parts = append(parts, prompt.partialOutput)
	}
	return parts, nil
}

func appendMessages(parts []string, messages []*schedulerv1.Message) []string {
	for _, message := range messages {
		parts = append(parts, "\n"+message.Role+": "+message.Content)
	}
	return parts
}
