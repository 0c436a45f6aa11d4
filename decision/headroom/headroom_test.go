package headroom

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// engineWith returns an engine of the simulation with so many runs of mean length.
func engineWith(runs int) Engine {
	return Engine{Slots: simSlots, Running: runs, UsedTokens: runs * simMeanTokens, CapacityTokens: simCapacity}
}

// Guards against headroom for nobody, against none for a rare class, and against an engine that is
// kept free altogether.
func TestKept(t *testing.T) {
	for name, c := range map[string]struct {
		share  float64
		engine Engine
		want   int
	}{
		"no urgent prompt":            {0, engineWith(0), 0},
		"rare":                        {0.001, engineWith(0), 1},
		"share of two runs":           {0.15, engineWith(0), 2},
		"one of two is there":         {0.15, Engine{Slots: 12, MoreUrgent: 1}, 1},
		"more than the share there":   {0.15, Engine{Slots: 12, MoreUrgent: 9}, 1},
		"half":                        {0.5, Engine{Slots: 12}, 3},
		"more than half":              {0.51, Engine{Slots: 12}, 0},
		"memory for fewer than slots": {0.5, Engine{Slots: 12, CapacityTokens: 4 * simMeanTokens}, 1},
		"engine for two":              {0.5, Engine{Slots: 2}, 1},
		"engine for one":              {0.5, Engine{Slots: 1}, 0},
		"nothing known of it":         {0.5, Engine{}, 0},
	} {
		must.Eq(t, c.want, Prompts{MeanTokens: simMeanTokens, UrgentShare: c.share}.Kept(c.engine), must.Sprint(name))
	}
}

// Guards against prompts at engines whose last slot or memory is taken, also by copies and by
// prompts that the report does not show yet, and against large prompts that no engine would take.
// Small engines must not keep most of their memory free.
func TestHasRoom(t *testing.T) {
	loaded := func(change func(*Engine)) Engine {
		e := engineWith(6)
		change(&e)
		return e
	}
	small := func(held, runs int) Engine {
		return Engine{Running: runs, UsedTokens: runs * simMeanTokens, CapacityTokens: held * simMeanTokens}
	}
	for name, c := range map[string]struct {
		share  float64
		engine Engine
		tokens int
		want   bool
	}{
		"room":                       {0.1, engineWith(6), simMeanTokens, true},
		"memory of the headroom":     {0.05, engineWith(6), 88_000 - 48_000 - 14_399, false},
		"memory beside the headroom": {0.05, engineWith(6), 88_000 - 48_000 - 14_400, true},
		"no headroom":                {0, engineWith(10), simMeanTokens, true},
		"no memory":                  {0, engineWith(10), simMeanTokens + 1, false},
		"last slot":                  {0, Engine{Slots: 12, Running: 11}, simMeanTokens, true},
		"slot of the headroom":       {0.01, Engine{Slots: 12, Running: 11}, simMeanTokens, false},
		"no slot":                    {0, Engine{Slots: 12, Running: 12}, simMeanTokens, false},
		"pending prompts":            {0.1, loaded(func(e *Engine) { e.Pending = 3 }), simMeanTokens, false},
		"copies in slots":            {0.1, Engine{Slots: 12, Running: 6, Copies: 5}, simMeanTokens, false},
		"copies by their memory":     {0.1, Engine{Slots: 12, Running: 6, CopyTokens: 5 * simMeanTokens}, simMeanTokens, false},
		"idle, largest prompt":       {0.1, Engine{Slots: 12, CapacityTokens: 15_000}, 14_400, true},
		"holds two, one runs":        {0.1, small(2, 1), simMeanTokens, false},
		"holds two, idle":            {0.1, small(2, 0), simMeanTokens, true},
		"holds three, one runs":      {0.1, small(3, 1), simMeanTokens, true},
		"holds three, two run":       {0.1, small(3, 2), simMeanTokens, false},
		"holds four, two run":        {0.1, small(4, 2), simMeanTokens, true},
		"holds four, three run":      {0.1, small(4, 3), simMeanTokens, false},
		"holds five, two run":        {0.1, small(5, 2), simMeanTokens, true},
		"holds five, three run":      {0.1, small(5, 3), simMeanTokens, false}, // a quarter exceeds the mean
		"holds five, shorter prompt": {0.1, small(5, 3), simMeanTokens * 3 / 4, true},
		"nothing reported":           {0.1, Engine{Running: 50}, simMeanTokens, true},
	} {
		p := Prompts{MeanTokens: simMeanTokens, UrgentShare: c.share}
		must.Eq(t, c.want, p.HasRoom(c.engine, c.tokens), must.Sprint(name))
	}
}

