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
	"github.com/rotisserie/eris"
)

const (
	// partitions of each topic of the store.
	partitions = 4
	// eventsPerStream and tokensPerEvent fix what a turn gives to its caller.
	eventsPerStream = 4
	tokensPerEvent  = 9
	serviceModels   = "models"
	serviceTools    = "tools"
	modelEngines    = 3
	toolEngines     = 2
	loopback        = "127.0.0.1:0"
	topicEngines    = "keyed.servers"
	topicOperator   = "keyed.op"
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
	for range modelEngines {
		if err := built.addEngine(serviceModels); err != nil {
			return nil, err
		}
	}
	for range toolEngines {
		if err := built.addEngine(serviceTools); err != nil {
			return nil, err
		}
	}
	built.configure()
	picker := ports.NewPicker(ports.OfSoak)
	for number := range options.Nodes {
		made, err := newNode(number, options, store.Address(), picker)
		if err != nil {
			return nil, err
		}
		built.nodes = append(built.nodes, made)
	}
	return built, nil
}

// addEngine starts an engine and lists it.
func (world *world) addEngine(service string) error {
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
	added := &engine{Engine: started, service: service, zone: world.options.zoneOf(world.started), door: door}
	world.engines = append(world.engines, added)
	world.list(added, "ready")
	return nil
}

// paceOf is the pace of an engine by its number.
func paceOf(service string, number int) time.Duration {
	if service == serviceModels {
		return modelPaces[number%len(modelPaces)]
	}
	return toolPaces[number%len(toolPaces)]
}

// list writes an engine's record.
func (world *world) list(listed *engine, state string) {
	record := fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Slots":8,"State":%q}`, listed.service, listed.door.Address(), listed.zone, state)
	world.store.Put(topicEngines, listed.ID, []byte(record))
}

// replace puts a new engine in the place of one, which is closed without a word.
func (world *world) replace(old *engine) error {
	err := world.addEngine(old.service)
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
	world.store.Put(topicEngines, old.ID, nil)
	return nil
}

// listed returns the engines that are not gone.
func (world *world) listed() []*engine {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return append([]*engine(nil), world.engines...)
}

// runs returns all that any engine has run.
func (world *world) runs() []agentengine.Run {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	var all []agentengine.Run
	for _, each := range append(append([]*engine(nil), world.engines...), world.gone...) {
		all = append(all, each.Runs()...)
	}
	return all
}

// configure writes the next version of the configuration and returns it. Each
// version has a route of its own, by which it can be told which one is in force.
func (world *world) configure() int {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.version++
	record := fmt.Sprintf(`{"Version":%d,"Routes":[
		{"Name":"kept","Host":"h","PathPrefix":"/stream/kept/","Kind":"streaming","TimeoutMs":4000,"Service":"models","MaxAttempts":1,"RetainContext":true,"RetentionS":60},
		{"Name":"plain","Host":"h","PathPrefix":"/stream/plain/","Kind":"streaming","TimeoutMs":4000,"Service":"models","MaxAttempts":1},
		{"Name":"safe","Host":"h","PathPrefix":"/safe/","Kind":"safe","TimeoutMs":2000,"Service":"tools","MaxAttempts":2},
		{"Name":"tool","Host":"h","PathPrefix":"/tool/","Kind":"unsafe","TimeoutMs":2000,"Service":"tools"},
		{"Name":"version","Host":"h","PathPrefix":%q,"Kind":"safe","TimeoutMs":2000,"Service":"tools"}],
		"Services":[{"Name":"models","MaxConnections":80,"Engine":{"Slots":8,"StreamStride":%d}},{"Name":"tools","MaxConnections":80}],
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000000},
		"Tenants":%s}`, world.version, versionPath(world.version), tokensPerEvent, tenantRecords(world.version))
	world.store.Put(topicOperator, "config", []byte(record))
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
