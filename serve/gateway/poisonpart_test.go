package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/decision/verdict"
)

const (
	// crashesBeforePartDetection is the number of crashes after which a part of prompts must be
	// recognized as the cause.
	crashesBeforePartDetection = 5
	// partDetectionTime is the time that the fleet may then take.
	partDetectionTime = 3 * time.Second
	// maxPartSendsAfterDetection is how often prompts with the part may be sent after that, all of
	// them together.
	maxPartSendsAfterDetection = 3
	// minSoundRatio is the least part of the other prompts that must be answered from
	// twice partDetectionTime after the last crash that is allowed.
	minSoundRatio = 0.5
)

// partLoad sends prompts to a fleet: each prompt is unlike all others, but some share a part that
// crashes servers.
type partLoad struct {
	f       *fleet
	daemons int // that get prompts in turn
	prompts int // sent
	sound   []*soundPrompt
}

// soundPrompt is a prompt without a part that crashes servers, and whether it was answered.
type soundPrompt struct {
	at       time.Time
	answered bool
}

// send sends a prompt with the given parts and one of its own to one of the daemons. It calls done
// with the response, if done is not nil.
func (l *partLoad) send(parts string, done func(reply)) {
	l.prompts++
	n, own := l.prompts, fmt.Sprintf("own%d", l.prompts)
	l.f.background.Go(func() {
		got := l.f.sendPrompt(n*3%l.daemons, "/stream/"+own, parts+","+own, own)
		if done != nil {
			done(got)
		}
	})
}

// sendSound is send for a prompt that crashes no server.
func (l *partLoad) sendSound(parts string) {
	p := &soundPrompt{at: time.Now()}
	l.sound = append(l.sound, p)
	l.send(parts, func(got reply) { p.answered = got.err == nil && got.status == http.StatusOK })
}

// arrivalsWith returns when prompts with a part reached servers, in order.
func (f *fleet) arrivalsWith(part string) (times []time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.mu.Lock()
		for _, a := range s.arrivals {
			if slices.Contains(strings.Split(a.parts, ","), part) {
				times = append(times, a.at)
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// crashTimes returns when servers crashed on prompts with a part, in order.
func (f *fleet) crashTimes(part string) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	times := slices.Clone(f.crashesByPart[part])
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// checkCrashingPart checks that few prompts with a part were sent after the fleet had the time to
// recognize it, and that other prompts were answered.
func (l *partLoad) checkCrashingPart(part string) {
	l.f.t.Helper()
	crashes := l.f.crashTimes(part)
	must.SliceNotEmpty(l.f.t, crashes)
	last := crashes[min(len(crashes), crashesBeforePartDetection)-1]
	late := 0
	for _, at := range l.f.arrivalsWith(part) {
		if len(crashes) >= crashesBeforePartDetection && at.After(last.Add(partDetectionTime)) {
			late++
		}
	}
	sent, answered := 0, 0
	for _, p := range l.sound {
		if p.at.After(last.Add(2 * partDetectionTime)) {
			sent++
			if p.answered {
				answered++
			}
		}
	}
	l.f.t.Logf("part %s: %d servers crashed, %d prompts sent after the detection time, %d of %d other prompts answered", part, len(crashes), late, answered, sent)
	must.LessEq(l.f.t, maxPartSendsAfterDetection, late)
	must.GreaterEq(l.f.t, minSoundRatio*float64(sent), float64(answered))
}

// Guards against unlike prompts that crash server after server by a part that they share.
func TestPartThatCrashesServersReachesFewServers(t *testing.T) {
	all := []int{0, 1, 2, 3, 4, 5, 6}
	for _, c := range []struct {
		name     string
		interval time.Duration // between prompts with a crashing part
		prompts  []string      // parts of these prompts, in turn
		crashing []string      // the parts that crash servers
		sound    []string      // parts of the other prompts, in turn
		during   func(*fleet)  // runs concurrently with the prompts
	}{
		{"one part", 300 * time.Millisecond, []string{"common,bad"}, []string{"bad"}, []string{"common", "common,other"}, nil},
		{"one part, prompts seldom", 3 * time.Second, []string{"common,bad"}, []string{"bad"}, []string{"common", "common,other"}, nil},
		{"before a common part", 300 * time.Millisecond, []string{"common,bad,middle"}, []string{"bad"}, []string{"common,middle", "common,other"}, nil},
		{"the first part", 300 * time.Millisecond, []string{"bad,m1", "bad,m2", "bad"}, []string{"bad"}, []string{"common,m1", "common,m2"}, nil},
		{"two parts at once", 200 * time.Millisecond, []string{"common,bad", "common,worse"}, []string{"bad", "worse"}, []string{"common", "common,other"}, nil},
		{"all daemons restart later", 300 * time.Millisecond, []string{"common,bad"}, []string{"bad"}, []string{"common", "common,other"}, func(f *fleet) {
			time.Sleep(20 * time.Second)
			f.restartAll()
		}},
		{"rolling restart of the daemons", 300 * time.Millisecond, []string{"common,bad"}, []string{"bad"}, []string{"common", "common,other"}, func(f *fleet) {
			for n := range all {
				time.Sleep(2 * time.Second)
				f.restart(n)
			}
		}},
		{"store outage first", 300 * time.Millisecond, []string{"common,bad"}, []string{"bad"}, []string{"common", "common,other"}, (*fleet).restartAfterOutage},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, len(all), func(f *fleet) {
				f.startServers("llm", 24)
				f.setCrashParts(c.crashing...)
				l := &partLoad{f: f, daemons: 7}
				const step = 100 * time.Millisecond
				const duration = 45 * time.Second
				for at := time.Duration(0); at < duration; at += step {
					time.Sleep(step)
					if n := int(at / step); n%2 == 0 {
						l.sendSound(c.sound[n/2%len(c.sound)])
					}
					if at > 5*time.Second && at%c.interval == 0 {
						l.send(c.prompts[int(at/c.interval)%len(c.prompts)], nil)
					}
					if c.during != nil && at == 5*time.Second {
						f.background.Go(func() { c.during(f) })
					}
				}
				f.background.Wait()
				for _, part := range c.crashing {
					l.checkCrashingPart(part)
				}
			})
		})
	}
}

