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

// siteFlags select the site and the store that holds its text.
type siteFlags struct {
	Site    string        `required:"" env:"MALLOWWIND_SITE" help:"Name of the site."`
	Store   []string      `required:"" env:"MALLOWWIND_STORE" placeholder:"URL" help:"Endpoints of the key-value service."`
	Who     string        `env:"MALLOWWIND_WHO,USER" default:"unknown" help:"Author that is recorded in the history."`
	Timeout time.Duration `default:"30s" help:"How long applying a change retries while the store is unavailable."`
	JSON    bool          `name:"json" help:"Write JSON."`
}

// session holds what one run of a command uses: the client of the store, the context that an
// interrupt cancels, and the output.
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

// adminFlags select the operators' listeners of the daemons and how they are reached.
type adminFlags struct {
	Admin     []string `env:"MALLOWWIND_ADMIN" placeholder:"IP:PORT" help:"Addresses of the operators' listeners of entry VMs. One suffices for 7 VMs; more give fresher results."`
	VMList    string   `name:"vm-list" env:"MALLOWWIND_VM_LIST" placeholder:"URL" help:"Query every entry VM of the platform's VM list, on --admin-port."`
	AdminPort string   `default:"8082" help:"Port of the operators' listeners of the VMs from --vm-list."`
	// The token is documented only as an environment variable: an argument is visible in the
	// process list.
	Token string `hidden:"" env:"MALLOWWIND_TOKEN"`
	TLS   bool   `help:"Reach the operators' listeners over TLS."`
}

// addresses returns the addresses of the operators' listeners that the flags select.
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
		return nil, usageError{errors.New("no entry VM to query: give --admin IP:PORT of at least one, or --vm-list URL")}
	}
	return list, nil
}

// readPages reads the status pages of the selected daemons.
func (f *adminFlags) readPages(ctx context.Context) ([]operate.PageResult, error) {
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

// usageError is an error in the arguments or in a file that the operator gave.
type usageError struct{ error }

// ExitCode implements exitCoder.
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

// errNotTerminal is returned instead of waiting for a confirmation that a script cannot give.
var errNotTerminal = usageError{errors.New("the standard input is not a terminal: add --yes to apply without confirmation")}

// confirm asks question on the terminal and reports whether the answer was y.
func confirm(question string) (bool, error) {
	// Checking for a character device is not enough: /dev/null is one too.
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
