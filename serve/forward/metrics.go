package forward

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/telemetry/metric"
)

// metrics counts responses to callers and the work behind them. Label values are bounded: kinds,
// statuses, reasons and ends, but never names of routes or servers.
type metrics struct {
	answers           *prometheus.CounterVec
	answerSeconds     *prometheus.HistogramVec
	truncated         *prometheus.CounterVec
	sends             *prometheus.CounterVec
	segments          *prometheus.CounterVec
	segmentsKept      *prometheus.CounterVec
	leftRuns          *prometheus.CounterVec
	firstEventSeconds prometheus.Histogram
	resumeSeconds     prometheus.Histogram
	retriesDenied     prometheus.Counter
	retriesBorrowed   prometheus.Counter
	copiesRemade      prometheus.Counter
	cacheScans        prometheus.Counter
	overloadRefusals  *prometheus.CounterVec
	headroomDenials   *prometheus.CounterVec
	inFlight          prometheus.GaugeFunc
	promptsWaiting    prometheus.GaugeFunc
	promptWaitSeconds *prometheus.HistogramVec

	unreadableMessages prometheus.Counter

	poisonMarks    *prometheus.CounterVec
	poisonRefusals prometheus.Counter
	suspectPrompts prometheus.Counter
	limitChanges   *prometheus.CounterVec
	permits        *prometheus.CounterVec
	serverNotices  *prometheus.CounterVec

	cacheBytes prometheus.Counter

	ordinaryRetriesDenied prometheus.Counter
	roomForecasts         prometheus.Histogram
	refills               *prometheus.CounterVec
	memoryRefusals        *prometheus.CounterVec
	pacedPlacements       *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer, running, waiting func() int, memoryUsed func() int64) *metrics {
	name := func(n, help string) prometheus.Opts {
		return prometheus.Opts{Namespace: metric.Namespace, Subsystem: "forward", Name: n, Help: help}
	}
	counter := func(n, help string) prometheus.CounterOpts { return prometheus.CounterOpts(name(n, help)) }
	histogram := func(n, help string) prometheus.HistogramOpts {
		return prometheus.HistogramOpts{
			Namespace: metric.Namespace, Subsystem: "forward", Name: n, Help: help, Buckets: metric.LatencyBuckets(),
		}
	}
	m := &metrics{
		answers:            prometheus.NewCounterVec(counter("answers_total", "Answers to callers; source says whether a backend server or the daemon gave it."), []string{"kind", "status", "source"}),
		answerSeconds:      prometheus.NewHistogramVec(histogram("answer_seconds", "Time from a request's arrival to the end of its answer."), []string{"kind"}),
		truncated:          prometheus.NewCounterVec(counter("truncated_total", "Answers that had begun and were cut, by cause: daemon_exiting if they outlast the grace period, other, or the code of the reason."), []string{"cause"}),
		sends:              prometheus.NewCounterVec(counter("sends_total", "Sends of requests that are no streams, by result."), []string{"result"}),
		segments:           prometheus.NewCounterVec(counter("stream_legs_total", "Parts of streams by one backend server each, by why it was chosen and how the part ended."), []string{"reason", "end"}),
		segmentsKept:       prometheus.NewCounterVec(counter("stream_legs_kept_total", "Silent backend servers that kept their stream, by why it did not go on at another."), []string{"reason"}),
		leftRuns:           prometheus.NewCounterVec(counter("left_runs_total", "Runs that their stream left before they ended, by whether the backend server was asked to stop before or after the stream continued elsewhere, and what it replied."), []string{"order", "state"}),
		firstEventSeconds:  prometheus.NewHistogram(histogram("stream_first_seconds", "Time from a request's arrival to the first event of its stream.")),
		resumeSeconds:      prometheus.NewHistogram(histogram("stream_resume_seconds", "Pause in a stream that went on at another backend server.")),
		retriesDenied:      prometheus.NewCounter(counter("repeats_denied_total", "Sends that the shared budget of repeats did not afford.")),
		retriesBorrowed:    prometheus.NewCounter(counter("repeats_borrowed_total", "Sends for which another daemon gave up a part of the shared budget of repeats.")),
		copiesRemade:       prometheus.NewCounter(counter("copies_made_again_total", "Copies of runs made because the one before was lost.")),
		cacheScans:         prometheus.NewCounter(counter("cache_scans_total", "Looks at the caches of all engines of a service.")),
		overloadRefusals:   prometheus.NewCounterVec(counter("crowded_total", "Requests refused before they ran, because engines have no room or servers turn requests away."), []string{"reason"}),
		headroomDenials:    prometheus.NewCounterVec(counter("headroom_denials_total", "Prompts that found no room beside that kept for more urgent prompts, and copies of runs declined while memory is scarce, by kind."), []string{"kind"}),
		unreadableMessages: prometheus.NewCounter(counter("messages_unreadable_total", "Answers of engines to questions about themselves that cannot be used.")),
		cacheBytes:         prometheus.NewCounter(counter("cache_bytes_total", "Bytes that engines sent to say what prompts they hold.")),
		pacedPlacements:    prometheus.NewCounterVec(counter("paced_placements_total", "Prompts placed where the engines of the service differ in speed, by the pace of the engine."), []string{"pace"}),
		poisonMarks:        prometheus.NewCounterVec(counter("poison_marks_total", "Requests marked because servers ended under them, counted here or told by other daemons."), []string{"mark"}),
		poisonRefusals:     prometheus.NewCounter(counter("poison_refusals_total", "Requests refused because servers end when they run them.")),
		suspectPrompts:     prometheus.NewCounter(counter("suspect_prompts_total", "Requests not sent again after a crash of their server, because a part of their prompt is suspect.")),
		limitChanges:       prometheus.NewCounterVec(counter("limit_changes_total", "Changes of the limits that backend servers name, by their answers here or as other daemons told."), []string{"change"}),
		permits:            prometheus.NewCounterVec(counter("permits_total", "Permits asked for to send a request to a backend server that names a limit."), []string{"result"}),
		serverNotices:      prometheus.NewCounterVec(counter("server_notices_total", "Statements of backend servers, in their responses, that they take no new requests, for good or for a time, by notice."), []string{"notice"}),
		inFlight: prometheus.NewGaugeFunc(prometheus.GaugeOpts(name("in_flight", "Requests in progress.")),
			func() float64 { return float64(running()) }),
		promptsWaiting: prometheus.NewGaugeFunc(prometheus.GaugeOpts(name("prompts_waiting", "Prompts that wait in this daemon for room at an engine.")),
			func() float64 { return float64(waiting()) }),
		promptWaitSeconds: prometheus.NewHistogramVec(histogram("prompt_wait_seconds", "Time that prompts waited for room at an engine, by how the wait ended."), []string{"end"}),
	}
	m.ordinaryRetriesDenied = prometheus.NewCounter(counter("ordinary_repeats_denied_total", "Sends of less urgent requests that were denied because the shared budget of repeats is used up, or what is left of it kept for urgent requests and for answers that callers hold in part."))
	m.roomForecasts = prometheus.NewHistogram(histogram("room_forecast_seconds", "Times after which callers refused for lack of room were told to return, where these follow from the rate at which room appeared."))
	m.refills = prometheus.NewCounterVec(counter("refills_total", "Decisions about prompts that have to be prefilled again, where requests differ in priority, by action and reason."), []string{"action", "reason"})
	m.memoryRefusals = prometheus.NewCounterVec(counter("memory_refusals_total", "Requests refused before they ran, because they do not fit into the memory for requests, by reason."), []string{"reason"})
	memoryReserved := prometheus.NewGaugeFunc(prometheus.GaugeOpts(name("memory_reserved_bytes", "Memory that is reserved for the requests in progress.")),
		func() float64 { return float64(memoryUsed()) })
	metric.Register(r, m.memoryRefusals, memoryReserved)
	metric.Register(r, m.ordinaryRetriesDenied, m.roomForecasts, m.refills, m.promptsWaiting, m.promptWaitSeconds, m.pacedPlacements)
	metric.Register(r, m.answers, m.answerSeconds, m.truncated, m.sends, m.segments, m.segmentsKept, m.leftRuns, m.firstEventSeconds, m.resumeSeconds, m.retriesDenied, m.retriesBorrowed, m.copiesRemade, m.cacheScans, m.overloadRefusals, m.headroomDenials, m.inFlight, m.poisonMarks, m.poisonRefusals, m.suspectPrompts, m.limitChanges, m.permits, m.serverNotices, m.unreadableMessages, m.cacheBytes)
	return m
}

