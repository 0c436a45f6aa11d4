// Command mallowctl is the operators' command-line tool. It also runs the demo, the stand-ins for
// the platform, and the experiments.
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

// commands defines the command line. The struct of each command is in a file of its own or with the
// commands related to it.
type commands struct {
	Version kong.VersionFlag `help:"Print the version and exit."`

	Check    checkCmd    `cmd:"" help:"Validate site texts and settings without running anything."`
	Plan     planCmd     `cmd:"" help:"Show what applying a site text would change."`
	Apply    applyCmd    `cmd:"" help:"Make a site text the accepted one, or roll back to an older one."`
	Get      getCmd      `cmd:"" help:"Print an accepted site text."`
	Diff     diffCmd     `cmd:"" help:"Show the semantic changes between two accepted site texts."`
	History  historyCmd  `cmd:"" help:"List the accepted site texts."`
	Status   statusCmd   `cmd:"" help:"Show which revision is in force in each zone, and which VMs lag."`
	Handover handoverCmd `cmd:"" help:"Write the report for the next shift: state of the deployment and site text."`

	Rollout rolloutCmd `cmd:"" help:"Show, order or reverse the roll-out of a service's new version."`
	Refused refusedCmd `cmd:"" help:"List requests that are refused because servers crashed while running them, or allow one again."`

	Story    storyCmd    `cmd:"" help:"Print the events of one request from the logs of several daemons, sorted by time."`
	Stories  storiesCmd  `cmd:"" help:"Summarize the events of all requests in the logs of several daemons."`
	Demo     demoCmd     `cmd:"" help:"Run a deployment in one process and show that an answer survives the loss of its engine."`
	Events   eventsCmd   `cmd:"" help:"Print the catalogue of log events, docs/events.md."`
	Metrics  metricsCmd  `cmd:"" help:"Print the reference page of a daemon's metrics, docs/metrics.md."`
	Capacity capacityCmd `cmd:"" help:"Compute the capacity that each role needs at the planned size, docs/CAPACITY.md."`
	Bench    benchCmd    `cmd:"" help:"Run an experiment."`
	Soak     soakCmd     `cmd:"" help:"Run a whole deployment under seeded random faults and planned changes, and check its invariants."`
	StandIn  standInCmd  `cmd:"" help:"Serve stand-ins for the platform: store, VM list, weight store, engines, plain services."`
}

// exitCoder is implemented by errors that determine the exit code.
type exitCoder interface{ ExitCode() int }

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses and executes a command line and returns the exit code.
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
