package command

import (
	"context"
	"fmt"
	"os"

	"github.com/magpielug/magpielug/rehearsal/soak"
	"github.com/magpielug/magpielug/rehearsal/standin/records"
)

// Up starts nodes with everything around them and keeps it serving.
type Up struct {
	NodeLayout
}

// Run serves until ctx ends.
func (command *Up) Run(ctx context.Context) error {
	options, err := command.options()
	if err != nil {
		return err
	}
	tenant := options.Deployment.Tiers[0].Name
	err = soak.Serve(ctx, options, func(addresses []string, keys map[string]string) {
		fmt.Printf("serving; callers ask any of %v\n", addresses)
		fmt.Println("tenants and their keys:", keys)
		fmt.Printf("try:\n  curl -sN http://%s%schat -H 'Request-Id: turn-1' -H 'Authorization: Token %s' -d 'why was the token refused?'\n",
			addresses[0], records.PathKept, keys[tenant])
	})
	fmt.Fprintln(os.Stderr, "stopped")
	return err
}
