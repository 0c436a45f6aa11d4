package poison

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// partFleet simulates, in steps of virtual time, prompts that share parts, and some with a part that
// crashes servers. Two tracking daemons hold the ledgers.
type partFleet struct {
	daemons, servers int
	arrivals         float64 // sound prompts per second
	culprits         []culprit
	// crashesPerSecond is the rate of unrelated crashes of single servers, zoneOutageInterval the time
	// between outages that terminate one third of the servers at once, and shareOutageInterval that
	// between outages of 15 in 100 servers anywhere.
	crashesPerSecond                        float64
	zoneOutageInterval, shareOutageInterval time.Duration
	// newRouteFrom is from when sound prompts with the part of another route come; 0 for never.
	newRouteFrom time.Duration
	// restartAt is when all daemons restart, again and again after restartInterval if that is not zero:
	// what they know is lost, but for refusals.
	restartAt, restartInterval time.Duration
}

// culprit is a part that crashes servers.
type culprit struct {
	parts    []string // of its prompts, before their own part
	crashing string   // the part that crashes servers; "" for the last of parts
	interval time.Duration
	from     time.Duration
	// soundBefore is set if prompts with the part crash nothing before from.
	soundBefore bool
}

func (c culprit) part() string { return cmp.Or(c.crashing, c.parts[len(c.parts)-1]) }

// partPrompt is a prompt in progress.
type partPrompt struct {
	digest         string
	parts          []string
	culprit        string // the part that crashes servers; "" for a sound prompt
	daemon, server int
	sentAt         time.Duration
	sendsLeft      int
	crashes        int // of its servers
	survived       bool
}

// refusedParts are parts of which no prompt may have all, from when all daemons know.
type refusedParts struct {
	parts []string
	from  time.Duration
}

type partSimulation struct {
	partFleet
	random       *rand.Rand
	start        time.Time
	now          time.Duration
	incarnations []int
	downUntil    []time.Duration
	prompts      []*partPrompt
	survivals    []Survivals
	ledgers      []*PartLedger[[2]int] // of the tracking daemons, which are the first ones
	refused      []refusedParts
	sends        map[string][]time.Duration
	crashes      map[string][]time.Duration
	wrong        []string // refusals of prompts that crash nothing
	sound        int
	begun        int // sound prompts that servers began to answer
	messages     int
	soundRefused int // sound prompts refused for their parts
}

const (
	partReadTime    = 1200 * time.Millisecond
	partAnswerTime  = 4 * time.Second
	partsPerSession = 5
	newRoute        = "route5"
	// maxMessageRate bounds the messages per second and daemon while servers fail.
	maxMessageRate = 1.0
	reviewInterval = 50 * time.Millisecond
)

func (f partFleet) run(seed uint64) *partSimulation {
	p := &partSimulation{
		partFleet: f, random: rand.New(rand.NewPCG(seed, 0)), start: time.Unix(0, 0), ledgers: newPartLedgers(),
		sends: map[string][]time.Duration{}, crashes: map[string][]time.Duration{},
		survivals: make([]Survivals, f.daemons), incarnations: make([]int, f.servers), downUntil: make([]time.Duration, f.servers),
	}
	for n := 0; p.now < simDuration; p.now += step {
		if p.random.Float64() < p.arrivals*step.Seconds() {
			n++
			p.sound++
			p.startPrompt(&partPrompt{digest: fmt.Sprint(n), parts: soundParts(n, p.random)})
		}
		if p.newRouteFrom > 0 && p.now >= p.newRouteFrom && p.now%(500*time.Millisecond) == 0 {
			p.startPrompt(&partPrompt{digest: fmt.Sprint("new", p.now), parts: []string{newRoute}})
		}
		for i, c := range p.culprits {
			if p.now%c.interval != 0 || p.now < c.from && !c.soundBefore {
				continue
			}
			s := &partPrompt{digest: fmt.Sprint("bad", i, p.now), parts: c.parts}
			if p.now >= c.from {
				s.culprit = c.part()
			}
			p.startPrompt(s)
		}
		p.injectFailures()
		p.advance()
		if p.now%reviewInterval == 0 {
			p.review()
		}
	}
	return p
}

func newPartLedgers() []*PartLedger[[2]int] { return []*PartLedger[[2]int]{{}, {}} }

