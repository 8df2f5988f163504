package process

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	configurationv1 "github.com/magpielug/magpielug/api/configuration/v1"
	"github.com/magpielug/magpielug/internal/configuration"
	"github.com/magpielug/magpielug/internal/platform"
)

const (
	// exchangeInterval is how often a process compares configuration versions
	// with one process of each other zone.
	exchangeInterval = time.Second
	exchangeTimeout  = time.Second
)

// configurationExchange compares this process's configuration with those of
// processes in the other zones: so a process that starts while the log is away
// gets the newest round, and each knows whether a majority of zones agrees.
// With Z zones it costs a process Z-1 small requests a second, however many
// processes there are.
type configurationExchange struct {
	reader   *configuration.Reader
	machines *machineCache
	client   *http.Client
	self     string
	zone     string
}

var _ configurationv1.Exchange = (*configurationExchange)(nil)

// Compare answers another process.
func (exchange *configurationExchange) Compare(_ context.Context, request *configurationv1.CompareRequest) (*configurationv1.CompareReply, error) {
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
		exchange.compareWithZones(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (exchange *configurationExchange) compareWithZones(ctx context.Context) {
	exchange.reader.SetZones(exchange.machines.zones())
	for _, machine := range exchange.onePerZone() {
		go exchange.compare(ctx, machine)
	}
}

// onePerZone picks a random process of each other zone.
func (exchange *configurationExchange) onePerZone() []platform.Machine {
	byZone := make(map[string][]platform.Machine)
	for _, machine := range exchange.machines.machines() {
		own := machine.Role == platform.RoleGateway || machine.Role == platform.RoleScheduler
		if own && machine.Zone != exchange.zone && machine.ID != exchange.self {
			byZone[machine.Zone] = append(byZone[machine.Zone], machine)
		}
	}
	var picked []platform.Machine
	for _, machines := range byZone {
		picked = append(picked, machines[rand.IntN(len(machines))])
	}
	return picked
}

func (exchange *configurationExchange) compare(ctx context.Context, machine platform.Machine) {
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
