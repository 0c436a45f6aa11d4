package forward

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/headroom"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/telemetry/event"
)

// maxReportAge is how long the report of an engine is used without another probe: an engine that had
// room is asked before a prompt is refused, and one that had none is not asked to hold a copy.
const maxReportAge = time.Second

// Values of the label kind of metrics.headroomDenials.
const (
	deniedPrompt = "prompt"
	deniedCopy   = "copy"
)

// headroomState holds what this daemon has observed of the services whose streams differ in
// priority. It is safe for concurrent use.
type headroomState struct {
	mu      sync.Mutex
	demand  map[string]*headroom.Demand // by service
	reports map[routing.Incarnation]recentReport
}

// recentReport is the last report of an engine that this daemon received.
type recentReport struct {
	load prompts.Report
	at   time.Time
}

func newHeadroomState() *headroomState {
	return &headroomState{demand: map[string]*headroom.Demand{}, reports: map[routing.Incarnation]recentReport{}}
}

// observePrompt records a prompt that arrived.
func (s *headroomState) observePrompt(now time.Time, service string, rank int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	getOrCreate(s.demand, service).Observe(now, rank, 1)
}

// observeReport records the runs that an engine reports.
func (s *headroomState) observeReport(now time.Time, server routing.Server, load prompts.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	demand := getOrCreate(s.demand, server.Service)
	for _, rank := range load.Priorities {
		demand.Observe(now, rank, 1)
	}
	for incarnation, r := range s.reports {
		if now.Sub(r.at) > maxReportAge {
			delete(s.reports, incarnation)
		}
	}
	s.reports[server.Incarnation()] = recentReport{load: load, at: now}
}

// urgentShare returns the share of prompts of a service that are more urgent than a rank.
func (s *headroomState) urgentShare(now time.Time, service string, rank int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return getOrCreate(s.demand, service).UrgentShare(now, rank)
}

// isUrgent reports whether requests of a rank count as urgent among those of a service.
func (s *headroomState) isUrgent(now time.Time, service string, rank int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return getOrCreate(s.demand, service).IsUrgent(now, rank)
}

// recentReports returns the reports received within maxReportAge.
func (s *headroomState) recentReports(now time.Time) map[routing.Incarnation]prompts.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := map[routing.Incarnation]prompts.Report{}
	for incarnation, r := range s.reports {
		if now.Sub(r.at) <= maxReportAge {
			recent[incarnation] = r.load
		}
	}
	return recent
}

// hasPriorities reports whether the streams of a service differ in priority.
func (h *Handler) hasPriorities(service string) bool {
	config := h.opts.Feed.View().Config
	return config != nil && config.HasPriorities(service)
}

// hasPriorities reports whether the streams of the request's service differ in priority.
func (r *relay) hasPriorities() bool { return r.h.hasPriorities(r.service) }

// loadOf returns the load of an engine by its report. Where the streams of its service differ in
// priority, it records the report.
func (h *Handler) loadOf(server routing.Server, report Report) prompts.Report {
	load := report.loadReport()
	load.Slots, load.Copies = server.Slots, h.pool.copyCount(server.Incarnation())
	if h.hasPriorities(server.Service) {
		h.headroom.observeReport(time.Now(), server, load)
	}
	return load
}

// level returns the rank of the request as engines report it.
func (r *relay) level() int { return min(r.rank, headroom.Levels-1) }

// isUrgent reports whether the request may use what is reserved for urgent ones.
func (r *relay) isUrgent() bool {
	return r.h.headroom.isUrgent(time.Now(), r.service, r.level())
}

// roomPolicy returns what determines the room that engines keep free for prompts that are more urgent
// than this one.
func (r *relay) roomPolicy() headroom.Prompts {
	return headroom.Prompts{
		MeanTokens:  r.h.pressure.meanPromptTokens(r.service),
		UrgentShare: r.h.headroom.urgentShare(time.Now(), r.service, r.level()),
	}
}

