// Package soak runs real nodes as processes, with a stand-in of the store and of
// engines, throws faults drawn from a seed at them from outside, and checks what
// callers and engines see while it does.
package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/magpielug/magpielug/rehearsal/ports"
	"github.com/magpielug/magpielug/rehearsal/relay"
	"github.com/magpielug/magpielug/rehearsal/standin/agentengine"
	"github.com/magpielug/magpielug/rehearsal/standin/logstore"
	"github.com/magpielug/magpielug/rehearsal/standin/records"
	"github.com/rotisserie/eris"
)

const (
	// partitions of each topic of the store.
	partitions = 4
	// eventsPerStream and tokensPerEvent fix what a turn gives to its caller.
	eventsPerStream = 4
	tokensPerEvent  = 9
	loopback        = "127.0.0.1:0"
)

// engine is a stand-in engine behind a door, and its service.
type engine struct {
	*agentengine.Engine
	service string
	zone    string
	door    *relay.Door
}

// world is everything around the callers.
type world struct {
	options Options
	store   *logstore.Store
	nodes   []*node

	mutex sync.Mutex
	// engines are those listed; gone are those that were taken away, whose runs
	// still count.
	engines []*engine
	gone    []*engine
	started int
	version int
}

func newWorld(options Options) (*world, error) {
	store, err := logstore.Start(loopback)
	if err != nil {
		return nil, eris.Wrap(err, "start the store's stand-in")
	}
	built := &world{options: options, store: store}
	err = built.fill()
	if err != nil {
		built.close()
		return nil, err
	}
	return built, nil
}

// fill starts the engines, publishes a configuration and makes the nodes.
func (world *world) fill() error {
	for number := range world.options.Engines {
		if err := world.addEngine(records.ServiceModels, world.options.zone(number)); err != nil {
			return err
		}
	}
	for number := range world.options.Tools {
		if err := world.addEngine(records.ServiceTools, world.options.zone(number)); err != nil {
			return err
		}
	}
	world.configure()
	picker := ports.NewPicker(ports.OfSoak)
	for number := range world.options.Nodes {
		made, err := newNode(number, world.options, world.store.Address(), picker)
		if err != nil {
			return err
		}
		world.nodes = append(world.nodes, made)
	}
	return nil
}

// addEngine starts an engine and lists it.
func (world *world) addEngine(service, zone string) error {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.started++
	started, err := agentengine.Start(loopback, fmt.Sprintf("engine-%d", world.started), eventsPerStream)
	if err != nil {
		return eris.Wrap(err, "start an engine's stand-in")
	}
	door, err := relay.OpenDoor(loopback, started.Address())
	if err != nil {
		return err
	}
	if world.options.LoadLanes > 0 {
		started.Pace = paceOf(service, world.started)
	}
	if service == records.ServiceModels {
		started.SetFaults(agentengine.Faults{Pause: world.options.EventPause})
	}
	added := &engine{Engine: started, service: service, zone: zone, door: door}
	world.engines = append(world.engines, added)
	world.list(added, records.StateReady)
	return nil
}

// paceOf is the pace of an engine by its number.
func paceOf(service string, number int) time.Duration {
	if service == records.ServiceModels {
		return modelPaces[number%len(modelPaces)]
	}
	return toolPaces[number%len(toolPaces)]
}

// list writes an engine's record.
func (world *world) list(listed *engine, state string) {
	record := records.Server{Service: listed.service, Address: listed.door.Address(), Zone: listed.zone, Slots: records.Slots, State: state}
	world.store.Put(records.TopicEngines, listed.ID, records.Encode(record))
}

// replace puts a new engine in the place of one, which is closed without a word.
func (world *world) replace(old *engine) error {
	err := world.addEngine(old.service, old.zone)
	if err != nil {
		return err
	}
	world.mutex.Lock()
	for index, listed := range world.engines {
		if listed == old {
			world.engines = append(world.engines[:index:index], world.engines[index+1:]...)
			break
		}
	}
	world.gone = append(world.gone, old)
	world.mutex.Unlock()
	old.door.Close()
	old.Close()
	world.store.Put(records.TopicEngines, old.ID, nil)
	return nil
}

// listed returns the engines that are not gone.
func (world *world) listed() []*engine {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return append([]*engine(nil), world.engines...)
}

// all returns the engines, also those that are gone.
func (world *world) all() []*engine {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return append(append([]*engine(nil), world.engines...), world.gone...)
}

// runs returns all that any engine has run.
func (world *world) runs() []agentengine.Run {
	var all []agentengine.Run
	for _, each := range world.all() {
		all = append(all, each.Runs()...)
	}
	return all
}

// owner returns the node that has claimed the most shards in its present life, and how many.
func (world *world) owner() (*node, int) {
	owner, most := world.nodes[0], -1
	for _, each := range world.nodes {
		if claimed := each.claims(); claimed > most {
			owner, most = each, claimed
		}
	}
	return owner, most
}

// configure writes the next version of the configuration and returns it. Each
// version has a route of its own, by which it can be told which one is in force.
func (world *world) configure() int {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.version++
	configuration := records.NewConfiguration(world.version, world.options.Host, tokensPerEvent)
	configuration.Routes = append(configuration.Routes, records.NewSafeRoute("version", world.options.Host, versionPath(world.version)))
	configuration.Tenants = tenantRecords(world.options.Tenants, world.version)
	world.store.Put(records.TopicOperator, records.KeyConfiguration, records.Encode(configuration))
	return world.version
}

func versionPath(version int) string { return fmt.Sprintf("/version-%d/", version) }

func (world *world) close() {
	for _, each := range world.nodes {
		each.end()
	}
	for _, each := range world.listed() {
		each.door.Close()
		each.Close()
	}
	world.store.Close()
}
