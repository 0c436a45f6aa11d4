package capacity

import (
	"bytes"
	_ "embed" // values.md
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"mallowwind.dev/lab/report"
)

// Page returns docs/CAPACITY.md for the slopes recorded in dir.
func Page(dir string) ([]byte, error) {
	slopes, err := report.LoadSlopes(dir)
	if err != nil {
		return nil, err
	}
	m := NewModel(Target(), slopes)
	var b bytes.Buffer
	b.WriteString(preamble)
	m.writeSize(&b)
	writeSummary(&b, m.Rows())
	for _, role := range roles {
		writeRole(&b, role, m.Rows())
	}
	m.writeFailures(&b)
	b.WriteString(values)
	m.writeSlopes(&b)
	return b.Bytes(), nil
}

// values is the section of the page on the runs behind the values of constants, and on the
// rows calculated from constants alone.
//
//go:embed values.md
var values string

const preamble = `# Capacity

What each role needs at the size to come. Written by arithmetic from recorded
measurements; a test compares page and arithmetic. After a new measurement, run

    go run ./cmd/mallowctl bench slopes --out docs/measurements
    go run ./cmd/mallowctl capacity --write docs/CAPACITY.md

Numbers are means with the load spread evenly, at the peak, unless a row says
otherwise. A cell is a product; each factor is given by the size below, is a
constant of the code, or is a measured slope, named in parentheses and listed at
the end with its command, machine and residuals. ± joins the slopes' standard
errors with their largest residuals. "not measured" means that no figure is
claimed.
`

var roles = []Role{Entry, JournalPeer, LeaseHolder, ConfigRelay, KeyBinder, Forwarder, Store, Backend, Caller}

func (m *Model) writeSize(b *bytes.Buffer) {
	s := m.Size
	b.WriteString("\n## The size\n\n")
	t := &report.Table{Columns: []report.Column{report.Col("what", ""), report.Col("value", "")}}
	row := func(what, format string, args ...any) {
		t.Add(report.Text(what), report.Text(fmt.Sprintf(format, args...)))
	}
	row("daemons, one an entry VM", "%d", s.Daemons)
	row("replicas (backend servers)", "%d", s.Replicas)
	row("accelerators", "%d, %.1f a replica", s.Accelerators, float64(s.Accelerators)/float64(s.Replicas))
	row("requests at the peak", "%.0f/s, %.1f/s a daemon, %.1f/s a replica", s.RequestsPerSecond, s.RequestsPerDaemon(), s.RequestsPerSecond/float64(s.Replicas))
	row("tokens generated at the peak", "%.1f million/s, %.0f/s a daemon, %.0f an answer", s.TokensPerSecond/1e6, s.TokensPerDaemon(), s.TokensPerAnswer())
	row("first token", "within %v for %.0f in 100", s.FirstToken, s.Percentile)
	row("between tokens", "%v for %.0f in 100; so at most %.0f streams at once, %.0f a daemon, %.0f a replica",
		s.TokenGap, s.Percentile, s.Streams(), s.StreamsPerDaemon(), s.StreamsPerReplica())
	row("generations that run for minutes", "%.0f%%, %.0f/s", 100*s.LongShare, s.LongShare*s.RequestsPerSecond)
	row("output goes on after a loss", "within %v", s.ResumeWithin)
	row("client accounts, models", "%d, %d", s.Accounts, s.Models)
	row("regions, availability zones", "%d, %d; %.1f daemons and %.0f replicas a zone", s.Regions, s.Zones, s.DaemonsPerZone(), s.ReplicasPerZone())
	row("configuration changes", "%.0f a day, one every %.1f s, in force everywhere within %v", s.ChangesPerDay, 1/s.ChangesPerSecond(), s.InForceWithin)
	row("control, a daemon at most", "%.1f%% of a core, %.0f MB, %.0f KB/s", 100*s.ControlCoreRatio, s.ControlMemoryBytes/1e6, s.ControlBytesPerSecond/1e3)
	row("VMs that fail", "%.0f a day", s.DeathsPerDay)
	row("VMs restarted or replaced", "%.0f a day, one every %.0f s", s.ReplacementsPerDay, secondsPerDay/s.ReplacementsPerDay)
	row("a rack or switch goes", "%s", s.RackLossFrequency)
	row("an availability zone goes", "%s", s.ZoneLossFrequency)
	row("regions lose each other", "for %.0f hour now and then", s.RegionPartition.Hours())
	row("the platform's store", "several hundred writes/s (%.0f taken), %.0f reads/s, values to %.0f MB; a waiting watch is a call",
		s.Store.WritesPerSecond, s.Store.ReadsPerSecond, s.Store.MaxValueBytes/(1<<20))
	b.Write(t.Markdown())
}

