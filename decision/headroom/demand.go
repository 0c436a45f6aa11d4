package headroom

import (
	"math"
	"time"
)

const (
	// Levels is the number of levels of urgency that are told apart; less urgent ones count as the
	// last. Engines know as many priorities.
	Levels = 10
	// shareHalfLife is the time after which an observation counts half. It is longer than a burst,
	// because the share must not follow each of them.
	shareHalfLife = 10 * time.Second
	// maxSilence is how long room is kept free for a level of which no prompt was seen. A daemon that
	// places a prompt every few seconds sees the runs of several engines each time.
	maxSilence = 30 * time.Second
	// maxUrgentShare is the largest share of prompts, those of more urgent ranks included, of which a
	// rank beside the first counts as urgent. What is reserved for urgent requests, three tenths of
	// the retries, is then enough for them.
	maxUrgentShare = 0.25
)

// Demand tracks the shares of the levels of urgency among the prompts of one service. The zero value
// has no observations. It is not safe for concurrent use.
type Demand struct {
	weights   [Levels]float64
	lastSeen  [Levels]time.Time
	decayedAt time.Time
}

// Observe records prompts of a rank, of which 0 is the most urgent: one that arrived here, or those
// that an engine reports to run.
func (d *Demand) Observe(now time.Time, rank, prompts int) {
	if rank < 0 || prompts <= 0 {
		return
	}
	d.decay(now)
	level := min(rank, Levels-1)
	d.weights[level] += float64(prompts)
	d.lastSeen[level] = now
}

// decay reduces the weight of earlier observations.
func (d *Demand) decay(now time.Time) {
	if elapsed := now.Sub(d.decayedAt); elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(shareHalfLife))
		for i := range d.weights {
			d.weights[i] *= factor
		}
		d.decayedAt = now
	}
}

// UrgentShare returns the share of prompts that are more urgent than a rank. It is 0 if none was
// seen for maxSilence.
func (d *Demand) UrgentShare(now time.Time, rank int) float64 {
	var urgent, all float64
	for level, weight := range d.weights {
		if weight == 0 || now.Sub(d.lastSeen[level]) > maxSilence {
			continue
		}
		all += weight
		if level < rank {
			urgent += weight
		}
	}
	if all == 0 {
		return 0
	}
	return urgent / all
}

// IsUrgent reports whether requests of a rank may use what is reserved for urgent ones: those of the
// first rank, and others if few prompts are as urgent.
func (d *Demand) IsUrgent(now time.Time, rank int) bool {
	if rank == 0 {
		return true
	}
	asUrgent := d.UrgentShare(now, rank+1)
	return asUrgent > 0 && asUrgent <= maxUrgentShare
}
