package forward

import (
	"context"
	"sync"
	"time"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/poison"
	"mallowwind.dev/peer/peerpb"
)

const (
	// maxSurvivalAge bounds the age of a survival or a crash that another daemon states.
	maxSurvivalAge = 24 * time.Hour
	// maxConcurrentQuestions bounds the concurrent calls that ask for survivals.
	maxConcurrentQuestions = 128
)

// crashReport sends the reports on the crashes of one service, one at a time: crashes that become known
// meanwhile are in the next one together. Without that a daemon would send a report for each of the
// many answers that it loses with a zone.
type crashReport struct {
	service string

	mu      sync.Mutex      // held while a report is sent; guards the fields below
	through uint64          // poisonParts.crashCount at the last report
	suspect map[string]bool // digests of the requests that trackers found suspect then
}

// suspects reports whether a tracking daemon finds a request suspect, after a report that includes the
// crash with the given count.
func (c *crashReport) suspects(ctx context.Context, p *poisonParts, count uint64, digest string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.through < count {
		c.send(ctx, p)
	}
	return c.suspect[digest]
}

// send tells the tracking daemons the crashes under this daemon's prompts, and when servers survived
// their parts.
func (c *crashReport) send(ctx context.Context, p *poisonParts) {
	report, through := p.newReport(c.service)
	c.through, c.suspect = through, map[string]bool{}
	for _, reply := range p.tellTrackers(ctx, report) {
		c.addReply(report, reply)
	}
}

// addReply adds the requests that a tracking daemon finds suspect.
func (c *crashReport) addReply(report *peerpb.PromptsEndedRequest, reply *peerpb.PromptsEndedReply) {
	for i, prompt := range report.GetPrompts() {
		if i < len(reply.GetSuspect()) && reply.GetSuspect()[i] {
			c.suspect[prompt.GetRequest().GetDigest()] = true
		}
	}
}

// tellTrackers sends a report to the tracking daemons of its service and returns their replies.
func (p *poisonParts) tellTrackers(ctx context.Context, report *peerpb.PromptsEndedRequest) (replies []*peerpb.PromptsEndedReply) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, vm := range p.h.poisonTrackersOf(report.GetService()) {
		wg.Go(func() {
			reply, err := callPeer(ctx, p.h.peers, vm, peerpb.NewPoisonProtobufClient, peerpb.Poison.PromptsEnded, report, poisonTimeout)
			if err != nil {
				return // logged by recordResult; the next report repeats the crashes
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	wg.Wait()
	return replies
}

// newReport returns a report on a service, and the crashCount that it covers.
func (p *poisonParts) newReport(service string) (q *peerpb.PromptsEndedRequest, through uint64) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	q = &peerpb.PromptsEndedRequest{Service: service}
	parts := []string{poison.AnyPart}
	for _, t := range p.told {
		if t.service == service {
			q.Prompts = append(q.Prompts, endedPrompt(now, t.crash))
			parts = append(parts, t.crash.Parts...)
		}
	}
	q.Survivals = p.knownSurvivals(now, service, parts)
	return q, p.crashCount
}

// knownSurvivals returns the survivals of parts at the servers of a service that this daemon has seen.
// The caller holds the lock.
func (p *poisonParts) knownSurvivals(now time.Time, service string, parts []string) (list []*peerpb.Survival) {
	seen := map[string]bool{}
	for _, part := range parts {
		if begun, ok := p.survivalsOf(service).Last(part); ok && !seen[part] {
			seen[part] = true
			list = append(list, &peerpb.Survival{Part: part, AgeMs: now.Sub(begun).Milliseconds()})
		}
	}
	return list
}

// askSurvivals asks all other daemons when servers of a service last survived some parts.
func (p *poisonParts) askSurvivals(service string, parts []string) []*peerpb.Survival {
	p.mu.Lock()
	answers := p.knownSurvivals(time.Now(), service, parts)
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 2*poisonTimeout)
	defer cancel()
	var mu sync.Mutex
	q := &peerpb.SurvivalsRequest{Service: service, Parts: parts}
	p.h.peers.callAll(p.h.opts.Feed.View(), maxConcurrentQuestions, func(vm routing.VM) {
		reply, err := callPeer(ctx, p.h.peers, vm, peerpb.NewPoisonProtobufClient, peerpb.Poison.Survivals, q, poisonTimeout)
		if err != nil {
			return // logged by recordResult
		}
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, reply.GetSurvivals()...)
	})
	return answers
}

func endedPrompt(now time.Time, c promptCrash) *peerpb.EndedPrompt {
	return &peerpb.EndedPrompt{
		Request: &peerpb.EndedRequest{Digest: c.Digest, Server: c.Server.ID, Born: c.Server.StartedAtMS, Account: c.Account, Route: c.Route},
		Parts:   c.Parts, AgeMs: now.Sub(c.At).Milliseconds(),
	}
}

// promptCrashOf converts a crash that another daemon reports; ok is false if it is not plausible.
func promptCrashOf(now time.Time, e *peerpb.EndedPrompt) (crash promptCrash, ok bool) {
	age, r := e.GetAgeMs(), e.GetRequest()
	if age < 0 || age >= maxSurvivalAge.Milliseconds() || len(e.GetParts()) > maxPromptParts {
		return promptCrash{}, false
	}
	return promptCrash{
		Server: routing.Incarnation{ID: r.GetServer(), StartedAtMS: r.GetBorn()}, Digest: r.GetDigest(), Parts: e.GetParts(),
		At: now.Add(-time.Duration(age) * time.Millisecond), Account: r.GetAccount(), Route: r.GetRoute(),
	}, true
}

// PromptsEnded implements peerpb.Poison. A prompt that is not plausible is skipped.
func (t poisonService) PromptsEnded(_ context.Context, q *peerpb.PromptsEndedRequest) (*peerpb.PromptsEndedReply, error) {
	p, now := t.p.h.poisonParts, time.Now()
	p.recordSurvivals(q.GetService(), q.GetSurvivals())
	var crashes []promptCrash
	var indices []int // in the request
	for i, prompt := range q.GetPrompts() {
		if crash, ok := promptCrashOf(now, prompt); ok {
			crashes, indices = append(crashes, crash), append(indices, i)
		}
	}
	reply := &peerpb.PromptsEndedReply{Suspect: make([]bool, len(q.GetPrompts()))}
	for i, suspect := range p.record(q.GetService(), crashes) {
		reply.Suspect[indices[i]] = suspect
	}
	return reply, nil
}

// Survivals implements peerpb.Poison.
func (t poisonService) Survivals(_ context.Context, q *peerpb.SurvivalsRequest) (*peerpb.SurvivalsReply, error) {
	p := t.p.h.poisonParts
	p.mu.Lock()
	defer p.mu.Unlock()
	return &peerpb.SurvivalsReply{Survivals: p.knownSurvivals(time.Now(), q.GetService(), q.GetParts())}, nil
}