// soundParts returns the parts of a sound prompt: one of its route, and of some prompts one of a
// session.
func soundParts(n int, random *rand.Rand) []string {
	parts := []string{"route0"}
	if n%10 == 0 {
		parts = []string{"route1"}
	}
	if random.IntN(2) == 0 {
		parts = append(parts, fmt.Sprint("session", n/partsPerSession))
	}
	return parts
}

func (p *partSimulation) startPrompt(s *partPrompt) {
	s.daemon, s.sendsLeft = p.random.IntN(p.daemons), 5
	if p.send(s) {
		p.prompts = append(p.prompts, s)
	}
}

func (p *partSimulation) isRefused(s *partPrompt) bool {
	return slices.ContainsFunc(p.refused, func(r refusedParts) bool {
		return p.now >= r.from && ContainsAll(s.parts, r.parts)
	})
}

func (p *partSimulation) send(s *partPrompt) bool {
	if s.culprit == "" && p.isRefused(s) {
		p.soundRefused++
	}
	if p.isRefused(s) || s.sendsLeft == 0 || s.crashes >= refuseThreshold {
		return false
	}
	s.sendsLeft--
	for range 20 {
		if s.server = p.random.IntN(p.servers); p.now >= p.downUntil[s.server] {
			break
		}
	}
	s.sentAt, s.survived = p.now, false
	if s.culprit != "" {
		p.sends[s.culprit] = append(p.sends[s.culprit], p.now)
	}
	return true
}

func (p *partSimulation) injectFailures() {
	if p.random.Float64() < p.crashesPerSecond*step.Seconds() {
		p.crashAll([]int{p.random.IntN(p.servers)})
	}
	if p.zoneOutageInterval > 0 && p.now > 0 && p.now%p.zoneOutageInterval == 0 {
		p.crashAll(p.serversWhere(func(server int) bool { return server%3 == int(p.now/p.zoneOutageInterval)%3 }))
	}
	if p.shareOutageInterval > 0 && p.now > 0 && p.now%p.shareOutageInterval == 0 {
		p.crashAll(p.serversWhere(func(int) bool { return p.random.Float64() < 0.15 }))
	}
	if p.restartAt > 0 && p.now == p.restartAt {
		p.restartAt += p.restartInterval
		p.survivals = make([]Survivals, p.daemons)
		p.ledgers = newPartLedgers()
	}
}

func (p *partSimulation) serversWhere(match func(int) bool) (list []int) {
	for server := range p.servers {
		if match(server) {
			list = append(list, server)
		}
	}
	return list
}

func (p *partSimulation) advance() {
	for _, s := range slices.Clone(p.prompts) {
		age := p.now - s.sentAt
		switch {
		case s.culprit != "" && age >= partReadTime+80*time.Millisecond:
			p.crashes[s.culprit] = append(p.crashes[s.culprit], p.now)
			p.crashAll([]int{s.server})
		case age >= partReadTime+partAnswerTime:
			p.begun++
			p.remove(s)
		case age >= partReadTime+crashWindow && !s.survived:
			s.survived = true
			for _, part := range append([]string{AnyPart}, s.parts...) {
				p.survivals[s.daemon].Record(part, p.at(s.sentAt+partReadTime))
			}
		}
	}
}

func (p *partSimulation) at(offset time.Duration) time.Time { return p.start.Add(offset) }

func (p *partSimulation) remove(s *partPrompt) {
	p.prompts = slices.DeleteFunc(p.prompts, func(other *partPrompt) bool { return other == s })
}

// crashAll terminates servers at the same moment; their prompts are sent to others.
func (p *partSimulation) crashAll(servers []int) {
	for _, server := range servers {
		p.downUntil[server] = p.now + 2*time.Second
		p.incarnations[server]++
	}
	for _, s := range slices.Clone(p.prompts) {
		if !slices.Contains(servers, s.server) || s.sentAt == p.now {
			continue
		}
		age := p.now - s.sentAt
		end := Termination{PromptUnread: float64(age) < 0.7*float64(partReadTime), Streamed: max(0, age-partReadTime)}
		if end.Attribute() == Attributed {
			end.PeersChecked, end.PeersDown = p.checkPeers(s.server)
		}
		suspect := false
		if end.Attribute() == Attributed {
			s.crashes++
			suspect = p.report(s)
		}
		if suspect || !p.send(s) {
			p.remove(s)
		}
	}
}