// crashPart sends prompts with a part until one is refused for it, and returns the key of the refusal
// in the store.
func (l *partLoad) crashPart(part string) (key string) {
	for range 20 {
		l.send("common,"+part, nil)
		time.Sleep(time.Second)
		for _, key := range l.f.store.Keys() {
			if strings.HasPrefix(key, feed.RefusedKey("part-")) {
				return key
			}
		}
	}
	l.f.t.Fatal("no refusal in the store")
	return ""
}

// Guards against a refusal for a part that invites the caller back, or claims that the prompt has run.
func TestPartRefusalDoesNotInviteRetry(t *testing.T) {
	withFleet(t, 7, func(f *fleet) {
		f.startServers("llm", 12)
		f.setCrashParts("bad")
		l := &partLoad{f: f, daemons: 7}
		l.crashPart("bad")
		got := f.sendPrompt(4, "/stream/new", "common,bad,new", "new")
		must.Eq(t, http.StatusBadGateway, got.status)
		must.Eq(t, "", got.header.Get("Retry-After"))
		must.StrContains(t, got.body, string(verdict.CodePoison))
		must.StrContains(t, got.body, `"not_run"`)
	})
}

// Guards against earlier crashes that still count after an operator has lifted the refusal of a part.
func TestPartIsSentAgainAfterRefusalIsRemoved(t *testing.T) {
	withFleet(t, 7, func(f *fleet) {
		f.startServers("llm", 12)
		f.setCrashParts("bad")
		l := &partLoad{f: f, daemons: 7}
		key := l.crashPart("bad")
		f.setCrashParts()
		f.remove(key)
		time.Sleep(5 * time.Second)
		for n := range 7 {
			got := f.sendPrompt(n, fmt.Sprint("/stream/again", n), fmt.Sprint("common,bad,again", n), "again")
			must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
		}
	})
}

// Guards against the refusal of the parts of a request that crashes servers whatever its parts.
func TestPartsOfPoisonRequestAreNotRefused(t *testing.T) {
	withFleet(t, 7, func(f *fleet) {
		f.startServers("llm", 12)
		for n := range 20 {
			f.background.Go(func() { f.sendPrompt(n%7, "/stream/poison", "common,rare,own", crashBody) })
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		got := f.sendPrompt(1, "/stream/sound", "common,rare,sound", "fine")
		must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
	})
}

// Guards against crashes that are forgotten when the daemons that track them restart.
func TestPartIsFoundAlthoughTrackersRestart(t *testing.T) {
	withFleet(t, 7, func(f *fleet) {
		f.startServers("llm", 24)
		f.setCrashParts("bad")
		l := &partLoad{f: f, daemons: 7}
		f.background.Go(func() {
			for n := range 6 {
				time.Sleep(2 * time.Second)
				f.restart(n, (n+1)%7)
			}
		})
		for at := time.Duration(0); at < 40*time.Second; at += 500 * time.Millisecond {
			time.Sleep(500 * time.Millisecond)
			l.send("common,bad", nil)
			l.sendSound("common")
		}
		f.background.Wait()
		l.checkCrashingPart("bad")
	})
}

// Guards against a daemon that keeps to itself the crashes of a part that it suspects already.
func TestDaemonReportsCrashesOfSuspectPart(t *testing.T) {
	for first := range 7 {
		withFleet(t, 7, func(f *fleet) {
			f.startServers("llm", 24)
			f.setCrashParts("bad")
			time.Sleep(5 * time.Second) // the daemons have their retry slack from the third prompt on
			for n, daemon := range []int{first, first, (first + 1) % 7} {
				own := fmt.Sprint("own", n)
				f.sendPrompt(daemon, "/stream/"+own, "common,bad,"+own, own)
				time.Sleep(2 * time.Second)
			}
			before := len(f.arrivalsWith("bad"))
			got := f.sendPrompt((first+2)%7, "/stream/last", "common,bad,last", "last")
			must.StrContains(t, got.body, string(verdict.CodePoison))
			must.Eq(t, before, len(f.arrivalsWith("bad")))
		})
	}
}

// Guards against a refusal for a part that never ends by itself.
func TestWrongRefusalOfPartEndsByItself(t *testing.T) {
	withFleet(t, 7, func(f *fleet) {
		f.startServers("llm", 12)
		f.setCrashParts("bad")
		l := &partLoad{f: f, daemons: 7}
		l.crashPart("bad")
		f.setCrashParts()
		for range 15 {
			l.send("common,bad", nil)
			time.Sleep(time.Second)
		}
		for n := range 7 {
			got := f.sendPrompt(n, fmt.Sprint("/stream/again", n), fmt.Sprint("common,bad,again", n), "again")
			must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
		}
	})
}
