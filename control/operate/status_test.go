package operate

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"mallowwind.dev/control/inforce/record"
	"mallowwind.dev/control/operate/statuspage"
	"mallowwind.dev/control/site"
	"mallowwind.dev/telemetry/event"
)

func page(vm, zone string, revision int64, members ...statuspage.Member) PageResult {
	return PageResult{Address: vm, Page: statuspage.Page{
		VM: vm, Zone: zone, State: "serving", Time: time.Unix(100, 0),
		Config: statuspage.Config{Revision: revision}, Members: members,
	}}
}

func TestStatusJoinsPages(t *testing.T) {
	c, s := newClient("day")
	apply(t, c, 0, text("1", 4))
	heard := func(id, zone string, revision, at int64) statuspage.Member {
		return statuspage.Member{ID: id, Zone: zone, State: "alive", Revision: revision, ObservedAt: time.Unix(at, 0)}
	}
	answers := []PageResult{
		page("a", "Embakasi", 1, heard("b", "Athi River", 0, 50), heard("c", "Athi River", 0, 60)),
		page("b", "Athi River", 1, heard("a", "Embakasi", 0, 99), heard("c", "Athi River", 0, 40)),
	}
	status := c.Status(t.Context(), answers)
	must.False(t, status.HasConverged())
	must.Eq(t, []VM{{ID: "c", State: "alive", ObservedAt: time.Unix(60, 0), IsLagging: true}}, status.Lagging())

	answers[1].Page.Members[1] = heard("c", "Athi River", 1, 70)
	s.SetDown(true)
	status = c.Status(t.Context(), answers)
	must.True(t, status.HasConverged())
	must.StrContains(t, status.StoreState, "does not answer")
	must.Eq(t, 1, status.AcceptedRevision)

	status = c.Status(t.Context(), append(answers, PageResult{Address: "d", Error: "refused"}))
	must.False(t, status.HasConverged())
}

// The next shift stores the handover in version control and applies it. Its
// remarks are comments, so what is applied means the same as what ran.
func TestHandoverIsASiteText(t *testing.T) {
	c, _ := newClient("day")
	apply(t, c, 0, text("1", 4))
	answer := page("a", "Embakasi", 0)
	answer.Page.Warnings = []statuspage.Warning{{Subject: "store", Text: "does not answer:\nfor an hour"}}
	h, err := c.Handover(t.Context(), []PageResult{answer})
	must.NoError(t, err)
	var out bytes.Buffer
	h.Write(&out)
	must.StrContains(t, out.String(), "lagging: a (0)")
	must.True(t, strings.HasSuffix(out.String(), text("1", 4)))
	_, err = site.Parse("handover", out.Bytes())
	must.NoError(t, err)
	changes, err := Plan(text("1", 4), out.String())
	must.NoError(t, err)
	must.SliceEmpty(t, changes)
}

func TestPlanNamesMeaningAndNoSecrets(t *testing.T) {
	hash := record.Hash("token")
	old := text("1", 4)
	new := strings.Replace(text("2", 6), "[pool engines]", "# moved\n[account coop]\ntoken_hashes = "+hash+"\n[pool engines]\nfencing = yes", 1)
	changes, err := Plan(old, new)
	must.NoError(t, err)
	must.SliceLen(t, 2, changes)
	must.Eq(t, "added [account coop]", changes[0].String())
	must.Eq(t, "changed [service drafting]: replicas.Embakasi 4 -> 6, version 1 -> 2 "+
		"(replace replicas one at a time in each zone, the new one ready before the old one drains; load 2 more in Embakasi)",
		changes[1].String())
	for _, k := range changes[0].Keys {
		must.StrNotContains(t, k.New, hash)
	}
}

// Someone without the operators' token asks a daemon for its status. It is
// refused and logged, and the log holds neither the token tried nor the real one.
func TestGuard(t *testing.T) {
	var log bytes.Buffer
	l := logrus.New()
	l.SetOutput(&log)
	guarded := statuspage.RequireToken(record.Hash("right"), event.New(l, "vm", "zone"),
		statuspage.Handler(func() statuspage.Page { return page("a", "Embakasi", 3).Page }))
	server := httptest.NewServer(guarded)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")

	pages := PageReader{Client: server.Client(), Scheme: "http", Token: "wrong"}
	answers := pages.Read(t.Context(), []string{address})
	must.StrContains(t, answers[0].Error, "401")
	must.StrContains(t, log.String(), "operator_refused")
	must.StrNotContains(t, log.String(), "wrong")
	must.StrNotContains(t, log.String(), record.Hash("right"))

	pages.Token = "right"
	answers = pages.Read(t.Context(), []string{address})
	must.Eq(t, "", answers[0].Error)
	must.Eq(t, 3, answers[0].Page.Config.Revision)

	response, err := http.Get(server.URL)
	must.NoError(t, err)
	response.Body.Close()
	must.Eq(t, http.StatusUnauthorized, response.StatusCode)
}