func (p *partSimulation) checkPeers(server int) (asked, down int) {
	return checkPeers(p.random, server, func(other int) bool { return p.now < p.downUntil[other] }, p.servers)
}

// report tells the tracking daemons of a crash, one message in twenty is lost.
func (p *partSimulation) report(s *partPrompt) (suspect bool) {
	for d, ledger := range p.ledgers {
		if d != s.daemon {
			p.messages++
			if p.random.IntN(20) == 0 {
				continue
			}
		}
		for _, part := range append([]string{AnyPart}, s.parts...) {
			if begun, ok := p.survivals[s.daemon].Last(part); ok {
				ledger.RecordSurvival(part, begun)
			}
		}
		ledger.RecordCrash(PromptCrash[[2]int]{Server: [2]int{s.server, p.incarnations[s.server]}, Digest: s.digest, Parts: s.parts, At: p.at(p.now)})
		for _, r := range ledger.Assess(p.at(p.now)) {
			suspect = suspect || ContainsAll(s.parts, r.Parts)
		}
	}
	return suspect
}

// review lets each tracking daemon ask all daemons for survivals of the parts in question, of which
// one in twenty does not answer, and refuse the first part that is still found to crash servers.
func (p *partSimulation) review() {
	p.prompts = slices.DeleteFunc(p.prompts, p.isRefused) // daemons cancel them
	for _, ledger := range p.ledgers {
		for {
			reports := ledger.Assess(p.at(p.now))
			if len(reports) == 0 || reports[0].Finding < PartPending {
				break
			}
			reports = slices.DeleteFunc(reports, func(r PartReport[[2]int]) bool { return r.Finding < PartPending })
			asked := Questions(reports)
			for _, part := range asked {
				p.ask(ledger, part)
			}
			p.messages += p.daemons - 1
			if reports = ledger.Assess(p.at(p.now)); len(reports) == 0 || reports[0].Finding != PartCrashing || !ContainsAll(asked, reports[0].Parts) {
				break
			}
			p.refuse(reports[0].Parts)
		}
	}
}

func (p *partSimulation) ask(ledger *PartLedger[[2]int], part string) {
	for d := range p.survivals {
		if begun, ok := p.survivals[d].Last(part); ok && p.random.IntN(20) > 0 {
			ledger.RecordSurvival(part, begun)
		}
	}
}

func (p *partSimulation) refuse(parts []string) {
	for _, ledger := range p.ledgers {
		ledger.Explain(parts)
	}
	p.refused = append(p.refused, refusedParts{parts, p.now + markDelay})
	p.messages += p.daemons - 1
	if !slices.ContainsFunc(p.culprits, func(c culprit) bool { return slices.Contains(parts, c.part()) }) {
		p.wrong = append(p.wrong, fmt.Sprint(parts))
	}
}

// lateSends returns how often prompts with a part were sent later than three seconds after the fifth
// crash.
func (p *partSimulation) lateSends(part string) (n int) {
	crashes := p.crashes[part]
	if len(crashes) < 5 {
		return 0
	}
	for _, at := range p.sends[part] {
		if at > crashes[4]+3*time.Second {
			n++
		}
	}
	return n
}

// Sizes of fleets, with the arrivals of prompts that their engines carry.
var partFleets = []partFleet{
	{daemons: 7, servers: 36, arrivals: 9},
	{daemons: 73, servers: 120, arrivals: 36},
	{daemons: 984, servers: 1000, arrivals: 300},
}

// seeds returns the number of runs of a fleet.
func (f partFleet) seeds() uint64 {
	if f.servers >= 1000 {
		return 2
	}
	return 20
}

// restartedFleets returns fleets whose daemons all restart every three seconds.
func restartedFleets() (fleets []partFleet) {
	for _, f := range partFleets[:2] {
		f.restartAt, f.restartInterval = 3*time.Second, 3*time.Second
		fleets = append(fleets, f)
	}
	return fleets
}

// Guards against parts refused because servers, zones, groups of servers or all daemons fail.
func TestPartsInUnrelatedFailuresAreNotRefused(t *testing.T) {
	for _, f := range append(partFleets, restartedFleets()...) {
		f.crashesPerSecond, f.zoneOutageInterval, f.shareOutageInterval = 0.015*float64(f.servers), 7*time.Second, 5*time.Second
		var wrong []string
		messages, seeds := 0, f.seeds()
		for seed := range seeds {
			p := f.run(seed)
			wrong = append(wrong, p.wrong...)
			messages += p.messages
		}
		t.Logf("%d daemons: refused wrongly in %d runs: %v; %d messages a run", f.daemons, seeds, wrong, messages/int(seeds))
		must.SliceEmpty(t, wrong)
		must.LessEq(t, maxMessageRate*simDuration.Seconds()*float64(f.daemons), float64(messages/int(seeds)))
	}
}

