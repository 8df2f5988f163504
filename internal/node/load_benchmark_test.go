package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/load"
)

// newTargetAggregator returns the aggregator of a zone in a cluster of the target size (see
// targetNodes), and one load report of each node of the zone.
func newTargetAggregator() (*loadSharing, []*nodev1.ShareLoadRequest) {
	node := &Node{settings: Settings{Name: "node-000", Zone: "zone-0"}, members: newMembers(), engines: backend.NewDirectory()}
	list := targetList()
	for _, name := range list.names {
		node.engines.Upsert(backend.Instance{ID: name, Service: "models"}, time.Time{})
	}
	var requests []*nodev1.ShareLoadRequest
	reports := targetReports(list, rand.New(rand.NewPCG(1, 2)))
	for number := range targetNodes {
		name, zone := fmt.Sprintf("node-%03d", number), fmt.Sprintf("zone-%d", number*targetZones/targetNodes)
		node.members.put(Member{Name: name, Zone: zone})
		if zone == node.settings.Zone {
			requests = append(requests, &nodev1.ShareLoadRequest{Node: name, Zone: zone, List: list.digest, Report: compressReport(toLoadReport(reports[number], list))})
		}
	}
	return newLoadSharing(node), requests
}

// BenchmarkAggregator answers one report at a time; a total is reused within totalTTL.
func BenchmarkAggregator(b *testing.B) {
	sharing, requests := newTargetAggregator()
	now := time.Now()
	step := 420 * time.Millisecond / time.Duration(len(requests))
	sequence := int64(0)
	for b.Loop() {
		sequence++
		now = now.Add(step)
		request := requests[sequence%int64(len(requests))]
		request.Sequence = sequence
		_, err := sharing.handleReport(request, now)
		if err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReport encodes a node's report and decodes the reply.
func BenchmarkReport(b *testing.B) {
	list := targetList()
	reports := targetReports(list, rand.New(rand.NewPCG(1, 2)))
	reply := compressReport(toLoadReport(engineLoadOnly(sumReports(reports)), list))
	var read load.Report
	for b.Loop() {
		compressReport(toLoadReport(reports[100], list))
		message, err := decompressReport(reply)
		if err != nil {
			b.Fatal(err)
		}
		read = fromLoadReport(message, list)
	}
	_ = read
}
