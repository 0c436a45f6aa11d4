// Command standin plays the cases of this review: it starts the project's own daemons as processes
// and stands in for the platform's store, the operator, the replicas and the clients.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseFunc plays a case and reports whether the rule was broken. trouble is false for the play without
// the disruption.
type caseFunc func(rec *record, home string, trouble bool) (broken bool, err error)

// cases holds the cases by name; the file of each case adds its own.
var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		runReplicaProcess(os.Args[2:])
		return
	}
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "use: standin CASE HOME RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	time.AfterFunc(110*time.Second, func() {
		rec.say("the case takes too long")
		endProcesses()
		os.Exit(exitNotRun)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %v", os.Args[1], trouble)
	defer endProcesses()
	playCase, known := cases[os.Args[1]]
	if !known {
		rec.say("there is no such case")
		return exitNotRun
	}
	broken, err := playCase(rec, os.Args[2], trouble)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
