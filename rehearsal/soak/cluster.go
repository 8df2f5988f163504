// Package soak runs nodes as processes, with stand-ins for the log store and the
// engines, injects faults drawn from a seed, and checks invariants over what callers
// and engines observe.
package soak

import (
	"fmt"
	"slices"
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
	// partitions is the number of partitions of each topic.
	partitions = 4
	// eventsPerStream and tokensPerEvent determine the output of a turn.
	eventsPerStream = 4
	tokensPerEvent  = 9
	loopback        = "127.0.0.1:0"
)

// engine is a stand-in engine behind a proxy.
type engine struct {
	*agentengine.Engine
	service string
	zone    string
	proxy   *relay.Proxy
}

// cluster is the nodes, engines and log store of a run.
type cluster struct {
	options Options
	store   *logstore.Store
	nodes   []*node

	mutex sync.Mutex
	// engines have a published record; removed are those replaced, whose runs still
	// count.
	engines        []*engine
	removed        []*engine
	enginesStarted int
	version        int
	// closed is true once no engine is to be replaced any more.
	closed bool
}

func newCluster(options Options) (*cluster, error) {
	store, err := logstore.Start(loopback)
	if err != nil {
		return nil, eris.Wrap(err, "start log store stand-in")
	}
	created := &cluster{options: options, store: store}
	created.setRetention()
	err = created.startComponents()
	if err != nil {
		created.close()
		return nil, err
	}
	return created, nil
}

// startComponents starts the engines, publishes a configuration and creates the nodes.
func (cluster *cluster) startComponents() error {
	for number := range cluster.options.Engines {
		if err := cluster.addEngine(records.ServiceModels, cluster.options.zoneName(number)); err != nil {
			return err
		}
	}
	for number := range cluster.options.Tools {
		if err := cluster.addEngine(records.ServiceTools, cluster.options.zoneName(number)); err != nil {
			return err
		}
	}
	cluster.publishConfiguration()
	allocator := ports.NewAllocator(ports.SoakRange)
	for number := range cluster.options.Nodes {
		created, err := newNode(number, cluster.options, cluster.store.Address(), allocator)
		if err != nil {
			return err
		}
		cluster.nodes = append(cluster.nodes, created)
	}
	return nil
}

// addEngine starts an engine and publishes its record.
func (cluster *cluster) addEngine(service, zone string) error {
	cluster.mutex.Lock()
	version := cluster.versionOf(service, cluster.enginesStarted)
	cluster.mutex.Unlock()
	return cluster.addEngineOf(service, zone, version)
}

// addEngineOf starts an engine of a software version and publishes its record.
func (cluster *cluster) addEngineOf(service, zone, version string) error {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.enginesStarted++
	started, err := agentengine.Start(loopback, fmt.Sprintf("engine-%d", cluster.enginesStarted), eventsPerStream)
	if err != nil {
		return eris.Wrap(err, "start engine stand-in")
	}
	proxy, err := relay.StartProxy(loopback, started.Address())
	if err != nil {
		return err
	}
	started.Version = version
	added := &engine{Engine: started, service: service, zone: zone, proxy: proxy}
	if cluster.options.LoadFaultWorkers > 0 {
		started.BaseDelay = engineBaseDelay(service, cluster.enginesStarted)
	}
	if cluster.options.hasCrashRequests() {
		started.SetCrash(cluster.crashOf(cluster.enginesStarted, added), func(*agentengine.Engine) { cluster.handleEnd(added) })
	}
	if service == records.ServiceModels {
		started.SetFaults(agentengine.Faults{EventDelay: cluster.options.EventDelay})
	}
	cluster.engines = append(cluster.engines, added)
	cluster.publishEngine(added, records.StateReady)
	return nil
}

// engineBaseDelay returns the base delay of the engine with the given number.
func engineBaseDelay(service string, number int) time.Duration {
	if service == records.ServiceModels {
		return modelBaseDelays[number%len(modelBaseDelays)]
	}
	return toolBaseDelays[number%len(toolBaseDelays)]
}

// publishEngine publishes an engine's record.
func (cluster *cluster) publishEngine(target *engine, state string) {
	record := records.Server{Service: target.service, Address: target.proxy.Address(), Zone: target.zone, Slots: records.Slots, State: state, Version: target.Version}
	cluster.store.Put(records.TopicEngines, target.ID, records.Encode(record))
}

// replaceEngine starts a new engine and closes the old one without draining it.
func (cluster *cluster) replaceEngine(old *engine) error {
	err := cluster.addEngineOf(old.service, old.zone, old.Version)
	if err != nil {
		return err
	}
	cluster.removeEngine(old)
	return nil
}

// removeEngine closes an engine and removes its record, unless that has been done.
func (cluster *cluster) removeEngine(old *engine) {
	cluster.mutex.Lock()
	position := slices.Index(cluster.engines, old)
	if position >= 0 {
		cluster.engines = slices.Delete(slices.Clone(cluster.engines), position, position+1)
		cluster.removed = append(cluster.removed, old)
	}
	cluster.mutex.Unlock()
	if position >= 0 {
		old.proxy.Close()
		old.Close()
		cluster.store.Put(records.TopicEngines, old.ID, nil)
	}
}

// listedEngines returns the engines that have a published record.
func (cluster *cluster) listedEngines() []*engine {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return append([]*engine(nil), cluster.engines...)
}

// allEngines returns all engines, including removed ones.
func (cluster *cluster) allEngines() []*engine {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return append(append([]*engine(nil), cluster.engines...), cluster.removed...)
}

// removedEngines returns the engines that were replaced.
func (cluster *cluster) removedEngines() map[*engine]bool {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	removed := map[*engine]bool{}
	for _, each := range cluster.removed {
		removed[each] = true
	}
	return removed
}

// engineRuns returns the runs of all engines, including removed ones.
func (cluster *cluster) engineRuns() []agentengine.Run {
	var all []agentengine.Run
	for _, each := range cluster.allEngines() {
		all = append(all, each.Runs()...)
	}
	return all
}

// topOwner returns the node that has claimed the most shards since its last start, and
// their number.
func (cluster *cluster) topOwner() (*node, int) {
	owner, most := cluster.nodes[0], -1
	for _, each := range cluster.nodes {
		if claimed := each.claimedShards(); claimed > most {
			owner, most = each, claimed
		}
	}
	return owner, most
}

// publishConfiguration publishes the next version of the configuration and returns its
// number. Each version has a distinct route, which shows whether it is active on a
// node.
func (cluster *cluster) publishConfiguration() int {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.version++
	configuration := records.NewConfiguration(cluster.version, cluster.options.Host, tokensPerEvent)
	configuration.Routes = append(configuration.Routes, records.NewSafeRoute("version", cluster.options.Host, versionPath(cluster.version)))
	configuration.SetRetention(int(cluster.options.turnRetention().Seconds()))
	configuration.Tenants = tenantRecords(cluster.options.Tenants, cluster.version)
	cluster.store.Put(records.TopicOperator, records.KeyConfiguration, records.Encode(configuration))
	return cluster.version
}

func versionPath(version int) string { return fmt.Sprintf("/version-%d/", version) }

func (cluster *cluster) close() {
	cluster.mutex.Lock()
	cluster.closed = true
	cluster.mutex.Unlock()
	for _, each := range cluster.nodes {
		each.shutDown()
	}
	for _, each := range cluster.listedEngines() {
		each.proxy.Close()
		each.Close()
	}
	cluster.store.Close()
}
