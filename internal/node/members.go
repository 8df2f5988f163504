package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/logging"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

const (
	// memberPoll separates two readings of the nodes' records, shortly after the
	// start and later.
	memberPollEarly = 500 * time.Millisecond
	memberPollLate  = 2 * time.Second
	// memberEarly is how long the early pace lasts.
	memberEarly = 15 * time.Second
	// registerPause separates two tries to write the own record.
	registerPause = 100 * time.Millisecond
	// storeTimeout bounds one call at the store.
	storeTimeout = 2 * time.Second
)

// Member is another node, or this one.
type Member struct {
	Name        string
	Address     string
	Zone        string
	Incarnation string
	Leaving     bool
}

// members holds the nodes known. It is safe for concurrent use.
type members struct {
	mutex  sync.RWMutex
	byName map[string]Member
}

func newMembers() *members { return &members{byName: map[string]Member{}} }

func (known *members) put(member Member) bool {
	known.mutex.Lock()
	defer known.mutex.Unlock()
	if known.byName[member.Name] == member {
		return false
	}
	known.byName[member.Name] = member
	return true
}

// learn notes a node's address, told by another, where none is known.
func (known *members) learn(name, address string) {
	if name == "" || address == "" {
		return
	}
	known.mutex.Lock()
	defer known.mutex.Unlock()
	if _, found := known.byName[name]; !found {
		known.byName[name] = Member{Name: name, Address: address}
	}
}

func (known *members) get(name string) (Member, bool) {
	known.mutex.RLock()
	defer known.mutex.RUnlock()
	member, found := known.byName[name]
	return member, found
}

// others returns the nodes but one that are not leaving.
func (known *members) others(name string) []Member {
	known.mutex.RLock()
	defer known.mutex.RUnlock()
	list := make([]Member, 0, len(known.byName))
	for _, member := range known.byName {
		if member.Name != name && !member.Leaving {
			list = append(list, member)
		}
	}
	return list
}

// staying returns the number of nodes that are not leaving.
func (known *members) staying() int {
	known.mutex.RLock()
	defer known.mutex.RUnlock()
	count := 0
	for _, member := range known.byName {
		if !member.Leaving {
			count++
		}
	}
	return count
}

// candidates returns the nodes that may own a shard, the first choice first
// (rendezvous hashing, so that a node that leaves moves its own shards only).
func (known *members) candidates(shard int) []Member {
	known.mutex.RLock()
	defer known.mutex.RUnlock()
	list := make([]Member, 0, len(known.byName))
	for _, member := range known.byName {
		if !member.Leaving {
			list = append(list, member)
		}
	}
	slices.SortFunc(list, func(left, right Member) int {
		return cmp.Compare(candidateWeight(right.Name, shard), candidateWeight(left.Name, shard))
	})
	return list
}

func candidateWeight(name string, shard int) uint64 {
	return xxhash.Sum64String(name + "/" + string(rune('0'+shard)))
}

// register writes the node's own record until the store has taken it.
func register(ctx context.Context, log durable.Log, topic string, logger *zap.Logger, member Member) {
	record, err := proto.Marshal(&nodev1.NodeRecord{
		Address:     member.Address,
		Zone:        member.Zone,
		Incarnation: member.Incarnation,
		Leaving:     member.Leaving,
	})
	if err != nil {
		logger.Error("node record not encoded", logging.Cause(err))
		return
	}
	content := durable.EncodeKeyed(member.Name, record)
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err = log.Append(bounded, durable.Partition{Topic: topic}, [][]byte{content}, durable.Condition{})
		cancel()
		if err == nil {
			logger.Info("node registered", zap.String("incarnation", member.Incarnation), zap.Bool("leaving", member.Leaving))
			return
		}
		logger.Warn("node not registered", logging.Cause(err))
		sleep(ctx, registerPause)
	}
}

// sleep waits, or returns early when ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// decodeMember returns false for a record that is none.
func decodeMember(record durable.KeyedRecord) (Member, bool) {
	var message nodev1.NodeRecord
	if len(record.Value) == 0 || proto.Unmarshal(record.Value, &message) != nil {
		return Member{}, false
	}
	return Member{
		Name:        record.Key,
		Address:     message.Address,
		Zone:        message.Zone,
		Incarnation: message.Incarnation,
		Leaving:     message.Leaving,
	}, true
}
