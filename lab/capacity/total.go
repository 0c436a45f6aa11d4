package capacity

import (
	"fmt"
	"math"
)

// totals returns the sums of the control rows of a daemon that is entry, journal peer,
// configuration relay and key binder at once, and of one that also holds its zone's lease.
func (m *Model) totals(rows []Row) []Row {
	s := m.Size
	var out []Row
	for _, b := range []struct {
		unit  Unit
		limit float64
		of    string
	}{
		{Core, s.ControlCoreRatio, "processor time for control"},
		{Bytes, s.ControlMemoryBytes, "memory for control"},
		{BytesPerSecond, s.ControlBytesPerSecond, "bytes for control"},
	} {
		for _, role := range []Role{Entry, LeaseHolder} {
			sum := Row{
				Role: role, Kind: kindOf(b.unit), Description: "control in all", Unit: b.unit,
				Component: "all of them", Limit: b.limit, LimitOf: b.of, Remedy: totalRemedies[role][b.unit],
			}
			for _, r := range rows {
				if r.Control && r.Unit == b.unit && (r.Role != LeaseHolder || role == LeaseHolder) {
					sum.Parts = append(sum.Parts, r)
				}
			}
			out = append(out, sum)
		}
	}
	return out
}

// totalRemedies are the remedies for totals that exceed their limits.
var totalRemedies = map[Role]map[Unit]string{
	Entry: {
		BytesPerSecond: "The largest parts are status polls and exchanges, and most of both is HTTP headers. Half the polls a second " +
			"take it under the bound; the report of a backend server that does not change is then twice as old, while " +
			"servers whose state changes are polled as before.",
	},
	LeaseHolder: {
		BytesPerSecond: "The holder asks the engines of its zone itself, beside what every daemon asks. One daemon in a zone's " +
			"56 pays it. The other daemons of the zone have the same reports; passing on only changed ones with the " +
			"exchanges takes the polls away and adds at most a few seconds to the time in which an order's effect is seen.",
	},
}

func kindOf(u Unit) Kind {
	switch u {
	case Core:
		return Processor
	case Bytes:
		return Memory
	default:
		return Messages
	}
}

// unknownCount returns the number of parts of a sum that were not measured.
func (r *Row) unknownCount() int {
	n := 0
	for i := range r.Parts {
		if !r.Parts[i].IsKnown() {
			n++
		}
	}
	return n
}

// sum returns the sum of the known parts and its standard error.
func (r *Row) sum() (value, err float64) {
	for i := range r.Parts {
		if p := &r.Parts[i]; p.IsKnown() {
			value += p.Value()
			err = math.Hypot(err, p.Error())
		}
	}
	return value, err
}

func (r *Row) sumFormula() string {
	s := fmt.Sprintf("sum of %d rows on control", len(r.Parts))
	if n := r.unknownCount(); n > 0 {
		s += fmt.Sprintf(", %d of them not measured", n)
	}
	return s
}
