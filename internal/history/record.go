package history

import (
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"google.golang.org/protobuf/proto"
)

// ToProto returns a turn in the form that the log and other nodes get.
func ToProto(turn *Turn) *nodev1.Turn {
	return &nodev1.Turn{
		Id:          turn.ID,
		Tenant:      turn.Tenant,
		Program:     turn.Program,
		Previous:    turn.PreviousID,
		Input:       turn.Input,
		Output:      turn.Output,
		EndedUnixMs: turn.Ended.UnixMilli(),
		RetentionMs: turn.Retention.Milliseconds(),
	}
}

// FromProto is the reverse of ToMessage.
func FromProto(message *nodev1.Turn) *Turn {
	return &Turn{
		ID:         message.Id,
		Tenant:     message.Tenant,
		Program:    message.Program,
		PreviousID: message.Previous,
		Input:      message.Input,
		Output:     message.Output,
		Ended:      time.UnixMilli(message.EndedUnixMs),
		Retention:  time.Duration(message.RetentionMs) * time.Millisecond,
	}
}

// ToProtos is ToMessage for a line of turns.
func ToProtos(line []*Turn) []*nodev1.Turn {
	messages := make([]*nodev1.Turn, 0, len(line))
	for _, turn := range line {
		messages = append(messages, ToProto(turn))
	}
	return messages
}

// FromProtos is the reverse of ToMessages.
func FromProtos(messages []*nodev1.Turn) []*Turn {
	line := make([]*Turn, 0, len(messages))
	for _, message := range messages {
		line = append(line, FromProto(message))
	}
	return line
}

func encode(turn *Turn) ([]byte, error) { return proto.Marshal(ToProto(turn)) }

// decode returns nil for bytes that are no turn.
func decode(record []byte) *Turn {
	var message nodev1.Turn
	if proto.Unmarshal(record, &message) != nil || message.Id == "" {
		return nil
	}
	return FromProto(&message)
}
