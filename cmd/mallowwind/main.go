// Command mallowwind is the daemon of an entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"mallowwind.dev/platform/nodefile"
)

// Exit codes, documented in docs/settings.md.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// version is set by the linker in released builds.
var version = "dev"

// commandLine defines the command line. The struct of each command is in a file of its own.
type commandLine struct {
	Version kong.VersionFlag `help:"Print the version and exit."`

	Serve   serveCmd   `cmd:"" default:"withargs" help:"Serve generations and calls according to the accepted site text."`
	Forward forwardCmd `cmd:"" help:"Forward requests according to the configuration in a metadata store."`
}

// usageError is an error in the arguments or settings that the operator gave.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var c commandLine
	parser := kong.Must(&c, kong.Name("mallowwind"),
		kong.Description("Serve callers from this entry VM until SIGTERM, which starts draining; a second SIGTERM stops at once."),
		kong.Vars{"version": version, "settings_env": nodefile.EnvFile})
	ctx, err := parser.Parse(args)
	if err != nil {
		return fail(exitUsage, err)
	}
	err = ctx.Run()
	var usage usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return fail(exitUsage, err)
	default:
		return fail(exitFailed, err)
	}
}

func fail(code int, err error) int {
	fmt.Fprintln(os.Stderr, "mallowwind:", err)
	return code
}

// notifyContexts returns two contexts: soft is canceled at the first SIGTERM or interrupt, which
// starts draining, and hard at the second, which aborts the requests still running.
func notifyContexts() (soft, hard context.Context) {
	soft, drain := context.WithCancel(context.Background())
	hard, cut := context.WithCancel(context.Background())
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-c
		drain()
		<-c
		cut()
	}()
	return soft, hard
}
