package caller

import (
	"context"
	"fmt"
	"net/http"
)

// historyLimit is how many turns one request for a history asks for.
const historyLimit = 100

// Turn is one finished call of a program's history.
type Turn struct {
	Number       uint32    `json:"number"`
	RequestID    string    `json:"request_id"`
	Kind         string    `json:"kind"`
	Target       string    `json:"target"`
	Messages     []Message `json:"messages"`
	Output       string    `json:"output"`
	FinishReason string    `json:"finish_reason"`
	Usage        Usage     `json:"usage"`
}

// GetHistory reads a program's whole history, in the program's order.
func (caller *Caller) GetHistory(ctx context.Context, gateway, program string) ([]Turn, error) {
	var turns []Turn
	from := uint32(0)
	for {
		var part struct {
			Turns []Turn `json:"turns"`
			Next  uint32 `json:"next"`
		}
		url := fmt.Sprintf("%s/v1/programs/%s/history?from=%d&limit=%d", gateway, program, from, historyLimit)
		if err := caller.exchange(ctx, http.MethodGet, url, "", nil, &part); err != nil {
			return nil, err
		}
		turns = append(turns, part.Turns...)
		if part.Next <= from {
			return turns, nil
		}
		from = part.Next
	}
}
