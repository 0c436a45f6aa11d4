package capacity

import (
	"fmt"
	"math"
	"strings"

	"mallowwind.dev/lab/report"
)

// Role is a part that a process plays.
type Role string

// The roles, in the order of the page.
const (
	Entry       Role = "Daemon as entry"
	JournalPeer Role = "Daemon as journal peer"
	LeaseHolder Role = "Daemon as zone lease holder"
	ConfigRelay Role = "Daemon as spreader of configuration"
	KeyBinder   Role = "Daemon as binder of idempotency keys"
	Forwarder   Role = "Daemon that forwards"
	Store       Role = "The platform's store"
	Backend     Role = "Backend server"
	Caller      Role = "Caller"
)

// Kind is what a row counts.
type Kind string

// The kinds of rows.
const (
	State     Kind = "state"
	Messages  Kind = "messages"
	Processor Kind = "processor"
	Memory    Kind = "memory"
)

// Unit of a row's value. Rows of one unit can be added.
type Unit string

// The units of rows.
const (
	Core           Unit = "core"
	Bytes          Unit = "B"
	BytesPerSecond Unit = "B/s"
	PerSecond      Unit = "1/s"
	Number         Unit = ""
	Seconds        Unit = "s"
)

// Factor is one number of a row's product and where it comes from.
type Factor struct {
	Raw   float64 // as it was given or measured, in Unit
	Unit  string
	Scale float64 // converts Raw to the row's unit
	Label string
	Error float64 // relative standard error, 0 where the number is given
	Slope string  // name of the recorded slope, if it comes from one
	Known bool    // false where the slope was not measured
}

// Value is the factor in the row's unit.
func (f Factor) Value() float64 { return f.Raw * f.Scale }

// Row is one cell of the page: a product of factors.
type Row struct {
	Role        Role
	Kind        Kind
	Description string
	Unit        Unit
	Component   string // package that carries it
	Factors     []Factor
	Parts       []Row // of a sum; Factors is empty then
	// Control marks rows that count against the bounds on control.
	Control bool
	Limit   float64 // 0 where no bound applies
	LimitOf string
	// Remedy says, where the limit is passed, which mechanism will carry it and
	// what that costs.
	Remedy string
}

// IsKnown reports whether every slope of the row was measured. A sum is known
// as far as any of its parts is; its text says how many are missing.
func (r *Row) IsKnown() bool {
	if len(r.Parts) > 0 {
		return r.unknownCount() < len(r.Parts)
	}
	for _, f := range r.Factors {
		if !f.Known {
			return false
		}
	}
	return true
}

// Value is the product of the factors, or the sum of the parts.
func (r *Row) Value() float64 {
	if len(r.Parts) > 0 {
		v, _ := r.sum()
		return v
	}
	v := 1.0
	for _, f := range r.Factors {
		v *= f.Value()
	}
	return v
}

// Error is the standard error of Value as far as the slopes bring one.
func (r *Row) Error() float64 {
	if len(r.Parts) > 0 {
		_, e := r.sum()
		return e
	}
	var squares float64
	for _, f := range r.Factors {
		squares += f.Error * f.Error
	}
	return math.Abs(r.Value()) * math.Sqrt(squares)
}

// IsWithinLimit reports whether the row keeps its limit, as far as it is known.
func (r *Row) IsWithinLimit() bool { return r.Limit == 0 || !r.IsKnown() || r.Value() <= r.Limit }

// Result is the value with its error and unit, as the page shows it.
func (r *Row) Result() string {
	if !r.IsKnown() {
		return "not measured"
	}
	v, e := r.Value(), r.Error()
	scale, unit := readable(r.Unit, v)
	s := report.Format(v / scale)
	if r.unknownCount() > 0 {
		s = "at least " + s
	}
	if e > 0 {
		s += " ± " + report.Format(roundToTwoDigits(e/scale))
	}
	return strings.TrimSpace(s + " " + unit)
}

// Formula is the arithmetic, as the page shows it.
func (r *Row) Formula() string {
	if len(r.Parts) > 0 {
		return r.sumFormula()
	}
	parts := make([]string, len(r.Factors))
	for i, f := range r.Factors {
		parts[i] = f.String()
	}
	return strings.Join(parts, " × ")
}

// Status says whether the limit is kept.
func (r *Row) Status() string {
	if r.Limit == 0 {
		return ""
	}
	scale, unit := readable(r.Unit, r.Limit)
	limit := strings.TrimSpace(report.Format(r.Limit/scale) + " " + unit)
	switch {
	case !r.IsKnown():
		return "not known against " + limit + " (" + r.LimitOf + ")"
	case r.IsWithinLimit():
		return fmt.Sprintf("%.0f%% of %s (%s)", 100*r.Value()/r.Limit, limit, r.LimitOf)
	default:
		return fmt.Sprintf("**%.1f times** %s (%s)", r.Value()/r.Limit, limit, r.LimitOf)
	}
}

// String is the factor as the page shows it.
func (f Factor) String() string {
	if !f.Known {
		return "`" + f.Slope + "` (not measured)"
	}
	s := report.Format(f.Raw)
	for _, part := range []string{f.Unit, f.Label} {
		if part != "" {
			s += " " + part
		}
	}
	if f.Slope != "" {
		s += " (`" + f.Slope + "`)"
	}
	return s
}

// readable returns a divisor and the unit to show after dividing.
func readable(u Unit, v float64) (scale float64, unit string) {
	v = math.Abs(v)
	switch {
	case u == Core:
		return 0.01, "% of a core"
	case u != Bytes && u != BytesPerSecond:
		return 1, string(u)
	case v >= 1e9:
		return 1e9, "G" + string(u)
	case v >= 1e6:
		return 1e6, "M" + string(u)
	case v >= 1e3:
		return 1e3, "K" + string(u)
	default:
		return 1, string(u)
	}
}

// roundToTwoDigits keeps two significant digits: an error deserves no more.
func roundToTwoDigits(v float64) float64 {
	if v == 0 {
		return 0
	}
	p := math.Pow(10, math.Floor(math.Log10(math.Abs(v)))-1)
	return math.Round(v/p) * p
}
