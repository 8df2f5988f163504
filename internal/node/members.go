package node

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/feature"
	"google.golang.org/protobuf/proto"
)

const (
	// memberPoll separates two readings of the nodes' records, shortly after the
	// start and later.
	memberPollEarly = 500 * time.Millisecond
	memberPollLate  = 2 * time.Second
	// memberEarly is how long the early pace lasts.
	memberEarly = 15 * time.Second
	// storeTimeout bounds one call at the store.
	storeTimeout = 2 * time.Second
)

// Member is another node, or this one.
type Member struct {
	Name        string
	Address     string
	Zone        string
	Incarnation string
	Draining    bool
	// Capacity is the node's share of a processor, thousandths of a core.
	Capacity uint32
	// ProtocolVersion is what the node's version understands, see understandsSecondAllowance.
	ProtocolVersion uint32
}

// understandsSecondAllowance is the least Member.Understands of nodes that count a second
// allowance of a shard's owners; it is this version's.
const understandsSecondAllowance = 1

// members holds the nodes known. It is safe for concurrent use.
type members struct {
	mutex  sync.RWMutex
	byName map[string]Member
	// zones holds the zone of each address.
	zones map[string]string
	// ordered holds the candidates of the shards that were asked for since the last change.
	ordered map[int][]Member
	// version counts the changes.
	version atomic.Int64
}

func newMembers() *members {
	return &members{byName: map[string]Member{}, zones: map[string]string{}, ordered: map[int][]Member{}}
}

// set notes a change of a node. The caller holds the mutex.
func (known *members) set(member Member) {
	known.byName[member.Name] = member
	known.zones[member.Address] = member.Zone
	clear(known.ordered)
	known.version.Add(1)
}

func (known *members) put(member Member) bool {
	known.mutex.Lock()
	defer known.mutex.Unlock()
	if known.byName[member.Name] == member {
		return false
	}
	known.set(member)
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
		known.set(Member{Name: name, Address: address})
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
		if member.Name != name && !member.Draining {
			list = append(list, member)
		}
	}
	return list
}

// allUnderstand tells whether all nodes that are not leaving understand a version's messages.
func (known *members) allUnderstand(version uint32) bool {
	known.mutex.RLock()
	defer known.mutex.RUnlock()
	for _, member := range known.byName {
		if !member.Draining && member.ProtocolVersion < version {
			return false
		}
	}
	return true
}

// staying returns the number of nodes that are not leaving.
func (known *members) staying() int {
	known.mutex.RLock()
	defer known.mutex.RUnlock()
	count := 0
	for _, member := range known.byName {
		if !member.Draining {
			count++
		}
	}
	return count
}

// zoneAt returns the zone of a node's address, empty where that is not known.
func (known *members) zoneAt(address string) string {
	known.mutex.RLock()
	defer known.mutex.RUnlock()
	return known.zones[address]
}

// someOf draws a node of a zone but one.
func (known *members) someOf(zone, but string) (Member, bool) {
	known.mutex.RLock()
	defer known.mutex.RUnlock()
	var list []Member
	for _, member := range known.byName {
		if member.Zone == zone && member.Name != but && !member.Draining {
			list = append(list, member)
		}
	}
	if len(list) == 0 {
		return Member{}, false
	}
	return list[rand.IntN(len(list))], true
}

// zoneSizes returns the number of nodes of each zone that are not leaving.
func (known *members) zoneSizes() map[string]int {
	known.mutex.RLock()
	defer known.mutex.RUnlock()
	sizes := map[string]int{}
	for _, member := range known.byName {
		if !member.Draining {
			sizes[member.Zone]++
		}
	}
	return sizes
}

// candidates returns the nodes that may own a shard, the first choice first
// (rendezvous hashing, so that a node that leaves moves its own shards only).
// The chance to come first grows with the square of a node's capacity: owning
// costs processor time and reading of the log, of which weak machines have
// little, while a few strong ones among many weak ones must not own everything.
// The order is worked out once for each change of the nodes; callers must not alter it.
func (known *members) candidates(shard int) []Member {
	known.mutex.Lock()
	defer known.mutex.Unlock()
	if ordered, found := known.ordered[shard]; found {
		return ordered
	}
	list := make([]Member, 0, len(known.byName))
	for _, member := range known.byName {
		if !member.Draining {
			list = append(list, member)
		}
	}
	weights := make(map[string]float64, len(list))
	for _, member := range list {
		weights[member.Name] = candidateWeight(member, shard)
	}
	slices.SortFunc(list, func(left, right Member) int {
		return cmp.Compare(weights[right.Name], weights[left.Name])
	})
	known.ordered[shard] = list
	return list
}

// readerFor returns the node of a member's zone that reads the store for it, or
// the member itself. Each zone has a reader for every few of its nodes: the
// first choices of a shard that no program has.
func (known *members) readerFor(member Member) Member {
	readers := known.readersOf(member.Zone)
	if len(readers) == 0 || slices.ContainsFunc(readers, func(reader Member) bool { return reader.Name == member.Name }) {
		return member
	}
	return readers[xxhash.Sum64String(member.Name)%uint64(len(readers))]
}

// readersOf returns the nodes of a zone that read the store for it, the first choice first.
func (known *members) readersOf(zone string) []Member {
	var nodes []Member
	for _, candidate := range known.candidates(readerShard) {
		if candidate.Zone == zone {
			nodes = append(nodes, candidate)
		}
	}
	return nodes[:(len(nodes)+nodesPerReader-1)/nodesPerReader]
}

// engineSources returns the nodes that tell a member of the engines, the one to ask first before
// the others. None says that the member reads the engines' records itself, as the first reader
// of each zone does. Engines repeat their records all the time: read by each reader, those of
// 3,000 engines took 12 MB a second of a link of 7.5 that the configuration comes over.
func (known *members) engineSources(member Member) []Member {
	readers := known.readersOf(member.Zone)
	place := slices.IndexFunc(readers, func(reader Member) bool { return reader.Name == member.Name })
	const mostReading = 2
	if place >= 0 {
		return readers[:min(place, mostReading)]
	}
	if len(readers) == 0 {
		return nil
	}
	own := known.readerFor(member)
	second := readers[0]
	if own.Name == second.Name {
		second = readers[len(readers)-1]
	}
	if own.Name == second.Name {
		return []Member{own}
	}
	return []Member{own, second}
}

// readerShard stands for the reading of the store in the order of candidates.
const readerShard = -1

// unknownCapacity is taken for nodes that do not tell theirs, thousandths.
const unknownCapacity = 500

// candidateWeight is a node's weight for a shard, the highest comes first
// (weighted rendezvous hashing: a uniform hash to the power of 1/weight, as a
// logarithm).
func candidateWeight(member Member, shard int) float64 {
	capacity := float64(member.Capacity)
	if capacity == 0 || !feature.Enabled(feature.OwnershipByCapacity) {
		capacity = unknownCapacity
	}
	hash := xxhash.Sum64String(member.Name + "/" + strconv.Itoa(shard))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return math.Log(uniform) / (capacity * capacity)
}

// decodeMember returns false for a record that is none.
func decodeMember(record durable.KeyedRecord) (Member, bool) {
	var message nodev1.NodeRecord
	if len(record.Value) == 0 || proto.Unmarshal(record.Value, &message) != nil {
		return Member{}, false
	}
	return Member{
		Name:            record.Key,
		Address:         message.Address,
		Zone:            message.Zone,
		Incarnation:     message.Incarnation,
		Draining:        message.Leaving,
		Capacity:        message.Capacity,
		ProtocolVersion: message.Understands,
	}, true
}
