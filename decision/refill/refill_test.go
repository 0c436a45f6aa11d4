package refill

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const prefill = time.Second

func TestDecide(t *testing.T) {
	loss := Situation{Losses: 2, Busy: true, Prefill: prefill}
	with := func(change func(*Situation)) Situation {
		s := loss
		change(&s)
		return s
	}
	punctual := Prompt{Slack: 3 * time.Second, TimeLeft: 20 * time.Second}
	late := Prompt{Slack: -time.Second, PartHeld: true, TimeLeft: 20 * time.Second}
	of := func(p Prompt, change func(*Prompt)) Prompt {
		change(&p)
		return p
	}
	hopeless := of(late, func(p *Prompt) { p.PartHeld, p.CannotBeInTime = false, true })
	lessUrgent := func(p *Prompt) { p.Rank = 1 }
	cases := []struct {
		name   string
		prompt Prompt
		in     Situation
		want   Decision
	}{
		{"urgent and punctual", punctual, loss, Decision{Action: Start, Reason: ReasonUrgent}},
		{"less urgent waits for urgent", of(punctual, lessUrgent), loss, Decision{Delay, ReasonPunctual, prefill / 4}},
		{"less urgent at an engine with room", of(punctual, lessUrgent), with(func(s *Situation) { s.Busy = false }), Decision{Action: Start, Reason: ReasonRoom}},
		{"less urgent, has waited", of(punctual, lessUrgent), with(func(s *Situation) { s.Waited = prefill }), Decision{Action: Start, Reason: ReasonWaited}},
		{"a quarter of the slack at most", of(punctual, func(p *Prompt) { p.Rank, p.Slack = 1, 400*time.Millisecond }), loss, Decision{Delay, ReasonPunctual, 100 * time.Millisecond}},
		{"too little slack to wait", of(punctual, func(p *Prompt) { p.Rank, p.Slack = 1, 150*time.Millisecond }), loss, Decision{Action: Start, Reason: ReasonWaited}},
		{"urgent but late", late, loss, Decision{Delay, ReasonLate, prefill / 2}},
		{"late", of(late, lessUrgent), loss, Decision{Delay, ReasonLate, prefill}},
		{"late at an engine with room", of(late, lessUrgent), with(func(s *Situation) { s.Busy = false }), Decision{Action: Start, Reason: ReasonRoom}},
		{"late, has waited", of(late, lessUrgent), with(func(s *Situation) { s.Waited = 5 * prefill / 2 }), Decision{Action: Start, Reason: ReasonWaited}},
		{"late with little time left", of(late, func(p *Prompt) { p.TimeLeft = 2 * time.Second }), loss, Decision{Delay, ReasonLate, time.Second / 4}},
		{"hopeless, caller holds nothing", hopeless, loss, Decision{Action: Refuse, Reason: ReasonTooLate}},
		{"late by an estimate, caller holds nothing", of(late, func(p *Prompt) { p.PartHeld = false }), loss, Decision{Delay, ReasonLate, prefill / 2}},
		{"hopeless, part held", of(hopeless, func(p *Prompt) { p.PartHeld = true }), loss, Decision{Delay, ReasonLate, prefill / 2}},
		{"refused without a loss too", hopeless, Situation{}, Decision{Action: Refuse, Reason: ReasonTooLate}},
		{"may have run", of(hopeless, func(p *Prompt) { p.MayHaveRun = true }), loss, Decision{Delay, ReasonLate, prefill / 2}},
		{"was late when it arrived", of(hopeless, func(p *Prompt) { p.LateFromStart = true }), loss, Decision{Delay, ReasonLate, prefill / 2}},
		{"nothing was lost", late, with(func(s *Situation) { s.Losses = 0 }), Decision{Action: Start, Reason: ReasonNoLoss}},
		{"prefills unknown", late, with(func(s *Situation) { s.Prefill = 0 }), Decision{Action: Start, Reason: ReasonNoLoss}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, Decide(c.prompt, c.in)) })
	}
}

// The losses of an earlier zone must not delay prompts seconds later.
func TestLossesAreForgotten(t *testing.T) {
	var l Losses
	now := time.Unix(1000, 0)
	must.Eq(t, 0, l.Recent(now))
	for range 5 {
		l.Record(now)
	}
	must.Eq(t, maxCountedLosses, l.Recent(now.Add(lossPeriod-1)))
	l.Record(now.Add(lossPeriod - 1))
	must.Eq(t, 1, l.Recent(now.Add(lossPeriod)))
	must.Eq(t, 0, l.Recent(now.Add(2*lossPeriod)))
}
