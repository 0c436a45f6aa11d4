package story

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/telemetry/event"
)

// Summary summarizes the events of many forwarded requests. A stream is identified by its prompt,
// or by its request ID if it has none: a caller that resumes a stream sends another request with
// the same prompt. Requests that were in progress when a daemon was killed have no event in its
// log.
type Summary struct {
	streams      map[string]*stream
	segments     map[segmentKey]int
	refusals     map[refusalKey]int
	sends        map[sendKey]int
	daemonStarts int
}

// segmentKey groups segments of streams by the reason for the choice of the backend server and by
// how the segment ended.
type segmentKey struct{ reason, end string }

// refusalKey groups the answers that daemons gave themselves.
type refusalKey struct {
	status int
	code   string
}

// sendKey groups the sends of non-stream requests by how they ended.
type sendKey struct {
	status int
	notRun bool
	broken bool
}

// stream is the answer to one caller, possibly over several requests.
type stream struct {
	requests         map[string]bool
	segments         int
	complete         bool
	lastEnd          string // how it ended if it is not complete
	timeToFirstEvent time.Duration
	duration         time.Duration
	longestGap       time.Duration
	events           float64
}

// NewSummary returns an empty Summary.
func NewSummary() *Summary {
	return &Summary{
		streams: map[string]*stream{}, segments: map[segmentKey]int{}, refusals: map[refusalKey]int{}, sends: map[sendKey]int{},
	}
}

// Add adds the events of one log. Lines that are not events are skipped.
func (s *Summary) Add(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Text(), nil); ok {
			s.add(&line)
		}
	}
	return errors.Wrap(scanner.Err(), "read log")
}

func (s *Summary) add(l *Line) {
	switch l.Event {
	case event.StreamSegmentEnded.Number:
		s.addSegment(l)
	case event.ForwardRefused.Number:
		s.refusals[refusalKey{int(l.numberField("status")), l.stringField("code")}]++
		if prompt := l.stringField("prompt"); prompt != "" {
			s.streamOf(l).lastEnd = fmt.Sprintf("answered %d, %s", int(l.numberField("status")), l.stringField("code"))
		}
	case event.AnswerTruncated.Number:
		s.streamOf(l).lastEnd = "truncated"
	case event.ExchangeEnded.Number:
		notRun, _ := l.Fields["not_run"].(bool)
		s.sends[sendKey{int(l.numberField("status")), notRun, l.stringField("error") != ""}]++
	case event.DaemonStarted.Number:
		s.daemonStarts++
	}
}

func (s *Summary) addSegment(l *Line) {
	st := s.streamOf(l)
	end := l.stringField("end")
	s.segments[segmentKey{l.stringField("reason"), end}]++
	st.segments++
	st.lastEnd = "a segment ended as " + end
	if end != "whole" {
		return
	}
	st.complete = true
	st.timeToFirstEvent, st.duration, st.longestGap = l.durationField("first"), l.durationField("took"), l.durationField("longest")
	st.events = l.numberField("after")
}

// streamOf returns the stream to which a line belongs.
func (s *Summary) streamOf(l *Line) *stream {
	id := cmp.Or(l.stringField("prompt"), l.stringField("request"))
	st, ok := s.streams[id]
	if !ok {
		st = &stream{requests: map[string]bool{}}
		s.streams[id] = st
	}
	st.requests[l.stringField("request")] = true
	return st
}

func (l *Line) stringField(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

func (l *Line) numberField(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

func (l *Line) durationField(name string) time.Duration { return time.Duration(l.numberField(name)) }

// Write prints the summary as tables.
func (s *Summary) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	s.writeStreams(w)
	s.writeLatencies(w)
	fmt.Fprintln(w, "\nsegment reason\tend\tcount")
	for _, k := range slices.SortedFunc(maps.Keys(s.segments), func(a, b segmentKey) int {
		return cmp.Or(cmp.Compare(a.reason, b.reason), cmp.Compare(a.end, b.end))
	}) {
		fmt.Fprintf(w, "%s\t%s\t%d\n", k.reason, k.end, s.segments[k])
	}
	fmt.Fprintln(w, "\nstatus of daemon answers\tcode\tcount")
	for _, k := range slices.SortedFunc(maps.Keys(s.refusals), func(a, b refusalKey) int {
		return cmp.Or(cmp.Compare(a.status, b.status), cmp.Compare(a.code, b.code))
	}) {
		fmt.Fprintf(w, "%d\t%s\t%d\n", k.status, k.code, s.refusals[k])
	}
	fmt.Fprintln(w, "\nsends of non-stream requests\tcount")
	for _, k := range slices.SortedFunc(maps.Keys(s.sends), func(a, b sendKey) int {
		return cmp.Compare(a.String(), b.String())
	}) {
		fmt.Fprintf(w, "%s\t%d\n", k, s.sends[k])
	}
	return errors.Wrap(w.Flush(), "write")
}

// String returns how the sends of this group ended.
func (k sendKey) String() string {
	switch {
	case k.notRun && k.broken:
		return "not sent"
	case k.notRun:
		return "rejected"
	case k.broken:
		return "no complete answer"
	}
	return fmt.Sprintf("answered %d", k.status)
}

func (s *Summary) writeStreams(w io.Writer) {
	ends := map[string]int{}
	complete, severalSegments, resumed := 0, 0, 0
	for _, st := range s.streams {
		if len(st.requests) > 1 {
			resumed++
		}
		if !st.complete {
			ends[st.lastEnd]++
			continue
		}
		complete++
		if st.segments > 1 {
			severalSegments++
		}
	}
	fmt.Fprintf(w, "daemons started\t%d\n", s.daemonStarts)
	fmt.Fprintf(w, "streams\t%d\n", len(s.streams))
	fmt.Fprintf(w, "  complete\t%d\n", complete)
	fmt.Fprintf(w, "  complete from several segments\t%d\n", severalSegments)
	fmt.Fprintf(w, "  resumed by the caller\t%d\n", resumed)
	for _, end := range slices.Sorted(maps.Keys(ends)) {
		fmt.Fprintf(w, "  incomplete, last: %s\t%d\n", end, ends[end])
	}
}

// writeLatencies prints the latencies of the complete answers that a single request received from
// their first event on.
func (s *Summary) writeLatencies(w io.Writer) {
	var totals, firstEvents, longestGaps, perEvent []time.Duration
	for _, st := range s.streams {
		if !st.complete || len(st.requests) > 1 || st.timeToFirstEvent <= 0 || st.events < 2 {
			continue
		}
		totals, firstEvents, longestGaps = append(totals, st.duration), append(firstEvents, st.timeToFirstEvent), append(longestGaps, st.longestGap)
		perEvent = append(perEvent, time.Duration(float64(st.duration-st.timeToFirstEvent)/(st.events-1)))
	}
	fmt.Fprintln(w, "\ncomplete answers to a single request\tp50\tp90")
	for _, row := range []struct {
		name   string
		values []time.Duration
	}{{"total time", totals}, {"time to first event", firstEvents}, {"longest gap", longestGaps}, {"time per further event", perEvent}} {
		fmt.Fprintf(w, "%s\t%v\t%v\n", row.name, quantile(row.values, 0.5), quantile(row.values, 0.9))
	}
}

// quantile returns the value below which the fraction q of the values lies; 0 if there are none.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)].Round(100 * time.Microsecond)
}
