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

// Dependencies are the parts that a scheduler works with.
type Dependencies struct {
	Log      outside.Log
	Machines MachineList
	Engines  outside.Engine
	Tools    outside.Tool
	// Client speaks to the other schedulers.
	Client *http.Client
	Logger *zap.Logger
	// PollInterval is how often a kept engine is asked for its load report.
	PollInterval time.Duration
	// ListInterval is how often the machine list is read.
	ListInterval time.Duration
}

// MachineList is the platform's machine list as this process last read it.
type MachineList interface {
	// Newest returns the list and when it was asked for.
	Newest(ctx context.Context) (machines []outside.Machine, askedAt time.Time)
}

// Scheduler is one scheduler process.
type Scheduler struct {
	loop         *Loop
	dependencies Dependencies
	incarnation  string
	begun        time.Time
	arrivals     *arrival.Receiver
}

// New makes a scheduler that does nothing until Run.
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
		begun:        time.Now(),
		arrivals:     arrival.NewReceiver(),
	}, nil
}

// seededRandom draws a seed from the system: two starts of a process must not
// draw the same incarnation.
func seededRandom() (*mathrand.Rand, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, eris.Wrap(err, "draw a seed")
	}
	return mathrand.New(mathrand.NewSource(int64(binary.LittleEndian.Uint64(seed[:])))), nil
}

// Run drives the scheduler until the context ends.
func (scheduler *Scheduler) Run(ctx context.Context) {
	scheduler.loop.traffic = newTraffic(ctx, scheduler.loop, scheduler.dependencies)
	soon := make(chan struct{}, 1)
	scheduler.loop.traffic.readMachines = func() {
		select {
		case soon <- struct{}{}:
		default:
		}
	}
	go scheduler.readMachines(ctx, soon)
	scheduler.loop.Run(ctx)
}

// readMachines brings the machine list at intervals, and when told to.
func (scheduler *Scheduler) readMachines(ctx context.Context, soon <-chan struct{}) {
	ticker := time.NewTicker(scheduler.dependencies.ListInterval)
	defer ticker.Stop()
	for {
		machines, askedAt := scheduler.dependencies.Machines.Newest(ctx)
		if !askedAt.IsZero() {
			scheduler.loop.Post(ctx, MachinesListed{Machines: machines, AskedAt: askedAt.Sub(scheduler.loop.started)})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-soon:
		}
	}
}

// SetConfiguration brings a newer configuration.
func (scheduler *Scheduler) SetConfiguration(ctx context.Context, view ConfigurationView) {
	scheduler.loop.Post(ctx, ConfigurationChanged{View: view})
}

// SetFresh tells whether the configuration is known to be current.
func (scheduler *Scheduler) SetFresh(ctx context.Context, fresh bool) {
	scheduler.loop.Post(ctx, FreshnessChanged{Fresh: fresh})
}

const (
	handOverInterval = 100 * time.Millisecond
	// settleTime lets the last hand-over reach the other members.
	settleTime = 500 * time.Millisecond
)

// HandOver is the first part of a planned stop: leadership of every shard goes to
// other members. It returns once no shard is led here, or when ctx ends.
func (scheduler *Scheduler) HandOver(ctx context.Context) {
	defer time.Sleep(settleTime)
	ticker := time.NewTicker(handOverInterval)
	defer ticker.Stop()
	for {
		scheduler.loop.Post(ctx, StopOrdered{})
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

// Status returns the process's own view of itself.
func (scheduler *Scheduler) Status(ctx context.Context, _ *schedulerv1.StatusRequest) (*schedulerv1.StatusReply, error) {
	answer, err := scheduler.loop.Ask(ctx, func(ask AskID) Event { return StatusAsked{Ask: ask} })
	if err != nil {
		return nil, err
	}
	return answer.message.(*schedulerv1.StatusReply), nil
}