// engineLoad converts a report for a decision on a request of a level.
func engineLoad(report prompts.Report, level int) headroom.Engine {
	e := headroom.Engine{
		Slots: report.Slots, Running: report.Running, Pending: report.PendingPrompts,
		CopyTokens: report.CopyTokens, Copies: report.Copies, UsedTokens: report.UsedTokens, CapacityTokens: report.CapacityTokens,
	}
	for _, priority := range report.Priorities {
		if priority < level {
			e.MoreUrgent++
		}
	}
	return e
}

// hasFreeRoom reports whether an engine has a free slot and memory for the prompt, beside the room
// that it keeps for more urgent ones. It is always true where streams do not differ in priority.
func (r *relay) hasFreeRoom(report prompts.Report) bool { return r.roomCheck()(report) }

// roomCheck returns hasFreeRoom for several reports.
func (r *relay) roomCheck() func(prompts.Report) bool {
	if !r.hasPriorities() {
		return func(prompts.Report) bool { return true }
	}
	room, level, tokens := r.roomPolicy(), r.level(), r.in.call.PromptTokens
	return func(report prompts.Report) bool { return room.HasRoom(engineLoad(report, level), tokens) }
}

// withFreeRoom returns the sampled engines that have room for the prompt.
func (r *relay) withFreeRoom(sampled []sampledEngine) (free []sampledEngine) {
	hasRoom := r.roomCheck()
	for _, s := range sampled {
		if hasRoom(s.report) {
			free = append(free, s)
		}
	}
	return free
}

// countReserved counts the prompts and runs of all daemons in the reports of engines where streams
// differ in priority: reports lag, and several daemons act on the same one.
func (r *relay) countReserved(sampled []sampledEngine, others workloads) []sampledEngine {
	if !r.hasPriorities() {
		return sampled
	}
	for i := range sampled {
		incarnation, report := sampled[i].server.Incarnation(), &sampled[i].report
		own, theirs := r.h.pool.workReport(time.Now(), incarnation), others[incarnation]
		report.PendingPrompts = max(report.PendingPrompts, own.Prefilling+theirs.prefilling)
		report.Running = max(report.Running, own.Running+theirs.running)
	}
	return sampled
}

// enginesSeenWithRoom returns engines outside the sample of which a recent report showed room for
// the prompt. Only a few of a fleet's engines are sampled, and a prompt must not be refused while
// others are known to be free.
func (r *relay) enginesSeenWithRoom(view *feed.View, excluded []routing.Incarnation) []choice {
	if !r.hasPriorities() {
		return nil
	}
	var free []routing.Incarnation
	hasRoom := r.roomCheck()
	for incarnation, report := range r.h.headroom.recentReports(time.Now()) {
		if !slices.Contains(excluded, incarnation) && hasRoom(report) {
			free = append(free, incarnation)
		}
	}
	return r.h.pool.candidatesAmong(time.Now(), view, r.service, free, SampleSize)
}

// candidatesAmong returns up to n of the given engines, the best for a prompt first.
func (p *pool) candidatesAmong(now time.Time, view *feed.View, service string, among []routing.Incarnation, n int) (list []choice) {
	if len(among) == 0 {
		return nil
	}
	p.choose(view, service, func(l *serverSet) (choice, bool) {
		engines := p.engineStates(now, l, nil)
		for i, s := range l.servers {
			engines[i].Excluded = !slices.Contains(among, s.Incarnation())
		}
		for _, c := range p.rankPermitted(now, l, engines, n, false) {
			candidate, _ := l.choiceAt(c.Index, string(c.Reason))
			list = append(list, candidate)
		}
		return choice{}, false
	})
	return list
}

// fits reports whether an engine has room for the prompt beside the room that it keeps for more
// urgent ones. A prompt that counts as urgent (isUrgent), and one for which nothing is kept, fits
// everywhere.
func (r *relay) fits(report prompts.Report) bool {
	if !r.hasPriorities() || r.isUrgent() {
		return true
	}
	room, load := r.roomPolicy(), engineLoad(report, r.level())
	kept := room.Kept(load)
	if kept == 0 || room.HasRoom(load, r.in.call.PromptTokens) {
		return true
	}
	if !r.headroomDenied {
		r.headroomDenied = true
		r.h.metrics.headroomDenials.WithLabelValues(deniedPrompt).Inc()
		r.h.opts.Log.Emit(event.HeadroomKept, r.in.call.ID, r.rank, room.UrgentShare, kept, load.Running, load.Pending, load.CopyTokens, load.UsedTokens, load.CapacityTokens)
	}
	return false
}

