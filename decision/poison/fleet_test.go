package poison

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/rendezvous"
	"mallowwind.dev/decision/route"
)

// fleetConfig configures a simulation, in steps of virtual time, of streams and one request that
// crashes its servers.
type fleetConfig struct {
	daemons, servers int
	arrivals         float64 // streams per second
	// crashesPerSecond is the rate of unrelated crashes of single servers; zoneOutageInterval is
	// the time between outages that terminate one third of the servers at once.
	crashesPerSecond   float64
	zoneOutageInterval time.Duration
	// poisoned says that the crashing request arrives once every half second.
	poisoned bool
}

// fleetResult is the result of a simulation.
type fleetResult struct {
	streams, refusedWrongly, crashes, sends, messages int
}

const (
	step        = 10 * time.Millisecond
	prefillTime = 1100 * time.Millisecond
	streamTime  = 5 * time.Second
	simDuration = 60 * time.Second
	markDelay   = 30 * time.Millisecond // until all daemons know of a mark
)

// stream is one request in progress.
type stream struct {
	digest    int
	daemon    int
	server    int
	sentAt    time.Duration // when the current send started
	sendsLeft int           // sends that its route still permits
}

type simulation struct {
	fleetConfig
	t            *testing.T
	random       *rand.Rand
	now          time.Duration
	incarnations []int
	downUntil    []time.Duration
	streams      []*stream
	hashes       []uint64
	counters     []CrashCounter[[2]int]
	refused      map[int]time.Duration // from when every daemon refuses a digest
	result       fleetResult
}

const poisonDigest = 0

func (f fleetConfig) run(t *testing.T, seed uint64) fleetResult {
	p := &simulation{fleetConfig: f, t: t, random: rand.New(rand.NewPCG(seed, 0)), refused: map[int]time.Duration{}}
	p.incarnations, p.downUntil = make([]int, f.servers), make([]time.Duration, f.servers)
	p.counters = make([]CrashCounter[[2]int], f.daemons)
	for d := range f.daemons {
		p.hashes = append(p.hashes, route.Mix(uint64(d)+1))
	}
	for digest := 1; p.now < simDuration; p.now += step {
		if p.random.Float64() < f.arrivals*step.Seconds() {
			p.result.streams++
			p.startStream(digest)
			digest++
		}
		if f.poisoned && p.now%(500*time.Millisecond) == 0 {
			p.startStream(poisonDigest)
		}
		p.injectFailures()
		p.advance()
	}
	return p.result
}

func (p *simulation) startStream(digest int) {
	s := &stream{digest: digest, daemon: p.random.IntN(p.daemons), sendsLeft: 5}
	if p.send(s) {
		p.streams = append(p.streams, s)
	}
}

// send sends a request to a random server that is up. It reports false for a request that is
// refused or has no sends left.
func (p *simulation) send(s *stream) bool {
	if from, refused := p.refused[s.digest]; refused && p.now >= from || s.sendsLeft == 0 {
		return false
	}
	s.sendsLeft--
	for range 20 {
		if s.server = p.random.IntN(p.servers); p.now >= p.downUntil[s.server] {
			break
		}
	}
	s.sentAt = p.now
	if s.digest == poisonDigest {
		p.result.sends++
	}
	return true
}

func (p *simulation) injectFailures() {
	if p.random.Float64() < p.crashesPerSecond*step.Seconds() {
		p.crash(p.random.IntN(p.servers))
	}
	if p.zoneOutageInterval > 0 && p.now > 0 && p.now%p.zoneOutageInterval == 0 {
		zone := int(p.now/p.zoneOutageInterval) % 3
		for server := range p.servers {
			if server%3 == zone {
				p.downUntil[server] = p.now + 2*time.Second
			}
		}
		for server := range p.servers {
			if server%3 == zone {
				p.crash(server)
			}
		}
	}
}

func (p *simulation) advance() {
	for _, s := range append([]*stream(nil), p.streams...) {
		age := p.now - s.sentAt
		switch {
		case s.digest == poisonDigest && age >= prefillTime:
			p.crash(s.server)
		case age >= prefillTime+streamTime:
			for d := range p.counters { // a complete response clears the request
				p.counters[d].Clear(string(rune(s.digest)))
			}
			p.remove(s)
		}
	}
}

