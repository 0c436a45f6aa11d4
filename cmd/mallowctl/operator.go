package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"mallowwind.dev/control/operate"
	"mallowwind.dev/external/store"
	"mallowwind.dev/external/vmlist"
)

// siteFlags say which site's text is meant and where it lies.
type siteFlags struct {
	Site    string        `required:"" env:"MALLOWWIND_SITE" help:"Name of the site."`
	Store   []string      `required:"" env:"MALLOWWIND_STORE" placeholder:"URL" help:"Endpoints of the key-value service."`
	Who     string        `env:"MALLOWWIND_WHO,USER" default:"unknown" help:"Name that stands in the history."`
	Timeout time.Duration `default:"30s" help:"How long a change that was begun waits for the store."`
	JSON    bool          `name:"json" help:"Write JSON."`
}

// session is one command's link to the store, and where it writes.
type session struct {
	*operate.Client
	ctx  context.Context
	stop context.CancelFunc
	out  io.Writer
}

func (f *siteFlags) open() (*session, error) {
	kv, err := store.NewEtcdClient(f.Store, nil)
	if err != nil {
		return nil, usageError{err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	client := &operate.Client{Store: kv, Site: f.Site, Author: f.Who}
	return &session{Client: client, ctx: ctx, stop: stop, out: os.Stdout}, nil
}

// adminFlags say how the daemons' operators' listeners are reached.
type adminFlags struct {
	Admin     []string `env:"MALLOWWIND_ADMIN" placeholder:"IP:PORT" help:"Operators' addresses of entry VMs. One suffices at 7 VMs; more give a fresher picture."`
	VMList    string   `name:"vm-list" env:"MALLOWWIND_VM_LIST" placeholder:"URL" help:"Ask every entry VM of the platform's list, on --admin-port."`
	AdminPort string   `default:"8082" help:"Port of the operators' listener of the VMs of --vm-list."`
	// The token comes from the environment alone: an argument shows in the process list.
	Token string `hidden:"" env:"MALLOWWIND_TOKEN"`
	TLS   bool   `help:"Reach the operators' listeners over TLS."`
}

// addresses returns the operators' addresses that the flags name.
func (f *adminFlags) addresses(ctx context.Context) ([]string, error) {
	list := f.Admin
	if f.VMList != "" {
		vms, err := vmlist.NewClient(f.VMList, nil).List(ctx)
		if err != nil {
			return nil, err
		}
		for _, vm := range vms {
			host, _, err := net.SplitHostPort(vm.Address)
			if vm.Role == vmlist.RoleEntry && err == nil {
				list = append(list, net.JoinHostPort(host, f.AdminPort))
			}
		}
	}
	if len(list) == 0 {
		return nil, usageError{errors.New("give --admin IP:PORT of at least one entry VM, or --vm-list URL")}
	}
	return list, nil
}

// read asks the daemons for their pages.
func (f *adminFlags) read(ctx context.Context) ([]operate.PageResult, error) {
	addresses, err := f.addresses(ctx)
	if err != nil {
		return nil, err
	}
	pages := operate.PageReader{Client: http.DefaultClient, Scheme: "http", Token: f.Token}
	if f.TLS {
		pages.Scheme = "https"
	}
	return pages.Read(ctx, addresses), nil
}

// usageError is bad usage or a bad text.
type usageError struct{ error }

// ExitCode implements coder.
func (usageError) ExitCode() int { return exitUsage }

// Unwrap returns the cause.
func (e usageError) Unwrap() error { return e.error }

func writeJSON(out io.Writer, value any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

func writeChanges(out io.Writer, changes []operate.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(out, "no change of meaning")
	}
	for _, c := range changes {
		fmt.Fprintln(out, c)
	}
}

// errNotTerminal keeps a script from waiting for an answer that nobody gives.
var errNotTerminal = usageError{errors.New("the standard input is no terminal: add --yes to apply without being asked")}

// confirm asks on the terminal.
func confirm(question string) (bool, error) {
	// The device alone does not tell: /dev/null is a character device too.
	if _, err := unix.IoctlGetTermios(int(os.Stdin.Fd()), unix.TCGETS); err != nil {
		return false, errNotTerminal
	}
	fmt.Fprintf(os.Stderr, "%s [y/N] ", question)
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	if err != nil {
		return false, errors.Wrap(err, "confirmation")
	}
	return strings.EqualFold(strings.TrimSpace(line), "y"), nil
}
