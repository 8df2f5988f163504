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
	// registerRetryDelay is the delay after a failed write.
	registerRetryDelay = 100 * time.Millisecond
	// registerCheckInterval is the interval between checks of the record.
	registerCheckInterval = 500 * time.Millisecond
	// registerReadTimeout is how long a node waits to read its existing record before it writes a
	// new one.
	registerReadTimeout = time.Second
)

// registration maintains this node's membership record in the durable log.
//
// It writes only when the log holds a different record, so that a restarted node usually writes
// nothing. If all nodes restarted at once, unconditional writes would queue in the records' single
// partition and delay reading them.
type registration struct {
	log    durable.Log
	topic  string
	logger *zap.Logger
	// self returns the current record.
	self func() Member
	// loaded reports whether the nodes' records have been read.
	loaded func() bool

	mutex sync.Mutex
	// recorded is the record in the log, the zero Member if there is none.
	recorded Member
	// changed triggers a check of the record.
	changed chan struct{}
}

func newRegistration(log durable.Log, topic string, logger *zap.Logger, self func() Member, loaded func() bool) *registration {
	return &registration{log: log, topic: topic, logger: logger, self: self, loaded: loaded, changed: make(chan struct{}, 1)}
}

// observe stores this node's record as read from the log, and reports whether it changed.
func (registration *registration) observe(recorded Member) bool {
	registration.mutex.Lock()
	defer registration.mutex.Unlock()
	changed := registration.recorded != recorded
	registration.recorded = recorded
	return changed
}

// requestCheck triggers a check of the record.
func (registration *registration) requestCheck() {
	select {
	case registration.changed <- struct{}{}:
	default:
	}
}

// outdated reports whether the record in the log differs from the current one, apart from the
// incarnation, which does not matter to other nodes.
func (registration *registration) outdated() bool {
	registration.mutex.Lock()
	defer registration.mutex.Unlock()
	recorded := registration.recorded
	current := registration.self()
	recorded.Incarnation = current.Incarnation
	return recorded != current
}

// run keeps the record up to date until ctx ends.
func (registration *registration) run(ctx context.Context) {
	registration.awaitLoaded(ctx)
	for ctx.Err() == nil {
		if registration.outdated() && !registration.write(ctx) {
			wait.Sleep(ctx, registerRetryDelay)
			continue
		}
		timer := time.NewTimer(registerCheckInterval)
		select {
		case <-ctx.Done():
		case <-registration.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// awaitLoaded waits until the nodes' records have been read, at most registerReadTimeout.
func (registration *registration) awaitLoaded(ctx context.Context) {
	deadline := time.Now().Add(registerReadTimeout)
	for !registration.loaded() && time.Now().Before(deadline) && ctx.Err() == nil {
		wait.Sleep(ctx, registerRetryDelay)
	}
}

// write appends the record to the log. It returns false if that may have failed.
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
		registration.logger.Error("node record encoding failed", logging.ErrorField(err))
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	content := durable.EncodeKeyed(member.Name, record)
	_, err = registration.log.Append(bounded, durable.Partition{Topic: registration.topic}, [][]byte{content}, durable.Condition{})
	if err != nil {
		registration.logger.Warn("node registration failed", logging.ErrorField(err))
		return false
	}
	registration.observe(member)
	registration.logger.Info("node registered", zap.String("incarnation", member.Incarnation), zap.Bool("leaving", member.Draining))
	return true
}