// Guards against requests that use what is reserved for urgent ones although they are many, and
// against a most urgent class that counts as none because it is large.
func TestIsUrgent(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		prompts []int // by rank
		want    []bool
	}{
		"three ranks, many of the second": {[]int{10, 35, 55}, []bool{true, false, false}},
		"three ranks, few of the second":  {[]int{10, 15, 75}, []bool{true, true, false}},
		"most of the first rank":          {[]int{90, 10}, []bool{true, false}},
		"nothing seen":                    {nil, []bool{true, false}},
	} {
		var d Demand
		for rank, n := range c.prompts {
			d.Observe(now, rank, n)
		}
		for rank, want := range c.want {
			must.Eq(t, want, d.IsUrgent(now, rank), must.Sprint(name, rank))
		}
	}
}

// Guards against copies that displace urgent prompts, against copies of the wrong runs while memory
// is scarce, and against missing ones while it is not.
func TestKeepsCopy(t *testing.T) {
	usual := Run{Tokens: simMeanTokens, Remaining: 4 * time.Second, Prefill: time.Second}
	with := func(change func(*Run)) Run {
		r := usual
		change(&r)
		return r
	}
	urgent := with(func(r *Run) { r.Urgent = true })
	ending := with(func(r *Run) { r.Remaining = 900 * time.Millisecond })
	cheap := with(func(r *Run) { r.Tokens = 3_000 })
	for name, c := range map[string]struct {
		share  float64
		engine Engine
		run    Run
		want   CopyDecision
	}{
		"room":                       {0.1, engineWith(4), usual, CopyKept},
		"ending, room":               {0.1, engineWith(4), ending, CopyKept},
		"cheap, room":                {0.1, engineWith(4), cheap, CopyKept},
		"scarce":                     {0.1, engineWith(6), usual, CopyKept},
		"ending, scarce":             {0.1, engineWith(6), ending, CopyEnding},
		"cheap, scarce":              {0.1, engineWith(7), cheap, CopyCheap},
		"cheap and urgent, scarce":   {0, engineWith(7), with(func(r *Run) { r.Tokens, r.Urgent = 3_000, true }), CopyKept},
		"fuller":                     {0.1, engineWith(8), usual, CopyNoRoom},
		"urgent, fuller":             {0, engineWith(8), urgent, CopyKept},
		"urgent, full":               {0, engineWith(9), urgent, CopyNoRoom},
		"slot of the headroom":       {0.1, Engine{Slots: 12, Running: 10, Copies: 1}, usual, CopyHeadroom},
		"urgent, last slot":          {0, Engine{Slots: 12, Running: 10, Copies: 1}, urgent, CopyKept},
		"no slot":                    {0, Engine{Slots: 12, Running: 10, Copies: 2}, urgent, CopyNoRoom},
		"pending prompts, no memory": {0, Engine{Slots: 12, Pending: 5, UsedTokens: 48_000, CapacityTokens: simCapacity}, urgent, CopyNoRoom},
		"remaining time unknown":     {0.1, engineWith(6), with(func(r *Run) { r.Remaining = 0 }), CopyKept},
	} {
		p := Prompts{MeanTokens: simMeanTokens, UrgentShare: c.share}
		must.Eq(t, c.want, p.KeepsCopy(c.engine, c.run), must.Sprint(name))
	}
}

// Guards against a share that follows single prompts, that outlasts its class, or that counts
// prompts of the same rank.
func TestUrgentShare(t *testing.T) {
	var d Demand
	now := time.Unix(1000, 0)
	must.Eq(t, 0, d.UrgentShare(now, 1))
	d.Observe(now, 0, 1)
	d.Observe(now, 1, 9)
	d.Observe(now, -1, 5)
	d.Observe(now, 50, 10)
	must.Eq(t, 0, d.UrgentShare(now, 0))
	must.Eq(t, 0.05, d.UrgentShare(now, 1))
	must.Eq(t, 0.5, d.UrgentShare(now, 2))
	must.Eq(t, 0.5, d.UrgentShare(now, Levels-1))
	later := now.Add(shareHalfLife)
	d.Observe(later, 1, 10)
	must.InDelta(t, 0.025, d.UrgentShare(later, 1), 1e-9)
	must.Greater(t, 0, d.UrgentShare(now.Add(maxSilence), 1))
	must.Eq(t, 0, d.UrgentShare(now.Add(maxSilence+1), 1))
}
