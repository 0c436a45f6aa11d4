package forward

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/poison"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

const (
	// maxToldCrashes bounds the crashes under prompts of this daemon that it repeats in its reports.
	maxToldCrashes = 16
	// partReviewInterval is the time until a part is reviewed again that more survivals may clear. It
	// doubles up to maxPartReviewInterval, until a server crashes again.
	partReviewInterval    = 300 * time.Millisecond
	maxPartReviewInterval = 5 * time.Second
)

// poisonParts finds parts of prompts that crash the servers which begin to answer prompts with them.
// Crashes are reported to the tracking daemons of the service. Before prompts with a part are refused,
// all daemons are asked whether servers survived it. Refusals are those of the poisonRegistry.
type poisonParts struct {
	h *Handler

	mu        sync.Mutex                                         // guards the fields below
	survivals map[string]*poison.Survivals                       // seen by this daemon, by service
	ledgers   map[string]*poison.PartLedger[routing.Incarnation] // by service
	told      []toldCrash                                        // of this daemon's requests, oldest first
	// crashCount counts the crashes ever added to told.
	crashCount uint64
	reports    map[string]*crashReport // by service
	wakeup     chan struct{}           // holds a value when a review is due
}

// promptCrash is a crash under a prompt with shared parts.
type promptCrash = poison.PromptCrash[routing.Incarnation]

// partReport is the finding on a part.
type partReport = poison.PartReport[routing.Incarnation]

// toldCrash is a crash that this daemon has reported.
type toldCrash struct {
	service string
	crash   promptCrash
}

func newPoisonParts(h *Handler) *poisonParts {
	return &poisonParts{
		h: h, survivals: map[string]*poison.Survivals{}, ledgers: map[string]*poison.PartLedger[routing.Incarnation]{},
		reports: map[string]*crashReport{}, wakeup: make(chan struct{}, 1),
	}
}

// recordSurvival records that a server of a service began to answer a request at a time and kept
// running. Requests without shared parts show nothing of the servers' state with prompts.
func (p *poisonParts) recordSurvival(in *inbound, service string, begun time.Time) {
	if len(in.call.PromptParts) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	survivals := p.survivalsOf(service)
	survivals.Record(poison.AnyPart, begun)
	for _, part := range in.call.PromptParts {
		survivals.Record(part, begun)
	}
}

// survivalsOf returns the survivals of parts at the servers of a service. The caller holds the lock.
func (p *poisonParts) survivalsOf(service string) *poison.Survivals {
	if p.survivals[service] == nil {
		p.survivals[service] = &poison.Survivals{}
	}
	return p.survivals[service]
}

// recordCrash counts a server crash against the shared parts of a prompt, here and at the tracking
// daemons. It reports whether one of the parts is suspect.
func (p *poisonParts) recordCrash(ctx context.Context, in *inbound, server routing.Server, at time.Time) (suspect bool) {
	if len(in.call.PromptParts) == 0 {
		return false
	}
	crash := promptCrash{
		Server: server.Incarnation(), Digest: in.digests[0], Parts: in.call.PromptParts, At: at, Account: in.accountName(), Route: in.routeName(),
	}
	p.mu.Lock()
	p.told = append(p.told, toldCrash{server.Service, crash})
	p.told = p.told[max(0, len(p.told)-maxToldCrashes):]
	p.crashCount++
	count := p.crashCount
	p.mu.Unlock()
	local := p.record(server.Service, []promptCrash{crash})
	reported := p.reportOf(server.Service).suspects(ctx, p, count, crash.Digest)
	return local[0] || reported
}

// record counts crashes here and reports of each whether one of the prompt's parts is suspect, or the
// prompt refused.
func (p *poisonParts) record(service string, crashes []promptCrash) (suspect []bool) {
	suspect = make([]bool, len(crashes))
	for i, c := range crashes {
		suspect[i] = p.h.poisonRegistry.isPromptRefused(c.Parts)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	ledger, added := p.ledger(service), false
	for i, c := range crashes {
		if suspect[i] {
			ledger.ExplainServer(c.Server, c.At)
			continue
		}
		p.addSurvivals(service, c.Parts)
		added = ledger.RecordCrash(c) || added
	}
	if added {
		wake(p.wakeup)
	}
	reports := ledger.Assess(time.Now())
	for i, c := range crashes {
		isSuspect := func(r partReport) bool { return poison.ContainsAll(c.Parts, r.Parts) }
		suspect[i] = suspect[i] || slices.ContainsFunc(reports, isSuspect)
	}
	return suspect
}

// addSurvivals adds what this daemon has seen of parts to the ledger of a service. The caller holds
// the lock.
func (p *poisonParts) addSurvivals(service string, parts []string) {
	for _, part := range append([]string{poison.AnyPart}, parts...) {
		if begun, ok := p.survivalsOf(service).Last(part); ok {
			p.ledger(service).RecordSurvival(part, begun)
		}
	}
}

// ledger returns the ledger of a service. The caller holds the lock.
func (p *poisonParts) ledger(service string) *poison.PartLedger[routing.Incarnation] {
	if p.ledgers[service] == nil {
		p.ledgers[service] = &poison.PartLedger[routing.Incarnation]{}
	}
	return p.ledgers[service]
}

// reportOf returns the reports on a service.
func (p *poisonParts) reportOf(service string) *crashReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reports[service] == nil {
		p.reports[service] = &crashReport{service: service}
	}
	return p.reports[service]
}

