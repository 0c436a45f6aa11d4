package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// idleRoutes is how many routes big_config adds (count = 1400 in the site file).
	idleRoutes = 1400
	// stormLength and stormGap are the dose of config_storm (for_s = 1.5, gap_s = 0.06 in the site file).
	stormLength, stormGap = 1500 * time.Millisecond, 60 * time.Millisecond
	// serveAfterDrain is how long a replica that leaves goes on serving: drain_ms and a little longer.
	serveAfterDrain = drainTime + 2*time.Second
	// deskWork is how long a replica works on a request.
	deskWork = 100 * time.Millisecond
)

func init() { cases["blindwatch"] = playBlindWatch }

// playBlindWatch: all daemons are killed right after desired states came in quick succession. Later a
// replica reports that it leaves.
func playBlindWatch(rec *record, home string, trouble bool) (bool, error) {
	s, err := newSite(rec, home, 3, staleReads)
	if err != nil {
		return false, err
	}
	defer s.close()
	var replicas []*replica
	for i := range 3 {
		r, err := s.newReplica(fmt.Sprintf("i-7f3a91c%d", i), "wuno96b", i)
		if err != nil {
			return false, err
		}
		r.work = deskWork
		replicas = append(replicas, r)
	}
	s.apply(deskState(0, 600))
	time.Sleep(staleReads + time.Second)
	if err := s.startDaemons(); err != nil {
		return false, err
	}
	s.apply(deskState(idleRoutes, 600))
	time.Sleep(4 * time.Second)
	rec.say("desired states come in quick succession")
	storm := time.Now()
	for n := 1; time.Since(storm) < stormLength; n++ {
		s.apply(deskState(idleRoutes, 600+n))
		time.Sleep(time.Until(storm.Add(time.Duration(n) * stormGap)))
	}
	if trouble {
		rec.say("all daemons are killed and start again")
		var all sync.WaitGroup
		for _, d := range s.daemons {
			all.Go(func() {
				d.kill()
				time.Sleep(restartDelay)
				if err := d.start(); err != nil {
					rec.say("start: %v", err)
				}
			})
		}
		all.Wait()
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	load := startLoad(s)
	time.Sleep(2 * time.Second)
	leaving := replicas[0]
	acked := leaving.drain()
	time.Sleep(serveAfterDrain)
	lost := leaving.exit()
	time.Sleep(time.Second)
	load.end()
	late := leaving.arrivalsSince(acked.Add(drainTime))
	for _, a := range late {
		rec.add("DRAIN: %s reaches %s %v after the ack, id %s", a.uri, leaving.entry.id, a.at.Sub(acked).Round(time.Millisecond), a.id)
	}
	rec.say("answers by status: %v", load.ends)
	rec.say("%d requests were at work at replica %s when it ended", lost, leaving.entry.id)
	rec.say("%d requests reached it later than %v after the ack", len(late), drainTime)
	return len(late) > 0, nil
}
