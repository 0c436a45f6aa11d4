package members

import (
	"path/filepath"
	"slices"
	"time"

	"mallowwind.dev/lab/report"
)

// writeReport writes the tables of cost and detection to the members folder of o.Dir.
func writeReport(results []result, o Options) error {
	r := newReport(o)
	cost := r.Table("Cost in a steady state",
		report.Col("daemons", ""), report.Col("joined in", "s"), report.Col("traffic of a daemon", "B/s"),
		report.Col("processor time of a daemon", "µs/s"), report.Col("memory of a daemon", "kB"),
		report.Col("store reads, all", "/s"), report.Col("store writes, all", "/s"))
	faults := r.Table("Detection",
		report.Col("daemons", ""), report.Col("a death: first knows, median", "s"), report.Col("a death: all know, median", "s"),
		report.Col("all know, longest", "s"), report.Col("false suspicions under loss", ""), report.Col("given up under loss", ""))
	for _, x := range results {
		cost.Add(report.Count(x.daemons), secondsCell(x.joinTime), report.Num(x.bytesPerSecond), report.Num(x.cpuMicrosPerSecond), report.Num(x.memoryKB),
			report.Num(x.storeReadsPerSecond), report.Num(x.storeWritesPerSecond))
		faults.Add(report.Count(x.daemons), secondsCell(median(x.firstDetection)), secondsCell(median(x.lastDetection)), secondsCell(slices.Max(x.lastDetection)),
			report.Num(x.suspicions), report.Num(x.removals))
	}
	r.Note("Traffic is what a daemon sends and receives for membership, HTTP headers included and TCP and IP headers left out, without TLS.")
	r.Note("Processor time is that of the whole process over the daemons in it; both ends of each exchange and the lease are in it.")
	r.Note("Suspicions and deaths are counted once for each daemon that came to believe them.")
	return r.Write(filepath.Join(o.Dir, "members"))
}

func secondsCell(d time.Duration) report.Cell { return report.Num(d.Seconds()) }

func median(d []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(d))
	return sorted[(len(sorted)-1)/2]
}

// writeSlopes saves how cost and detection time grow with the number of daemons.
func writeSlopes(results []result, o Options) error {
	kinds := []struct {
		name, help string
		y          report.Column
		of         func(result) []float64
	}{
		{
			"gossip_bytes", "Bytes a daemon sends and receives for membership in a steady state, HTTP headers included, on loopback.",
			report.Col("bytes", "B/s"), func(r result) []float64 { return []float64{r.bytesPerSecond} },
		},
		{
			"gossip_cpu", "Processor time of a daemon for membership and its zone's lease in a steady state, both ends of each exchange.",
			report.Col("CPU", "µs/s"), func(r result) []float64 { return []float64{r.cpuMicrosPerSecond} },
		},
		{
			"membership_memory", "Heap and stacks in use of a daemon's membership, its server and its connections.",
			report.Col("memory", "kB"), func(r result) []float64 { return []float64{r.memoryKB} },
		},
		{
			"detection_time", "From the death of a daemon until no other believes it a member.",
			report.Col("time", "s"), func(r result) []float64 {
				var out []float64
				for _, d := range r.lastDetection {
					out = append(out, d.Seconds())
				}
				return out
			},
		},
	}
	for _, k := range kinds {
		s := &report.Slope{
			Name: k.name, Help: k.help, Command: o.command(), Seed: o.Seed, Taken: time.Now().UTC().Truncate(time.Second),
			Machine: report.ThisMachine(), X: report.Col("daemons", ""), Y: k.y,
		}
		for _, r := range results {
			s.Points = append(s.Points, report.Point{X: float64(r.daemons), Y: k.of(r)})
		}
		if err := s.Refit(); err != nil {
			return err
		}
		if err := s.Save(o.Dir); err != nil {
			return err
		}
	}
	return nil
}
