package generation

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of generations and of the copies held here.
type metrics struct {
	started, adopted, failed, suspected, falseSuspicions prometheus.Counter
	lostRaces, prefills, tokens, uncopied                prometheus.Counter
	reattached, primings, violations                     prometheus.Counter
	journalBytes, journalMoves, journalBatches           prometheus.Counter
	copies, copyBytes                                    prometheus.Gauge
	resume                                               prometheus.Histogram
	dropped, heldBack                                    *prometheus.CounterVec
}

const namespace = "mallowwind"

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: "generation", Name: name, Help: help})
		r.MustRegister(c)
		return c
	}
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Subsystem: "journal", Name: name, Help: help})
		r.MustRegister(g)
		return g
	}
	vec := func(name, help, label string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: "generation", Name: name, Help: help}, []string{label})
		r.MustRegister(v)
		return v
	}
	m.started = counter("started_total", "Generations begun here.")
	m.adopted = counter("adopted_total", "Generations taken over from another entry VM.")
	m.failed = counter("attempts_failed_total", "Attempts that ended in an error.")
	m.suspected = counter("attempts_suspected_total", "Attempts suspected because they were silent.")
	m.falseSuspicions = counter("false_suspicions_total", "Suspected attempts that delivered the next token after all.")
	m.lostRaces = counter("races_lost_total", "Attempts cancelled because another one delivered first.")
	m.prefills = counter("prefills_total", "Attempts that made an engine read prompt and prefix.")
	m.tokens = counter("tokens_total", "Tokens released to callers.")
	m.uncopied = counter("uncopied_tokens_total", "Tokens released without a copy on another entry VM.")
	m.reattached = counter("reattached_total", "Attempts read again on a fresh connection.")
	m.primings = counter("primings_total", "Times a standby engine was made to read an answer.")
	m.violations = counter("invariant_violations_total", "Answers stopped because an invariant did not hold.")
	m.journalBytes = counter("journal_bytes_total", "Bytes of text copied to other entry VMs.")
	m.journalBatches = counter("journal_batches_total", "Messages that carried appends to copies.")
	m.journalMoves = counter("journal_moves_total", "Copies moved to another holder.")
	m.copies = gauge("copies", "Copies held for other entry VMs.")
	m.copyBytes = gauge("copy_bytes", "Bytes of copies held for other entry VMs.")
	m.dropped = vec("chunks_dropped_total", "Chunks not accepted, by reason.", "reason")
	m.heldBack = vec("takeovers_held_back_total", "Takeovers not started, by reason.", "reason")
	m.resume = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: "generation", Name: "resume_seconds",
		Help:    "Time between the last token before a loss and the first after it.",
		Buckets: []float64{.05, .1, .2, .4, .8, 1.6, 3.2, 6, 12, 30, 60},
	})
	r.MustRegister(m.resume)
	return m
}
