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

// Cluster size of the benchmarks, which measure the cost to a single node.
const (
	fleetNodes   = 1000
	fleetEngines = 10000
	fleetZones   = 6
	fleetShards  = 16
)

func fleetMember(number int) Member {
	return Member{Name: fmt.Sprintf("node-%04d", number), Address: fmt.Sprintf("10.%d.%d.%d:7600", number%fleetZones, number/250, number%250),
		Zone: fmt.Sprint("zone-", number%fleetZones), Capacity: uint32(200 + number%600), ProtocolVersion: protocolSecondAllowance}
}

// fleetEngineView returns a view of all engines' records, with offsets from 0.
func fleetEngineView() *recordView {
	directory := backend.NewDirectory()
	view := newRecordView("engines", zap.NewNop(), func(record durable.KeyedRecord) bool {
		instance := backend.Instance{ID: record.Key, Service: "models", Address: "10.0.0.1:80", Zone: "zone-0", Slots: 6}
		return directory.Upsert(instance, time.Time{}) != backend.Unchanged
	})
	view.merge(fleetRecords(0), time.Now())
	return view
}

// fleetRecords returns an update with one record of each engine, with offsets from the given one.
func fleetRecords(offset int64) durable.Update {
	const recordBytes = 250
	update := durable.Update{EndOffset: offset + fleetEngines}
	for number := range fleetEngines {
		update.Records = append(update.Records, durable.KeyedRecord{Key: fmt.Sprintf("engine-%05d", number), Value: make([]byte, recordBytes), Offset: offset + int64(number)})
	}
	return update
}

// BenchmarkFleetNodesBecomeKnown adds all nodes one by one, as at a start, and computes the
// candidates of all shards after each.
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

// BenchmarkFleetHeartbeats merges one unchanged record of each engine, as a log reader does on
// each heartbeat interval.
func BenchmarkFleetHeartbeats(b *testing.B) {
	view := fleetEngineView()
	offset := int64(fleetEngines)
	for b.Loop() {
		view.merge(fleetRecords(offset), time.Now())
		offset += fleetEngines
	}
}

// BenchmarkFleetLearnsNothingNew answers a node that lacks only the newest heartbeats, as a log
// reader does for each of its nodes on each learnInterval.
func BenchmarkFleetLearnsNothingNew(b *testing.B) {
	view := fleetEngineView()
	view.merge(fleetRecords(fleetEngines), time.Now())
	for b.Loop() {
		view.changedSince(2*fleetEngines - 1)
	}
}

// BenchmarkFleetLearnsAll answers a newly started node, and reports the size of the reply.
func BenchmarkFleetLearnsAll(b *testing.B) {
	view := fleetEngineView()
	size := 0
	for b.Loop() {
		size = proto.Size(&nodev1.LearnReply{Engines: toRecords(view.changedSince(0))})
	}
	b.ReportMetric(float64(size), "bytes/answer")
}