// reasonTurnedAway is the reason of refusals while servers reject requests. The reasons of refused
// prompts are the strings of prompts.Admission.
const reasonTurnedAway = "turned_away"

// reasonRateLimited is the reason of refusals because the rate limits that servers state are
// reached.
const reasonRateLimited = "rate"

// reasonPaused is the reason of refusals because all servers have asked for a pause.
const reasonPaused = "paused"

// reasonBrittle is the reason of refusals because this daemon's part of brittle servers is in use.
const reasonBrittle = "brittle"

// Values of the label notice.
const (
	noticeLeaving = "leaving"
	noticePause   = "pause"
)

// Values of the label source.
const (
	sourceServer = "backend"
	sourceDaemon = "daemon"
)

// countAnswer counts a response to a caller.
func (m *metrics) countAnswer(in *inbound, status int, source string) {
	kind := "none"
	if in.route != nil {
		kind = in.route.Kind.String()
	}
	m.answers.WithLabelValues(kind, strconv.Itoa(status), source).Inc()
	m.answerSeconds.WithLabelValues(kind).Observe(time.Since(in.arrived).Seconds())
}

// countPermit counts a request for a permit by its result.
func (m *metrics) countPermit(granted bool) {
	result := "refused"
	if granted {
		result = "granted"
	}
	m.permits.WithLabelValues(result).Inc()
}

// countSend counts one exchange by its result.
func (m *metrics) countSend(o *outcome) {
	result := "answered"
	switch {
	case o.rejected:
		result = "rejected"
	case o.notRun:
		result = "not_sent"
	case o.err != nil:
		result = "broken"
	case o.status >= 500:
		result = "failed"
	}
	m.sends.WithLabelValues(result).Inc()
}
