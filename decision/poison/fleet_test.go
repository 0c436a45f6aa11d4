package poison

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/rendezvous"
	"mallowwind.dev/decision/route"
)

// fleetLoad plays streams and one request that ends its servers, in steps of virtual time.
type fleetLoad struct {
	daemons, servers int
	arrivals         float64 // streams a second
	// alone is how many servers a second end by themselves, and zones how often one third of
	// them ends at once.
	alone float64
	zones time.Duration
	// poisoned says that the request comes, once in every half second.
	poisoned bool
}

// fleetResult is what came of it.
type fleetResult struct {
	streams, refusedWrongly, ended, sends, messages int
}

const (
	step      = 10 * time.Millisecond
	readTime  = 1100 * time.Millisecond
	runTime   = 5 * time.Second
	played    = 60 * time.Second
	fleetTell = 30 * time.Millisecond // until all daemons know of a mark
)

// stream is one request in progress.
type stream struct {
	digest int
	daemon int
	server int
	since  time.Duration // of its present send
	left   int           // sends that its route still allows
}

type fleetPlay struct {
	fleetLoad
	t        *testing.T
	random   *rand.Rand
	now      time.Duration
	lives    []int
	downTill []time.Duration
	streams  []*stream
	hashes   []uint64
	ledgers  []CrashCounter[[2]int]
	refused  map[int]time.Duration // from when every daemon refuses a digest
	result   fleetResult
}

const poisonDigest = 0

func (f fleetLoad) play(t *testing.T, seed uint64) fleetResult {
	p := &fleetPlay{fleetLoad: f, t: t, random: rand.New(rand.NewPCG(seed, 0)), refused: map[int]time.Duration{}}
	p.lives, p.downTill = make([]int, f.servers), make([]time.Duration, f.servers)
	p.ledgers = make([]CrashCounter[[2]int], f.daemons)
	for d := range f.daemons {
		p.hashes = append(p.hashes, route.Mix(uint64(d)+1))
	}
	for digest := 1; p.now < played; p.now += step {
		if p.random.Float64() < f.arrivals*step.Seconds() {
			p.result.streams++
			p.begin(digest)
			digest++
		}
		if f.poisoned && p.now%(500*time.Millisecond) == 0 {
			p.begin(poisonDigest)
		}
		p.failures()
		p.proceed()
	}
	return p.result
}

func (p *fleetPlay) begin(digest int) {
	s := &stream{digest: digest, daemon: p.random.IntN(p.daemons), left: 5}
	if p.send(s) {
		p.streams = append(p.streams, s)
	}
}

// send chooses a server that is up. A refused request is sent to none.
func (p *fleetPlay) send(s *stream) bool {
	if from, refused := p.refused[s.digest]; refused && p.now >= from || s.left == 0 {
		return false
	}
	s.left--
	for range 20 {
		if s.server = p.random.IntN(p.servers); p.now >= p.downTill[s.server] {
			break
		}
	}
	s.since = p.now
	if s.digest == poisonDigest {
		p.result.sends++
	}
	return true
}

func (p *fleetPlay) failures() {
	if p.random.Float64() < p.alone*step.Seconds() {
		p.end(p.random.IntN(p.servers))
	}
	if p.zones > 0 && p.now > 0 && p.now%p.zones == 0 {
		zone := int(p.now/p.zones) % 3
		for server := range p.servers {
			if server%3 == zone {
				p.downTill[server] = p.now + 2*time.Second
			}
		}
		for server := range p.servers {
			if server%3 == zone {
				p.end(server)
			}
		}
	}
}

func (p *fleetPlay) proceed() {
	for _, s := range append([]*stream(nil), p.streams...) {
		age := p.now - s.since
		switch {
		case s.digest == poisonDigest && age >= readTime:
			p.end(s.server)
		case age >= readTime+runTime:
			for d := range p.ledgers { // a whole answer clears it
				p.ledgers[d].Clear(string(rune(s.digest)))
			}
			p.drop(s)
		}
	}
}

func (p *fleetPlay) drop(s *stream) {
	for i, other := range p.streams {
		if other == s {
			p.streams = append(p.streams[:i], p.streams[i+1:]...)
			return
		}
	}
}

// end ends a server, and with it what it runs, which goes on elsewhere.
func (p *fleetPlay) end(server int) {
	life := [2]int{server, p.lives[server]}
	p.lives[server]++
	p.downTill[server] = p.now + 2*time.Second
	p.result.ended++
	for _, s := range append([]*stream(nil), p.streams...) {
		if s.server != server || s.since == p.now {
			continue
		}
		age := p.now - s.since
		e := Termination{PromptUnread: float64(age) < 0.7*float64(readTime), Streamed: max(0, age-readTime)}
		if e.Attribute() == Attributed {
			e.PeersChecked, e.PeersDown = p.lookAround(server)
		}
		if e.Attribute() == Attributed {
			p.count(s, life)
		}
		if !p.send(s) {
			p.drop(s)
		}
	}
}

func (p *fleetPlay) lookAround(server int) (asked, down int) {
	for range PeersToCheck {
		if other := p.random.IntN(p.servers/3)*3 + server%3; other != server {
			asked++
			if p.now < p.downTill[other] {
				down++
			}
		}
	}
	return asked, down
}

// count tells the keepers of a request, and all daemons of a mark.
func (p *fleetPlay) count(s *stream, life [2]int) {
	keepers := append([]int{s.daemon}, rendezvous.Nearest(route.Mix(uint64(s.digest)), p.hashes, 2)...)
	digest := string(rune(s.digest))
	for _, d := range keepers {
		if d != s.daemon {
			p.result.messages++
		}
		before := p.ledgers[d].Mark(digest)
		p.ledgers[d].Record(time.Unix(0, int64(p.now)), digest, life)
		after := p.ledgers[d].Mark(digest)
		if after == before {
			continue
		}
		p.result.messages += p.daemons - 1
		if _, known := p.refused[s.digest]; after == Refused && !known {
			p.refused[s.digest] = p.now + fleetTell
			if s.digest != poisonDigest {
				p.result.refusedWrongly++
			}
		}
	}
}

var fleets = []fleetLoad{
	{daemons: 7, servers: 36, arrivals: 9, alone: 0.2, zones: 6 * time.Second},
	{daemons: 73, servers: 120, arrivals: 36, alone: 0.5, zones: 6 * time.Second},
	{daemons: 295, servers: 260, arrivals: 78, alone: 1, zones: 6 * time.Second},
}

// Servers end by themselves and by zones: no request may be refused for having been there.
func TestUnluckyRequestsAreNotRefused(t *testing.T) {
	for _, f := range fleets {
		wrong, messages := 0, 0
		for seed := range uint64(20) {
			r := f.play(t, seed)
			wrong += r.refusedWrongly
			messages += r.messages
		}
		t.Logf("%d daemons: %d of 20 days' requests refused wrongly, %d messages a day", f.daemons, wrong, messages/20)
		must.Eq(t, 0, wrong)
	}
}

// However many daemons it arrives at, a request that ends its servers ends few of them.
func TestRequestThatEndsServersIsFound(t *testing.T) {
	for _, f := range fleets {
		f.poisoned = true
		most, messages, wrong := 0, 0, 0
		for seed := range uint64(20) {
			r := f.play(t, seed)
			most, messages, wrong = max(most, r.sends), messages+r.messages, wrong+r.refusedWrongly
		}
		t.Logf("%d daemons: at most %d sends, %d messages a day, %d others refused", f.daemons, most, messages/20, wrong)
		must.LessEq(t, 12, most)
		must.Eq(t, 0, wrong)
	}
}
