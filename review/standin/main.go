// Command standin plays the cases of this review: it starts the project's daemons as processes and
// holds the stand-ins of the platform's store, the replicas and the clients.
//
//	review-standin CASE RECORD
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run. With TROUBLE=0 in
// the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	check(err)
	return &record{file: f, start: time.Now()}
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// couldNotRun is the exit code of a case that couldn't run.
const couldNotRun = 2

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case couldn't run: "+format+"\n", args...)
	endAll()
	os.Exit(couldNotRun)
}

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(r *record, dir string, trouble bool) bool{
	"stale-page":     stalePage,
	"new-route":      newRoute,
	"short-limit":    shortLimit,
	"half-close":     halfClose,
	"crash-restart":  crashRestart,
	"crashed-lookup": crashedLookup,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(couldNotRun)
	}
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		fail("stopped")
	}()
	time.AfterFunc(110*time.Second, func() { fail("it takes too long") })
	r := newRecord(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, with the disruption: %v", os.Args[1], trouble)
	broken := cases[os.Args[1]](r, dir, trouble)
	endAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	if broken {
		r.say("RESULT: the rule was broken")
		os.Exit(1)
	}
	r.say("RESULT: the rule held")
}
