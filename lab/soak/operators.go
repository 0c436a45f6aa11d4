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
	operatorCount = 2
	applyTimeout  = 6 * time.Second
	markPrefix    = "# change "
)

var markPattern = regexp.MustCompile(`(?m)^# change .*\n`)

// siteTexts tracks site texts by the mark in their first line.
type siteTexts struct {
	mu               sync.Mutex
	acceptedRevision int64            // highest revision that an operator was told is accepted
	refusedMarks     map[string]bool  // marks of texts that operators were told are not accepted
	marksByRevision  map[int64]string // mark of each revision seen in force
	revisionByVM     map[string]int64 // revision last seen in force
}

func newSiteTexts() *siteTexts {
	return &siteTexts{refusedMarks: make(map[string]bool), marksByRevision: make(map[int64]string), revisionByVM: make(map[string]int64)}
}

func markOf(text string) string {
	first, _, _ := strings.Cut(text, "\n")
	if !strings.HasPrefix(first, markPrefix) {
		return "the first text"
	}
	return first
}

// runOperator applies changes until the plan is over.
func (r *run) runOperator(ctx context.Context, number int, rng *rand.Rand) {
	client := r.deployment.Operator()
	client.Author = fmt.Sprintf("operator-%d", number)
	for n := 0; r.shouldContinueAfter(ctx, randomDuration(rng, 300*time.Millisecond, 3*time.Second)); n++ {
		current, err := client.Get(ctx)
		if err != nil {
			continue
		}
		mark := fmt.Sprintf("%s%d of %s", markPrefix, n, client.Author)
		if rng.IntN(2) == 0 {
			pause.For(ctx, randomDuration(rng, 0, 500*time.Millisecond)) // lets the other operator apply first at times
		}
		r.applyText(ctx, client, current, mark, rng)
	}
}

func (r *run) applyText(ctx context.Context, client *operate.Client, current *operate.Current, mark string, rng *rand.Rand) {
	once, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	record, err := client.Apply(once, operate.Request{
		Text: withChange(current.Text, mark, rng), BaseRevision: current.Revision, Comment: mark,
	})
	var (
		conflict *operate.ConflictError
		failed   *operate.StoreError
	)
	switch {
	case err == nil:
		r.count("text accepted")
		r.logEvent("%s accepted as revision %d", mark, record.Revision)
		r.texts.recordAccepted(record.Revision)
		if r.opts.Plan.IsPlanned() {
			r.fleet.stops.Go(func() { r.checkInForce(record.Revision) })
		}
	case errors.As(err, &conflict):
		r.count("text conflict")
		r.texts.recordRefused(mark)
	case errors.As(err, &failed) && !failed.OutcomeUnknown:
		r.count("text not changed")
		r.texts.recordRefused(mark)
	case errors.As(err, &failed):
		r.count("text unknown")
	default:
		r.recordViolation("apply failed with an unexpected error: %v", err)
	}
}

// withChange returns text with a new mark and another weight of resume latency.
func withChange(text, mark string, rng *rand.Rand) string {
	text = markPattern.ReplaceAllString(text, "")
	weight := fmt.Sprintf("latency_weight = 0.%d", 1+rng.IntN(9))
	text = regexp.MustCompile(`latency_weight = 0\.\d`).ReplaceAllString(text, weight)
	return mark + "\n" + text
}

func (t *siteTexts) recordAccepted(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acceptedRevision = max(t.acceptedRevision, revision)
}

func (t *siteTexts) recordRefused(mark string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusedMarks[mark] = true
}

// watchRevisions polls the text in force at every daemon.
func (r *run) watchRevisions(ctx context.Context) {
	const every = 100 * time.Millisecond
	for ctx.Err() == nil {
		for _, e := range r.fleet.allEntries() {
			if s := e.Daemon.CurrentSite(); s != nil {
				r.texts.observe(r, e.ID, s.Revision, markOf(s.Text))
			}
		}
		pause.For(ctx, every)
	}
}

func (t *siteTexts) observe(r *run, vm string, revision int64, mark string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if before := t.revisionByVM[vm]; revision < before {
		r.recordViolation("%s reverted from revision %d to %d", vm, before, revision)
	}
	t.revisionByVM[vm] = revision
	if other, ok := t.marksByRevision[revision]; ok && other != mark {
		r.recordViolation("revision %d is %q at %s and %q elsewhere", revision, mark, vm, other)
	}
	t.marksByRevision[revision] = mark
}

// checkInForce checks that every entry VM of the current fleet follows an accepted text within
// inForceLimit.
func (r *run) checkInForce(revision int64) {
	entries := r.fleet.allEntries()
	time.Sleep(inForceLimit)
	for _, e := range entries {
		if s := e.Daemon.CurrentSite(); s == nil || s.Revision < revision {
			r.recordViolation("revision %d was not in force at %s after %v", revision, e.ID, inForceLimit)
		}
	}
}

// check checks at the end that no refused text was in force and no accepted text was lost.
func (t *siteTexts) check(r *run, head int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if head < t.acceptedRevision {
		r.recordViolation("revision %d was accepted, but the store is at revision %d", t.acceptedRevision, head)
	}
	for revision, mark := range maps.All(t.marksByRevision) {
		if t.refusedMarks[mark] {
			r.recordViolation("%q was reported as not accepted, but was in force as revision %d", mark, revision)
		}
	}
}
