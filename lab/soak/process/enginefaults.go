package process

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"mallowwind.dev/serve/forward"
)

const (
	// An engine that has reset the connection of a run works on it for 0.1 to 3 s.
	minOrphanTime = 100 * time.Millisecond
	maxOrphanTime = 3 * time.Second
	// The stream of a run is mute for 0.5 to 2.5 s.
	minMute = 500 * time.Millisecond
	maxMute = 2500 * time.Millisecond
	// The first event of a run that goes on from a copy is 0.3 to 1.5 s late for slowStartTime.
	minSlowStart  = 300 * time.Millisecond
	maxSlowStart  = 1500 * time.Millisecond
	slowStartTime = 3 * time.Second
	// One direction of a link takes 100 to 600 ms for delayTime.
	minLinkDelay  = 100 * time.Millisecond
	maxLinkDelay  = 600 * time.Millisecond
	delayTime     = 3 * time.Second
	maxReadDelay  = 300 * time.Millisecond
	readDelayTime = 1500 * time.Millisecond
	// writeNoticeShare is the part of the engines that learn of a closed connection at their next write
	// only: one in three.
	writeNoticeShare = 3
)

// hasEngineFaults reports whether engines go on with runs whose responses break, fall silent or are spoiled.
func (s Scenario) hasEngineFaults() bool { return s == TwoRuns }

// engineFaults are the faults of TwoRuns.
var engineFaults = append(slices.Concat(
	slices.Repeat([]fault{{"engine resets its connections and works on", false, (*harness).resetStreams}}, 3),
	slices.Repeat([]fault{{"streams of an engine are mute", false, (*harness).muteStreams}}, 3),
	slices.Repeat([]fault{{"engine spoils its streams and works on", false, (*harness).spoilStreams}}, 2),
	slices.Repeat([]fault{{"first events from copies are late", false, (*harness).slowStarts}}, 2),
	slices.Repeat([]fault{{"link of an engine delayed one way", false, (*harness).delayLink}}, 2),
),
	fault{"responses of all engines are late", false, (*harness).delayResponses},
	fault{"server drained", true, (*harness).drainServer},
	fault{"daemon stopped", true, (*harness).restartRandomDaemon},
)

// streamFault is what an engine does to the response of a run. The run goes on.
type streamFault struct {
	kind streamFaultKind
	d    time.Duration // until the engine gives up a run that it has reset, or until a mute stream goes on
}

type streamFaultKind uint8

const (
	streamReset streamFaultKind = iota
	streamMuted
	streamSpoiled
)

// applyFault lets a fault happen to the response of a run.
func (s *server) applyFault(f streamFault, p *activeRun, exec *execution, out *eventStream) {
	if !p.worksUntil.IsZero() {
		return // nothing of the response is left
	}
	now := time.Now()
	switch f.kind {
	case streamReset:
		s.harness.recorder.recordNote(exec, "reset, works on for %dms", f.d.Milliseconds())
		p.worksUntil = now.Add(f.d)
		out.reset()
	case streamMuted:
		s.harness.recorder.recordNote(exec, "mute for %dms", f.d.Milliseconds())
		out.mute(now.Add(f.d))
	case streamSpoiled:
		s.harness.recorder.recordNote(exec, "spoiled")
		out.spoil()
	}
	s.harness.recorder.count([]string{"streams reset", "streams muted", "streams spoiled"}[f.kind])
}

// slowStart is how late the first events of runs from copies are.
type slowStart struct {
	delay     time.Duration
	headFirst bool // the head of the response is not late
	until     time.Time
}

// busyEngine returns an engine, one with runs if there is one.
func (h *harness) busyEngine() *server {
	engines := h.serversOf("llm")
	h.mu.Lock()
	h.random.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	h.mu.Unlock()
	if n := slices.IndexFunc(engines, func(s *server) bool { return len(s.Runs()) > 0 }); n >= 0 {
		return engines[n]
	}
	return engines[0]
}

// breakStreams lets the same happen to all streams of an engine.
func (h *harness) breakStreams(f streamFault) {
	s := h.busyEngine()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.runs {
		select {
		case p.faults <- f:
		default: // a fault of this run has just begun
		}
	}
}

func (h *harness) resetStreams(context.Context) {
	h.breakStreams(streamFault{streamReset, minOrphanTime + h.randomDuration(maxOrphanTime-minOrphanTime)})
}

func (h *harness) muteStreams(context.Context) {
	h.breakStreams(streamFault{streamMuted, minMute + h.randomDuration(maxMute-minMute)})
}

func (h *harness) spoilStreams(context.Context) { h.breakStreams(streamFault{kind: streamSpoiled}) }

// slowStarts delays the first event of each run that goes on from a copy, at half of the engines.
func (h *harness) slowStarts(context.Context) {
	engines := h.serversOf("llm")
	h.mu.Lock()
	h.random.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	headFirst := h.random.IntN(2) == 0
	h.mu.Unlock()
	late := slowStart{delay: minSlowStart + h.randomDuration(maxSlowStart-minSlowStart), headFirst: headFirst, until: time.Now().Add(slowStartTime)}
	for _, s := range engines[:(len(engines)+1)/2] {
		s.mu.Lock()
		s.slowStart = late
		s.mu.Unlock()
	}
}

// delayLink delays one direction of the link of an engine.
func (h *harness) delayLink(ctx context.Context) {
	s := h.busyEngine()
	h.mu.Lock()
	direction := []*linkDirection{&s.requestLink, &s.responseLink}[h.random.IntN(2)]
	h.mu.Unlock()
	direction.setDelay(minLinkDelay + h.randomDuration(maxLinkDelay-minLinkDelay))
	h.suspendBounds(ctx, delayTime)
	direction.setDelay(0)
}

// delayResponses delays the responses of all engines, as a busy machine reads them late.
func (h *harness) delayResponses(ctx context.Context) {
	d := h.randomDuration(maxReadDelay)
	for _, s := range h.serversOf("llm") {
		s.responseLink.setDelay(d)
		defer s.responseLink.setDelay(0)
	}
	h.suspendBounds(ctx, readDelayTime)
}

// firstEventDelay returns how late the first event of a run is, and whether its head comes before.
func (s *server) firstEventDelay(e forward.UpstreamRequest) (d time.Duration, headFirst bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.ResumeFrom == "" || time.Now().After(s.slowStart.until) {
		return 0, false
	}
	return s.slowStart.delay, s.slowStart.headFirst
}

// drawCloseNotices draws for each engine how it learns that a daemon has closed a connection.
func (h *harness) drawCloseNotices() {
	random := rand.New(rand.NewPCG(h.opts.Seed, 11))
	for _, s := range h.servers {
		s.readsCloses = !h.opts.Scenario.hasEngineFaults() || random.IntN(writeNoticeShare) != 0
	}
}
