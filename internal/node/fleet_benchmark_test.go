package node

import (
	"fmt"
	"testing"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/durable"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// What one node pays for the size of a fleet of some hundred to a thousand nodes and some
// thousand engines: each of these counts must cease to grow with it.
const (
	fleetNodes   = 1000
	fleetEngines = 10000
	fleetZones   = 6
	fleetShards  = 16
)

func fleetMember(number int) Member {
	return Member{Name: fmt.Sprintf("node-%04d", number), Address: fmt.Sprintf("10.%d.%d.%d:7600", number%fleetZones, number/250, number%250),
		Zone: fmt.Sprint("zone-", number%fleetZones), Capacity: uint32(200 + number%600), ProtocolVersion: understandsSecondAllowance}
}

// fleetEngineView is a view of all engines' records, each some 250 bytes, in offsets from 0 on.
func fleetEngineView() *recordView {
	directory := backend.NewDirectory()
	view := newRecordView("engines", zap.NewNop(), func(record durable.KeyedRecord) bool {
		instance := backend.Instance{ID: record.Key, Service: "models", Address: "10.0.0.1:80", Zone: "zone-0", Slots: 6}
		return directory.Upsert(instance, time.Time{}) != backend.Unchanged
	})
	view.take(fleetRecords(0), time.Now())
	return view
}

// fleetRecords is a record of each engine, from an offset on.
func fleetRecords(offset int64) durable.Update {
	const recordBytes = 250
	update := durable.Update{End: offset + fleetEngines}
	for number := range fleetEngines {
		update.Records = append(update.Records, durable.KeyedRecord{Key: fmt.Sprintf("engine-%05d", number), Value: make([]byte, recordBytes), Offset: offset + int64(number)})
	}
	return update
}

// BenchmarkFleetNodesBecomeKnown has a node hear of all others one by one, as at a start, and
// ask after each for the owners of all shards.
func BenchmarkFleetNodesBecomeKnown(b *testing.B) {
	for b.Loop() {
		known := newMembers()
		for number := range fleetNodes {
			known.put(fleetMember(number))
			for shard := range fleetShards {
				known.candidates(shard)
			}
		}
	}
}

// BenchmarkFleetHeartbeats takes in one record of each engine that says nothing new: what a
// node that reads the log does each 1.2 s.
func BenchmarkFleetHeartbeats(b *testing.B) {
	view := fleetEngineView()
	offset := int64(fleetEngines)
	for b.Loop() {
		view.take(fleetRecords(offset), time.Now())
		offset += fleetEngines
	}
}

// BenchmarkFleetLearnsNothingNew answers a node that knows all but the newest heartbeats: what
// a node that reads the log does for each node that it reads for, each 0.3 s.
func BenchmarkFleetLearnsNothingNew(b *testing.B) {
	view := fleetEngineView()
	view.take(fleetRecords(fleetEngines), time.Now())
	for b.Loop() {
		view.since(2*fleetEngines - 1)
	}
}

// BenchmarkFleetLearnsAll answers a node that has just started, and counts the answer's bytes.
func BenchmarkFleetLearnsAll(b *testing.B) {
	view := fleetEngineView()
	size := 0
	for b.Loop() {
		size = proto.Size(&nodev1.LearnReply{Engines: toRecords(view.since(0))})
	}
	b.ReportMetric(float64(size), "bytes/answer")
}