// Guards against a crashing part that is found late, or found together with sound ones.
func TestCrashingPartIsRefused(t *testing.T) {
	second := culprit{parts: []string{"route0", "worse"}, interval: 400 * time.Millisecond, from: 11 * time.Second}
	for _, c := range []struct {
		name     string
		culprits []culprit
		change   func(*partFleet)
	}{
		{"in the middle", []culprit{{parts: []string{"route0", "bad"}, interval: 300 * time.Millisecond, from: 10 * time.Second}}, nil},
		{"many at once", []culprit{{parts: []string{"route0", "bad"}, interval: 20 * time.Millisecond, from: 10 * time.Second}}, nil},
		{"seldom", []culprit{{parts: []string{"route0", "bad"}, interval: 6 * time.Second, from: 2 * time.Second}}, nil},
		{"in first place", []culprit{{parts: []string{"bad"}, interval: 300 * time.Millisecond, from: 10 * time.Second}}, nil},
		{"in first place, before a new part that is sound", []culprit{{parts: []string{"bad", newRoute}, crashing: "bad", interval: 300 * time.Millisecond, from: 10 * time.Second}}, func(f *partFleet) {
			f.newRouteFrom = 13 * time.Second
		}},
		{"two at once", []culprit{{parts: []string{"route0", "bad"}, interval: 300 * time.Millisecond, from: 10 * time.Second}, second}, nil},
		{"sound before, all of a route", []culprit{{parts: []string{"route2"}, interval: 300 * time.Millisecond, from: 10 * time.Second, soundBefore: true}}, nil},
		{"sound before, in the middle", []culprit{{parts: []string{"route0", "once"}, interval: 300 * time.Millisecond, from: 10 * time.Second, soundBefore: true}}, nil},
		{"sound before, seldom", []culprit{{parts: []string{"route0", "once"}, interval: 5 * time.Second, from: 15 * time.Second, soundBefore: true}}, nil},
		{"few sound prompts", []culprit{{parts: []string{"route0", "bad"}, interval: 300 * time.Millisecond, from: 10 * time.Second}}, func(f *partFleet) { f.arrivals = 1 }},
		{"no sound prompts", []culprit{{parts: []string{"route0", "bad"}, interval: 300 * time.Millisecond, from: 10 * time.Second}}, func(f *partFleet) { f.arrivals = 0 }},
		{"beside unrelated failures", []culprit{{parts: []string{"route0", "bad"}, interval: 300 * time.Millisecond, from: 10 * time.Second}}, func(f *partFleet) {
			f.crashesPerSecond, f.zoneOutageInterval, f.shareOutageInterval = 0.015*float64(f.servers), 7*time.Second, 5*time.Second
		}},
		{"all daemons restart meanwhile", []culprit{{parts: []string{"route0", "bad"}, interval: 300 * time.Millisecond, from: 10 * time.Second}}, func(f *partFleet) {
			f.restartAt = 11800 * time.Millisecond
		}},
	} {
		fleets := partFleets[:2]
		if c.change == nil && len(c.culprits) == 2 {
			fleets = partFleets // the largest one takes long
		}
		for _, f := range fleets {
			f.culprits = c.culprits
			if c.change != nil {
				c.change(&f)
			}
			var wrong []string
			late, crashes, soundRefused := 0, 0, 0
			for seed := range f.seeds() {
				p := f.run(seed)
				wrong = append(wrong, p.wrong...)
				soundRefused += p.soundRefused
				for _, one := range c.culprits {
					late, crashes = max(late, p.lateSends(one.part())), max(crashes, len(p.crashes[one.part()]))
				}
			}
			t.Logf("%s, %d daemons: at most %d crashes, %d late sends; %d sound prompts refused; refused wrongly: %v", c.name, f.daemons, crashes, late, soundRefused, wrong)
			must.LessEq(t, 3, late)
			must.SliceEmpty(t, wrong)
			must.Eq(t, 0, soundRefused)
		}
	}
}
