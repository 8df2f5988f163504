// Package workerpool runs jobs on reusable goroutines. Reuse avoids growing the
// stack of a new goroutine for each job with a deep call chain, such as an HTTP
// exchange.
package workerpool

import (
	"context"
	"sync/atomic"
)

// Pool runs each job immediately on its own goroutine. It bounds the number of
// idle goroutines, not the number of running jobs. It is safe for concurrent use.
type Pool struct {
	jobs    chan func()
	done    <-chan struct{}
	maxIdle int64
	idle    atomic.Int64
}

// New returns a pool that keeps up to maxIdle idle goroutines until ctx is done.
func New(ctx context.Context, maxIdle int) *Pool {
	return &Pool{jobs: make(chan func()), done: ctx.Done(), maxIdle: int64(maxIdle)}
}

// Go runs job on an idle goroutine, or on a new one if none is idle.
func (pool *Pool) Go(job func()) {
	select {
	case pool.jobs <- job:
	default:
		go pool.run(job)
	}
}

func (pool *Pool) run(job func()) {
	for {
		job()
		if !pool.nextJob(&job) {
			return
		}
	}
}

// nextJob waits for a job and stores it in *job. It returns false if the goroutine
// should exit: enough others are idle, or the pool's context is done.
func (pool *Pool) nextJob(job *func()) bool {
	defer pool.idle.Add(-1)
	if pool.idle.Add(1) > pool.maxIdle {
		return false
	}
	*job = nil
	select {
	case *job = <-pool.jobs:
		return true
	case <-pool.done:
		return false
	}
}
