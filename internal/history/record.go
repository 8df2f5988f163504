package history

import (
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"google.golang.org/protobuf/proto"
)

// ToProto returns the message of a turn for the log and other nodes.
func ToProto(turn *Turn) *nodev1.Turn {
	message := &nodev1.Turn{
		Id:          turn.ID,
		Tenant:      turn.Tenant,
		Program:     turn.Program,
		Previous:    turn.PreviousID,
		Input:       turn.Input,
		Output:      turn.Output,
		EndedUnixMs: turn.EndedAt.UnixMilli(),
		RetentionMs: turn.Retention.Milliseconds(),
	}
	if !turn.RecordedAt.IsZero() {
		message.RecordedUnixMs = turn.RecordedAt.UnixMilli()
	}
	return message
}

// FromProto is the inverse of ToProto.
func FromProto(message *nodev1.Turn) *Turn {
	turn := &Turn{
		ID:         message.Id,
		Tenant:     message.Tenant,
		Program:    message.Program,
		PreviousID: message.Previous,
		Input:      message.Input,
		Output:     message.Output,
		EndedAt:    time.UnixMilli(message.EndedUnixMs),
		Retention:  time.Duration(message.RetentionMs) * time.Millisecond,
	}
	if message.RecordedUnixMs > 0 {
		turn.RecordedAt = time.UnixMilli(message.RecordedUnixMs)
	}
	return turn
}

// ToProtos is ToProto for a chain of turns.
func ToProtos(chain []*Turn) []*nodev1.Turn {
	messages := make([]*nodev1.Turn, 0, len(chain))
	for _, turn := range chain {
		messages = append(messages, ToProto(turn))
	}
	return messages
}

// FromProtos is the inverse of ToProtos.
func FromProtos(messages []*nodev1.Turn) []*Turn {
	chain := make([]*Turn, 0, len(messages))
	for _, message := range messages {
		chain = append(chain, FromProto(message))
	}
	return chain
}

func encode(turn *Turn) ([]byte, error) { return proto.Marshal(ToProto(turn)) }

// decode returns nil for a malformed record.
func decode(record []byte) *Turn {
	var message nodev1.Turn
	if proto.Unmarshal(record, &message) != nil || message.Id == "" {
		return nil
	}
	return FromProto(&message)
}
