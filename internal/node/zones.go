package node

import (
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
)

const (
	// logUnresponsiveAfter is how long the log may have answered no node that this one hears of
	// before other zones are probed. Normally its last answer is at most 0.7 s old.
	logUnresponsiveAfter = 700 * time.Millisecond
	// probeInterval is the interval between rounds of probes; probeTimeout bounds one probe.
	probeInterval = 150 * time.Millisecond
	probeTimeout  = 200 * time.Millisecond
)

// zoneTransport records successes and failures of requests to nodes by zone.
func (node *Node) zoneTransport(next http.RoundTripper) http.RoundTripper {
	return roundTripperFunc(func(request *http.Request) (*http.Response, error) {
		response, err := next.RoundTrip(request)
		zone := node.members.zoneOfAddress(request.URL.Host)
		switch {
		case err == nil:
			node.zones.RecordNodeResponse(zone, time.Now())
		case request.Context().Err() == nil || isTimeout(request.Context()):
			node.zones.RecordNodeFailure(zone, time.Now())
		}
		return response, err
	})
}

// isTimeout distinguishes an expired deadline from cancellation.
func isTimeout(ctx context.Context) bool { return ctx.Err() == context.DeadlineExceeded }

// probeZones probes zones that may be unreachable until ctx ends.
func (node *Node) probeZones(ctx context.Context) {
	if !feature.Enabled(feature.ZoneReachability) {
		return
	}
	lastUnreachable := map[string]bool{}
	isolated := false
	for ctx.Err() == nil {
		wait.Sleep(ctx, probeInterval)
		now := time.Now()
		for _, zone := range node.zones.ProbeTargets(node.otherZones(), node.logUnresponsive(now), now) {
			go node.probeZone(ctx, zone)
		}
		node.logZones(lastUnreachable, now)
		if node.zoneIsolated(now) != isolated {
			isolated = !isolated
			node.logger.Warn("zone isolated", zap.Bool("active", isolated), zap.Duration("store_silent", node.logHealth.lastResponse.age(now)))
		}
	}
}

// logZones logs when zones become unreachable and reachable again. lastUnreachable holds the states
// last logged.
func (node *Node) logZones(lastUnreachable map[string]bool, now time.Time) {
	for _, zone := range node.otherZones() {
		unreachable := !node.zones.Reachable(zone, now)
		if unreachable != lastUnreachable[zone] {
			lastUnreachable[zone] = unreachable
			node.logger.Warn("zone unreachable", zap.String("zone", zone), zap.Bool("active", unreachable))
		}
	}
}

// probeZone probes one node of a zone. zoneTransport records a response.
func (node *Node) probeZone(ctx context.Context, zone string) {
	member, found := node.members.randomInZone(zone, node.settings.Name)
	if !found {
		return
	}
	sentAt := time.Now()
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := node.peers.clientAt(member.Address).Learn(bounded, node.probeRequest())
	if err != nil && !node.mayBeSingleNodeFailure(zone) {
		node.zones.RecordProbeTimeout(zone, sentAt, time.Now())
	}
}

// probeRequest returns a request for no records. The reply only has to arrive; a node that knows no
// engine yet would get the full engine list from each zone with every probe, which could saturate
// the links between zones.
func (node *Node) probeRequest() *nodev1.LearnRequest {
	observed := node.logHealth.report(time.Now())
	return &nodev1.LearnRequest{
		ConfigurationEnd: math.MaxInt64,
		EnginesEnd:       math.MaxInt64,
		NodesEnd:         math.MaxInt64,
		LogAnswerAgeMs:   observed.responseAge,
		SlowAppendAgeMs:  observed.slowAppendAge,
		FastAppendAgeMs:  observed.fastAppendAge,
	}
}

// mayBeSingleNodeFailure reports whether an unanswered probe does not imply that the zone is
// unreachable: the zone has a single node and its engines still respond.
func (node *Node) mayBeSingleNodeFailure(zone string) bool {
	return node.members.nodesPerZone()[zone] == 1 && node.zones.EnginesRespond(zone)
}

// otherZones returns the other nodes' zones except this node's, sorted.
func (node *Node) otherZones() []string {
	var zones []string
	for zone := range node.members.nodesPerZone() {
		if zone != "" && zone != node.settings.Zone {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// logUnresponsive reports whether the log has answered no node that this one hears of for longer
// than logUnresponsiveAfter.
func (node *Node) logUnresponsive(now time.Time) bool {
	return node.ageExcludingFreeze(&node.logHealth.lastResponse, now) > logUnresponsiveAfter
}

// zoneIsolated reports whether this node's zone reaches neither the durable log nor any other
// zone.
func (node *Node) zoneIsolated(now time.Time) bool {
	return feature.Enabled(feature.ZoneReachability) && node.logUnresponsive(now) && node.zones.Isolated(node.otherZones(), now)
}

// nodeReachable reports whether a node's zone is reachable. Unknown nodes count as reachable.
func (node *Node) nodeReachable(name string, now time.Time) bool {
	if !feature.Enabled(feature.ZoneReachability) {
		return true
	}
	member, known := node.members.get(name)
	return !known || node.zones.Reachable(member.Zone, now)
}
