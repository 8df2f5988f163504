package command

import (
	"context"
	"fmt"
	"os"

	"github.com/magpielug/magpielug/rehearsal/soak"
	"github.com/magpielug/magpielug/rehearsal/standin/records"
)

// Up starts nodes and their stand-ins and keeps them running.
type Up struct {
	NodeLayout
}

// Run prints the nodes' addresses and keys, and serves until ctx is done.
func (command *Up) Run(ctx context.Context) error {
	options, err := command.options()
	if err != nil {
		return err
	}
	tenant := options.Deployment.Tiers[0].Name
	err = soak.Serve(ctx, options, func(addresses []string, keys map[string]string) {
		fmt.Printf("serving; send requests to any of %v\n", addresses)
		fmt.Println("API keys by tenant:", keys)
		fmt.Printf("try:\n  curl -sN http://%s%schat -H 'Request-Id: turn-1' -H 'Authorization: Token %s' -d 'why was the token refused?'\n",
			addresses[0], records.PathRetained, keys[tenant])
	})
	fmt.Fprintln(os.Stderr, "stopped")
	return err
}
