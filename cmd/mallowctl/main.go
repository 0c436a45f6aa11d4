// Command mallowctl is the operators' command line. It also holds the demo,
// the stand-ins of the platform and the experiments.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes, documented in docs/mallowctl.md.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitStore    = 4
)

// version is set by the linker in released builds.
var version = "dev"

// commands is the whole command line. One file per command holds its struct.
type commands struct {
	Version kong.VersionFlag `help:"Print the version and exit."`

	Check    checkCmd    `cmd:"" help:"Validate site texts and settings without running anything."`
	Plan     planCmd     `cmd:"" help:"Show what applying a site text would change."`
	Apply    applyCmd    `cmd:"" help:"Make a site text the accepted one, or roll back to an older."`
	Get      getCmd      `cmd:"" help:"Print an accepted site text."`
	Diff     diffCmd     `cmd:"" help:"Compare two accepted site texts by meaning."`
	History  historyCmd  `cmd:"" help:"List the accepted site texts."`
	Status   statusCmd   `cmd:"" help:"Show which revision is in force in each zone, and who lags."`
	Handover handoverCmd `cmd:"" help:"Write what the next shift starts from: state and text."`

	Rollout rolloutCmd `cmd:"" help:"Show, order or take back the roll-out of a service's new version."`
	Refused refusedCmd `cmd:"" help:"List requests that are sent to no server, or have one sent again."`

	Story    storyCmd    `cmd:"" help:"Print one request's story from the logs of several daemons."`
	Stories  storiesCmd  `cmd:"" help:"Sum up what the logs of several daemons show of all requests."`
	Demo     demoCmd     `cmd:"" help:"Play a deployment in one process: an answer survives its engine."`
	Events   eventsCmd   `cmd:"" help:"Print the catalogue of log events, docs/events.md."`
	Metrics  metricsCmd  `cmd:"" help:"Print the metrics of a daemon, docs/metrics.md."`
	Capacity capacityCmd `cmd:"" help:"Work out what each role needs at the size to come, docs/CAPACITY.md."`
	Bench    benchCmd    `cmd:"" help:"Run an experiment."`
	Soak     soakCmd     `cmd:"" help:"Play seeded random runs of a whole deployment and check its invariants."`
	StandIn  standInCmd  `cmd:"" help:"Serve stand-ins of the platform: store, VM list, weight store, engines, plain services."`
}

// exitCoder is an error that chooses the exit code.
type exitCoder interface{ ExitCode() int }

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses and executes one command line and returns the exit code.
func run(args []string) int {
	var c commands
	parser := kong.Must(&c,
		kong.Name("mallowctl"),
		kong.Description("Operate a mallowwind deployment."),
		kong.Vars{"version": version},
		kong.UsageOnError(),
	)
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mallowctl:", err)
		return exitUsage
	}
	return exitCode(ctx.Run())
}

// exitCode prints err, if any, and maps it to an exit code.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "mallowctl:", err)
	var c exitCoder
	if errors.As(err, &c) {
		return c.ExitCode()
	}
	return exitFailed
}
