package promptqueue

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/prompts"
)

// The fleet below runs in steps of virtual time. Runs take as long as at engines with a
// batch of twelve, and reports of engines are as old as those.
const (
	simStep      = 10 * time.Millisecond
	simPrefill   = time.Second
	simRun       = 8 * time.Second // after the prefill
	simMemory    = 88_000          // tokens
	simSlots     = 12
	simReportAge = 300 * time.Millisecond
)

// simPrompt is one request with what its caller saw.
type simPrompt struct {
	Prompt
	daemon, tokens int
	arrived        time.Duration
	candidates     []int
	started        bool
	refused        Refusal // Waits unless refused on arrival or while waiting
	ended          time.Duration
	engine         int
}

func (p *simPrompt) wait() time.Duration { return p.ended - p.arrived }

type simRunning struct {
	tokens              int
	prefilled, finishes time.Duration
}

// simEngine keeps its use of memory for simReportAge, which is how old its reports are.
type simEngine struct {
	runs []simRunning
	used []int // by step
}

func (e *simEngine) prefilling(now time.Duration) bool {
	return slices.ContainsFunc(e.runs, func(r simRunning) bool { return now < r.prefilled })
}

func (e *simEngine) tokens() (n int) {
	for _, r := range e.runs {
		n += r.tokens
	}
	return n
}

// hasRoom reports whether the engine has room by the counts of its tracker and by its own old report.
func (e *simEngine) hasRoom(now time.Duration, tokens int) bool {
	return !e.prefilling(now) && len(e.runs) < simSlots && e.used[0]+tokens <= simMemory
}

type simDaemon struct {
	queue Queue
	next  time.Duration // of its next look for room
}

// simFleet is a fleet of daemons that send prompts to engines.
type simFleet struct {
	now       time.Duration
	random    *rand.Rand
	engines   []simEngine
	daemons   []simDaemon
	table     *Table[int] // of all trackers; nil while no tracker answers
	waiting   map[*Prompt]*simPrompt
	done      []*simPrompt
	looks     int // for room, by prompts that waited
	direct    bool
	arrivals  int
	maxTokens int // used at one engine at any time
}

func newFleet(daemons, engines int) *simFleet {
	f := &simFleet{
		random: rand.New(rand.NewPCG(1, 2)), engines: make([]simEngine, engines), daemons: make([]simDaemon, daemons),
		table: &Table[int]{}, waiting: map[*Prompt]*simPrompt{},
	}
	for i := range f.engines {
		f.engines[i].used = make([]int, simReportAge/simStep)
	}
	return f
}

func (f *simFleet) clock() time.Time { return epoch.Add(f.now) }

// simLoad is a kind of requests.
type simLoad struct {
	rank      int
	accounts  []string
	tokens    []int
	objective time.Duration
	perSecond func(now time.Duration) float64
}

func constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// play advances the fleet until the given time.
func (f *simFleet) play(until time.Duration, loads ...simLoad) {
	for ; f.now < until; f.now += simStep {
		for i := range f.engines {
			e := &f.engines[i]
			e.runs = slices.DeleteFunc(e.runs, func(r simRunning) bool { return f.now >= r.finishes })
			e.used = append(e.used[1:], e.tokens())
			f.maxTokens = max(f.maxTokens, e.tokens())
		}
		for _, l := range loads {
			for expected := l.perSecond(f.now) * simStep.Seconds(); expected > 0; expected-- {
				if f.random.Float64() < expected {
					f.arrive(l)
				}
			}
		}
		for i := range f.daemons {
			f.look(i)
		}
	}
}

func (f *simFleet) arrive(l simLoad) {
	f.arrivals++
	p := &simPrompt{
		Prompt: Prompt{
			ID: fmt.Sprintf("r%05d", f.arrivals), Account: l.accounts[f.random.IntN(len(l.accounts))], Rank: l.rank,
			LatestStart: f.clock().Add(l.objective - simPrefill),
		},
		daemon: f.random.IntN(len(f.daemons)), tokens: l.tokens[f.random.IntN(len(l.tokens))], arrived: f.now,
		candidates: f.random.Perm(len(f.engines))[:min(10, len(f.engines))],
	}
	p.Tokens = p.tokens
	d := &f.daemons[p.daemon]
	blocked := f.direct
	if f.direct || !d.queue.HasBefore(p.Rank) {
		if f.start(p, nil) {
			d.queue.StartedAtOnce(p.Rank)
			return
		}
		blocked = true
	}
	if f.direct {
		f.refuse(p, NoTime)
		return
	}
	refusal, _ := d.queue.Add(f.clock(), &p.Prompt)
	if refusal != Waits {
		f.refuse(p, refusal)
		return
	}
	f.waiting[&p.Prompt] = p
	if first, _ := d.queue.First(f.clock()); first == &p.Prompt && blocked {
		d.next = f.now + simStep
	}
}

