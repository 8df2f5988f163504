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
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/feature"
	"google.golang.org/protobuf/proto"
)

const (
	// Intervals between reads of the nodes' records, during memberStartupPeriod and afterwards.
	memberStartupPollInterval = 500 * time.Millisecond
	memberPollInterval        = 2 * time.Second
	// memberStartupPeriod is how long after its start a node polls at the startup interval.
	memberStartupPeriod = 15 * time.Second
	// logTimeout bounds one call to the durable log.
	logTimeout = 2 * time.Second
)

// Member is a node of the cluster.
type Member struct {
	Name        string
	Address     string
	Zone        string
	Incarnation string
	Draining    bool
	// Capacity is the node's processor share in thousandths of a core, 0 if unknown.
	Capacity uint32
	// ProtocolVersion is the highest version of the protocol between nodes that the node supports.
	ProtocolVersion uint32
}

// hasNameOf reports whether another record is that of the same node.
func (member Member) hasNameOf(other Member) bool { return member.Name == other.Name }

// protocolSecondAllowance is the first protocol version in which a shard's owner may get a token
// allowance while that of a former owner is outstanding. It is the current version.
const protocolSecondAllowance = 1

// members is the set of known nodes. It is safe for concurrent use.
type members struct {
	mutex  sync.RWMutex
	byName map[string]Member
	// zones holds the zone of each node address.
	zones map[string]string
	// candidatesByShard caches candidate orders until the next change.
	candidatesByShard map[int][]Member
	// version is incremented by each change.
	version atomic.Int64
}

func newMembers() *members {
	return &members{byName: map[string]Member{}, zones: map[string]string{}, candidatesByShard: map[int][]Member{}}
}

// store adds or replaces a member. The caller holds the mutex.
func (members *members) store(member Member) {
	members.byName[member.Name] = member
	members.zones[member.Address] = member.Zone
	clear(members.candidatesByShard)
	members.version.Add(1)
}

func (members *members) put(member Member) bool {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	if members.byName[member.Name] == member {
		return false
	}
	members.store(member)
	return true
}

// addIfUnknown adds a node of which another node reported the address.
func (members *members) addIfUnknown(name, address string) {
	if name == "" || address == "" {
		return
	}
	members.mutex.Lock()
	defer members.mutex.Unlock()
	if _, found := members.byName[name]; !found {
		members.store(Member{Name: name, Address: address})
	}
}

func (members *members) get(name string) (Member, bool) {
	members.mutex.RLock()
	defer members.mutex.RUnlock()
	member, found := members.byName[name]
	return member, found
}

// activePeers returns all nodes that are not draining, except the named one.
func (members *members) activePeers(name string) []Member {
	members.mutex.RLock()
	defer members.mutex.RUnlock()
	list := make([]Member, 0, len(members.byName))
	for _, member := range members.byName {
		if member.Name != name && !member.Draining {
			list = append(list, member)
		}
	}
	return list
}

// allPeers returns all nodes except the named one, draining ones included.
func (members *members) allPeers(name string) []Member {
	members.mutex.RLock()
	defer members.mutex.RUnlock()
	list := make([]Member, 0, len(members.byName))
	for _, member := range members.byName {
		if member.Name != name {
			list = append(list, member)
		}
	}
	return list
}

// inZone returns all nodes of a zone, draining ones included.
func (members *members) inZone(zone string) []Member {
	members.mutex.RLock()
	defer members.mutex.RUnlock()
	var list []Member
	for _, member := range members.byName {
		if member.Zone == zone {
			list = append(list, member)
		}
	}
	return list
}

// allSupport reports whether all nodes that are not draining support a protocol version.
func (members *members) allSupport(version uint32) bool {
	members.mutex.RLock()
	defer members.mutex.RUnlock()
	for _, member := range members.byName {
		if !member.Draining && member.ProtocolVersion < version {
			return false
		}
	}
	return true
}

// activeCount returns the number of nodes that are not draining.
func (members *members) activeCount() int {
	members.mutex.RLock()
	defer members.mutex.RUnlock()
	count := 0
	for _, member := range members.byName {
		if !member.Draining {
			count++
		}
	}
	return count
}

// zoneOfAddress returns the zone of a node address, or "" if it is unknown.
func (members *members) zoneOfAddress(address string) string {
	members.mutex.RLock()
	defer members.mutex.RUnlock()
	return members.zones[address]
}

// randomInZone returns a random active node of a zone other than the excluded one.
func (members *members) randomInZone(zone, excluded string) (Member, bool) {
	members.mutex.RLock()
	defer members.mutex.RUnlock()
	var active []Member
	for _, member := range members.byName {
		if member.Zone == zone && member.Name != excluded && !member.Draining {
			active = append(active, member)
		}
	}
	if len(active) == 0 {
		return Member{}, false
	}
	return active[rand.IntN(len(active))], true
}

// nodesPerZone returns the number of nodes in each zone that are not draining.
func (members *members) nodesPerZone() map[string]int {
	members.mutex.RLock()
	defer members.mutex.RUnlock()
	sizes := map[string]int{}
	for _, member := range members.byName {
		if !member.Draining {
			sizes[member.Zone]++
		}
	}
	return sizes
}