func (p *simulation) remove(s *stream) {
	for i, other := range p.streams {
		if other == s {
			p.streams = append(p.streams[:i], p.streams[i+1:]...)
			return
		}
	}
}

// crash terminates a server; the requests that ran on it continue elsewhere.
func (p *simulation) crash(server int) {
	incarnation := [2]int{server, p.incarnations[server]}
	p.incarnations[server]++
	p.downUntil[server] = p.now + 2*time.Second
	p.result.crashes++
	for _, s := range append([]*stream(nil), p.streams...) {
		if s.server != server || s.sentAt == p.now {
			continue
		}
		age := p.now - s.sentAt
		end := Termination{PromptUnread: float64(age) < 0.7*float64(prefillTime), Streamed: max(0, age-prefillTime)}
		if end.Attribute() == Attributed {
			end.PeersChecked, end.PeersDown = p.checkPeers(server)
		}
		if end.Attribute() == Attributed {
			p.countCrash(s, incarnation)
		}
		if !p.send(s) {
			p.remove(s)
		}
	}
}

func (p *simulation) checkPeers(server int) (asked, down int) {
	return checkPeers(p.random, server, func(other int) bool { return p.now < p.downUntil[other] }, p.servers)
}

// checkPeers checks other servers of a server's zone; every third server is in the same zone.
func checkPeers(random *rand.Rand, server int, isDown func(int) bool, servers int) (asked, down int) {
	for range PeersToCheck {
		if other := random.IntN(servers/3)*3 + server%3; other != server {
			asked++
			if isDown(other) {
				down++
			}
		}
	}
	return asked, down
}

// countCrash records a termination at the daemons that count for the request, and tells all daemons
// of a new mark.
func (p *simulation) countCrash(s *stream, incarnation [2]int) {
	keepers := append([]int{s.daemon}, rendezvous.Select(route.Mix(uint64(s.digest)), p.hashes, 2)...)
	digest := string(rune(s.digest))
	for _, d := range keepers {
		if d != s.daemon {
			p.result.messages++
		}
		before := p.counters[d].Mark(digest)
		p.counters[d].Record(time.Unix(0, int64(p.now)), digest, incarnation)
		after := p.counters[d].Mark(digest)
		if after == before {
			continue
		}
		p.result.messages += p.daemons - 1
		if _, known := p.refused[s.digest]; after == Refused && !known {
			p.refused[s.digest] = p.now + markDelay
			if s.digest != poisonDigest {
				p.result.refusedWrongly++
			}
		}
	}
}

var fleets = []fleetConfig{
	{daemons: 7, servers: 36, arrivals: 9, crashesPerSecond: 0.2, zoneOutageInterval: 6 * time.Second},
	{daemons: 73, servers: 120, arrivals: 36, crashesPerSecond: 0.5, zoneOutageInterval: 6 * time.Second},
	{daemons: 295, servers: 260, arrivals: 78, crashesPerSecond: 1, zoneOutageInterval: 6 * time.Second},
}

// Servers and zones fail for unrelated reasons: no request that ran there may be refused.
func TestRequestsInUnrelatedFailuresAreNotRefused(t *testing.T) {
	for _, f := range fleets {
		wrong, messages := 0, 0
		for seed := range uint64(20) {
			r := f.run(t, seed)
			wrong += r.refusedWrongly
			messages += r.messages
		}
		t.Logf("%d daemons: %d requests wrongly refused in 20 runs, %d messages per run", f.daemons, wrong, messages/20)
		must.Eq(t, 0, wrong)
	}
}

// A request that crashes its servers must be refused after a few crashes, for any number of daemons
// that it arrives at.
func TestPoisonRequestIsRefused(t *testing.T) {
	for _, f := range fleets {
		f.poisoned = true
		most, messages, wrong := 0, 0, 0
		for seed := range uint64(20) {
			r := f.run(t, seed)
			most, messages, wrong = max(most, r.sends), messages+r.messages, wrong+r.refusedWrongly
		}
		t.Logf("%d daemons: at most %d sends, %d messages per run, %d other requests refused", f.daemons, most, messages/20, wrong)
		must.LessEq(t, 12, most)
		must.Eq(t, 0, wrong)
	}
}
