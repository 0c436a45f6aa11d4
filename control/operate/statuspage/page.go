// Package statuspage is what a daemon tells operators of itself: GET /status
// on the operators' listener answers a Page as JSON.
package statuspage

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"mallowwind.dev/control/inforce"
	"mallowwind.dev/control/membership"
)

// Page is the state of one daemon.
type Page struct {
	VM       string    `json:"vm"`
	Zone     string    `json:"zone"`
	Region   string    `json:"region,omitempty"`
	Version  string    `json:"version"`
	State    string    `json:"state"` // starting, serving or draining
	Time     time.Time `json:"time"`
	Config   Config    `json:"config"`
	Members  []Member  `json:"members"`
	Changes  []Change  `json:"changes"`
	Warnings []Warning `json:"warnings"`
}

// Config is the site text in force at the daemon.
type Config struct {
	Revision     int64     `json:"revision"` // 0 for none
	Source       string    `json:"source,omitempty"`
	InForceSince time.Time `json:"since,omitzero"`
	Author       string    `json:"who,omitempty"`
	AcceptedAt   time.Time `json:"accepted,omitzero"`
	Comment      string    `json:"comment,omitempty"`
	Watching     bool      `json:"watching"` // this daemon watches the store for its zone
}

// Member is another daemon as this one sees it.
type Member struct {
	ID         string    `json:"id"`
	Zone       string    `json:"zone"`
	State      string    `json:"state"`
	Revision   int64     `json:"revision"` // last heard, 0 for never
	ObservedAt time.Time `json:"heard,omitzero"`
}

// Change is a placement order under way.
type Change struct {
	Zone    string    `json:"zone"`
	Service string    `json:"service"`
	Backend string    `json:"backend"`
	Action  string    `json:"action"`
	Reason  string    `json:"reason"`
	Since   time.Time `json:"since"`
}

// Warning is something an operator should know of while it lasts.
type Warning struct {
	Subject string    `json:"subject"`
	Text    string    `json:"text"`
	Since   time.Time `json:"since,omitzero"`
}

// Fill sets the parts of p that configuration and membership know. The
// daemon adds its own changes and warnings.
func (p *Page) Fill(r inforce.Report, view *membership.View) {
	p.Config = Config{Revision: r.Revision, Source: r.Source, InForceSince: r.ActiveSince, Watching: r.Watching}
	if r.Record != nil {
		p.Config.Author, p.Config.AcceptedAt, p.Config.Comment = r.Record.Author, r.Record.AppliedAt, r.Record.Comment
	}
	p.Members = make([]Member, 0, len(view.Members))
	for _, m := range view.Members {
		heard := r.MemberRevisions[m.ID]
		p.Members = append(p.Members, Member{
			ID: m.ID, Zone: m.Zone, State: m.State.String(), Revision: heard.Revision, ObservedAt: heard.ObservedAt,
		})
	}
	if !r.StoreDownSince.IsZero() {
		p.Warnings = append(p.Warnings, Warning{"store", "does not answer: " + r.StoreError, r.StoreDownSince})
	}
	if r.Rejected != nil && r.Rejected.Revision >= r.Revision {
		text := fmt.Sprintf("revision %d was refused: %s", r.Rejected.Revision, r.Rejected.Error)
		p.Warnings = append(p.Warnings, Warning{"site text", text, r.Rejected.RejectedAt})
	}
	if r.Revision == 0 {
		p.Warnings = append(p.Warnings, Warning{Subject: "site text", Text: "none is in force"})
	}
}

// Handler answers the page that get returns: as JSON, or as text for a person
// who asks for text/plain.
func Handler(get func() Page) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		page := get()
		if strings.Contains(r.Header.Get("Accept"), "text/plain") {
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			page.Write(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(page) // an error means that the reader went away
	})
}

// Write prints the page for a person.
func (p *Page) Write(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "%s in %s is %s, version %s\n", p.VM, p.Zone, p.State, p.Version)
	c := p.Config
	fmt.Fprintf(w, "revision %d from %s since %s, accepted from %s: %s\n",
		c.Revision, c.Source, c.InForceSince.UTC().Format(time.RFC3339), c.Author, c.Comment)
	for _, x := range p.Warnings {
		fmt.Fprintf(w, "warning: %s %s\n", x.Subject, x.Text)
	}
	for _, x := range p.Changes {
		fmt.Fprintf(w, "change:\t%s\t%s\t%s\t%s\t%s\n", x.Zone, x.Service, x.Backend, x.Action, x.Reason)
	}
	members := slices.Clone(p.Members)
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Zone+a.ID, b.Zone+b.ID) })
	for _, x := range members {
		fmt.Fprintf(w, "member:\t%s\t%s\t%s\trevision %d\n", x.ID, x.Zone, x.State, x.Revision)
	}
}
