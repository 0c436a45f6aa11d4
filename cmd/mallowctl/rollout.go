package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/rollout"
	"mallowwind.dev/platform/wire"
)

// rolloutCmd groups the commands for moving a service to servers of another version.
type rolloutCmd struct {
	List  rolloutListCmd  `cmd:"" help:"Show the progress of the roll-outs of all services."`
	Order rolloutOrderCmd `cmd:"" help:"Order the roll-out of a service to servers of another version, which run already or will start soon."`
	Back  rolloutBackCmd  `cmd:"" help:"Order the return of a service to its previous version while its roll-out is in progress."`
}

type rolloutListCmd struct{ forwardStoreFlags }

// Run implements the command.
func (c *rolloutListCmd) Run() error {
	list, err := c.listRollouts()
	if err != nil {
		return err
	}
	writeRollouts(os.Stdout, list)
	return nil
}

// listRollouts reads the orders and statuses of all roll-outs from the store.
func (f *forwardStoreFlags) listRollouts() (map[string]feed.Rollout, error) {
	s, err := f.open()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	var schema feed.Schema = feed.OwnSchema{}
	if f.Platform != "" {
		schema = wire.Schema{}
	}
	return feed.ListRollouts(ctx, s, schema)
}

func writeRollouts(out io.Writer, list map[string]feed.Rollout) {
	if len(list) == 0 {
		fmt.Fprintln(out, "no service has a roll-out")
	}
	for _, service := range slices.Sorted(maps.Keys(list)) {
		r := list[service]
		switch {
		case r.Status != nil:
			fmt.Fprintf(out, "%s  %s  from %s to %s  share %.3f  due %s\n", service, r.Status.Stage, r.Status.Baseline, r.Status.Target,
				r.Status.Share, time.UnixMilli(r.Status.DeadlineMS).UTC().Format(time.RFC3339))
		case r.Order != nil:
			fmt.Fprintf(out, "%s  ordered  to %s  in %v\n", service, r.Order.Target, r.Order.Period)
		case r.OrderErr != nil:
			fmt.Fprintf(out, "%s  order cannot be carried out: %v\n", service, r.OrderErr)
		}
	}
}

type rolloutOrderCmd struct {
	forwardStoreFlags
	Service string        `arg:"" help:"Name of the service."`
	Target  string        `arg:"" help:"Version to move to, as its servers register it."`
	Period  time.Duration `default:"5m" help:"Time within which the roll-out completes or is rolled back."`
}

// Run implements the command.
func (c *rolloutOrderCmd) Run() error {
	return c.writeRolloutOrder(routing.RolloutOrder{Service: c.Service, Target: c.Target, Period: c.Period})
}

// writeRolloutOrder validates an order and writes it to the key-value service. It rejects
// --platform: in the platform's store only the platform's operators write orders.
func (f *forwardStoreFlags) writeRolloutOrder(o routing.RolloutOrder) error {
	if f.Platform != "" {
		return usageError{errors.New("a roll-out cannot be ordered with --platform: only the platform's operators write orders there; give --store URL")}
	}
	if err := o.Validate(); err != nil {
		return usageError{err}
	}
	s, err := f.open()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	return feed.OrderRollout(ctx, s, o)
}

type rolloutBackCmd struct {
	forwardStoreFlags
	Service string        `arg:"" help:"Name of the service."`
	Period  time.Duration `default:"1m" help:"Time within which the service is back on its previous version."`
}

// Run implements the command.
func (c *rolloutBackCmd) Run() error {
	list, err := c.listRollouts()
	if err != nil {
		return err
	}
	status := list[c.Service].Status
	switch {
	case status == nil || !status.Stage.IsRunning():
		return usageError{errors.Errorf("no roll-out of service %q is in progress", c.Service)}
	case status.Stage == rollout.Migrating:
		return usageError{errors.Errorf("the roll-out of service %q is in its last stage and cannot be reversed; order a roll-out to version %q instead", c.Service, status.Baseline)}
	}
	return c.writeRolloutOrder(routing.RolloutOrder{Service: c.Service, Target: status.Baseline, Period: c.Period})
}