// candidates returns the nodes that may own a shard in order of preference, by weighted rendezvous
// hashing. A node that leaves thus only moves its own shards. The weight is the square of the
// capacity: owning costs processor time and reads of the log, of which weak machines have little,
// but a few strong ones must not own everything. The result is cached; callers must not modify it.
func (members *members) candidates(shard int) []Member {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	if ordered, found := members.candidatesByShard[shard]; found {
		return ordered
	}
	list := make([]Member, 0, len(members.byName))
	for _, member := range members.byName {
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
	members.candidatesByShard[shard] = list
	return list
}

// peerFilter reports which nodes are passed over at a time.
type peerFilter interface {
	passesOver(name string, now time.Time) bool
}

// relayOf returns the first candidate for a zone's relay that is not passed over, or "" if there is none.
// Candidates are those for the zone's load aggregator, mostly strong machines.
func (members *members) relayOf(zone string, now time.Time, filter peerFilter) string {
	for _, candidate := range members.candidates(loadPseudoShard) {
		if candidate.Zone == zone && !filter.passesOver(candidate.Name, now) {
			return candidate.Name
		}
	}
	return ""
}

// logReaderFor returns the node of the member's zone that reads the log for it, possibly the
// member itself. Each zone has one reader per nodesPerReader nodes.
func (members *members) logReaderFor(member Member) Member {
	readers := members.logReaders(member.Zone)
	if len(readers) == 0 || slices.ContainsFunc(readers, func(reader Member) bool { return reader.Name == member.Name }) {
		return member
	}
	return readers[xxhash.Sum64String(member.Name)%uint64(len(readers))]
}

// logReaders returns the nodes of a zone that read the log for the others, in candidate order.
func (members *members) logReaders(zone string) []Member {
	nodes := members.logReaderCandidates(zone)
	return nodes[:(len(nodes)+nodesPerReader-1)/nodesPerReader]
}

// readerGroup returns the group in which a node reads engine records from the log if the engine sources of its
// zone are not current, and the number of groups.
func (members *members) readerGroup(member Member) (group, groups int) {
	nodes := members.logReaderCandidates(member.Zone)
	groups = readerGroupOf(len(nodes)-1-maxSources) + 1
	position := slices.IndexFunc(nodes, member.hasNameOf)
	if position < 0 { // It is leaving.
		return groups - 1, groups
	}
	return readerGroupOf(position - maxSources), groups
}

// earlierReaders returns the nodes of a zone, engine sources aside, whose reader group comes before that of a
// node.
func (members *members) earlierReaders(member Member) []Member {
	nodes := members.logReaderCandidates(member.Zone)
	group, _ := members.readerGroup(member)
	var earlier []Member
	for position, other := range nodes[min(maxSources, len(nodes)):] {
		if readerGroupOf(position) < group {
			earlier = append(earlier, other)
		}
	}
	return earlier
}

// logReaderCandidates returns the nodes of a zone in the order in which they are to read the log for others.
func (members *members) logReaderCandidates(zone string) []Member {
	var nodes []Member
	for _, candidate := range members.candidates(logReaderPseudoShard) {
		if candidate.Zone == zone {
			nodes = append(nodes, candidate)
		}
	}
	return nodes
}

// engineSources returns the nodes from which a member obtains engine records, in order of
// preference. If there are none, the member reads them from the log, as the first reader of each
// zone does. Engine records are renewed continuously, so reading them at every reader would
// saturate links that also carry the configuration: 19 readers of 3,000 engines would take 12 MB/s,
// more than a link of 7.5 MB/s (docs/design/newcomers.md).
func (members *members) engineSources(member Member) []Member {
	readers := members.logReaders(member.Zone)
	position := slices.IndexFunc(readers, func(reader Member) bool { return reader.Name == member.Name })
	if position >= 0 {
		return readers[:min(position, maxSources)]
	}
	if len(readers) == 0 {
		return nil
	}
	reader := members.logReaderFor(member)
	second := readers[0]
	if reader.Name == second.Name {
		second = readers[len(readers)-1]
	}
	if reader.Name == second.Name {
		return []Member{reader}
	}
	return []Member{reader, second}
}

// maxSources is the number of nodes that are a node's engine sources.
const maxSources = 2

// logReaderPseudoShard is the candidate-order key for log readers.
const logReaderPseudoShard = -1

// defaultCapacity is assumed for nodes that do not report their capacity, in thousandths of a
// core.
const defaultCapacity = 500

// candidateWeight returns a node's weight for a shard; the highest comes first. It is the
// logarithm of a uniform hash raised to the power of 1/capacity².
func candidateWeight(member Member, shard int) float64 {
	capacity := float64(member.Capacity)
	if capacity == 0 || !feature.Enabled(feature.OwnershipByCapacity) {
		capacity = defaultCapacity
	}
	hash := xxhash.Sum64String(member.Name + "/" + strconv.Itoa(shard))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return math.Log(uniform) / (capacity * capacity)
}

// decodeMember decodes a node record. It returns false if the record is empty or invalid.
func decodeMember(record durable.KeyedRecord) (Member, bool) {
	var message nodev1.NodeRecord
	if len(record.Value) == 0 || !utf8.ValidString(record.Key) || proto.Unmarshal(record.Value, &message) != nil || message.Address == "" {
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
