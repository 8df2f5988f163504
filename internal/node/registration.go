package node

import (
	"context"
	"sync"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

const (
	// registerPause separates two tries to write the own record.
	registerPause = 100 * time.Millisecond
	// registerCheck separates two looks whether the own record is still right.
	registerCheck = 500 * time.Millisecond
	// registerUnread is how long a node waits for what the log says of it before it
	// writes its record unseen: some hundred times a usual read.
	registerUnread = time.Second
)

// registration keeps this node's record in the log as the node is.
//
// It writes only what the log does not hold yet. A node that was killed finds its record
// as it left it. Were each to write it anew, then after the loss of all nodes as many
// appends would wait in the one partition of these records, and behind them each node's
// reading of where the others are.
type registration struct {
	log    durable.Log
	topic  string
	logger *zap.Logger
	// self returns the record as it should be.
	self func() Member
	// read tells whether the records have been read once.
	read func() bool

	mutex sync.Mutex
	// recorded is what the log holds, the zero Member where it holds nothing.
	recorded Member
	// changed wakes the writer.
	changed chan struct{}
}

func newRegistration(log durable.Log, topic string, logger *zap.Logger, self func() Member, read func() bool) *registration {
	return &registration{log: log, topic: topic, logger: logger, self: self, read: read, changed: make(chan struct{}, 1)}
}

// observe notes the own record as the log holds it, and tells whether it differs from
// what was known.
func (registration *registration) observe(recorded Member) bool {
	registration.mutex.Lock()
	defer registration.mutex.Unlock()
	differs := registration.recorded != recorded
	registration.recorded = recorded
	return differs
}

// check has the record compared with the node at once.
func (registration *registration) check() {
	select {
	case registration.changed <- struct{}{}:
	default:
	}
}

// due tells whether the log holds something else than the node is. A node that was
// started anew is the same one to all others.
func (registration *registration) due() bool {
	registration.mutex.Lock()
	defer registration.mutex.Unlock()
	recorded := registration.recorded
	wanted := registration.self()
	recorded.Incarnation = wanted.Incarnation
	return recorded != wanted
}

// run keeps the record right until ctx ends.
func (registration *registration) run(ctx context.Context) {
	registration.awaitRead(ctx)
	for ctx.Err() == nil {
		if registration.due() && !registration.write(ctx) {
			wait.Sleep(ctx, registerPause)
			continue
		}
		timer := time.NewTimer(registerCheck)
		select {
		case <-ctx.Done():
		case <-registration.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// awaitRead waits until the records were read, or are not to be had for now.
func (registration *registration) awaitRead(ctx context.Context) {
	until := time.Now().Add(registerUnread)
	for !registration.read() && time.Now().Before(until) && ctx.Err() == nil {
		wait.Sleep(ctx, registerPause)
	}
}

// write puts the record into the log once. It returns false where that may have failed.
func (registration *registration) write(ctx context.Context) bool {
	member := registration.self()
	record, err := proto.Marshal(&nodev1.NodeRecord{
		Address:     member.Address,
		Zone:        member.Zone,
		Incarnation: member.Incarnation,
		Leaving:     member.Draining,
		Capacity:    member.Capacity,
		Understands: member.ProtocolVersion,
	})
	if err != nil {
		registration.logger.Error("node record not encoded", logging.Cause(err))
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	content := durable.EncodeKeyed(member.Name, record)
	_, err = registration.log.Append(bounded, durable.Partition{Topic: registration.topic}, [][]byte{content}, durable.Condition{})
	if err != nil {
		registration.logger.Warn("node not registered", logging.Cause(err))
		return false
	}
	registration.observe(member)
	registration.logger.Info("node registered", zap.String("incarnation", member.Incarnation), zap.Bool("leaving", member.Draining))
	return true
}