// keepsCopy reports whether a run of this request gets a copy at a server with a report now, and
// records a denial.
func (r *relay) keepsCopy(server routing.Server, report prompts.Report) bool {
	if !r.hasPriorities() {
		return report.HasCapacity(r.in.call.PromptTokens)
	}
	decision := r.copyRule().decide(report)
	r.recordCopyDecision(server.ID, decision)
	return decision == headroom.CopyKept
}

// recordCopyDecision records why a run gets no copy at a server, unless the last reason was the same.
func (r *relay) recordCopyDecision(server string, decision headroom.CopyDecision) {
	if last := r.copyDecision.Swap(uint32(decision)); decision != headroom.CopyKept && last != uint32(decision) {
		r.h.metrics.headroomDenials.WithLabelValues(deniedCopy).Inc()
		r.h.opts.Log.Emit(event.CopyDeclined, r.in.call.ID, server, r.rank, decision.String())
	}
}

// copyRule decides about the copies of one run, by what is known when it is made.
type copyRule struct {
	room  headroom.Prompts
	run   headroom.Run
	level int
}

// copyRule returns the rule for the run of this request. It is also called by the goroutine of the
// replicator and reads only what does not change during the request.
func (r *relay) copyRule() copyRule {
	prefill, answer := r.h.pressure.expectedTimes(r.service, r.in.call.PromptTokens)
	run := headroom.Run{Tokens: r.in.call.PromptTokens, Urgent: r.isUrgent(), Prefill: prefill}
	if answer > 0 {
		// A run that exceeds the mean time may end at any moment; 0 would mean unknown.
		run.Remaining = max(1, answer-time.Since(r.in.arrived))
	}
	return copyRule{room: r.roomPolicy(), run: run, level: r.level()}
}

// decide decides whether the run gets a copy at an engine.
func (c copyRule) decide(report prompts.Report) headroom.CopyDecision {
	return c.room.KeepsCopy(engineLoad(report, c.level), c.run)
}

// fullEngine is an engine that is known from a recent report to have no room for a copy of a run.
type fullEngine struct {
	incarnation routing.Incarnation
	reason      headroom.CopyDecision
}

// enginesWithoutRoom returns the engines that are known from recent reports to have no room for a
// copy of this run, so that they are not probed again, without the engine of the run.
func (r *relay) enginesWithoutRoom(own routing.Incarnation) (full []fullEngine) {
	if !r.hasPriorities() {
		return nil
	}
	rule := r.copyRule()
	for incarnation, report := range r.h.headroom.recentReports(time.Now()) {
		if reason := rule.decide(report); incarnation != own && reason != headroom.CopyKept {
			full = append(full, fullEngine{incarnation, reason})
		}
	}
	return full
}

// recordNoEngine records why a run gets no copy although no engine was asked: all that remain are
// known to have no room.
func (r *relay) recordNoEngine(full []fullEngine) {
	if len(full) == 0 {
		return
	}
	first := slices.MinFunc(full, func(a, b fullEngine) int { return cmp.Compare(a.incarnation.ID, b.incarnation.ID) })
	r.recordCopyDecision(first.incarnation.ID, first.reason)
}

// copyCount returns how many copies of this daemon's runs a server keeps.
func (p *pool) copyCount(incarnation routing.Incarnation) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if load := p.loads[incarnation]; load != nil {
		return load.replicas
	}
	return 0
}

// meanPromptTokens returns the mean length of the prompts of a service; 0 if unknown.
func (p *pressure) meanPromptTokens(service string) int {
	defer p.mu.Unlock()
	return p.lockService(service).pace.MeanPromptTokens()
}

// expectedTimes returns how long the prefill of a prompt at an idle engine and a whole answer take;
// 0 if unknown.
func (p *pressure) expectedTimes(service string, tokens int) (prefill, answer time.Duration) {
	defer p.mu.Unlock()
	pace := &p.lockService(service).pace
	return pace.TimeToFirstEvent(0, tokens), pace.MeanAnswerTime()
}
