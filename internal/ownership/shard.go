// Package ownership decides which node owns a shard of programs, through claims
// in the log, and keeps the shard's ledger while this node owns it.
//
// A claim is one append under the condition that the partition ends where the
// claimant has read to, with a higher epoch than any before it. From it on the
// store refuses the former owner's appends.
package ownership

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/spending"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

const (
	// Topic is the topic of claims and ceilings.
	Topic = "spending"
	// producer names every owner to the store; the epoch tells them apart.
	producer = "owner"
	// claimTimeout bounds a takeover.
	claimTimeout = 2500 * time.Millisecond
	// claimTries bounds the rounds of reading and appending in a takeover.
	claimTries = 8
	// claimPause separates two such rounds after a failure.
	claimPause = 40 * time.Millisecond
	// appendTimeout is how long an append of ceilings may take before it is
	// sent again with its number.
	appendTimeout = 1200 * time.Millisecond
	// firstAppendPause follows an append that the store refused; it doubles up
	// to longestAppendPause.
	firstAppendPause   = 30 * time.Millisecond
	longestAppendPause = 200 * time.Millisecond
	// unableAfter is how long the log may be silent before an owner says that
	// it can't write.
	unableAfter = 600 * time.Millisecond
	// waitLimit is how long a request for tokens waits for the log before its
	// asker is told that it has to; the asker asks again.
	waitLimit = 180 * time.Millisecond
	// accountRetention is how long an account outlasts its program's last turn.
	accountRetention = 5 * time.Minute
)

// Owner names a shard's owner and its claim.
type Owner struct {
	Node  string
	Epoch int64
	// Address is where the owner serves the other nodes.
	Address string
}

// Ask is a request for tokens.
type Ask struct {
	Program string
	Request string
	Budget  int64
	Most    int64
	// Claim tells the node to take the shard over where the log names no owner
	// that may be left in place.
	Claim bool
}

// Answer is the outcome of an Ask.
type Answer struct {
	Verdict nodev1.Verdict
	Owner   Owner
	Reason  string
}

// phase is a shard's state on this node.
type phase int

const (
	notOwned phase = iota
	claiming
	owned
	released
)

// waiter is an Ask that waits for the log or for a claim.
type waiter struct {
	ask   Ask
	since time.Time
	reply chan<- Answer
}

// shard is one shard's state. Only the control goroutine touches it.
type shard struct {
	number int
	phase  phase
	owner  Owner
	ledger *spending.Ledger
	// epoch and sequence are this node's fence while it owns the shard.
	epoch    int64
	sequence int64
	// writing is true while an append of ceilings is under way.
	writing bool
	// silentSince is when the append under way began.
	silentSince time.Time
	waiters     []waiter
}

// Yield asks the owner that a claim names whether it keeps a shard; see the
// call of that name. An error says that it does not answer.
type Yield func(ctx context.Context, claim *nodev1.Claim, shard int) (*nodev1.YieldReply, error)

// Identity is how a node appears in its claims.
type Identity struct {
	Node        string
	Incarnation string
	Address     string
}

// Manager runs the shards of a node on one control goroutine. Its methods may
// be called from any goroutine.
type Manager struct {
	log    durable.Log
	logger *zap.Logger
	self   Identity
	yield  Yield
	events chan func()
	shards []*shard
	// pace is that of the store's appends.
	pace durable.Pace
	// held tells other goroutines which shards are owned or being claimed.
	held    []atomic.Bool
	context context.Context
}

// eventQueue is how many events may wait for the control goroutine.
const eventQueue = 4096

// NewManager returns a manager for a number of shards that works until ctx
// ends. Run must be called.
func NewManager(ctx context.Context, log durable.Log, logger *zap.Logger, self Identity, shards int, yield Yield) *Manager {
	manager := &Manager{
		context: ctx,
		log:     log,
		logger:  logger,
		self:    self,
		yield:   yield,
		events:  make(chan func(), eventQueue),
	}
	manager.held = make([]atomic.Bool, shards)
	for number := range shards {
		manager.shards = append(manager.shards, &shard{number: number})
	}
	return manager
}