// questionable returns the reports on the parts of a service that crash servers unless servers
// survived them meanwhile. The caller holds the lock.
func (p *poisonParts) questionable(service string) []partReport {
	reports := p.ledger(service).Assess(time.Now())
	return slices.DeleteFunc(reports, func(r partReport) bool { return r.Finding < poison.PartPending })
}

// run reviews the services after crashes until ctx ends.
func (p *poisonParts) run(ctx context.Context) {
	interval := partReviewInterval
	again := time.NewTimer(maxPartReviewInterval)
	defer again.Stop()
	for {
		select {
		case <-p.wakeup:
			interval = partReviewInterval
		case <-again.C:
			interval = min(2*interval, maxPartReviewInterval)
		case <-ctx.Done():
			return
		}
		if p.reviewAll() {
			again.Reset(interval)
		}
	}
}

// reviewAll reviews all services and reports whether a part is still in question.
func (p *poisonParts) reviewAll() (pending bool) {
	p.mu.Lock()
	services := slices.Collect(maps.Keys(p.ledgers))
	p.mu.Unlock()
	for _, service := range services {
		for p.reviewOnce(service) {
		}
		p.mu.Lock()
		pending = pending || len(p.questionable(service)) > 0
		p.mu.Unlock()
	}
	return pending
}

// leftToTrackers reports whether other daemons track a service and have got this daemon's crashes. They know
// those of all daemons: among the crashes of one, a part that all prompts share may be the only one that
// several requests have.
func (p *poisonParts) leftToTrackers(service string) bool {
	if len(p.h.poisonTrackersOf(service)) < poisonTrackers {
		return false // this daemon is one of them, or there are no others
	}
	report, _ := p.newReport(service)
	return len(p.tellTrackers(context.Background(), report)) > 0
}

// reviewOnce asks all daemons for survivals of the parts of a service in question, and refuses the
// one that most likely crashes its servers, unless servers survived it. A daemon that does not track the
// service does so only while no tracking daemon answers. It reports whether it refused one.
func (p *poisonParts) reviewOnce(service string) (refused bool) {
	p.mu.Lock()
	questionable := p.questionable(service)
	p.mu.Unlock()
	if len(questionable) == 0 || p.leftToTrackers(service) {
		return false
	}
	asked := poison.Questions(questionable)
	p.recordSurvivals(service, p.askSurvivals(service, asked))
	return p.refuseFirst(service, asked)
}

// recordSurvivals records what other daemons know of survivals.
func (p *poisonParts) recordSurvivals(service string, list []*peerpb.Survival) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range list {
		if age := s.GetAgeMs(); age >= 0 && age < maxSurvivalAge.Milliseconds() {
			p.ledger(service).RecordSurvival(s.GetPart(), now.Add(-time.Duration(age)*time.Millisecond))
		}
	}
}

// refuseFirst refuses prompts with the parts that most likely crash the servers of a service, and
// reports whether there are any. Parts whose survivals were not asked for wait for the next review.
func (p *poisonParts) refuseFirst(service string, asked []string) bool {
	p.mu.Lock()
	reports := p.ledger(service).Assess(time.Now())
	if len(reports) == 0 || reports[0].Finding != poison.PartCrashing {
		p.mu.Unlock()
		return false
	}
	found := reports[0]
	if !poison.ContainsAll(asked, found.Parts) {
		p.mu.Unlock()
		wake(p.wakeup)
		return false
	}
	p.ledger(service).Explain(found.Parts)
	p.forgetTold(found.Parts)
	p.mu.Unlock()
	details := refusalOf(found)
	p.h.opts.Log.Emit(event.PoisonPartFound, service, found.Parts, details.GetDigest(), details.GetServers(), found.Requests, found.Survived, found.Last.Sub(found.First))
	p.h.poisonRegistry.refuse(details)
	return true
}

// refusalOf describes the refusal of prompts with the parts of a report.
func refusalOf(r partReport) *peerpb.Poisonous {
	d := &peerpb.Poisonous{Digest: partsDigest(r.Parts), Parts: r.Parts, Account: r.Account, Route: r.Route}
	for _, s := range r.Servers {
		d.Servers = append(d.Servers, s.ID)
	}
	return d
}

// forgetTold drops the crashes that a refusal explains from later reports. The caller holds the lock.
func (p *poisonParts) forgetTold(parts []string) {
	p.told = slices.DeleteFunc(p.told, func(t toldCrash) bool { return poison.ContainsAll(t.crash.Parts, parts) })
}

// observeRefusal applies a refusal that this or another daemon has decided.
func (p *poisonParts) observeRefusal(parts []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ledger := range p.ledgers {
		ledger.Explain(parts)
	}
	p.forgetTold(parts)
}
