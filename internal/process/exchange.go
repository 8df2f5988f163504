package process

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	configurationv1 "github.com/magpielug/magpielug/api/configuration/v1"
	"github.com/magpielug/magpielug/internal/configuration"
	"github.com/magpielug/magpielug/internal/outside"
)

const (
	// exchangeInterval is how often a process compares configuration versions
	// with one process of each other zone while it has reason to.
	exchangeInterval = time.Second
	// exchangeQuietInterval is how often it does so while the log answers and the
	// configuration has not changed of late.
	exchangeQuietInterval = 10 * time.Second
	// exchangeLogSilence is after how long without the log there is a reason. It
	// is above the poll's default and leaves time to hear the zones before
	// the default of configuration.fresh_bound.
	exchangeLogSilence = 2500 * time.Millisecond
	exchangeTimeout    = time.Second
)

// configurationExchange compares this process's configuration with those of
// processes in the other zones: so a process that starts while the log is away
// gets the newest round, and each knows whether a majority of zones agrees.
// With Z zones it costs a process Z-1 small requests each ten seconds, however
// many processes there are, and each second while the log is silent or for a
// while after a change. Who is asked by a process with a newer version reads the
// log at once, so that a change spreads faster than by polls.
type configurationExchange struct {
	reader   *configuration.Reader
	machines *machineCache
	client   *http.Client
	self     string
	zone     string
	// compared, changed and version belong to run: when zones were last asked,
	// when the version last changed, and to what.
	compared time.Time
	changed  time.Time
	version  uint64
}

var _ configurationv1.Exchange = (*configurationExchange)(nil)

// Compare answers another process.
func (exchange *configurationExchange) Compare(_ context.Context, request *configurationv1.CompareRequest) (*configurationv1.CompareReply, error) {
	exchange.reader.PeerAhead(request.Version)
	round := exchange.reader.Round()
	reply := &configurationv1.CompareReply{
		Zone:       exchange.zone,
		Version:    round.Version,
		NextOffset: round.NextOffset,
	}
	if request.NextOffset < round.NextOffset {
		reply.Round = round
	}
	return reply, nil
}

// run compares at intervals until the context ends.
func (exchange *configurationExchange) run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		if exchange.due(time.Now()) {
			exchange.compareWithZones(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// due tells whether to compare now, and notes that it is done.
func (exchange *configurationExchange) due(now time.Time) bool {
	if version := exchange.reader.Version(); version != exchange.version {
		exchange.version = version
		exchange.changed = now
	}
	settled := now.Sub(exchange.changed) >= exchangeQuietInterval
	logHeard := now.Sub(exchange.reader.LogHeard()) < exchangeLogSilence
	if settled && logHeard && now.Sub(exchange.compared) < exchangeQuietInterval {
		return false
	}
	exchange.compared = now
	return true
}

func (exchange *configurationExchange) compareWithZones(ctx context.Context) {
	exchange.reader.SetZones(exchange.machines.zones())
	for _, machine := range exchange.onePerZone() {
		go exchange.compare(ctx, machine)
	}
}

// onePerZone picks a random process of each other zone.
func (exchange *configurationExchange) onePerZone() []outside.Machine {
	byZone := make(map[string][]outside.Machine)
	for _, machine := range exchange.machines.machines() {
		own := machine.Role == outside.RoleGateway || machine.Role == outside.RoleScheduler
		if own && machine.Zone != exchange.zone && machine.ID != exchange.self {
			byZone[machine.Zone] = append(byZone[machine.Zone], machine)
		}
	}
	var picked []outside.Machine
	for _, machines := range byZone {
		picked = append(picked, machines[rand.IntN(len(machines))])
	}
	return picked
}

func (exchange *configurationExchange) compare(ctx context.Context, machine outside.Machine) {
	bounded, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := time.Now()
	peer := configurationv1.NewExchangeProtobufClient("http://"+machine.Address, exchange.client)
	own := exchange.reader.Round()
	reply, err := peer.Compare(bounded, &configurationv1.CompareRequest{
		Zone:       exchange.zone,
		Version:    own.Version,
		NextOffset: own.NextOffset,
	})
	if err != nil {
		return
	}
	if reply.Round != nil {
		exchange.reader.Offer(reply.Round)
	}
	exchange.reader.PeerReported(reply.Zone, reply.Version, sent)
}