// Run is the control goroutine; it returns when the manager's context ends.
func (manager *Manager) Run() {
	const tick = 50 * time.Millisecond
	const expiryTicks = 200
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	ticks := 0
	for {
		select {
		case <-manager.context.Done():
			return
		case event := <-manager.events:
			event()
		case now := <-ticker.C:
			ticks++
			manager.expireWaiters(now)
			if ticks%expiryTicks == 0 {
				manager.expireAccounts(now)
			}
		}
	}
}

// post hands an event to the control goroutine.
func (manager *Manager) post(event func()) {
	select {
	case manager.events <- event:
	case <-manager.context.Done():
	}
}

// Reserve asks for tokens of a program in a shard. It waits for the log where
// that is needed, and until ctx ends.
func (manager *Manager) Reserve(ctx context.Context, number int, ask Ask) Answer {
	reply := make(chan Answer, 1)
	manager.post(func() {
		manager.reserve(manager.shards[number], waiter{ask: ask, since: time.Now(), reply: reply})
	})
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
		return unsure("the request's time is over")
	}
}

// Settle ends a turn in a shard.
func (manager *Manager) Settle(number int, program, request string, tokens int64) {
	manager.post(func() {
		shard := manager.shards[number]
		if shard.ledger != nil {
			shard.ledger.Settle(program, request, tokens, time.Now())
		}
	})
}

// Owns tells whether this node owns a shard or is claiming it.
func (manager *Manager) Owns(number int) bool { return manager.held[number].Load() }

func unsure(reason string) Answer {
	return Answer{Verdict: nodev1.Verdict_VERDICT_UNSURE, Reason: reason}
}

func (manager *Manager) reserve(shard *shard, asked waiter) {
	switch {
	case shard.phase == owned:
		manager.decide(shard, asked)
	case shard.phase == claiming:
		shard.waiters = append(shard.waiters, asked)
	case shard.phase == notOwned && asked.ask.Claim:
		shard.waiters = append(shard.waiters, asked)
		manager.claim(shard)
	default:
		asked.reply <- Answer{Verdict: nodev1.Verdict_VERDICT_NOT_OWNER, Owner: shard.owner, Reason: "another node owns the shard"}
	}
}

// decide answers a request for tokens, or lets it wait for a ceiling.
func (manager *Manager) decide(shard *shard, asked waiter) {
	verdict := shard.ledger.Reserve(asked.ask.Program, asked.ask.Request, asked.ask.Budget, asked.ask.Most, time.Now())
	switch verdict {
	case spending.Granted:
		asked.reply <- Answer{Verdict: nodev1.Verdict_VERDICT_GRANTED, Owner: shard.owner}
	case spending.Spent:
		manager.logRefusal(shard, asked.ask, "spent")
		asked.reply <- Answer{Verdict: nodev1.Verdict_VERDICT_SPENT, Owner: shard.owner, Reason: "the budget leaves no room"}
	case spending.Unsure:
		manager.logRefusal(shard, asked.ask, "unsure")
		asked.reply <- Answer{Verdict: nodev1.Verdict_VERDICT_UNSURE, Owner: shard.owner, Reason: "a former owner may have used the room left"}
	case spending.AwaitCeiling:
		if shard.unable(time.Now()) {
			asked.reply <- Answer{Verdict: nodev1.Verdict_VERDICT_UNABLE, Owner: shard.owner, Reason: "the log does not answer the owner"}
			return
		}
		shard.waiters = append(shard.waiters, asked)
	}
	manager.write(shard)
}

// logRefusal writes on what a program was refused.
func (manager *Manager) logRefusal(shard *shard, ask Ask, verdict string) {
	balance := shard.ledger.Balance(ask.Program)
	manager.logger.Info("turn refused", zap.String("key", ask.Request), zap.String("program", ask.Program),
		zap.String("verdict", verdict), zap.Int("shard", shard.number), zap.Int64("epoch", shard.epoch),
		zap.Int64("budget", ask.Budget), zap.Int64("most", ask.Most), zap.Int64("spent", balance.Spent),
		zap.Int64("doubt", balance.Doubt), zap.Int64("open", balance.Open), zap.Int64("ceiling", balance.Ceiling))
}

