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
	pageTimeout = 2 * time.Second
	largestPage = 4 << 20 // 390 members take some 60 KB
	// pagesAtOnce bounds open requests for pages.
	pagesAtOnce = 32
)

// PageReader reads status pages of daemons.
type PageReader struct {
	Client *http.Client
	Scheme string // http or https
	Token  string // operators' bearer token, may be empty
}

// PageResult is one daemon's page, or why there is none.
type PageResult struct {
	Address string          `json:"address"`
	Page    statuspage.Page `json:"page"`
	Error   string          `json:"error,omitempty"`
}

// Read asks all addresses and returns the answers in their order.
func (p *PageReader) Read(ctx context.Context, addresses []string) []PageResult {
	answers := make([]PageResult, len(addresses))
	slots := make(chan struct{}, pagesAtOnce)
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			answers[i].Address = address
			if err := p.read(ctx, address, &answers[i].Page); err != nil {
				answers[i].Error = err.Error()
			}
		})
	}
	wg.Wait()
	return answers
}

func (p *PageReader) read(ctx context.Context, address string, page *statuspage.Page) error {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
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
		return errors.Errorf("answered %s", response.Status)
	}
	return json.NewDecoder(io.LimitReader(response.Body, largestPage)).Decode(page)
}

// Status is the state of the configuration in the whole site.
type Status struct {
	AcceptedRevision int64               `json:"accepted"` // newest revision known, 0 for none
	StoreState       string              `json:"store"`    // "answers", or the error
	Zones            []Zone              `json:"zones"`
	Unreachable      []PageResult        `json:"no_answer"`
	Changes          []statuspage.Change `json:"changes"`
	Warnings         []Warning           `json:"warnings"`
}

// Zone is the configuration in one zone.
type Zone struct {
	Name        string `json:"name"`
	MinRevision int64  `json:"revision"` // the lowest in force: what the whole zone has reached
	MaxRevision int64  `json:"newest"`   // the highest in force
	VMs         []VM   `json:"vms"`
}

// VM is one entry VM. Revision is 0 where nobody has heard of one.
type VM struct {
	ID         string    `json:"id"`
	State      string    `json:"state"`
	Revision   int64     `json:"revision"`
	ObservedAt time.Time `json:"heard"`
	IsLagging  bool      `json:"lags"`
}

// Warning is a warning with the daemon that gave it.
type Warning struct {
	VM string `json:"vm"`
	statuspage.Warning
}

// Status joins the pages with what the store has accepted. What a daemon says
// of itself counts more than what others heard of it; of hearsay the latest.
func (c *Client) Status(ctx context.Context, answers []PageResult) *Status {
	s := &Status{StoreState: "answers"}
	head, err := c.head(ctx)
	if err != nil {
		s.StoreState = err.Error()
	}
	s.AcceptedRevision = revisionOf(head)
	vms := map[string]located{}
	for _, a := range answers {
		if a.Error != "" {
			s.Unreachable = append(s.Unreachable, a)
			continue
		}
		s.take(a.Page, vms)
	}
	s.zones(vms)
	return s
}

type located struct {
	VM
	zone  string
	first bool // said by the daemon itself
}

func (s *Status) take(p statuspage.Page, vms map[string]located) {
	s.AcceptedRevision = max(s.AcceptedRevision, p.Config.Revision)
	s.Changes = append(s.Changes, p.Changes...)
	for _, w := range p.Warnings {
		s.Warnings = append(s.Warnings, Warning{p.VM, w})
	}
	vms[p.VM] = located{VM{ID: p.VM, State: p.State, Revision: p.Config.Revision, ObservedAt: p.Time}, p.Zone, true}
	for _, m := range p.Members {
		known, ok := vms[m.ID]
		if ok && (known.first || !m.ObservedAt.After(known.ObservedAt)) {
			continue
		}
		vms[m.ID] = located{VM{ID: m.ID, State: m.State, Revision: m.Revision, ObservedAt: m.ObservedAt}, m.Zone, false}
	}
}

func (s *Status) zones(vms map[string]located) {
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

// Lagging returns the VMs that do not have the newest revision in force.
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

// HasConverged reports whether every known VM has the newest revision in force
// and every asked one answered.
func (s *Status) HasConverged() bool {
	return s.AcceptedRevision > 0 && len(s.Unreachable) == 0 && len(s.Lagging()) == 0
}

// Write prints the status for a person.
func (s *Status) Write(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "newest accepted revision: %d, store: %s\n", s.AcceptedRevision, s.StoreState)
	for _, z := range s.Zones {
		fmt.Fprintf(w, "zone\t%s\trevision %d in force\t%d VMs%s\n", z.Name, z.MinRevision, len(z.VMs), lagging(z))
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

func lagging(z Zone) string {
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
