package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/poison"
	"mallowwind.dev/decision/rendezvous"
	"mallowwind.dev/peer/peerpb"
)

const (
	// maxSurvivalAge bounds the age of a survival or a crash that another daemon states.
	maxSurvivalAge = 24 * time.Hour
	// maxConcurrentQuestions bounds the concurrent calls that ask for survivals.
	maxConcurrentQuestions = 128
)

// report tells the tracking daemons of a service the crashes under this daemon's prompts, and when
// servers survived their parts. It reports whether one of them finds the newest prompt suspect.
func (p *poisonParts) report(ctx context.Context, service string) (suspect bool) {
	if p.h.peers.dialer == nil {
		return false
	}
	q := p.crashReport(service)
	vms, hashes := routing.Serving(p.h.opts.Feed.View().VMs)
	var found atomic.Bool
	var wg sync.WaitGroup
	for _, i := range rendezvous.Select(xxhash.Sum64String(service), hashes, poisonTrackers) {
		if vms[i].ID == p.h.opts.Self.ID {
			continue
		}
		wg.Go(func() {
			reply, err := callPeer(ctx, p.h.peers, vms[i], peerpb.NewPoisonProtobufClient, peerpb.Poison.PromptsEnded, q, poisonTimeout)
			if err == nil && reply.GetSuspect() {
				found.Store(true)
			}
		})
	}
	wg.Wait()
	return found.Load()
}

// crashReport returns the report on a service; the newest crash is the last one.
func (p *poisonParts) crashReport(service string) *peerpb.PromptsEndedRequest {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	q := &peerpb.PromptsEndedRequest{Service: service}
	parts := []string{poison.AnyPart}
	for _, t := range p.told {
		if t.service == service {
			q.Prompts = append(q.Prompts, endedPrompt(now, t.crash))
			parts = append(parts, t.crash.Parts...)
		}
	}
	q.Survivals = p.knownSurvivals(now, parts)
	return q
}

// knownSurvivals returns the survivals of parts that this daemon has seen. The caller holds the lock.
func (p *poisonParts) knownSurvivals(now time.Time, parts []string) (list []*peerpb.Survival) {
	seen := map[string]bool{}
	for _, part := range parts {
		if begun, ok := p.survivals.Last(part); ok && !seen[part] {
			seen[part] = true
			list = append(list, &peerpb.Survival{Part: part, AgeMs: now.Sub(begun).Milliseconds()})
		}
	}
	return list
}

// askSurvivals asks all other daemons when servers last survived the parts in question.
func (p *poisonParts) askSurvivals(questionable []partReport) []*peerpb.Survival {
	parts := []string{poison.AnyPart}
	for _, r := range questionable {
		parts = append(parts, r.Parts...)
	}
	p.mu.Lock()
	answers := p.knownSurvivals(time.Now(), parts)
	p.mu.Unlock()
	if p.h.peers.dialer == nil {
		return answers
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*poisonTimeout)
	defer cancel()
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrentQuestions)
	for _, vm := range routing.Peers(p.h.opts.Feed.View().VMs, p.h.opts.Self.ID) {
		group.Go(func() error {
			reply, err := callPeer(ctx, p.h.peers, vm, peerpb.NewPoisonProtobufClient, peerpb.Poison.Survivals, &peerpb.SurvivalsRequest{Parts: parts}, poisonTimeout)
			if err != nil {
				return nil // logged by recordResult
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, reply.GetSurvivals()...)
			return nil
		})
	}
	_ = group.Wait() // no call returns an error
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

// PromptsEnded implements peerpb.Poison.
func (t poisonService) PromptsEnded(_ context.Context, q *peerpb.PromptsEndedRequest) (*peerpb.PromptsEndedReply, error) {
	p, now := t.p.h.poisonParts, time.Now()
	p.recordSurvivals(q.GetService(), q.GetSurvivals())
	reply := &peerpb.PromptsEndedReply{}
	for _, prompt := range q.GetPrompts() {
		if crash, ok := promptCrashOf(now, prompt); ok {
			reply.Suspect = p.record(q.GetService(), crash)
		}
	}
	return reply, nil
}

// Survivals implements peerpb.Poison.
func (t poisonService) Survivals(_ context.Context, q *peerpb.SurvivalsRequest) (*peerpb.SurvivalsReply, error) {
	p := t.p.h.poisonParts
	p.mu.Lock()
	defer p.mu.Unlock()
	return &peerpb.SurvivalsReply{Survivals: p.knownSurvivals(time.Now(), q.GetParts())}, nil
}
