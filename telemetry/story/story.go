// Package story extracts the events of one request from the logs of several daemons and sorts them
// by time. It also summarizes the events of many requests.
package story

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Line is one event of a log.
type Line struct {
	Time    time.Time // according to the daemon's clock, corrected by ClockOffsets
	VM      string
	Event   int
	Name    string
	Message string
	Fields  map[string]any // fields of the event other than the common ones
	// ClockSteppedBack is set if the daemon's clock was set back before this line.
	ClockSteppedBack bool
}

// ClockOffsets holds how far the clock of a daemon is ahead of the other clocks, by VM.
type ClockOffsets map[string]time.Duration

// commonFields are the fields that every event has.
var commonFields = []string{"event", "name", "msg", "level", "time", "vm", "zone"}

// Read returns the lines of a log in which a field has the value id. Lines that are not events are
// skipped, because other programs may write to the same output. Where the daemon's clock stepped
// back, the lines get the latest time seen before, so that sorting keeps the order of the log.
func Read(r io.Reader, id string, clocks ClockOffsets) ([]Line, error) {
	var lines []Line
	latest := map[string]time.Time{}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), id) {
			continue
		}
		line, ok := parse(scanner.Text(), clocks)
		if !ok || !line.mentions(id) {
			continue
		}
		if last := latest[line.VM]; line.Time.Before(last) {
			line.Time, line.ClockSteppedBack = last, true
		}
		latest[line.VM] = line.Time
		lines = append(lines, line)
	}
	return lines, errors.Wrap(scanner.Err(), "read log")
}

// parse parses a line, which may have other text before the event.
func parse(text string, clocks ClockOffsets) (Line, bool) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[begin:]), &fields); err != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.VM, _ = fields["vm"].(string)
	line.Name, _ = fields["name"].(string)
	line.Message, _ = fields["msg"].(string)
	if n, ok := fields["event"].(float64); ok {
		line.Event = int(n)
	}
	timestamp, _ := fields["time"].(string)
	t, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil || line.Event == 0 {
		return Line{}, false
	}
	line.Time = t.Add(-clocks[line.VM])
	for _, name := range commonFields {
		delete(fields, name)
	}
	return line, true
}

func (l *Line) mentions(id string) bool {
	for _, v := range l.Fields {
		if s, ok := v.(string); ok && s == id {
			return true
		}
	}
	return false
}

// Sort sorts lines by time; lines with equal times keep their order.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Write prints each line as a paragraph, with the time since the first line.
func Write(w io.Writer, lines []Line) error {
	if len(lines) == 0 {
		return errors.New("no event mentions this ID")
	}
	start := lines[0].Time
	if _, err := fmt.Fprintf(w, "from %s\n", start.Format(time.RFC3339Nano)); err != nil {
		return errors.Wrap(err, "write")
	}
	for _, l := range lines {
		stepped := ""
		if l.ClockSteppedBack {
			stepped = " (this daemon's clock stepped back)"
		}
		_, err := fmt.Fprintf(w, "%+9.3fs  %s  %d %s: %s%s\n           %s\n",
			l.Time.Sub(start).Seconds(), l.VM, l.Event, l.Name, l.Message, stepped, l.formatFields())
		if err != nil {
			return errors.Wrap(err, "write")
		}
	}
	return nil
}

// durationFields are the fields that hold a duration in nanoseconds.
var durationFields = map[string]bool{
	"took": true, "first": true, "longest": true, "quiet": true, "waited": true, "gap": true, "age": true, "retry_after": true, "stopped": true, "for": true, "config_age": true, "doubt": true,
}

func (l *Line) formatFields() string {
	names := slices.SortedFunc(maps.Keys(l.Fields), cmp.Compare[string])
	parts := make([]string, 0, len(names))
	for _, name := range names {
		value := l.Fields[name]
		if n, ok := value.(float64); ok && durationFields[name] {
			value = time.Duration(n).Round(100 * time.Microsecond)
		}
		if value == nil || value == "" {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s=%v", name, value))
	}
	return strings.Join(parts, " ")
}
