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
	// tokensPerEvent is what an event of a stand-in engine's stream counts for.
	tokensPerEvent = 9
	// announceRetry is the wait before a failed record is written again.
	announceRetry = 200 * time.Millisecond
	// announceTimeout bounds one write of a record.
	announceTimeout = 2 * time.Second
	// leaveNotice is how long a leaving engine still takes requests: nodes read the
	// engines' records every 0.4 s.
	leaveNotice = time.Second
)

// Store runs a stand-in of the nodes' store, with a configuration in it.
type Store struct {
	Listen string `arg:"--listen" default:"127.0.0.1:7600" placeholder:"IP:PORT" help:"address to listen on"`
	Host   string `arg:"--host" default:"127.0.0.1" help:"host that callers name; the configuration's routes are for it"`
}

// Run serves until ctx ends.
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

// Engine runs a stand-in model engine.
type Engine struct {
	Listen string `arg:"--listen" default:"127.0.0.1:7610" placeholder:"IP:PORT" help:"address to listen on"`
	NodeBackEnd
	Events int           `arg:"--events" default:"20" help:"events of a stream"`
	Pause  time.Duration `arg:"--pause" default:"50ms" help:"time between two events"`
}

// Run serves until ctx ends.
func (command *Engine) Run(ctx context.Context) error {
	return command.serve(ctx, command.Listen, records.ServiceModels, command.Events, agentengine.Faults{Pause: command.Pause})
}

// Tool runs a stand-in tool service.
type Tool struct {
	Listen string `arg:"--listen" default:"127.0.0.1:7620" placeholder:"IP:PORT" help:"address to listen on"`
	NodeBackEnd
}

// Run serves until ctx ends.
func (command *Tool) Run(ctx context.Context) error {
	return command.serve(ctx, command.Listen, records.ServiceTools, 0, agentengine.Faults{})
}

// NodeBackEnd puts a stand-in on the list of engines that nodes read in the store.
type NodeBackEnd struct {
	Store string `arg:"--store" default:"127.0.0.1:7600" placeholder:"IP:PORT" help:"store to be listed in"`
	ID    string `arg:"--id" help:"name in the store; default is made of service and address"`
	Zone  string `arg:"--zone" default:"zone-1" help:"zone of the machine"`
}

// serve runs the stand-in until ctx ends: listed as ready, then as leaving, then gone.
func (entry *NodeBackEnd) serve(ctx context.Context, listen, service string, events int, faults agentengine.Faults) error {
	if entry.ID == "" {
		entry.ID = service + "-" + listen
	}
	engine, err := agentengine.Start(listen, entry.ID, events)
	if err != nil {
		return eris.Wrapf(err, "start %s", entry.ID)
	}
	defer engine.Close()
	engine.SetFaults(faults)
	client, err := httpclient.New(httpclient.Options{Timeout: announceTimeout})
	if err != nil {
		return err
	}
	defer client.CloseIdleConnections()
	listed := &listing{
		store:  &logstore.Client{Address: entry.Store, HTTP: client},
		id:     entry.ID,
		server: records.Server{Service: service, Address: engine.Address(), Zone: entry.Zone, Slots: records.Slots},
	}
	listed.keepTrying(ctx, records.StateReady)
	fmt.Fprintf(os.Stderr, "event=listening address=%s id=%s service=%s\n", engine.Address(), entry.ID, service)
	<-ctx.Done()
	return leave(context.WithoutCancel(ctx), engine, listed)
}

// leave has the nodes send nothing new, lets what is under way finish, and takes the engine
// off the list. A store that is gone needs no record.
func leave(ctx context.Context, engine *agentengine.Engine, listed *listing) error {
	bounded, cancel := context.WithTimeout(ctx, standInDrain)
	defer cancel()
	if listed.write(bounded, records.StateDraining) == nil {
		wait.Sleep(bounded, leaveNotice)
	}
	err := engine.Drain(bounded)
	if err != nil {
		return eris.Wrapf(err, "requests were cut after %s", standInDrain)
	}
	if failure := listed.remove(bounded); failure != nil {
		fmt.Fprintf(os.Stderr, "event=\"not taken off the list\" id=%s error=%q\n", listed.id, failure)
	}
	return nil
}

// listing is an engine's record in the store.
type listing struct {
	store  *logstore.Client
	id     string
	server records.Server
}

func (listing *listing) write(ctx context.Context, state string) error {
	record := listing.server
	record.State = state
	return listing.store.Put(ctx, records.TopicEngines, listing.id, records.Encode(record))
}

func (listing *listing) remove(ctx context.Context) error {
	return listing.store.Put(ctx, records.TopicEngines, listing.id, nil)
}

// keepTrying writes the record until the store has taken it or ctx ends: the store may be
// started later.
func (listing *listing) keepTrying(ctx context.Context, state string) {
	for ctx.Err() == nil {
		err := listing.write(ctx, state)
		if err == nil {
			return
		}
		fmt.Fprintf(os.Stderr, "event=\"not listed yet\" id=%s error=%q\n", listing.id, err)
		wait.Sleep(ctx, announceRetry)
	}
}
