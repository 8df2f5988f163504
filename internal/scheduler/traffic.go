package scheduler

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/workerpool"
)

const (
	streamNamePrefix  = "shard/"
	indexNamePrefix   = "shard-index/"
	streamReadLimit   = 256
	orderTimeout      = 2 * time.Second
	logTimeout        = 5 * time.Second
	peerTimeout       = 2 * time.Second
	releaseAttempts   = 3
	releaseRetryDelay = 200 * time.Millisecond
	// keptWorkers is how many goroutines wait for the next exchange or run.
	keptWorkers = 64
)

// traffic carries the core's effects out, each in goroutines of its own, and
// posts what comes of them back as events.
type traffic struct {
	ctx     context.Context
	loop    *Loop
	logger  *zap.Logger
	log     outside.Log
	engines outside.Engine
	tools   outside.Tool
	client  *http.Client
	peers   *peerSenders
	polls   *enginePolls
	// readMachines has the machine list read at once.
	readMachines func()
	workers      *workerpool.Pool

	mutex sync.Mutex
	runs  map[RunKey]context.CancelFunc
}

func newTraffic(ctx context.Context, loop *Loop, dependencies Dependencies) *traffic {
	made := &traffic{
		ctx:     ctx,
		loop:    loop,
		logger:  dependencies.Logger,
		log:     dependencies.Log,
		engines: dependencies.Engines,
		tools:   dependencies.Tools,
		client:  dependencies.Client,
		workers: workerpool.New(ctx, keptWorkers),
		runs:    make(map[RunKey]context.CancelFunc),
	}
	made.peers = newPeerSenders(made)
	made.polls = newEnginePolls(made, dependencies.PollInterval)
	made.readMachines = func() {}
	return made
}

func (traffic *traffic) carryOut(effect Effect) {
	switch effect := effect.(type) {
	case SendPeer:
		traffic.peers.send(effect)
	case RunModelCall:
		run := traffic.startRun(effect.Run)
		traffic.workers.Go(func() { traffic.runModelCall(run, effect) })
	case RunToolCall:
		go traffic.runToolCall(traffic.startRun(effect.Run), effect)
	case StopRun:
		traffic.stopRun(effect)
	case ReleaseCache:
		go traffic.releaseCache(effect)
	case LoadAdapter:
		go traffic.loadAdapter(effect)
	case SetRole:
		go traffic.setRole(effect)
	case PollEngines:
		traffic.polls.watch(effect.Engines)
	case PollEngineSoon:
		traffic.polls.poke(effect.Engine)
	case ReadMachines:
		traffic.readMachines()
	case ReadStream:
		go traffic.readStream(effect)
	case AppendStream:
		go traffic.appendStream(effect)
	case OpenStream:
		go func() { traffic.post(openStream(traffic.ctx, traffic.log, effect)) }()
	case SnapshotStream:
		go func() { traffic.post(snapshotStream(traffic.ctx, traffic.log, effect)) }()
	}
}

// overdue tells whether a decision is too old to be sent: the process was frozen between
// the two, and the back end may have left meanwhile. Nothing of the call has been sent.
func (traffic *traffic) overdue(decidedAt time.Duration) bool {
	return traffic.loop.now()-decidedAt > frozenAfter
}

// heldUp is the end of a run that was not sent in time.
func heldUp(run RunKey) RunEnded {
	return RunEnded{Run: run, End: RunNotRun, Detail: "the process was held up before the call was sent"}
}

func (traffic *traffic) post(event Event) { traffic.loop.Post(traffic.ctx, event) }

func (traffic *traffic) startRun(run RunKey) context.Context {
	ctx, cancel := context.WithCancel(traffic.ctx)
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.runs[run] = cancel
	return ctx
}

func (traffic *traffic) forgetRun(run RunKey) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if cancel := traffic.runs[run]; cancel != nil {
		cancel()
	}
	delete(traffic.runs, run)
}

// stopRun stops following a run, and cancels it at the back end if told to.
func (traffic *traffic) stopRun(effect StopRun) {
	traffic.forgetRun(effect.Run)
	if !effect.AtBackEnd || effect.Address == "" {
		return
	}
	go traffic.order("engine_cancel_failed", effect.Run.Program, func(ctx context.Context) error {
		name := backEndRequestID(effect.Run)
		return traffic.engines.Cancel(ctx, effect.Address, name, effect.Fence)
	})
}

func (traffic *traffic) releaseCache(effect ReleaseCache) {
	traffic.order("engine_release_failed", effect.Program, func(ctx context.Context) error {
		return traffic.engines.Release(ctx, effect.Address, effect.Program, effect.Fence)
	})
}

// order gives an engine an order that may be repeated, a few times. What fails
// for longer is found by the keeper's sweep.
func (traffic *traffic) order(failedEvent, program string, give func(context.Context) error) {
	var err error
	for attempt := 0; attempt < releaseAttempts; attempt++ {
		ctx, cancel := context.WithTimeout(traffic.ctx, orderTimeout)
		err = give(ctx)
		cancel()
		if err == nil || traffic.ctx.Err() != nil {
			return
		}
		time.Sleep(releaseRetryDelay)
	}
	traffic.logger.Warn(failedEvent, zap.String("program", program), zap.String("error", err.Error()))
}

func streamName(shardNumber uint32) string {
	return streamNamePrefix + strconv.FormatUint(uint64(shardNumber), 10)
}

// indexStreamName names the stream of pointers to a shard's snapshots.
func indexStreamName(shardNumber uint32) string {
	return indexNamePrefix + strconv.FormatUint(uint64(shardNumber), 10)
}

func (traffic *traffic) readStream(effect ReadStream) {
	records, err := readRecords(traffic.ctx, traffic.log, streamName(effect.Shard), effect.From)
	traffic.post(StreamRead{
		Shard:   effect.Shard,
		From:    effect.From,
		Records: records,
		AtEnd:   len(records) == 0,
		Failed:  err != nil,
	})
}

func (traffic *traffic) appendStream(effect AppendStream) {
	ctx, cancel := context.WithTimeout(traffic.ctx, logTimeout)
	defer cancel()
	_, err := traffic.log.Append(ctx, streamName(effect.Shard), effect.Data)
	if err != nil {
		// An outage must not turn into a busy loop of appends.
		time.Sleep(releaseRetryDelay)
	}
	traffic.post(StreamAppended{Shard: effect.Shard, UpTo: effect.UpTo, Stands: err == nil})
}

// exchange sends one batch to a peer and takes its answer in.
func (traffic *traffic) exchange(address string, batch *schedulerv1.PeerBatch) (*schedulerv1.PeerBatch, error) {
	ctx, cancel := context.WithTimeout(traffic.ctx, peerTimeout)
	defer cancel()
	peer := schedulerv1.NewPeerProtobufClient("http://"+address, traffic.client)
	return peer.Exchange(ctx, batch)
}