// unable tells whether the log has been silent too long.
func (shard *shard) unable(now time.Time) bool {
	return shard.writing && now.Sub(shard.silentSince) > unableAfter
}

// Yielded answers another node that wants to claim a shard of which this one
// made the newest claim. It keeps a shard while it can write to the log;
// otherwise it hands its accounts over.
func (manager *Manager) Yielded(ctx context.Context, number int, epoch int64) *nodev1.YieldReply {
	reply := make(chan *nodev1.YieldReply, 1)
	manager.post(func() { reply <- manager.yielded(manager.shards[number], epoch) })
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
		return &nodev1.YieldReply{Incarnation: manager.self.Incarnation, Keeps: true}
	}
}

func (manager *Manager) yielded(shard *shard, epoch int64) *nodev1.YieldReply {
	answer := &nodev1.YieldReply{Incarnation: manager.self.Incarnation}
	if shard.phase == claiming {
		answer.Keeps = true
		return answer
	}
	if shard.phase != owned || shard.epoch != epoch {
		return answer
	}
	if !shard.unable(time.Now()) {
		answer.Keeps = true
		return answer
	}
	answer.Yielded = true
	for _, account := range shard.ledger.Accounts() {
		answer.Accounts = append(answer.Accounts, encodeAccount(account))
	}
	manager.logger.Info("shard yielded", zap.Int("shard", shard.number), zap.Int64("epoch", epoch), zap.Int("programs", len(answer.Accounts)))
	manager.enter(shard, notOwned)
	shard.ledger = nil
	shard.owner = Owner{}
	manager.refuseWaiters(shard, Answer{Verdict: nodev1.Verdict_VERDICT_NOT_OWNER, Reason: "the shard was yielded"})
	return answer
}

// write starts an append of the ceilings wanted, one at a time.
func (manager *Manager) write(shard *shard) {
	if shard.writing || shard.phase != owned {
		return
	}
	ceilings := shard.ledger.Wanted()
	if len(ceilings) == 0 {
		return
	}
	shard.writing = true
	shard.silentSince = time.Now()
	shard.sequence++
	fence := durable.Fence{Producer: producer, Epoch: shard.epoch, Sequence: shard.sequence}
	partition := durable.Partition{Topic: Topic, Number: shard.number}
	go func() {
		err := manager.append(partition, fence, encodeCeilings(ceilings))
		manager.post(func() { manager.written(shard, fence.Epoch, ceilings, err) })
	}()
}

// append sends a record until its outcome is known: a repetition with the same
// number gets the first one's answer.
func (manager *Manager) append(partition durable.Partition, fence durable.Fence, record []byte) error {
	for wait := firstAppendPause; ; wait = min(2*wait, longestAppendPause) {
		ctx, cancel := context.WithTimeout(manager.context, appendTimeout)
		err := durable.Hedge(ctx, &manager.pace, func(ctx context.Context) error {
			_, err := manager.log.Append(ctx, partition, [][]byte{record}, durable.Condition{Fence: &fence})
			return err
		})
		cancel()
		if err == nil || errors.Is(err, durable.ErrFenced) || errors.Is(err, durable.ErrSequence) {
			return err
		}
		if manager.context.Err() != nil {
			return err
		}
		pause(manager.context, wait)
	}
}

func (manager *Manager) written(shard *shard, epoch int64, ceilings []spending.Ceiling, err error) {
	if shard.phase != owned || shard.epoch != epoch {
		return
	}
	shard.writing = false
	if err != nil {
		manager.lose(shard, err)
		return
	}
	shard.ledger.Written(ceilings)
	manager.decideWaiters(shard)
	manager.write(shard)
}

// enter puts a shard into a phase.
func (manager *Manager) enter(shard *shard, next phase) {
	shard.phase = next
	manager.held[shard.number].Store(next == owned || next == claiming)
}

func (manager *Manager) decideWaiters(shard *shard) {
	waiting := shard.waiters
	shard.waiters = nil
	for _, asked := range waiting {
		manager.decide(shard, asked)
	}
}

