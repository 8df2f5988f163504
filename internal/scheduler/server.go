package scheduler

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/arrival"
	"github.com/magpielug/magpielug/internal/outside"
)

// Dependencies are the external services and settings of a scheduler.
type Dependencies struct {
	Log      outside.Log
	Machines MachineList
	Engines  outside.Engine
	Tools    outside.Tool
	// Client is used for requests to other schedulers.
	Client *http.Client
	Logger *zap.Logger
	// PollInterval is the interval at which managed engines are polled for load reports.
	PollInterval time.Duration
	// ListInterval is the interval at which the machine list is read.
	ListInterval time.Duration
}

// MachineList is the platform's machine list as last read by this process.
type MachineList interface {
	// Newest returns the list and the time at which it was requested, which is zero if there is
	// no list yet.
	Newest(ctx context.Context) (machines []outside.Machine, askedAt time.Time)
}

// Scheduler is a scheduler process.
type Scheduler struct {
	loop         *Loop
	dependencies Dependencies
	incarnation  string
	startedAt    time.Time
	receiver     *arrival.Receiver
}

// New returns a scheduler, which is idle until Run is called.
func New(config Config, dependencies Dependencies) (*Scheduler, error) {
	random, err := seededRandom()
	if err != nil {
		return nil, err
	}
	core := NewCore(config, random)
	return &Scheduler{
		loop:         newLoop(core, dependencies.Logger),
		dependencies: dependencies,
		incarnation:  core.Incarnation(),
		startedAt:    time.Now(),
		receiver:     arrival.NewReceiver(),
	}, nil
}

// seededRandom returns a random source with a seed from the system, because two starts of a
// process must not draw the same incarnation.
func seededRandom() (*mathrand.Rand, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, eris.Wrap(err, "read random seed")
	}
	return mathrand.New(mathrand.NewSource(int64(binary.LittleEndian.Uint64(seed[:])))), nil
}

// Run drives the scheduler until the context is done.
func (scheduler *Scheduler) Run(ctx context.Context) {
	scheduler.loop.executor = newExecutor(ctx, scheduler.loop, scheduler.dependencies)
	refresh := make(chan struct{}, 1)
	scheduler.loop.executor.readMachines = func() {
		select {
		case refresh <- struct{}{}:
		default:
		}
	}
	go scheduler.readMachines(ctx, refresh)
	scheduler.loop.Run(ctx)
}

// readMachines reads the machine list at intervals and on request.
func (scheduler *Scheduler) readMachines(ctx context.Context, refresh <-chan struct{}) {
	ticker := time.NewTicker(scheduler.dependencies.ListInterval)
	defer ticker.Stop()
	for {
		machines, askedAt := scheduler.dependencies.Machines.Newest(ctx)
		if !askedAt.IsZero() {
			scheduler.loop.Post(ctx, MachinesListed{Machines: machines, RequestedAt: askedAt.Sub(scheduler.loop.started)})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-refresh:
		}
	}
}

// SetConfiguration applies a newer configuration.
func (scheduler *Scheduler) SetConfiguration(ctx context.Context, view ConfigurationView) {
	scheduler.loop.Post(ctx, ConfigurationChanged{View: view})
}

// SetFresh sets whether the configuration is known to be current.
func (scheduler *Scheduler) SetFresh(ctx context.Context, fresh bool) {
	scheduler.loop.Post(ctx, FreshnessChanged{Fresh: fresh})
}

const (
	handOverInterval = 100 * time.Millisecond
	// handOverGrace is the time for the last leadership transfer to reach the other members.
	handOverGrace = 500 * time.Millisecond
)

// HandOver starts a planned stop by transferring the leadership of all shards. It returns once
// this process leads no shard, or when ctx is done.
func (scheduler *Scheduler) HandOver(ctx context.Context) {
	defer time.Sleep(handOverGrace)
	ticker := time.NewTicker(handOverInterval)
	defer ticker.Stop()
	for {
		scheduler.loop.Post(ctx, StopRequested{})
		status, err := scheduler.Status(ctx, nil)
		if err != nil || len(status.ShardsLed) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Status returns the status of the process.
func (scheduler *Scheduler) Status(ctx context.Context, _ *schedulerv1.StatusRequest) (*schedulerv1.StatusReply, error) {
	answer, err := scheduler.loop.Ask(ctx, func(replyTo ReplyID) Event { return StatusRequested{ReplyTo: replyTo} })
	if err != nil {
		return nil, err
	}
	return answer.message.(*schedulerv1.StatusReply), nil
}
