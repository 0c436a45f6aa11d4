package capacity

import (
	"bytes"
	"fmt"

	"mallowwind.dev/lab/report"
)

// Failure is a kind of failure and its cost for the remaining daemons and servers.
type Failure struct {
	Name string
	Rows []Row
	Note string // additional text on the rows
}

// rackSizes are the numbers of VMs per rack for which a rack failure is calculated. The
// real number is not known, so the page shows several.
var rackSizes = []int{5, 10, 20}

// Failures returns all modelled failures with their costs.
func (m *Model) Failures() []Failure {
	s := m.Size
	out := []Failure{
		m.daemonLoss(fmt.Sprintf("One daemon dies (of %.0f VMs that fail a day)", s.DeathsPerDay), 1),
		m.plannedReplacements(),
	}
	for _, n := range rackSizes {
		out = append(out, m.daemonLoss(fmt.Sprintf("A rack or switch goes (%s), with %d daemons on it", s.RackLossFrequency, n), float64(n)))
	}
	zone := m.daemonLoss("An availability zone goes ("+s.ZoneLossFrequency+")", s.DaemonsPerZone())
	zone.Rows = append(zone.Rows, row(Number, "load of a remaining backend server, against before", "`decision/admit` sheds what is beyond",
		constant(float64(s.Zones), "zones"), constant(1/float64(s.Zones-1), "a remaining zone")))
	zone.Note = "The writes to the store add up those of as many single replacements, at " + report.Format(s.Store.WritesPerSecond) +
		" a second the longest part of a zone's loss for calls with keys. " + rosterWriterNote
	return append(out, zone, m.regionPartition())
}

func row(unit Unit, what, carrier string, factors ...Factor) Row {
	return Row{Description: what, Unit: unit, Component: carrier, Factors: factors}
}

// bytesPerToken is the typical size of a token's text with its field in a message.
const bytesPerToken = 6.0

// daemonLoss returns the cost of losing n daemons at once.
func (m *Model) daemonLoss(name string, n float64) Failure {
	s := m.Size
	daemons := float64(s.Daemons)
	remaining := constant(1/(daemons-n), "a remaining daemon")
	dead := constant(n, "daemons")
	streams := constant(s.StreamsPerDaemon(), "streams")
	return Failure{Name: name, Rows: []Row{
		row(Number, "answers continued elsewhere", "callers come back with `Last-Event-ID`; `serve/generation` adopts the copy", dead, streams),
		row(Number, "answers a remaining daemon takes over", "`serve/generation`", dead, streams, remaining),
		row(Number, "copies lost with the dead and made anew by their owners", "`serve/journal`", dead, streams),
		row(Bytes, "bytes of tokens to make the lost copies anew, all daemons together", "`serve/journal`", dead, streams,
			constant(s.TokensPerAnswer()/2, "tokens, half an answer"), constant(bytesPerToken, "B a token with its framing")),
		row(Core, "added load of a remaining daemon, relaying", "`serve/api`",
			dead, remaining, constant(s.TokensPerDaemon(), "tokens/s"), m.slopeFactor(slopeRelay, micro)),
		row(Number, "slots of keys that change owner or witness", "`control/roster`", dead, constant(2*slotCount/daemons, "slots owned or witnessed")),
		row(Number, "writes to the store", "`control/roster`", dead, m.fittedFactor(slopeReplacementWrites, daemons, 1)),
		row(Seconds, "until all know", "`control/membership`", m.fittedFactor(slopeDetect, daemons, 1)),
	}}
}

// plannedReplacements returns the cost of the planned replacement of VMs over a day. It counts
// all of them as entry VMs, which is an upper bound: how many are backend servers is not known.
func (m *Model) plannedReplacements() Failure {
	s := m.Size
	all := constant(s.ReplacementsPerDay, "replacements a day")
	return Failure{Name: fmt.Sprintf("%.0f replacements a day, all taken for entry VMs", s.ReplacementsPerDay), Rows: []Row{
		row(PerSecond, "replacements", "`serve/daemon`", constant(s.ReplacementsPerDay/secondsPerDay, "replacements/s")),
		row(Number, "daemons leaving at once, if each waits out the longest kept answer and its longest generations",
			"`serve/daemon`", constant(s.ReplacementsPerDay/secondsPerDay, "replacements/s"), constant(drainTime.Seconds(), "s of draining")),
		row(Number, "answers in progress that drain or move, a day", "`serve/daemon`", all, constant(s.StreamsPerDaemon(), "streams")),
		row(Number, "writes to the store, a day", "`control/roster`", all, m.fittedFactor(slopeReplacementWrites, float64(s.Daemons), 1)),
		row(Bytes, "bytes a new daemon reads to be in force", "`control/inforce`", m.fittedFactor(slopeSiteText, float64(s.Accounts), 1)),
	}}
}

// regionPartition returns the cost of a network partition between the regions.
func (m *Model) regionPartition() Failure {
	s := m.Size
	part := constant(float64(s.Daemons)/float64(s.Regions), "daemons a region")
	changes := constant(s.ChangesPerSecond()*s.RegionPartition.Seconds(), "changes")
	return Failure{Name: fmt.Sprintf("Regions lose each other for %.0f hour", s.RegionPartition.Hours()), Rows: []Row{
		row(Number, "daemons that the others take for gone", "`control/membership`", part),
		row(Number, "changes accepted meanwhile where the store is reached", "`control/inforce`", changes),
		row(Bytes, "a cut-off daemon's reading when they meet again", "`control/inforce`", m.fittedFactor(slopeSiteText, float64(s.Accounts), 1)),
		row(Number, "slots whose owner or witness is cut off", "`control/roster`",
			constant(slotCount, "slots"), constant(1-1/float64(s.Regions), "of the pairs, those not within one region")),
	}}
}

func (m *Model) writeFailures(b *bytes.Buffer) {
	b.WriteString("\n## Failures at that size\n")
	for _, f := range m.Failures() {
		fmt.Fprintf(b, "\n### %s\n\n", f.Name)
		t := &report.Table{Columns: []report.Column{
			report.Col("what", ""), report.Col("value", ""), report.Col("worked out as", ""), report.Col("carried by", ""),
		}}
		for _, r := range f.Rows {
			t.Add(report.Text(r.Description), report.Text(r.Result()), report.Text(r.Formula()), report.Text(r.Component))
		}
		b.Write(t.Markdown())
		if f.Note != "" {
			fmt.Fprintf(b, "\n%s\n", f.Note)
		}
	}
}
