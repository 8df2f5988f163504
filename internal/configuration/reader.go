package configuration

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	configurationv1 "github.com/magpielug/magpielug/api/configuration/v1"
	"github.com/magpielug/magpielug/internal/outside"
	"go.uber.org/zap"
)

// Stream is the name of the log stream that holds the changes.
const Stream = "configuration"

// readLimit is the maximum number of records per read.
const readLimit = 64

// ReaderOptions configures a Reader.
type ReaderOptions struct {
	Log outside.Log
	// Zone is the zone of the process.
	Zone string
	// Poll is the interval between reads of the stream.
	Poll time.Duration
	// FreshBound is how long a read of the log's end, or a majority of zones that report
	// this process's version, keeps the process fresh.
	FreshBound time.Duration
	// ReadTimeout bounds one read.
	ReadTimeout time.Duration
	// Changed is called with each new snapshot, in increasing order of versions, on the
	// goroutine of Run; optional.
	Changed func(snapshot *Snapshot)
	// Logger is optional.
	Logger *zap.Logger
	// Now is a monotonic clock; nil means time.Now.
	Now func() time.Time
}

// Reader follows the configuration stream. Only Run advances the register. All methods
// are safe for concurrent use.
type Reader struct {
	options      ReaderOptions
	current      atomic.Pointer[Snapshot]
	offers       chan *configurationv1.Round
	readRequests chan struct{}

	mutex    sync.Mutex
	register *Register
	fresh    *freshness
	// progress is closed and replaced on each update of register or fresh.
	progress chan struct{}
}

// NewReader returns a reader at version 0.
func NewReader(options ReaderOptions) *Reader {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	return &Reader{
		options:      options,
		offers:       make(chan *configurationv1.Round, 1),
		readRequests: make(chan struct{}, 1),
		register:     NewRegister(),
		fresh:        newFreshness(options.FreshBound, options.Zone),
		progress:     make(chan struct{}),
	}
}

// Current returns the newest configuration that this process has read; nil at version 0.
func (reader *Reader) Current() *Snapshot { return reader.current.Load() }

// Version returns the newest version that this process has read.
func (reader *Reader) Version() uint64 {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.register.Version()
}

// Fresh reports whether this process is certain to have had the newest configuration at
// some time within the freshness bound.
func (reader *Reader) Fresh() bool {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.fresh.isFresh(reader.register.Version(), reader.options.Now())
}

// SetZones sets the zones of the system, as in the machine list.
func (reader *Reader) SetZones(names []string) {
	reader.update(func() { reader.fresh.setZones(names) })
}

// RecordPeerVersion records the version that a process in zone returned in response to a
// request sent at sent, on this process's clock.
func (reader *Reader) RecordPeerVersion(zone string, version uint64, sent time.Time) {
	reader.update(func() { reader.fresh.recordPeerVersion(zone, version, sent) })
}

// LastLogRead returns the start time of the latest read that reached the stream's end; the
// zero time if there is none.
func (reader *Reader) LastLogRead() time.Time {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.fresh.lastLogRead
}

// ReadIfBehind requests an immediate read if version, sent by a peer in a request, is above
// this process's version.
func (reader *Reader) ReadIfBehind(version uint64) {
	if version > reader.Version() {
		reader.requestRead()
	}
}

// Round returns the register state to send to a peer that is behind.
func (reader *Reader) Round() *configurationv1.Round {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.register.Round()
}

// Offer submits a peer's round to Run. Of several pending rounds only the one with the
// highest offset is kept.
func (reader *Reader) Offer(round *configurationv1.Round) {
	for {
		select {
		case reader.offers <- round:
			return
		default:
		}
		select {
		case waiting := <-reader.offers:
			if waiting.GetNextOffset() > round.GetNextOffset() {
				round = waiting
			}
		default:
		}
	}
}

// requestRead requests a read before the next poll.
func (reader *Reader) requestRead() {
	select {
	case reader.readRequests <- struct{}{}:
	default:
	}
}

// readResult is the result of one read of the stream.
type readResult struct {
	sent    time.Time
	records []outside.Record
	err     error
}

