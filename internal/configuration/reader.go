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

// Stream is the log stream that holds the changes.
const Stream = "configuration"

// readLimit is the most records read at once.
const readLimit = 64

// ReaderOptions tunes a Reader.
type ReaderOptions struct {
	Log outside.Log
	// Zone is the process's own zone.
	Zone string
	// Poll is how often the stream is read.
	Poll time.Duration
	// FreshBound is how long the process stays fresh after it heard the log
	// or a majority of zones.
	FreshBound time.Duration
	// ReadTimeout bounds one read.
	ReadTimeout time.Duration
	// Changed is told of each new version, in rising order, on the reader's
	// goroutine; optional.
	Changed func(snapshot *Snapshot)
	// Logger is optional.
	Logger *zap.Logger
	// Now is the monotonic clock; nil takes time.Now.
	Now func() time.Time
}

// Reader follows the configuration stream on a goroutine of its own (Run),
// which alone advances the register. All methods are safe for concurrent use.
type Reader struct {
	options ReaderOptions
	current atomic.Pointer[Snapshot]
	offers  chan *configurationv1.Round
	pokes   chan struct{}

	mutex    sync.Mutex
	register *Register
	fresh    *freshness
	// progress is closed and replaced whenever register or fresh changes.
	progress chan struct{}
}

// NewReader returns a reader that knows nothing yet.
func NewReader(options ReaderOptions) *Reader {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	return &Reader{
		options:  options,
		offers:   make(chan *configurationv1.Round, 1),
		pokes:    make(chan struct{}, 1),
		register: NewRegister(),
		fresh:    newFreshness(options.FreshBound, options.Zone),
		progress: make(chan struct{}),
	}
}

// Current returns the configuration in force as far as this process knows, or
// nil before the first.
func (reader *Reader) Current() *Snapshot { return reader.current.Load() }

// Version returns the version in force as far as this process knows.
func (reader *Reader) Version() uint64 {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.register.Version()
}

// Fresh tells whether the process is sure, within the bound, that it knows the
// newest configuration.
func (reader *Reader) Fresh() bool {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.fresh.isFresh(reader.register.Version(), reader.options.Now())
}

// SetZones names the system's zones, as the machine list has them.
func (reader *Reader) SetZones(names []string) {
	reader.change(func() { reader.fresh.setZones(names) })
}

// PeerReported notes that a process of another zone told its version in answer
// to a request sent at sent (this process's clock).
func (reader *Reader) PeerReported(zone string, version uint64, sent time.Time) {
	reader.change(func() { reader.fresh.heardPeer(zone, version, sent) })
}

// LogHeard returns when the last read that reached the stream's end was sent.
func (reader *Reader) LogHeard() time.Time {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.fresh.logHeard
}

// PeerAhead notes that a process of another zone told a version in a request of
// its own. A newer one than this process knows is read for at once.
func (reader *Reader) PeerAhead(version uint64) {
	if version > reader.Version() {
		reader.poke()
	}
}

// Round returns the state to hand to a peer that is behind.
func (reader *Reader) Round() *configurationv1.Round {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.register.Round()
}

// Offer hands in a peer's round. One that waits already is replaced if newer.
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

// poke asks for a read without waiting for the next poll.
func (reader *Reader) poke() {
	select {
	case reader.pokes <- struct{}{}:
	default:
	}
}

// readResult is the answer to one read of the stream.
type readResult struct {
	sent    time.Time
	records []outside.Record
	err     error
}

// Run follows the stream until ctx ends. A read that hangs holds up neither
// peers' rounds nor the next poll's timing.
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
		case <-reader.pokes:
			read()
		case round := <-reader.offers:
			reader.adopt(round)
		case result := <-results:
			reading = false
			if reader.apply(result) {
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

// apply steps the register over a read's records and tells whether more wait.
func (reader *Reader) apply(result readResult) bool {
	if result.err != nil {
		reader.options.Logger.Debug("configuration stream not read", zap.Error(result.err))
		return false
	}
	reader.step(result.records)
	if len(result.records) > 0 {
		return true
	}
	// Only an empty answer shows the stream's end; a full one may be cut short.
	reader.change(func() { reader.fresh.heardLog(result.sent) })
	return false
}

// step takes the records of one read together: a process that starts goes to the
// newest version it has read at once, and shows none of those before it.
func (reader *Reader) step(records []outside.Record) {
	var decisions []Decision
	reader.change(func() {
		for _, record := range records {
			decisions = append(decisions, reader.register.Step(record.Offset, record.Data))
		}
	})
	for _, decision := range decisions {
		reader.logDecision(decision)
	}
	if len(records) > 0 {
		reader.publish()
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

func (reader *Reader) adopt(round *configurationv1.Round) {
	_, err := decodeSnapshot(round.GetVersion(), round.GetContent())
	if err != nil {
		reader.options.Logger.Warn("peer's configuration not readable", zap.Error(err))
		return
	}
	adopted := false
	reader.change(func() { adopted = reader.register.Adopt(round) })
	if adopted {
		reader.options.Logger.Info("configuration taken from a peer", zap.Uint64("version", round.GetVersion()))
		reader.publish()
	}
}

// publish makes the register's version the current one and tells the callback.
func (reader *Reader) publish() {
	reader.mutex.Lock()
	version, content := reader.register.Version(), reader.register.Content()
	reader.mutex.Unlock()
	current := reader.current.Load()
	if version == 0 || (current != nil && current.Version() >= version) {
		return
	}
	snapshot, err := decodeSnapshot(version, content)
	if err != nil {
		// Step and adopt let no content in that does not decode.
		reader.options.Logger.Error("configuration not readable", zap.Error(err))
		return
	}
	reader.current.Store(snapshot)
	if reader.options.Changed != nil {
		reader.options.Changed(snapshot)
	}
}

// change runs alter under the lock and wakes all who wait for progress.
func (reader *Reader) change(alter func()) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	alter()
	close(reader.progress)
	reader.progress = make(chan struct{})
}

// state is what a publisher waits on.
type state struct {
	version uint64
	decided *configurationv1.DecidedChange
	held    bool
	// logHeard is when the last read that reached the log's end was sent.
	logHeard time.Time
	progress <-chan struct{}
}

// look returns the state with regard to one change: how it was decided, and
// whether a majority of zones holds the version it made.
func (reader *Reader) look(changeID string) state {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	version := reader.register.Version()
	decided := reader.register.Decided(changeID)
	return state{
		version:  version,
		decided:  decided,
		held:     decided != nil && reader.fresh.isHeld(decided.GetVersion(), version),
		logHeard: reader.fresh.logHeard,
		progress: reader.progress,
	}
}
