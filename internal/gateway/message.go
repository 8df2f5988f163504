package gateway

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// allowedRoles are the message roles that callers may use.
var allowedRoles = []string{"system", "developer", "user", "assistant", "tool", "function"}

// message is one message in a call's JSON body.
type message struct {
	Role    string         `json:"role"`
	Content messageContent `json:"content"`
}

// messageContent is decoded from a string, a list of text parts or null.
type messageContent string

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

const textPart = "text"

var errInvalidContent = errors.New("a message's content must be a string or a list of parts of type text")

// UnmarshalJSON concatenates the parts of a list.
func (content *messageContent) UnmarshalJSON(source []byte) error {
	var text *string
	if json.Unmarshal(source, &text) == nil {
		if text != nil {
			*content = messageContent(*text)
		}
		return nil
	}
	var parts []contentPart
	if json.Unmarshal(source, &parts) != nil {
		return errInvalidContent
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != textPart {
			return errInvalidContent
		}
		joined.WriteString(part.Text)
	}
	*content = messageContent(joined.String())
	return nil
}

// toMessages validates messages and converts them to the scheduler's type.
func toMessages(messages []message, limit int) ([]*schedulerv1.Message, error) {
	if len(messages) == 0 {
		return nil, resultcode.New(resultcode.BadRequest, "messages must contain at least one message")
	}
	if len(messages) > limit {
		return nil, resultcode.New(resultcode.BadRequest, "messages must contain at most %d messages", limit)
	}
	converted := make([]*schedulerv1.Message, 0, len(messages))
	for index, message := range messages {
		if !slices.Contains(allowedRoles, message.Role) {
			return nil, resultcode.New(resultcode.BadRequest, "messages[%d].role must be one of %s", index, strings.Join(allowedRoles, ", "))
		}
		converted = append(converted, &schedulerv1.Message{Role: message.Role, Content: string(message.Content)})
	}
	return converted, nil
}
