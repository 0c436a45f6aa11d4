package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/operate"
	"mallowwind.dev/control/pause"
)

const (
	operators  = 2
	applyLimit = 6 * time.Second
	mark       = "# change "
)

var markLine = regexp.MustCompile(`(?m)^# change .*\n`)

// texts follows site texts by the mark in their first line.
type texts struct {
	mu       sync.Mutex
	accepted int64            // highest revision an operator was told is accepted
	refused  map[string]bool  // marks that operators were told are not
	seen     map[int64]string // mark in force, by revision
	byDaemon map[string]int64 // revision in force
}

func newTexts() *texts {
	return &texts{refused: make(map[string]bool), seen: make(map[int64]string), byDaemon: make(map[string]int64)}
}

func markOf(text string) string {
	first, _, _ := strings.Cut(text, "\n")
	if !strings.HasPrefix(first, mark) {
		return "the first text"
	}
	return first
}

// operate applies changes until the plan is over.
func (r *run) operate(ctx context.Context, who int, rng *rand.Rand) {
	client := r.stand.Operator()
	client.Author = fmt.Sprintf("operator-%d", who)
	for n := 0; r.pause(ctx, between(rng, 300*time.Millisecond, 3*time.Second)); n++ {
		current, err := client.Get(ctx)
		if err != nil {
			continue
		}
		line := fmt.Sprintf("%s%d of %s", mark, n, client.Author)
		if rng.IntN(2) == 0 {
			pause.For(ctx, between(rng, 0, 500*time.Millisecond)) // the other one may be faster
		}
		r.applyText(ctx, client, current, line, rng)
	}
}

func (r *run) applyText(ctx context.Context, client *operate.Client, current *operate.Current, line string, rng *rand.Rand) {
	once, cancel := context.WithTimeout(ctx, applyLimit)
	defer cancel()
	record, err := client.Apply(once, operate.Request{
		Text: changed(current.Text, line, rng), BaseRevision: current.Revision, Comment: line,
	})
	var (
		conflict *operate.ConflictError
		failed   *operate.StoreError
	)
	switch {
	case err == nil:
		r.count("text accepted")
		r.note("%s accepted as revision %d", line, record.Revision)
		r.texts.acceptedAt(record.Revision)
		if r.opts.Plan.Planned() {
			r.fleet.stops.Go(func() { r.inForceWithin(record.Revision) })
		}
	case errors.As(err, &conflict):
		r.count("text conflict")
		r.texts.wasRefused(line)
	case errors.As(err, &failed) && !failed.OutcomeUnknown:
		r.count("text not changed")
		r.texts.wasRefused(line)
	case errors.As(err, &failed):
		r.count("text unknown")
	default:
		r.violate("apply failed otherwise: %v", err)
	}
}

// changed is text with a new mark and another weight of resume latency.
func changed(text, line string, rng *rand.Rand) string {
	text = markLine.ReplaceAllString(text, "")
	weight := fmt.Sprintf("latency_weight = 0.%d", 1+rng.IntN(9))
	text = regexp.MustCompile(`latency_weight = 0\.\d`).ReplaceAllString(text, weight)
	return line + "\n" + text
}

func (t *texts) acceptedAt(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepted = max(t.accepted, revision)
}

func (t *texts) wasRefused(line string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused[line] = true
}

// watch looks at every daemon's text all along.
func (r *run) watch(ctx context.Context) {
	const every = 100 * time.Millisecond
	for ctx.Err() == nil {
		for _, e := range r.fleet.all() {
			if s := e.Daemon.CurrentSite(); s != nil {
				r.texts.observe(r, e.ID, s.Revision, markOf(s.Text))
			}
		}
		pause.For(ctx, every)
	}
}

func (t *texts) observe(r *run, vm string, revision int64, line string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if before := t.byDaemon[vm]; revision < before {
		r.violate("%s went back from revision %d to %d", vm, before, revision)
	}
	t.byDaemon[vm] = revision
	if other, ok := t.seen[revision]; ok && other != line {
		r.violate("revision %d is %q at %s and %q elsewhere", revision, line, vm, other)
	}
	t.seen[revision] = line
}

// inForceWithin checks that every entry VM that serves all the time follows an
// accepted text in time.
func (r *run) inForceWithin(revision int64) {
	there := r.fleet.all()
	time.Sleep(inForceLimit)
	for _, e := range there {
		if s := e.Daemon.CurrentSite(); s == nil || s.Revision < revision {
			r.violate("revision %d was not in force at %s after %v", revision, e.ID, inForceLimit)
		}
	}
}

// judge checks at the end that nothing refused was in force and nothing
// accepted was lost.
func (t *texts) judge(r *run, head int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if head < t.accepted {
		r.violate("revision %d was accepted, and the store knows only %d", t.accepted, head)
	}
	for revision, line := range maps.All(t.seen) {
		if t.refused[line] {
			r.violate("%q was said not to be accepted, and it was in force as revision %d", line, revision)
		}
	}
}
