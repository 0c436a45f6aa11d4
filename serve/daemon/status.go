package daemon

import (
	"time"

	"mallowwind.dev/control/operate/statuspage"
	"mallowwind.dev/decision/placement"
)

// page is what this daemon tells operators of itself.
func (d *Daemon) page() statuspage.Page {
	s := d.opts.Settings
	p := statuspage.Page{
		VM: s.VM, Zone: s.Zone, Region: s.Region, Version: d.opts.Version,
		State: d.state(), Time: time.Now(),
	}
	p.Fill(d.inforce.Report(), d.members.Current())
	d.fillPlacement(&p)
	return p
}

func (d *Daemon) state() string {
	switch {
	case d.drain.leaving():
		return "draining"
	case d.inforce.Current() == nil:
		return "starting"
	}
	return "serving"
}

// fillPlacement adds the change under way, which only the lease holder knows.
func (d *Daemon) fillPlacement(p *statuspage.Page) {
	r := d.reconcile.Report()
	if !r.HoldsLease || r.LastStep.Kind == placement.None {
		return
	}
	p.Changes = append(p.Changes, statuspage.Change{
		Zone: d.opts.Settings.Zone, Service: r.LastStep.Service, Backend: r.LastStep.Backend,
		Action: r.LastStep.Kind.String(), Reason: string(r.LastStep.Reason), Since: r.DecidedAt,
	})
}
