// Command mallowwind is the daemon of an entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"mallowwind.dev/control/settings"
	"mallowwind.dev/control/tlsfiles"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/serve/daemon"
	"mallowwind.dev/telemetry/event"
)

// Exit codes, documented in docs/settings.md.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// version is set by the linker in released builds.
var version = "dev"

type commandLine struct {
	Config  string           `required:"" type:"path" placeholder:"FILE" help:"The daemon's settings."`
	Check   bool             `help:"Check the settings and exit."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var c commandLine
	parser := kong.Must(&c, kong.Name("mallowwind"),
		kong.Description("Serve callers from this entry VM until SIGTERM, which drains; a second one ends at once."),
		kong.Vars{"version": version})
	if _, err := parser.Parse(args); err != nil {
		return fail(exitUsage, err)
	}
	s, err := settings.Parse(c.Config)
	if err != nil {
		return fail(exitUsage, err)
	}
	if c.Check {
		return exitOK
	}
	return serve(s)
}

func fail(code int, err error) int {
	fmt.Fprintln(os.Stderr, "mallowwind:", err)
	return code
}

func serve(s *settings.Settings) int {
	listeners, err := daemon.Listen(s)
	if err != nil {
		return fail(exitUsage, err)
	}
	platform, err := daemon.Connect(s)
	if err != nil {
		return fail(exitUsage, err)
	}
	logger := newLogger(s)
	files, err := tlsfiles.New(s.TLS, event.New(logger, s.VM, s.Zone))
	if err != nil {
		return fail(exitUsage, err)
	}
	d := daemon.New(daemon.Options{
		Settings: s, Platform: platform, Listeners: listeners.Secure(files), TLS: files,
		Dialer: link.NewDialer(files.PeerClient()), Logger: logger, Version: version,
	})
	soft, hard := signals()
	if err := d.Run(soft, hard); err != nil {
		return fail(exitFailed, err)
	}
	if hard.Err() != nil {
		return exitFailed
	}
	return exitOK
}

// signals returns a context that ends at the first SIGTERM or interrupt, which
// drains, and one that ends at the second, which cuts what still runs.
func signals() (soft, hard context.Context) {
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

func newLogger(s *settings.Settings) *logrus.Logger {
	l := logrus.New()
	if s.LogFormat == "json" {
		l.SetFormatter(&logrus.JSONFormatter{})
	}
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil {
		l.SetLevel(level)
	}
	return l
}
