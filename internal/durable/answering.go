package durable

import "context"

// answeringKey is the context's key of who is told that an answer has begun.
type answeringKey struct{}

// withAnswering returns a context with which a Log tells when an answer begins to arrive.
func withAnswering(ctx context.Context, tell func()) context.Context {
	return context.WithValue(ctx, answeringKey{}, tell)
}

// MarkResponseStarted is called by a Log once the beginning of a call's answer has arrived: the rest is
// on its way, however long that takes, and sending the call again would only slow it down.
func MarkResponseStarted(ctx context.Context) {
	if tell, found := ctx.Value(answeringKey{}).(func()); found {
		tell()
	}
}
