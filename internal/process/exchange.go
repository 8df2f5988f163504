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
	// while the log is silent or the configuration has recently changed.
	exchangeInterval = time.Second
	// exchangeIdleInterval is how often it does so otherwise. It is also how long
	// after a change the configuration counts as recently changed.
	exchangeIdleInterval = 10 * time.Second
	// exchangeLogTimeout is the time without a response after which the log counts
	// as silent. It is above the default of configuration.poll, and leaves time to
	// query the zones before the default of configuration.fresh_bound.
	exchangeLogTimeout = 2500 * time.Millisecond
	exchangeTimeout    = time.Second
)

// configurationExchange compares the configuration version with a random process
// of each other zone. A process that starts while the log is unavailable thereby
// gets the latest round, and each process knows whether a majority of zones has
// its version. A process that is queried by one with a newer version reads the
// log at once, so changes spread faster than by polling. The cost for a process
// is one request for each other zone and interval, independent of the number of
// processes.
type configurationExchange struct {
	reader   *configuration.Reader
	machines *machineCache
	client   *http.Client
	self     string
	zone     string
	// The following fields are used only by the goroutine of run.
	lastCompared time.Time
	lastChanged  time.Time
	lastVersion  uint64
}

var _ configurationv1.Exchange = (*configurationExchange)(nil)

// Compare handles a request from another process. The reply has a round only if
// this process's is newer than the caller's.
func (exchange *configurationExchange) Compare(_ context.Context, request *configurationv1.CompareRequest) (*configurationv1.CompareReply, error) {
	exchange.reader.ReadIfBehind(request.Version)
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

// run compares versions at intervals until ctx is cancelled.
func (exchange *configurationExchange) run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		if exchange.due(time.Now()) {
			exchange.compareWithPeers(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// due reports whether to compare now, and if so sets lastCompared.
func (exchange *configurationExchange) due(now time.Time) bool {
	if version := exchange.reader.Version(); version != exchange.lastVersion {
		exchange.lastVersion = version
		exchange.lastChanged = now
	}
	unchanged := now.Sub(exchange.lastChanged) >= exchangeIdleInterval
	logAvailable := now.Sub(exchange.reader.LastLogRead()) < exchangeLogTimeout
	if unchanged && logAvailable && now.Sub(exchange.lastCompared) < exchangeIdleInterval {
		return false
	}
	exchange.lastCompared = now
	return true
}

func (exchange *configurationExchange) compareWithPeers(ctx context.Context) {
	exchange.reader.SetZones(exchange.machines.zones())
	for _, machine := range exchange.pickPeers() {
		go exchange.compare(ctx, machine)
	}
}

// pickPeers returns a random process of each other zone.
func (exchange *configurationExchange) pickPeers() []outside.Machine {
	byZone := make(map[string][]outside.Machine)
	for _, machine := range exchange.machines.machines() {
		isProcess := machine.Role == outside.RoleGateway || machine.Role == outside.RoleScheduler
		if isProcess && machine.Zone != exchange.zone && machine.ID != exchange.self {
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
	exchange.reader.RecordPeerVersion(reply.Zone, reply.Version, sent)
}
