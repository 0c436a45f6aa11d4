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

// Summary is what logs show of many forwarded requests. A stream is known by its prompt,
// or else its request: a caller that comes back has another request and the same prompt.
// What was under way when a daemon was killed leaves no line there.
type Summary struct {
	streams  map[string]*stream
	legs     map[legKind]int
	refusals map[refusalKind]int
	calls    map[callKind]int
	starts   int // of daemons
}

// legKind is why a backend server was chosen for a part of a stream, and how that ended.
type legKind struct{ reason, end string }

// refusalKind is an answer that a daemon gave itself.
type refusalKind struct {
	status int
	code   string
}

// callKind is how one send of a call that is no stream ended.
type callKind struct {
	status int
	notRun bool
	broken bool
}

// stream is one caller's answer.
type stream struct {
	requests map[string]bool
	legs     int
	whole    bool
	last     string // how it ended, if not whole
	first    time.Duration
	took     time.Duration
	longest  time.Duration
	events   float64
}

// NewSummary returns an empty one.
func NewSummary() *Summary {
	return &Summary{
		streams: map[string]*stream{}, legs: map[legKind]int{}, refusals: map[refusalKind]int{}, calls: map[callKind]int{},
	}
}

// Add takes in one log. Lines that are no events are passed over.
func (s *Summary) Add(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
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
		s.addLeg(l)
	case event.ForwardRefused.Number:
		s.refusals[refusalKind{int(l.number("status")), l.text("code")}]++
		if prompt := l.text("prompt"); prompt != "" {
			s.stream(l).last = fmt.Sprintf("answered %d, %s", int(l.number("status")), l.text("code"))
		}
	case event.AnswerTruncated.Number:
		s.stream(l).last = "cut in mid-answer"
	case event.ExchangeEnded.Number:
		notRun, _ := l.Fields["not_run"].(bool)
		s.calls[callKind{int(l.number("status")), notRun, l.text("error") != ""}]++
	case event.DaemonStarted.Number:
		s.starts++
	}
}

func (s *Summary) addLeg(l *Line) {
	one := s.stream(l)
	end := l.text("end")
	s.legs[legKind{l.text("reason"), end}]++
	one.legs++
	one.last = "a part ended as " + end
	if end != "whole" {
		return
	}
	one.whole = true
	one.first, one.took, one.longest = l.duration("first"), l.duration("took"), l.duration("longest")
	one.events = l.number("after")
}

// stream returns the stream that a line is of.
func (s *Summary) stream(l *Line) *stream {
	id := cmp.Or(l.text("prompt"), l.text("request"))
	one, ok := s.streams[id]
	if !ok {
		one = &stream{requests: map[string]bool{}}
		s.streams[id] = one
	}
	one.requests[l.text("request")] = true
	return one
}

func (l *Line) text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

func (l *Line) number(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

func (l *Line) duration(name string) time.Duration { return time.Duration(l.number(name)) }

// Write prints the summary as tables.
func (s *Summary) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	s.writeStreams(w)
	s.writeTimes(w)
	fmt.Fprintln(w, "\nparts of streams\tend\tcount")
	for _, k := range slices.SortedFunc(maps.Keys(s.legs), func(a, b legKind) int {
		return cmp.Or(cmp.Compare(a.reason, b.reason), cmp.Compare(a.end, b.end))
	}) {
		fmt.Fprintf(w, "%s\t%s\t%d\n", k.reason, k.end, s.legs[k])
	}
	fmt.Fprintln(w, "\nanswers of daemons\tcode\tcount")
	for _, k := range slices.SortedFunc(maps.Keys(s.refusals), func(a, b refusalKind) int {
		return cmp.Or(cmp.Compare(a.status, b.status), cmp.Compare(a.code, b.code))
	}) {
		fmt.Fprintf(w, "%d\t%s\t%d\n", k.status, k.code, s.refusals[k])
	}
	fmt.Fprintln(w, "\nsends of calls\tcount")
	for _, k := range slices.SortedFunc(maps.Keys(s.calls), func(a, b callKind) int {
		return cmp.Compare(a.String(), b.String())
	}) {
		fmt.Fprintf(w, "%s\t%d\n", k, s.calls[k])
	}
	return errors.Wrap(w.Flush(), "write")
}

// String says how the send ended.
func (k callKind) String() string {
	switch {
	case k.notRun && k.broken:
		return "not sent"
	case k.notRun:
		return "turned away"
	case k.broken:
		return "no whole answer"
	}
	return fmt.Sprintf("answered %d", k.status)
}

func (s *Summary) writeStreams(w io.Writer) {
	ends := map[string]int{}
	whole, moved, repeated := 0, 0, 0
	for _, one := range s.streams {
		if len(one.requests) > 1 {
			repeated++
		}
		if !one.whole {
			ends[one.last]++
			continue
		}
		whole++
		if one.legs > 1 {
			moved++
		}
	}
	fmt.Fprintf(w, "daemons started\t%d\n", s.starts)
	fmt.Fprintf(w, "streams\t%d\n", len(s.streams))
	fmt.Fprintf(w, "  whole\t%d\n", whole)
	fmt.Fprintf(w, "  whole from several parts\t%d\n", moved)
	fmt.Fprintf(w, "  whose callers came back\t%d\n", repeated)
	for _, end := range slices.Sorted(maps.Keys(ends)) {
		fmt.Fprintf(w, "  not whole, at last %s\t%d\n", end, ends[end])
	}
}

// writeTimes prints how long whole answers took that one request got from its first event on.
func (s *Summary) writeTimes(w io.Writer) {
	var took, first, longest, pace []time.Duration
	for _, one := range s.streams {
		if !one.whole || len(one.requests) > 1 || one.first <= 0 || one.events < 2 {
			continue
		}
		took, first, longest = append(took, one.took), append(first, one.first), append(longest, one.longest)
		pace = append(pace, time.Duration(float64(one.took-one.first)/(one.events-1)))
	}
	fmt.Fprintln(w, "\nwhole answers to one request\tp50\tp90")
	for _, row := range []struct {
		name   string
		values []time.Duration
	}{{"in flight", took}, {"to the first event", first}, {"longest pause", longest}, {"for each further event", pace}} {
		fmt.Fprintf(w, "%s\t%v\t%v\n", row.name, share(row.values, 0.5), share(row.values, 0.9))
	}
}

// share is the value below which a part of the values lies, 0 for none.
func share(values []time.Duration, part float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(part*float64(len(values))), len(values)-1)].Round(100 * time.Microsecond)
}