// Run follows the stream until ctx ends. Reads run on another goroutine, so a read that
// hangs does not block the adoption of peers' rounds.
func (reader *Reader) Run(ctx context.Context) {
	ticker := time.NewTicker(reader.options.Poll)
	defer ticker.Stop()
	results := make(chan readResult, 1)
	reading := false
	read := func() {
		if !reading {
			reading = true
			go reader.read(ctx, reader.nextOffset(), results)
		}
	}
	read()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			read()
		case <-reader.readRequests:
			read()
		case round := <-reader.offers:
			reader.adoptRound(round)
		case result := <-results:
			reading = false
			if reader.handleRead(result) {
				read()
			}
		}
	}
}

func (reader *Reader) nextOffset() uint64 {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.register.NextOffset()
}

func (reader *Reader) read(ctx context.Context, offset uint64, results chan<- readResult) {
	sent := reader.options.Now()
	bounded, cancel := context.WithTimeout(ctx, reader.options.ReadTimeout)
	defer cancel()
	records, err := reader.options.Log.Read(bounded, Stream, offset, readLimit)
	results <- readResult{sent: sent, records: records, err: err}
}

// handleRead applies the records of a read and reports whether to read again at once.
func (reader *Reader) handleRead(result readResult) bool {
	if result.err != nil {
		reader.options.Logger.Debug("reading the configuration stream failed", zap.Error(result.err))
		return false
	}
	reader.applyRecords(result.records)
	if len(result.records) > 0 {
		return true
	}
	// Only an empty response proves that the end of the stream was reached.
	reader.update(func() { reader.fresh.recordLogRead(result.sent) })
	return false
}

// applyRecords applies the records of one read and then publishes only the newest
// version, so that a starting process skips outdated versions.
func (reader *Reader) applyRecords(records []outside.Record) {
	var decisions []Decision
	reader.update(func() {
		for _, record := range records {
			decisions = append(decisions, reader.register.Step(record.Offset, record.Data))
		}
	})
	for _, decision := range decisions {
		reader.logDecision(decision)
	}
	if len(records) > 0 {
		reader.updateCurrent()
	}
}

func (reader *Reader) logDecision(decision Decision) {
	if decision.ChangeID == "" {
		return
	}
	reader.options.Logger.Info("configuration change decided",
		zap.String("change", decision.ChangeID),
		zap.Stringer("verdict", decision.Verdict),
		zap.Uint64("version", decision.Version))
}

func (reader *Reader) adoptRound(round *configurationv1.Round) {
	_, err := decodeSnapshot(round.GetVersion(), round.GetContent())
	if err != nil {
		reader.options.Logger.Warn("cannot decode the configuration of a peer", zap.Error(err))
		return
	}
	adopted := false
	reader.update(func() { adopted = reader.register.Adopt(round) })
	if adopted {
		reader.options.Logger.Info("adopted the configuration of a peer", zap.Uint64("version", round.GetVersion()))
		reader.updateCurrent()
	}
}

// updateCurrent makes the register's version the current snapshot and calls Changed, if
// the version is new.
func (reader *Reader) updateCurrent() {
	reader.mutex.Lock()
	version, content := reader.register.Version(), reader.register.Content()
	reader.mutex.Unlock()
	current := reader.current.Load()
	if version == 0 || (current != nil && current.Version() >= version) {
		return
	}
	snapshot, err := decodeSnapshot(version, content)
	if err != nil {
		// Unreachable: Step and adoptRound reject content that cannot be decoded.
		reader.options.Logger.Error("cannot decode the configuration", zap.Error(err))
		return
	}
	reader.current.Store(snapshot)
	if reader.options.Changed != nil {
		reader.options.Changed(snapshot)
	}
}

// update calls modify under the lock and wakes the waiters on progress.
func (reader *Reader) update(modify func()) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	modify()
	close(reader.progress)
	reader.progress = make(chan struct{})
}

// changeStatus is the reader's state with regard to one change.
type changeStatus struct {
	version uint64
	// decided is nil while the change is undecided.
	decided *configurationv1.DecidedChange
	// held is true if a majority of zones holds the version of the decision.
	held bool
	// lastLogRead is the start time of the latest read that reached the log's end.
	lastLogRead time.Time
	progress    <-chan struct{}
}

// changeStatus returns the status of a change and the channel that the next update
// closes.
func (reader *Reader) changeStatus(changeID string) changeStatus {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	version := reader.register.Version()
	decided := reader.register.Decided(changeID)
	return changeStatus{
		version:     version,
		decided:     decided,
		held:        decided != nil && reader.fresh.isHeld(decided.GetVersion(), version),
		lastLogRead: reader.fresh.lastLogRead,
		progress:    reader.progress,
	}
}
