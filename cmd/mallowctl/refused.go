package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/external/store"
	"mallowwind.dev/platform/kv"
)

// refusedCmd groups the commands for refused requests, which are sent to no server because servers
// crashed while running them.
type refusedCmd struct {
	List refusedListCmd `cmd:"" help:"List the refused requests, with the servers that crashed while running each."`
	Lift refusedLiftCmd `cmd:"" help:"Allow a refused request to be sent to servers again."`
}

// forwardStoreFlags select the store that the daemons in forward mode use.
type forwardStoreFlags struct {
	Store    []string      `env:"MALLOWWIND_STORE" placeholder:"URL" help:"Endpoints of the key-value service."`
	Platform string        `placeholder:"IP:PORT" help:"Address of the platform's metadata store, instead of --store."`
	Timeout  time.Duration `default:"5s" help:"How long to wait for the store."`
}

func (f *forwardStoreFlags) open() (store.Store, error) {
	switch {
	case f.Platform != "":
		return kv.New(f.Platform), nil
	case len(f.Store) > 0:
		client, err := store.NewEtcdClient(f.Store, nil)
		if err != nil {
			return nil, usageError{err}
		}
		return client, nil
	}
	return nil, usageError{errors.New("no store is given: use --store URL or --platform IP:PORT")}
}

type refusedListCmd struct {
	forwardStoreFlags
	JSON bool `name:"json" help:"Write JSON."`
}

// Run implements the command.
func (c *refusedListCmd) Run() error {
	s, err := c.open()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	list, err := feed.ListRefused(ctx, s)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(os.Stdout, list)
	}
	writeRefused(os.Stdout, list)
	return nil
}

func writeRefused(out io.Writer, list []feed.RefusedRequest) {
	if len(list) == 0 {
		fmt.Fprintln(out, "no request is refused")
	}
	for _, r := range list {
		fmt.Fprintf(out, "%s  %s  account %s  route %s  by %s  servers %s%s\n",
			r.Digest, r.At.UTC().Format(time.RFC3339), r.Account, r.Route, r.By, strings.Join(r.Servers, " "), partsSuffix(r.Parts))
	}
}

// partsSuffix names the parts whose prompts are refused, if they are and not a request.
func partsSuffix(parts []string) string {
	if len(parts) == 0 {
		return ""
	}
	return fmt.Sprintf("  prompts with %q", parts)
}

type refusedLiftCmd struct {
	forwardStoreFlags
	Digest string `arg:"" help:"Digest of the request, as shown by list and in the responses to callers."`
}

// Run implements the command.
func (c *refusedLiftCmd) Run() error {
	s, err := c.open()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	err = feed.DeleteRefused(ctx, s, c.Digest)
	if errors.Is(err, store.ErrNotFound) {
		return usageError{errors.Errorf("no refused request has the digest %q; see list", c.Digest)}
	}
	return err
}
