// Package event writes numbered log events through logrus. Every event of the
// system is declared once, in catalogue.go of this package; docs/events.md
// lists the same and a test compares the two.
package event

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Def declares one log event: a stable number, a name, its level, the names
// of its fields and a sentence for operators.
type Def struct {
	Number int
	Name   string
	Level  logrus.Level
	Fields []string
	Help   string
}

var catalogue []Def

// define registers an event at package initialisation.
func define(number int, name string, level logrus.Level, help string, fields ...string) Def {
	d := Def{Number: number, Name: name, Level: level, Fields: fields, Help: help}
	catalogue = append(catalogue, d)
	return d
}

// Catalogue returns all events in the order of declaration.
func Catalogue() []Def { return append([]Def(nil), catalogue...) }

// Log writes events with fixed common fields. The zero value is not usable.
type Log struct {
	entry   *logrus.Entry
	limiter *rate.Limiter // nil: no limit
	dropped *atomic.Uint64
}

// New returns a Log that writes to l, with the daemon's name and zone on every line.
func New(l *logrus.Logger, vm, zone string) *Log {
	return &Log{entry: l.WithFields(logrus.Fields{"vm": vm, "zone": zone}), dropped: &atomic.Uint64{}}
}

// Limit returns a Log that writes at most perSecond events that are no warnings
// over time, and burst at once. The others are counted.
func (l *Log) Limit(perSecond float64, burst int) *Log {
	limited := *l
	limited.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
	return &limited
}

// Dropped is the number of events that were beyond the limit.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Discard returns a Log that writes nothing.
func Discard() *Log {
	l := logrus.New()
	l.SetLevel(logrus.PanicLevel)
	return New(l, "", "")
}

// Emit writes one event. values belong to the event's fields in order; a
// missing value is left out, and a surplus one is kept under "extra" so that
// a mistake shows in the log instead of a panic.
func (l *Log) Emit(d Def, values ...any) {
	if !l.entry.Logger.IsLevelEnabled(d.Level) {
		return
	}
	if l.limiter != nil && d.Level > logrus.WarnLevel && !l.limiter.Allow() {
		l.dropped.Add(1)
		return
	}
	f := make(logrus.Fields, len(values)+2)
	f["event"] = d.Number
	f["name"] = d.Name
	for i, v := range values {
		if i < len(d.Fields) {
			f[d.Fields[i]] = v
		} else {
			f["extra"] = v
		}
	}
	l.entry.WithFields(f).Log(d.Level, d.Help)
}