// writeSummary writes the rows with a limit and whether they are within it.
func writeSummary(b *bytes.Buffer, rows []Row) {
	b.WriteString("\n## Against the bounds\n\n")
	t := &report.Table{Columns: []report.Column{
		report.Col("role", ""), report.Col("what", ""), report.Col("needs", ""), report.Col("of the bound", ""),
	}}
	for _, r := range rows {
		if r.Limit != 0 {
			t.Add(report.Text(string(r.Role)), report.Text(r.Description), report.Text(r.Result()), report.Text(r.Status()))
		}
	}
	b.Write(t.Markdown())
	for _, r := range rows {
		if r.Remedy != "" && !r.IsWithinLimit() {
			fmt.Fprintf(b, "\n**%s, %s.** %s\n", r.Role, r.Description, r.Remedy)
		}
	}
}

func writeRole(b *bytes.Buffer, role Role, rows []Row) {
	fmt.Fprintf(b, "\n## %s\n\n", role)
	t := &report.Table{Columns: []report.Column{
		report.Col("kind", ""), report.Col("what", ""), report.Col("value", ""),
		report.Col("worked out as", ""), report.Col("carried by", ""),
	}}
	for _, r := range rows {
		if r.Role == role {
			t.Add(report.Text(string(r.Kind)), report.Text(r.Description), report.Text(r.Result()),
				report.Text(r.Formula()), report.Text(r.Component))
		}
	}
	b.Write(t.Markdown())
}

func (m *Model) writeSlopes(b *bytes.Buffer) {
	b.WriteString("\n## Slopes\n\nEach is a file of `docs/measurements` with all its points, and a plot beside it.\n\n")
	t := &report.Table{Columns: []report.Column{
		report.Col("slope", ""), report.Col("what was run", ""), report.Col("sizes", ""), report.Col("fit", ""),
		report.Col("R²", ""), report.Col("largest residual", ""), report.Col("spread", ""), report.Col("taken", ""),
	}}
	for _, name := range slices.Sorted(maps.Keys(m.Slopes)) {
		s := m.Slopes[name]
		t.Add(report.Text("[`"+name+"`](measurements/"+name+".svg)"), report.Text(s.Help), report.Text(sizes(s)),
			report.Text(fmt.Sprintf("%s + %s ± %s %s", report.Format(s.Fit.Intercept), report.Format(s.Fit.Slope), report.Format(roundToTwoDigits(s.Fit.SlopeError)), s.Unit())),
			report.Text(fmt.Sprintf("%.3f", s.Fit.R2)),
			report.Text(report.Format(roundToTwoDigits(s.Fit.MaxResidual()))+" "+s.Y.Unit),
			report.Text(fmt.Sprintf("%.0f%%", 100*s.MaxSpread())),
			report.Text(s.Taken.Format(time.DateTime)+", load "+s.Machine.Load))
	}
	b.Write(t.Markdown())
	b.WriteString("\nSpread is the widest between repeats of one size, over their median.\nCommands:\n\n")
	for _, name := range slices.Sorted(maps.Keys(m.Slopes)) {
		fmt.Fprintf(b, "    %s\n", m.Slopes[name].Command)
	}
	fmt.Fprintf(b, "\nMachines: %s.\n", strings.Join(m.machines(), "; "))
}

func sizes(s *report.Slope) string {
	var out []string
	for _, p := range s.Points {
		out = append(out, report.Format(p.X))
	}
	return strings.Join(out, ", ") + " " + s.X.Name
}

// machines returns the distinct machines of the slopes without their load, which is in the table.
func (m *Model) machines() []string {
	seen := make(map[string]bool)
	for _, s := range m.Slopes {
		machine := s.Machine
		machine.Load = ""
		seen[machine.String()] = true
	}
	return slices.Sorted(maps.Keys(seen))
}
