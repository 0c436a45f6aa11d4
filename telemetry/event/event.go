// Package event writes numbered log events through logrus. Every event of the system is declared
// once in this package. docs/events.md is generated from the declarations, and a test checks that
// the two are equal.
package event

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Def declares one log event: a stable number, a name, its level, the names of its fields and a
// description for operators.
type Def struct {
	Number int
	Name   string
	Level  logrus.Level
	Fields []string
	Help   string
}

var catalogue []Def

// define registers an event during package initialisation.
func define(number int, name string, level logrus.Level, help string, fields ...string) Def {
	d := Def{Number: number, Name: name, Level: level, Fields: fields, Help: help}
	catalogue = append(catalogue, d)
	return d
}

// Catalogue returns all events in the order of declaration.
func Catalogue() []Def { return append([]Def(nil), catalogue...) }

// Log writes events with a set of common fields. The zero value is not usable.
type Log struct {
	entry   *logrus.Entry
	limiter *rate.Limiter // nil if the rate is not limited
	dropped *atomic.Uint64
}

// New returns a Log that writes to l and adds the VM and the zone of the daemon to every line.
func New(l *logrus.Logger, vm, zone string) *Log {
	return &Log{entry: l.WithFields(logrus.Fields{"vm": vm, "zone": zone}), dropped: &atomic.Uint64{}}
}

// Limit returns a Log that limits events below the warning level to perSecond on average, with
// bursts of up to burst events. Events beyond the limit are dropped and counted.
func (l *Log) Limit(perSecond float64, burst int) *Log {
	limited := *l
	limited.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
	return &limited
}

// Dropped returns the number of events dropped beyond the limit.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Discard returns a Log that writes nothing.
func Discard() *Log {
	l := logrus.New()
	l.SetLevel(logrus.PanicLevel)
	return New(l, "", "")
}

// Emit writes one event. values are assigned to the event's fields in order. A field without a
// value is omitted. A surplus value is logged as "extra", so that a mistake shows up in the log
// instead of causing a panic.
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