// lose lets go of a shard that another node has claimed.
func (manager *Manager) lose(shard *shard, err error) {
	manager.logger.Info("shard lost", zap.Int("shard", shard.number), zap.Int64("epoch", shard.epoch), logging.Cause(err))
	manager.enter(shard, notOwned)
	shard.ledger = nil
	shard.owner = Owner{}
	shard.writing = false
	waiting := shard.waiters
	shard.waiters = nil
	// Those that wait learn from the log who the owner is.
	for _, asked := range waiting {
		asked.ask.Claim = true
		manager.reserve(shard, asked)
	}
}

func (manager *Manager) refuseWaiters(shard *shard, answer Answer) {
	for _, asked := range shard.waiters {
		asked.reply <- answer
	}
	shard.waiters = nil
}

// expireWaiters answers those that have waited for the log too long.
func (manager *Manager) expireWaiters(now time.Time) {
	for _, shard := range manager.shards {
		kept := shard.waiters[:0]
		for _, asked := range shard.waiters {
			if now.Sub(asked.since) > waitLimit {
				asked.reply <- Answer{Verdict: nodev1.Verdict_VERDICT_WAITING, Owner: shard.owner, Reason: "the log does not answer"}
				continue
			}
			kept = append(kept, asked)
		}
		shard.waiters = kept
	}
}

func (manager *Manager) expireAccounts(now time.Time) {
	for _, shard := range manager.shards {
		if shard.ledger != nil {
			shard.ledger.Expire(now.Add(-accountRetention))
		}
	}
}

// Release hands all shards back: the ledgers' exact state is written, and
// nothing more is granted. It returns when that is done or ctx ends.
func (manager *Manager) Release(ctx context.Context) {
	done := make(chan struct{}, len(manager.shards))
	manager.post(func() {
		for _, shard := range manager.shards {
			manager.release(shard, done)
		}
	})
	for range manager.shards {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

func (manager *Manager) release(shard *shard, done chan<- struct{}) {
	if shard.phase != owned {
		manager.enter(shard, released)
		done <- struct{}{}
		return
	}
	manager.enter(shard, released)
	manager.refuseWaiters(shard, Answer{Verdict: nodev1.Verdict_VERDICT_NOT_OWNER, Reason: "the node is leaving"})
	exact := shard.ledger.Release()
	shard.owner = Owner{}
	if len(exact) == 0 || shard.writing {
		done <- struct{}{}
		return
	}
	shard.sequence++
	fence := durable.Fence{Producer: producer, Epoch: shard.epoch, Sequence: shard.sequence}
	partition := durable.Partition{Topic: Topic, Number: shard.number}
	go func() {
		_ = manager.append(partition, fence, encodeCeilings(exact))
		done <- struct{}{}
	}()
}

func encodeCeilings(ceilings []spending.Ceiling) []byte {
	record := &nodev1.SpendingRecord{}
	now := time.Now().UnixMilli()
	for _, ceiling := range ceilings {
		record.Ceilings = append(record.Ceilings, &nodev1.Ceiling{
			Program:       ceiling.Program,
			Tokens:        ceiling.Tokens,
			Settled:       ceiling.Settled,
			WrittenUnixMs: now,
		})
	}
	return marshal(record)
}

func encodeAccount(account spending.Account) *nodev1.Account {
	message := &nodev1.Account{
		Program: account.Program,
		Spent:   account.Spent,
		Doubt:   account.Doubt,
		Ceiling: account.Ceiling,
		Largest: account.Largest,
	}
	for _, turn := range account.Open {
		message.Open = append(message.Open, &nodev1.OpenTurn{Key: turn.Request, Most: turn.Most})
	}
	return message
}

func decodeAccounts(messages []*nodev1.Account) []spending.Account {
	accounts := make([]spending.Account, 0, len(messages))
	for _, message := range messages {
		account := spending.Account{
			Program: message.Program,
			Spent:   message.Spent,
			Doubt:   message.Doubt,
			Ceiling: message.Ceiling,
			Largest: message.Largest,
		}
		for _, turn := range message.Open {
			account.Open = append(account.Open, spending.OpenTurn{Request: turn.Key, Most: turn.Most})
		}
		accounts = append(accounts, account)
	}
	return accounts
}

func marshal(record proto.Message) []byte {
	content, err := proto.Marshal(record)
	if err != nil {
		panic(err) // Only invalid text fails to marshal, and ids are checked before.
	}
	return content
}
