package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/magpielug/magpielug/internal/httpclient"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/outside/wire"
	"github.com/magpielug/magpielug/rehearsal/standin/machines"
)

const (
	// registerRetry is the wait before a failed registration is retried.
	registerRetry = 200 * time.Millisecond
	// registerTimeout bounds one request to the machine list.
	registerTimeout = 2 * time.Second
)

// Registration holds the options of a stand-in's entry in the machine list.
type Registration struct {
	ID        string `arg:"--id" help:"machine id"`
	Region    string `arg:"--region" default:"region-1" help:"region of the machine"`
	Zone      string `arg:"--zone" default:"zone-1" help:"zone of the machine"`
	Machines  string `arg:"--machines" placeholder:"HOST:PORT" help:"machine list to register at; none registers nowhere"`
	Advertise string `arg:"--advertise" placeholder:"HOST:PORT" help:"address to register; default is the listen address"`

	role    outside.MachineRole
	service string
}

// machineEntry returns the list entry of a stand-in that listens on address. It
// sets the id if none was given.
func (entry *Registration) machineEntry(address string) wire.Machine {
	if entry.Advertise != "" {
		address = entry.Advertise
	}
	if entry.ID == "" {
		entry.ID = string(entry.role) + "-" + address
	}
	return wire.Machine{
		ID:      entry.ID,
		Role:    string(entry.role),
		Region:  entry.Region,
		Zone:    entry.Zone,
		Address: address,
		Service: entry.service,
	}
}

// register adds the machine to the list, retrying until it succeeds or ctx is done.
func (entry *Registration) register(ctx context.Context, machine wire.Machine) {
	for entry.Machines != "" {
		err := postToMachineList(ctx, entry.Machines, machines.PathRegister, machine)
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(registerRetry):
		}
	}
}

// updateList posts a state change of the machine. Errors are ignored: on shutdown
// the list may have stopped first.
func (entry *Registration) updateList(ctx context.Context, path string) {
	if entry.Machines == "" {
		return
	}
	_ = postToMachineList(ctx, entry.Machines, path, machines.MachineID{ID: entry.ID})
}

// postToMachineList posts body to an admin endpoint of the machine list.
func postToMachineList(ctx context.Context, address, path string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	client, err := httpclient.New(httpclient.Options{Timeout: registerTimeout})
	if err != nil {
		return err
	}
	defer client.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("machine list returned status %s", response.Status)
	}
	return nil
}
