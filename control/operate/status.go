package operate

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/operate/statuspage"
)

const (
	statusPageTimeout = 2 * time.Second
	maxPageBytes      = 4 << 20 // a page with 390 members takes about 60 KB
	// maxConcurrentReads bounds the requests for status pages that are in flight at once.
	maxConcurrentReads = 32
)

// PageReader reads the status pages of daemons over HTTP.
type PageReader struct {
	Client *http.Client
	Scheme string // http or https
	Token  string // operators' bearer token; empty sends none
}

// PageResult holds the status page of one daemon, or the error that prevented reading it.
type PageResult struct {
	Address string          `json:"address"`
	Page    statuspage.Page `json:"page"`
	Error   string          `json:"error,omitempty"`
}

// Read fetches the status pages of all addresses concurrently and returns one result per address,
// in the order of addresses.
func (p *PageReader) Read(ctx context.Context, addresses []string) []PageResult {
	results := make([]PageResult, len(addresses))
	slots := make(chan struct{}, maxConcurrentReads)
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i].Address = address
			if err := p.fetch(ctx, address, &results[i].Page); err != nil {
				results[i].Error = err.Error()
			}
		})
	}
	wg.Wait()
	return results
}

func (p *PageReader) fetch(ctx context.Context, address string, page *statuspage.Page) error {
	ctx, cancel := context.WithTimeout(ctx, statusPageTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.Scheme+"://"+address+"/status", nil)
	if err != nil {
		return err
	}
	if p.Token != "" {
		request.Header.Set("Authorization", "Bearer "+p.Token)
	}
	response, err := p.Client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("GET /status returned %s, want 200 OK", response.Status)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxPageBytes)).Decode(page)
}

// Status describes which revision of the site text is in force in each zone of the site.
type Status struct {
	AcceptedRevision int64               `json:"accepted"` // newest revision known from the store or a daemon, 0 for none
	StoreState       string              `json:"store"`    // "answers", or the error of the last read
	Zones            []Zone              `json:"zones"`
	Unreachable      []PageResult        `json:"no_answer"`
	Changes          []statuspage.Change `json:"changes"`
	Warnings         []Warning           `json:"warnings"`
}

// Zone describes which revisions are in force in one availability zone.
type Zone struct {
	Name        string `json:"name"`
	MinRevision int64  `json:"revision"` // the lowest in force: every known VM of the zone has reached it
	MaxRevision int64  `json:"newest"`   // the highest in force
	VMs         []VM   `json:"vms"`
}

// VM describes one entry VM. Revision is 0 when no daemon has reported a revision for it.
type VM struct {
	ID         string    `json:"id"`
	State      string    `json:"state"`
	Revision   int64     `json:"revision"`
	ObservedAt time.Time `json:"heard"`
	IsLagging  bool      `json:"lags"`
}

// Warning is a warning of a status page together with the VM that reported it.
type Warning struct {
	VM string `json:"vm"`
	statuspage.Warning
}

// Status combines the status pages with the newest record of the store. A daemon's own page takes
// precedence over what other daemons observed of it; among such observations the latest wins.
func (c *Client) Status(ctx context.Context, results []PageResult) *Status {
	s := &Status{StoreState: "answers"}
	head, err := c.head(ctx)
	if err != nil {
		s.StoreState = err.Error()
	}
	s.AcceptedRevision = revisionOf(head)
	vms := map[string]vmReport{}
	for _, a := range results {
		if a.Error != "" {
			s.Unreachable = append(s.Unreachable, a)
			continue
		}
		s.addPage(a.Page, vms)
	}
	s.groupByZone(vms)
	return s
}

type vmReport struct {
	VM
	zone     string
	isDirect bool // from the page of the daemon itself
}

func (s *Status) addPage(p statuspage.Page, vms map[string]vmReport) {
	s.AcceptedRevision = max(s.AcceptedRevision, p.Config.Revision)
	s.Changes = append(s.Changes, p.Changes...)
	for _, w := range p.Warnings {
		s.Warnings = append(s.Warnings, Warning{p.VM, w})
	}
	vms[p.VM] = vmReport{VM{ID: p.VM, State: p.State, Revision: p.Config.Revision, ObservedAt: p.Time}, p.Zone, true}
	for _, m := range p.Members {
		known, ok := vms[m.ID]
		if ok && (known.isDirect || !m.ObservedAt.After(known.ObservedAt)) {
			continue
		}
		vms[m.ID] = vmReport{VM{ID: m.ID, State: m.State, Revision: m.Revision, ObservedAt: m.ObservedAt}, m.Zone, false}
	}
}

func (s *Status) groupByZone(vms map[string]vmReport) {
	byZone := map[string]*Zone{}
	for _, vm := range vms {
		z := byZone[vm.zone]
		if z == nil {
			z = &Zone{Name: vm.zone, MinRevision: vm.Revision}
			byZone[vm.zone] = z
		}
		vm.IsLagging = vm.Revision < s.AcceptedRevision
		z.MinRevision = min(z.MinRevision, vm.Revision)
		z.MaxRevision = max(z.MaxRevision, vm.Revision)
		z.VMs = append(z.VMs, vm.VM)
	}
	for _, z := range byZone {
		slices.SortFunc(z.VMs, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
		s.Zones = append(s.Zones, *z)
	}
	slices.SortFunc(s.Zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
}

// Lagging returns the VMs on which a revision older than the newest accepted one is in force.
func (s *Status) Lagging() []VM {
	var list []VM
	for _, z := range s.Zones {
		for _, vm := range z.VMs {
			if vm.IsLagging {
				list = append(list, vm)
			}
		}
	}
	return list
}

// HasConverged reports whether the newest accepted revision is in force on every known VM and every
// status page could be read. It is false before the first text is accepted.
func (s *Status) HasConverged() bool {
	return s.AcceptedRevision > 0 && len(s.Unreachable) == 0 && len(s.Lagging()) == 0
}

// Write prints the status as text for operators.
func (s *Status) Write(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "newest accepted revision: %d, store: %s\n", s.AcceptedRevision, s.StoreState)
	for _, z := range s.Zones {
		fmt.Fprintf(w, "zone\t%s\trevision %d in force\t%d VMs%s\n", z.Name, z.MinRevision, len(z.VMs), formatLagging(z))
	}
	for _, a := range s.Unreachable {
		fmt.Fprintf(w, "no answer\t%s\t%s\n", a.Address, a.Error)
	}
	for _, x := range s.Changes {
		fmt.Fprintf(w, "running\t%s\t%s\t%s\t%s\t%s\n", x.Zone, x.Service, x.Action, x.Backend, x.Reason)
	}
	for _, x := range s.Warnings {
		fmt.Fprintf(w, "warning\t%s\t%s: %s\n", x.VM, x.Subject, x.Text)
	}
}

func formatLagging(z Zone) string {
	var ids []string
	for _, vm := range z.VMs {
		if vm.IsLagging {
			ids = append(ids, fmt.Sprintf("%s (%d)", vm.ID, vm.Revision))
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return "\tlagging: " + strings.Join(ids, ", ")
}
