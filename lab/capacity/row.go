package capacity

import (
	"fmt"
	"math"
	"strings"

	"mallowwind.dev/lab/report"
)

// Role is a function of a daemon or another party of the system. The rows are grouped by it.
type Role string

// The roles.
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

// Kind is the kind of resource or load that a row counts.
type Kind string

// The kinds of rows.
const (
	State     Kind = "state"
	Messages  Kind = "messages"
	Processor Kind = "processor"
	Memory    Kind = "memory"
)

// Unit is the unit of a row's value. Only rows of the same unit can be added.
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

// Factor is one factor of a row's product with its source.
type Factor struct {
	Raw   float64 // value as specified or measured, in Unit
	Unit  string
	Scale float64 // converts Raw to the row's unit
	Label string
	Error float64 // relative standard error, 0 for constants
	Slope string  // name of the recorded slope, empty for constants
	Known bool    // false where the slope was not measured
}

// Value returns the factor in the row's unit.
func (f Factor) Value() float64 { return f.Raw * f.Scale }

// Row is one row of the page: a product of factors or a sum of other rows.
type Row struct {
	Role        Role
	Kind        Kind
	Description string
	Unit        Unit
	Component   string // packages or party that bear the load
	Factors     []Factor
	Parts       []Row // terms of a sum; Factors is then empty
	// Control marks rows that count towards the limits on control overhead.
	Control bool
	Limit   float64 // 0 if there is no limit
	LimitOf string
	// Remedy describes how the load can be brought within the limit and what that
	// costs. It is shown only if the limit is exceeded.
	Remedy string
}

// IsKnown reports whether every slope of the row was measured. A sum is known if at
// least one of its parts is; its formula says how many are missing.
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

// Value returns the product of the factors or the sum of the known parts.
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

// Error returns the standard error of Value that results from the errors of the slopes.
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

// IsWithinLimit reports whether the row has no limit, is unknown or is within its limit.
func (r *Row) IsWithinLimit() bool { return r.Limit == 0 || !r.IsKnown() || r.Value() <= r.Limit }

// Result returns the value with its error and unit as text for the page.
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

// Formula returns the calculation of the value as text for the page.
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

// Status returns the value relative to the limit as text for the page, empty without a limit.
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

// String returns the factor as text for the page.
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

// readable returns a divisor for v and the display unit of the quotient.
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

// roundToTwoDigits rounds to two significant digits, since errors are not known more precisely.
func roundToTwoDigits(v float64) float64 {
	if v == 0 {
		return 0
	}
	p := math.Pow(10, math.Floor(math.Log10(math.Abs(v)))-1)
	return math.Round(v/p) * p
}
