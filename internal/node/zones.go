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
	// storeSilentAfter is how long the store may have answered no node that this one hears of
	// for a cut to be looked for. In good times its newest answer is at most 0.7 s old.
	storeSilentAfter = 700 * time.Millisecond
	// probePause separates two rounds of probes, probeTimeout bounds one probe.
	probePause   = 150 * time.Millisecond
	probeTimeout = 200 * time.Millisecond
)

// zoneTransport notes which zones' nodes answer.
func (node *Node) zoneTransport(next http.RoundTripper) http.RoundTripper {
	return roundTrip(func(request *http.Request) (*http.Response, error) {
		response, err := next.RoundTrip(request)
		zone := node.members.zoneAt(request.URL.Host)
		switch {
		case err == nil:
			node.zones.RecordNodeResponse(zone, time.Now())
		case request.Context().Err() == nil || isTimeout(request.Context()):
			node.zones.RecordNodeFailure(zone, time.Now())
		}
		return response, err
	})
}

// isTimeout tells an ask whose time is over from one that was given up.
func isTimeout(ctx context.Context) bool { return ctx.Err() == context.DeadlineExceeded }

// probeZones asks nodes of zones that may be cut off for as long as the node runs.
func (node *Node) probeZones(ctx context.Context) {
	if !feature.Enabled(feature.ZoneReachability) {
		return
	}
	unreached := map[string]bool{}
	alone := false
	for ctx.Err() == nil {
		wait.Sleep(ctx, probePause)
		now := time.Now()
		for _, zone := range node.zones.ProbeTargets(node.otherZones(), node.storeSilent(now), now) {
			go node.probeZone(ctx, zone)
		}
		node.logZones(unreached, now)
		if node.zoneCutOff(now) != alone {
			alone = !alone
			node.logger.Warn("zone cut off", zap.Bool("active", alone), zap.Duration("store_silent", node.logHealth.answered.age(now)))
		}
	}
}

// logZones logs which zones are lost and reached again.
func (node *Node) logZones(unreached map[string]bool, now time.Time) {
	for _, zone := range node.otherZones() {
		lost := !node.zones.Reachable(zone, now)
		if lost != unreached[zone] {
			unreached[zone] = lost
			node.logger.Warn("zone out of reach", zap.String("zone", zone), zap.Bool("active", lost))
		}
	}
}

// probeZone asks one node of a zone. Its answer, or that of any engine there, is noted
// where it arrives.
func (node *Node) probeZone(ctx context.Context, zone string) {
	member, found := node.members.someOf(zone, node.settings.Name)
	if !found {
		return
	}
	sent := time.Now()
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := node.peers.at(member.Address).Learn(bounded, node.probeRequest())
	if err != nil && !node.mayBeLostAlone(zone) {
		node.zones.RecordProbeTimeout(zone, sent, time.Now())
	}
}

// probeRequest asks for no records: what counts is that an answer comes. A node that knew no
// engine yet was sent the whole list by each zone that it probed, six times a second, and the
// links that made the store seem silent carried nothing else.
func (node *Node) probeRequest() *nodev1.LearnRequest {
	return &nodev1.LearnRequest{
		ConfigurationEnd: math.MaxInt64,
		EnginesEnd:       math.MaxInt64,
		NodesEnd:         math.MaxInt64,
		LogAnswerAgeMs:   node.logHealth.ageMilliseconds(time.Now()),
	}
}

// mayBeLostAlone tells whether the silence of a zone's nodes says nothing of the zone: there
// is a single one, and the zone's engines answered last. Where it is lost they go on working.
func (node *Node) mayBeLostAlone(zone string) bool {
	return node.members.zoneSizes()[zone] == 1 && node.zones.EnginesRespond(zone)
}

// otherZones returns the zones of the other nodes known, in order.
func (node *Node) otherZones() []string {
	var zones []string
	for zone := range node.members.zoneSizes() {
		if zone != "" && zone != node.settings.Zone {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// storeSilent tells whether the store has answered no node that this one hears of for long.
func (node *Node) storeSilent(now time.Time) bool {
	return node.awakeAge(&node.logHealth.answered, now) > storeSilentAfter
}

// zoneCutOff tells whether this node's zone reaches neither the store nor another zone. Its
// callers are better off in another zone.
func (node *Node) zoneCutOff(now time.Time) bool {
	return feature.Enabled(feature.ZoneReachability) && node.storeSilent(now) && node.zones.Isolated(node.otherZones(), now)
}

// reaches tells whether a node's zone is reached.
func (node *Node) reaches(name string, now time.Time) bool {
	if !feature.Enabled(feature.ZoneReachability) {
		return true
	}
	member, known := node.members.get(name)
	return !known || node.zones.Reachable(member.Zone, now)
}
