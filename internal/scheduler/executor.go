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
	commandTimeout    = 2 * time.Second
	logTimeout        = 5 * time.Second
	peerTimeout       = 2 * time.Second
	commandAttempts   = 3
	commandRetryDelay = 200 * time.Millisecond
	// idleWorkers is the number of goroutines that are kept for further exchanges and runs.
	idleWorkers = 64
)

// executor executes the core's effects in goroutines, and posts their results as events.
type executor struct {
	ctx     context.Context
	loop    *Loop
	logger  *zap.Logger
	log     outside.Log
	engines outside.Engine
	tools   outside.Tool
	client  *http.Client
	peers   *peerSenders
	polls   *enginePolls
	// readMachines triggers an immediate read of the machine list.
	readMachines func()
	workers      *workerpool.Pool

	mutex sync.Mutex
	runs  map[RunKey]context.CancelFunc
}

func newExecutor(ctx context.Context, loop *Loop, dependencies Dependencies) *executor {
	created := &executor{
		ctx:     ctx,
		loop:    loop,
		logger:  dependencies.Logger,
		log:     dependencies.Log,
		engines: dependencies.Engines,
		tools:   dependencies.Tools,
		client:  dependencies.Client,
		workers: workerpool.New(ctx, idleWorkers),
		runs:    make(map[RunKey]context.CancelFunc),
	}
	created.peers = newPeerSenders(created)
	created.polls = newEnginePolls(created, dependencies.PollInterval)
	created.readMachines = func() {}
	return created
}

func (executor *executor) execute(effect Effect) {
	switch effect := effect.(type) {
	case SendPeer:
		executor.peers.send(effect)
	case RunModelCall:
		run := executor.registerRun(effect.Run)
		executor.workers.Go(func() { executor.runModelCall(run, effect) })
	case RunToolCall:
		go executor.runToolCall(executor.registerRun(effect.Run), effect)
	case StopRun:
		executor.stopRun(effect)
	case ReleaseCache:
		go executor.releaseCache(effect)
	case LoadAdapter:
		go executor.loadAdapter(effect)
	case SetRole:
		go executor.setRole(effect)
	case PollEngines:
		executor.polls.watch(effect.Engines)
	case PollEngineNow:
		executor.polls.pollNow(effect.Engine)
	case ReadMachines:
		executor.readMachines()
	case ReadStream:
		go executor.readStream(effect)
	case AppendStream:
		go executor.appendStream(effect)
	case OpenStream:
		go func() { executor.post(openStream(executor.ctx, executor.log, effect)) }()
	case SnapshotStream:
		go func() { executor.post(snapshotStream(executor.ctx, executor.log, effect)) }()
	}
}

// decisionExpired reports whether a decision is too old to be acted on: the process was frozen
// since, and the back end may have left. Nothing of the call has been sent.
func (executor *executor) decisionExpired(decidedAt time.Duration) bool {
	return executor.loop.now()-decidedAt > freezeThreshold
}

// notSentInTime returns the end of a run whose decision expired before the call was sent.
func notSentInTime(run RunKey) RunEnded {
	return RunEnded{Run: run, End: RunNotRun, Detail: "the process was frozen before the call was sent"}
}

func (executor *executor) post(event Event) { executor.loop.Post(executor.ctx, event) }

func (executor *executor) registerRun(run RunKey) context.Context {
	ctx, cancel := context.WithCancel(executor.ctx)
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	executor.runs[run] = cancel
	return ctx
}

func (executor *executor) forgetRun(run RunKey) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	if cancel := executor.runs[run]; cancel != nil {
		cancel()
	}
	delete(executor.runs, run)
}

// stopRun stops following a run, and cancels it at the back end if requested.
func (executor *executor) stopRun(effect StopRun) {
	executor.forgetRun(effect.Run)
	if !effect.AtBackEnd || effect.Address == "" {
		return
	}
	go executor.sendCommand("engine_cancel_failed", effect.Run.Program, func(ctx context.Context) error {
		name := backEndRequestID(effect.Run)
		return executor.engines.Cancel(ctx, effect.Address, name, effect.Fence)
	})
}

func (executor *executor) releaseCache(effect ReleaseCache) {
	executor.sendCommand("engine_release_failed", effect.Program, func(ctx context.Context) error {
		return executor.engines.Release(ctx, effect.Address, effect.Program, effect.Fence)
	})
}

// sendCommand sends an idempotent command to an engine, with retries. If all attempts fail, the
// keeper's sweep repeats the command.
func (executor *executor) sendCommand(failedEvent, program string, send func(context.Context) error) {
	var err error
	for attempt := 0; attempt < commandAttempts; attempt++ {
		ctx, cancel := context.WithTimeout(executor.ctx, commandTimeout)
		err = send(ctx)
		cancel()
		if err == nil || executor.ctx.Err() != nil {
			return
		}
		time.Sleep(commandRetryDelay)
	}
	executor.logger.Warn(failedEvent, zap.String("program", program), zap.String("error", err.Error()))
}

func streamName(shardNumber uint32) string {
	return streamNamePrefix + strconv.FormatUint(uint64(shardNumber), 10)
}

// indexStreamName names the stream of a shard's snapshot pointers.
func indexStreamName(shardNumber uint32) string {
	return indexNamePrefix + strconv.FormatUint(uint64(shardNumber), 10)
}

func (executor *executor) readStream(effect ReadStream) {
	records, err := readRecords(executor.ctx, executor.log, streamName(effect.Shard), effect.From)
	executor.post(StreamRead{
		Shard:   effect.Shard,
		From:    effect.From,
		Records: records,
		AtEnd:   len(records) == 0,
		Failed:  err != nil,
	})
}

func (executor *executor) appendStream(effect AppendStream) {
	ctx, cancel := context.WithTimeout(executor.ctx, logTimeout)
	defer cancel()
	_, err := executor.log.Append(ctx, streamName(effect.Shard), effect.Data)
	if err != nil {
		// Limits the rate of appends during an outage.
		time.Sleep(commandRetryDelay)
	}
	executor.post(StreamAppended{Shard: effect.Shard, UpTo: effect.UpTo, Acknowledged: err == nil})
}

// exchange sends a batch to a peer and returns the batch in its reply.
func (executor *executor) exchange(address string, batch *schedulerv1.PeerBatch) (*schedulerv1.PeerBatch, error) {
	ctx, cancel := context.WithTimeout(executor.ctx, peerTimeout)
	defer cancel()
	peer := schedulerv1.NewPeerProtobufClient("http://"+address, executor.client)
	return peer.Exchange(ctx, batch)
}
