package caller

import (
	"context"
	"fmt"
	"net/http"
)

// historyPageSize is the maximum number of turns requested per page.
const historyPageSize = 100

// Turn is a finished call in a program's history.
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

// GetHistory returns all turns of a program in order, reading page by page.
func (caller *Caller) GetHistory(ctx context.Context, gateway, program string) ([]Turn, error) {
	var turns []Turn
	from := uint32(0)
	for {
		var page struct {
			Turns []Turn `json:"turns"`
			Next  uint32 `json:"next"`
		}
		url := fmt.Sprintf("%s/v1/programs/%s/history?from=%d&limit=%d", gateway, program, from, historyPageSize)
		if err := caller.requestJSON(ctx, http.MethodGet, url, "", nil, &page); err != nil {
			return nil, err
		}
		turns = append(turns, page.Turns...)
		if page.Next <= from {
			return turns, nil
		}
		from = page.Next
	}
}
