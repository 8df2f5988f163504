package durable

import "context"

// responseStartedKey is the context key of the callback set by withResponseStarted.
type responseStartedKey struct{}

// withResponseStarted returns a context whose callback a Log calls, through
// MarkResponseStarted, when the response begins to arrive.
func withResponseStarted(ctx context.Context, callback func()) context.Context {
	return context.WithValue(ctx, responseStartedKey{}, callback)
}

// MarkResponseStarted reports that the first bytes of a call's response have
// arrived. A Log implementation calls it so that a call is not retried while its
// response is still being transferred.
func MarkResponseStarted(ctx context.Context) {
	if callback, found := ctx.Value(responseStartedKey{}).(func()); found {
		callback()
	}
}
