package command

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/internal/httpclient"
	"github.com/magpielug/magpielug/internal/wait"
	"github.com/magpielug/magpielug/rehearsal/standin/agentengine"
	"github.com/magpielug/magpielug/rehearsal/standin/logstore"
	"github.com/magpielug/magpielug/rehearsal/standin/records"
)

const (
	// tokensPerEvent is the number of tokens that nodes count for one event of a
	// stand-in engine's stream.
	tokensPerEvent = 9
	// recordRetryInterval is the wait before a failed write to the store is retried.
	recordRetryInterval = 200 * time.Millisecond
	// recordTimeout bounds one write to the store.
	recordTimeout = 2 * time.Second
	// drainNotice is how long a draining engine still accepts requests. It exceeds the
	// 0.4 s interval at which nodes read the engines' records.
	drainNotice = time.Second
)

// Store runs a stand-in for the nodes' store that holds a configuration.
type Store struct {
	Listen string `arg:"--listen" default:"127.0.0.1:7600" placeholder:"IP:PORT" help:"address to listen on"`
	Host   string `arg:"--host" default:"127.0.0.1" help:"host that callers name; the configuration's routes are for it"`
}

// Run serves until ctx is done.
func (command *Store) Run(ctx context.Context) error {
	store, err := logstore.Start(command.Listen)
	if err != nil {
		return eris.Wrap(err, "start the store")
	}
	defer store.Close()
	configuration := records.NewConfiguration(1, command.Host, tokensPerEvent)
	store.Put(records.TopicOperator, records.KeyConfiguration, records.Encode(configuration))
	fmt.Fprintf(os.Stderr, "event=listening address=%s\n", store.Address())
	<-ctx.Done()
	return nil
}

// Engine runs a stand-in model engine for nodes.
type Engine struct {
	Listen string `arg:"--listen" default:"127.0.0.1:7610" placeholder:"IP:PORT" help:"address to listen on"`
	StoreRegistration
	Events int           `arg:"--events" default:"20" help:"events of a stream"`
	Pause  time.Duration `arg:"--pause" default:"50ms" help:"time between two events"`
}

// Run serves until ctx is done.
func (command *Engine) Run(ctx context.Context) error {
	return command.serve(ctx, command.Listen, records.ServiceModels, command.Events, agentengine.Faults{EventDelay: command.Pause})
}

// Tool runs a stand-in tool service for nodes.
type Tool struct {
	Listen string `arg:"--listen" default:"127.0.0.1:7620" placeholder:"IP:PORT" help:"address to listen on"`
	StoreRegistration
}

// Run serves until ctx is done.
func (command *Tool) Run(ctx context.Context) error {
	return command.serve(ctx, command.Listen, records.ServiceTools, 0, agentengine.Faults{})
}

// StoreRegistration holds the options of a stand-in's record in the store, from
// which nodes learn of it.
type StoreRegistration struct {
	Store string `arg:"--store" default:"127.0.0.1:7600" placeholder:"IP:PORT" help:"store to be listed in"`
	ID    string `arg:"--id" help:"name in the store; default is made of service and address"`
	Zone  string `arg:"--zone" default:"zone-1" help:"zone of the machine"`
}

// serve runs the stand-in until ctx is done. Its record in the store is first ready,
// draining on shutdown, and removed at the end.
func (entry *StoreRegistration) serve(ctx context.Context, listen, service string, events int, faults agentengine.Faults) error {
	if entry.ID == "" {
		entry.ID = service + "-" + listen
	}
	engine, err := agentengine.Start(listen, entry.ID, events)
	if err != nil {
		return eris.Wrapf(err, "start %s", entry.ID)
	}
	defer engine.Close()
	engine.SetFaults(faults)
	client, err := httpclient.New(httpclient.Options{Timeout: recordTimeout})
	if err != nil {
		return err
	}
	defer client.CloseIdleConnections()
	record := &storeRecord{
		store:  &logstore.Client{Address: entry.Store, HTTP: client},
		id:     entry.ID,
		server: records.Server{Service: service, Address: engine.Address(), Zone: entry.Zone, Slots: records.Slots},
	}
	record.writeWithRetry(ctx, records.StateReady)
	fmt.Fprintf(os.Stderr, "event=listening address=%s id=%s service=%s\n", engine.Address(), entry.ID, service)
	<-ctx.Done()
	return drainAndDeregister(context.WithoutCancel(ctx), engine, record)
}

// drainAndDeregister marks the engine as draining, waits for in-flight requests to
// finish, and removes its record. If the store can't be reached, it skips the wait
// for nodes to notice.
func drainAndDeregister(ctx context.Context, engine *agentengine.Engine, record *storeRecord) error {
	bounded, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if record.write(bounded, records.StateDraining) == nil {
		wait.Sleep(bounded, drainNotice)
	}
	err := engine.Drain(bounded)
	if err != nil {
		return eris.Wrapf(err, "requests still in flight after %s were aborted", drainTimeout)
	}
	if failure := record.remove(bounded); failure != nil {
		fmt.Fprintf(os.Stderr, "event=\"store record not removed\" id=%s error=%q\n", record.id, failure)
	}
	return nil
}

// storeRecord writes an engine's record in the store.
type storeRecord struct {
	store  *logstore.Client
	id     string
	server records.Server
}

func (entry *storeRecord) write(ctx context.Context, state string) error {
	record := entry.server
	record.State = state
	return entry.store.Put(ctx, records.TopicEngines, entry.id, records.Encode(record))
}

func (entry *storeRecord) remove(ctx context.Context) error {
	return entry.store.Put(ctx, records.TopicEngines, entry.id, nil)
}

// writeWithRetry retries until the record is written or ctx is done: the store may
// start after the engine.
func (entry *storeRecord) writeWithRetry(ctx context.Context, state string) {
	for ctx.Err() == nil {
		err := entry.write(ctx, state)
		if err == nil {
			return
		}
		fmt.Fprintf(os.Stderr, "event=\"store record not written, retrying\" id=%s error=%q\n", entry.id, err)
		wait.Sleep(ctx, recordRetryInterval)
	}
}