func (f *simFleet) refuse(p *simPrompt, why Refusal) {
	p.refused, p.ended = why, f.now
	f.done = append(f.done, p)
}

// start sends a prompt to the candidate with the fewest runs that has room and at which no other
// prompt comes first. remote is nil if the prompt has not waited.
func (f *simFleet) start(p *simPrompt, remote *RemotePrompt) bool {
	best := -1
	for _, i := range p.candidates {
		e := &f.engines[i]
		if f.table != nil && !f.direct && f.table.Ahead(f.clock(), i, fmt.Sprint(p.daemon), remote) > 0 {
			continue
		}
		if e.hasRoom(f.now, p.tokens) && (best < 0 || len(e.runs) < len(f.engines[best].runs)) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	took := time.Duration(float64(simPrefill) * float64(p.tokens) / 8000)
	f.engines[best].runs = append(f.engines[best].runs, simRunning{tokens: p.tokens, prefilled: f.now + took, finishes: f.now + took + simRun})
	p.started, p.ended, p.engine = true, f.now, best
	f.done = append(f.done, p)
	return true
}

// look removes the prompts of a daemon without a prospect, and lets the first one look for room.
func (f *simFleet) look(daemon int) {
	d := &f.daemons[daemon]
	if d.queue.Len() == 0 || f.now < d.next {
		return
	}
	for _, p := range f.ofDaemon(daemon) {
		if why := d.queue.Check(f.clock(), &p.Prompt); why != Waits {
			d.queue.Remove(&p.Prompt)
			f.end(p)
			f.refuse(p, why)
		}
	}
	first, rank := d.queue.First(f.clock())
	if first == nil {
		return
	}
	p := f.waiting[first]
	f.looks++
	remote := RemotePrompt{Daemon: fmt.Sprint(daemon), ID: first.ID, Rank: rank, LatestStart: first.LatestStart}
	if f.table != nil {
		f.table.Update(f.clock(), remote, p.candidates)
	}
	d.next = f.now + d.queue.LookInterval(f.clock(), first, f.random.Float64())
	if f.start(p, &remote) {
		d.queue.Started(f.clock(), first)
		f.end(p)
		d.next = f.now + simStep
		return
	}
	if again := d.queue.Failed(f.clock(), first); again {
		d.next = f.now + simStep
	}
}

func (f *simFleet) end(p *simPrompt) {
	delete(f.waiting, &p.Prompt)
	if f.table != nil {
		f.table.Update(f.clock(), RemotePrompt{Daemon: fmt.Sprint(p.daemon), ID: p.ID}, nil)
	}
}

func (f *simFleet) ofDaemon(daemon int) (list []*simPrompt) {
	for _, p := range f.waiting {
		if p.daemon == daemon {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *simPrompt) int { return comparePrompts(&a.Prompt, &b.Prompt) })
	return list
}

// servedRatio returns the share of the ended requests that keep returns true for which started.
func (f *simFleet) servedRatio(keep func(*simPrompt) bool) float64 {
	served, all := 0, 0
	for _, p := range f.done {
		if keep(p) {
			all++
			if p.started {
				served++
			}
		}
	}
	return float64(served) / float64(max(all, 1))
}

func ofRank(rank int) func(*simPrompt) bool { return func(p *simPrompt) bool { return p.Rank == rank } }

// longestWait returns the longest wait of the prompts that started.
func (f *simFleet) longestWait(keep func(*simPrompt) bool) (longest time.Duration) {
	for _, p := range f.done {
		if p.started && keep(p) {
			longest = max(longest, p.wait())
		}
	}
	return longest
}

var (
	usualTokens = []int{8000}
	oneAccount  = []string{"a"}
)

// urgent is a tenth of the capacity of 36 engines, which prefill 36 prompts per second.
var urgent = simLoad{rank: 0, accounts: oneAccount, tokens: usualTokens, objective: 4 * time.Second, perSecond: constant(3)}

func lessUrgentAt(rate func(time.Duration) float64) simLoad {
	return simLoad{rank: 2, accounts: oneAccount, tokens: usualTokens, objective: 10 * time.Second, perSecond: rate}
}

// burst is 0.6 times the capacity, and 2.4 times as much for six seconds.
func burst(now time.Duration) float64 {
	if now >= 15*time.Second && now < 21*time.Second {
		return 53
	}
	return 22
}

// A burst of less urgent prompts fills all engines. Without the wait, urgent prompts are refused
// together with the less urgent ones; with it nearly all of them start in time, more prompts of both
// kinds do, and the queue is empty again soon after the burst.
func TestBurst(t *testing.T) {
	play := func(direct bool) *simFleet {
		f := newFleet(16, 36)
		f.direct = direct
		f.play(40*time.Second, urgent, lessUrgentAt(burst))
		return f
	}
	without, with := play(true), play(false)
	t.Logf("urgent %.3f -> %.3f, less urgent %.3f -> %.3f, looks %d", without.servedRatio(ofRank(0)), with.servedRatio(ofRank(0)), without.servedRatio(ofRank(2)), with.servedRatio(ofRank(2)), with.looks)
	must.Less(t, 0.95, without.servedRatio(ofRank(0)))
	must.Greater(t, 0.99, with.servedRatio(ofRank(0)))
	must.Greater(t, without.servedRatio(ofRank(2)), with.servedRatio(ofRank(2)))
	must.MapEmpty(t, with.waiting)
	must.Eq(t, 0, with.table.Len())
	started := len(with.done)
	with.play(45*time.Second, urgent, lessUrgentAt(constant(20)))
	for _, p := range with.done[started:] {
		must.True(t, p.started)
		must.Less(t, 500*time.Millisecond, p.wait())
	}
}

// startedAfter returns how many prompts have started since a time.
func (f *simFleet) startedAfter(from time.Duration) (n int) {
	for _, p := range f.done {
		if p.started && p.ended >= from {
			n++
		}
	}
	return n
}

// Load stays at twice the capacity. Prompts without a prospect are refused early and not at their
// latest start, urgent prompts are served, and engines that are left to the prompts of other daemons
// do not stay empty: as many prompts start as without an order.
func TestSaturation(t *testing.T) {
	for _, daemons := range []int{4, 16, 67} {
		play := func(direct bool) *simFleet {
			f := newFleet(daemons, 36)
			f.direct = direct
			f.play(40*time.Second, urgent, lessUrgentAt(constant(70)))
			return f
		}
		without, with := play(true), play(false)
		early, late := 0, 0
		for _, p := range with.done {
			switch p.refused {
			case CannotStart:
				early++
			case NoTime:
				late++
			}
		}
		t.Logf("%d daemons: started %d -> %d, refused early %d, late %d, urgent %.3f -> %.3f, looks %d", daemons, without.startedAfter(10*time.Second),
			with.startedAfter(10*time.Second), early, late, without.servedRatio(ofRank(0)), with.servedRatio(ofRank(0)), with.looks)
		must.Greater(t, 0.98, with.servedRatio(ofRank(0)))
		must.Greater(t, 0.95*float64(without.startedAfter(10*time.Second)), float64(with.startedAfter(10*time.Second)))
		must.Greater(t, 2*late, early)
	}
}

// Urgent prompts alone exceed the capacity. Less urgent ones that are about to miss their latest
// start get a small share and do not starve.
func TestUrgentPromptsBeyondCapacity(t *testing.T) {
	f := newFleet(4, 36)
	heavy := urgent
	heavy.perSecond = constant(60)
	f.play(40*time.Second, heavy, lessUrgentAt(constant(10)))
	light, all := 0, 0
	for _, p := range f.done {
		if p.started && p.ended > 10*time.Second {
			all++
			if p.Rank == 2 {
				light++
			}
		}
	}
	t.Logf("light %d of %d", light, all)
	must.Between(t, 0.03, float64(light)/float64(all), 0.25)
}

// One account sends nine of ten prompts, beyond the capacity. The prompts of the other accounts must
// not wait behind its prompts.
func TestFewAccountsSendMost(t *testing.T) {
	f := newFleet(4, 36)
	light := lessUrgentAt(constant(5))
	light.accounts = []string{"b", "c", "d"}
	f.play(40*time.Second, lessUrgentAt(constant(60)), light)
	isLight := func(p *simPrompt) bool { return p.Account != "a" }
	t.Logf("light %.3f (%v), heavy %.3f", f.servedRatio(isLight), f.longestWait(isLight), f.servedRatio(func(p *simPrompt) bool { return !isLight(p) }))
	must.Greater(t, 0.97, f.servedRatio(isLight))
}

// A tenth of the prompts have 14,400 tokens and find room at fewer engines. Without regard to their
// place in the order, the short ones would take all the room. They must start nearly as often.
func TestLongPromptsAreNotOvertaken(t *testing.T) {
	f := newFleet(16, 36)
	load := lessUrgentAt(burst)
	load.tokens = []int{7000, 7000, 7000, 7000, 7000, 7000, 7000, 7000, 7000, 14_400}
	f.play(40*time.Second, urgent, load)
	long := f.servedRatio(func(p *simPrompt) bool { return p.tokens == 14_400 })
	short := f.servedRatio(func(p *simPrompt) bool { return p.tokens == 7000 })
	t.Logf("long %.3f, short %.3f", long, short)
	must.Greater(t, short-0.1, long)
}

// There is room for all prompts but those that fit into no engine, of another account. Without turns
// of the others, each of these stops all prompts of its daemon until its latest start.
func TestOversizedPromptDoesNotStopOthers(t *testing.T) {
	for _, rank := range []int{0, 2} {
		f := newFleet(1, 36)
		oversized := simLoad{rank: rank, accounts: []string{"large"}, tokens: []int{simMemory + 1}, objective: 10 * time.Second, perSecond: constant(1.0 / 3)}
		f.play(60*time.Second, lessUrgentAt(constant(10)), oversized)
		fits := func(p *simPrompt) bool { return p.tokens <= simMemory }
		t.Logf("oversized of rank %d: %.3f of the others started, longest wait %v", rank, f.servedRatio(fits), f.longestWait(fits))
		must.Greater(t, 0.99, f.servedRatio(fits))
	}
}

// Every daemon has one waiting prompt, so that no daemon sees another one's. The trackers give them
// one order: at each engine, prompts start by rank. Without trackers they start in any order, and
// once they answer again the order is back after one interval.
func TestOrderAcrossDaemons(t *testing.T) {
	order := func(lose bool) (inversions int) {
		f := newFleet(60, 6)
		for i := range f.engines { // all engines are full until 1 s
			f.engines[i].runs = []simRunning{{tokens: simMemory, prefilled: 0, finishes: time.Second}}
		}
		f.play(500 * time.Millisecond)
		for i := range f.daemons {
			load := urgent
			load.rank, load.objective = i%2, 9*time.Second
			f.arrive(load)
		}
		if lose {
			f.table = nil
		}
		f.play(9 * time.Second)
		for i, p := range f.done {
			for _, later := range f.done[i+1:] {
				if p.started && later.started && p.engine == later.engine && p.Rank > later.Rank {
					inversions++
				}
			}
		}
		return inversions
	}
	with, without := order(false), order(true)
	t.Logf("inversions with trackers %d, without %d", with, without)
	must.LessEq(t, without/5, with)
	must.Positive(t, without)
}

// A tracker restarts without its memory during a burst. Its engines are given to any prompt until the
// waiting ones look again, at most half a second later; urgent prompts are still served.
func TestTrackerIsLost(t *testing.T) {
	f := newFleet(16, 36)
	f.play(18*time.Second, urgent, lessUrgentAt(burst))
	must.Positive(t, f.table.Len())
	f.table = &Table[int]{}
	f.play(19*time.Second, urgent, lessUrgentAt(burst))
	must.Positive(t, f.table.Len())
	f.table = nil // not reachable for the rest of the burst
	f.play(40*time.Second, urgent, lessUrgentAt(burst))
	t.Logf("urgent %.3f, less urgent %.3f", f.servedRatio(ofRank(0)), f.servedRatio(ofRank(2)))
	must.Greater(t, 0.93, f.servedRatio(ofRank(0)))
	must.MapEmpty(t, f.waiting)
}

// Reports of memory are 300 ms old. Many prompts wait for the same room, and all of them see it. The
// prompts counted by the tracker must keep them from filling an engine beyond its memory.
func TestOldReportsDoNotOverfillEngines(t *testing.T) {
	f := newFleet(60, 6)
	f.play(30*time.Second, urgent, lessUrgentAt(constant(40)))
	must.Positive(t, f.looks)
	must.LessEq(t, simMemory, f.maxTokens)
}

// 984 daemons have a waiting prompt each, and 10,000 engines are full. Without bounds, each daemon
// would pay for the whole fleet: a tracker must hold the ten engines of about as many prompts as one
// daemon sends, and answer as many queries as one daemon sends.
func TestWholeFleetWaits(t *testing.T) {
	const daemons, engines = 984, 10_000
	hashes := make([]uint64, daemons)
	for i := range hashes {
		hashes[i] = rand.New(rand.NewPCG(uint64(i), 7)).Uint64()
	}
	trackerOf := make([]int, engines)
	for i := range trackerOf {
		trackerOf[i] = prompts.Tracker(rand.New(rand.NewPCG(uint64(i), 8)).Uint64(), hashes)
	}
	tables := make([]Table[int], daemons)
	messages := make([]int, daemons) // received in one second of looks
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for look := range 4 { // the mean interval of a prompt with 4 s of slack is 250 ms
		now := epoch.Add(time.Duration(look) * 250 * time.Millisecond)
		for d := range daemons {
			random := rand.New(rand.NewPCG(uint64(d), 9))
			byTracker := map[int][]int{}
			for range 10 {
				engine := random.IntN(engines)
				byTracker[trackerOf[engine]] = append(byTracker[trackerOf[engine]], engine)
			}
			p := RemotePrompt{Daemon: fmt.Sprint(d), ID: fmt.Sprint("request-of-the-daemon-", d), LatestStart: now.Add(4 * time.Second)}
			for tracker, list := range byTracker {
				tables[tracker].Update(now, p, list)
				messages[tracker]++
			}
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	held, most := 0, 0
	for i := range tables {
		held = max(held, tables[i].Len())
		most = max(most, messages[i])
	}
	perTracker := int64(after.HeapAlloc-before.HeapAlloc) / daemons
	t.Logf("at most %d prompts and %d queries per second at one tracker, %d bytes on average", held, most, perTracker)
	must.Less(t, 40, held)
	must.Less(t, 160, most)
	must.Less(t, 16<<10, perTracker)
	runtime.KeepAlive(tables)
}

// Guards against prompts that keep an engine empty: one that has started, one of a daemon that was
// killed, and one whose candidates have changed.
func TestTableForgets(t *testing.T) {
	table := &Table[string]{}
	p := RemotePrompt{Daemon: "vm-1", ID: "r1", Rank: 0, LatestStart: epoch}
	later := &RemotePrompt{Daemon: "vm-2", ID: "r2", Rank: 1, LatestStart: epoch}
	ahead := func(now time.Time, engine string) int { return table.Ahead(now, engine, "vm-2", later) }
	table.Update(epoch, p, []string{"e-1", "e-2"})
	must.Eq(t, 1, ahead(epoch, "e-1"))
	must.Eq(t, 0, table.Ahead(epoch, "e-1", "vm-1", nil)) // its own daemon's
	must.Eq(t, 1, table.Ahead(epoch, "e-1", "vm-2", nil)) // before all that have not waited
	must.Eq(t, 0, table.Ahead(epoch, "e-1", "vm-2", &RemotePrompt{Daemon: "vm-2", ID: "r0", Rank: 0, LatestStart: epoch}))
	table.Update(epoch, p, []string{"e-2"})
	must.Eq(t, []int{0, 1}, []int{ahead(epoch, "e-1"), ahead(epoch, "e-2")})
	table.Update(epoch, p, nil)
	must.Eq(t, 0, ahead(epoch, "e-2"))
	table.Update(epoch, p, []string{"e-2"})
	must.Eq(t, 1, ahead(epoch.Add(remoteTTL-1), "e-2"))
	must.Eq(t, 0, ahead(epoch.Add(remoteTTL), "e-2"))
	table.Update(epoch.Add(2*remoteTTL), RemotePrompt{Daemon: "vm-3", ID: "r3"}, []string{"e-3"})
	must.Eq(t, 1, table.Len())
	must.Eq(t, 1, len(table.engines))
}

// Guards against a daemon that fills the memory of a tracker.
func TestTableIsBounded(t *testing.T) {
	table := &Table[int]{}
	for i := range 2 * maxRemotePrompts {
		table.Update(epoch, RemotePrompt{Daemon: "vm-1", ID: fmt.Sprint(i)}, []int{i})
	}
	must.Eq(t, maxRemotePrompts, table.Len())
	table.Update(epoch.Add(remoteTTL), RemotePrompt{Daemon: "vm-1", ID: "wide"}, make([]int, maxRemoteEngines+1))
	must.Eq(t, 0, table.Len())
}
