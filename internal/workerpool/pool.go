// Package workerpool runs short jobs in goroutines that are kept for the next
// job. A new goroutine begins with a small stack, and a job with deep calls, as
// an HTTP exchange is, copies it several times; a kept one has done so already.
package workerpool

import (
	"context"
	"sync/atomic"
)

// Pool runs jobs, each at once in a goroutine of its own. It does not bound how
// many run; only how many goroutines wait for further jobs. It is safe for
// concurrent use.
type Pool struct {
	jobs    chan func()
	ended   <-chan struct{}
	kept    int64
	waiting atomic.Int64
}

// New returns a pool that keeps up to kept goroutines without a job, until ctx
// ends.
func New(ctx context.Context, kept int) *Pool {
	return &Pool{jobs: make(chan func()), ended: ctx.Done(), kept: int64(kept)}
}

// Go runs the job in a goroutine of its own, which may have run others before.
func (pool *Pool) Go(job func()) {
	select {
	case pool.jobs <- job:
	default:
		go pool.work(job)
	}
}

func (pool *Pool) work(job func()) {
	for {
		job()
		if !pool.await(&job) {
			return
		}
	}
}

// await waits for the next job and tells whether there is one.
func (pool *Pool) await(job *func()) bool {
	defer pool.waiting.Add(-1)
	if pool.waiting.Add(1) > pool.kept {
		return false
	}
	*job = nil
	select {
	case *job = <-pool.jobs:
		return true
	case <-pool.ended:
		return false
	}
}
