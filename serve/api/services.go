package api

import (
	"net/http"
	"slices"
	"strings"

	"github.com/gorilla/mux"

	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/plain"
)

// hopHeaders concern one connection only and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// service passes a call on to a plain service.
func (a *API) service(w http.ResponseWriter, r *http.Request, s *site.Site, account *site.Account) error {
	if err := a.accepting(r); err != nil {
		return err
	}
	vars := mux.Vars(r)
	service := s.Services[vars["service"]]
	if service == nil || service.Kind != site.KindPlain {
		return verdict.New(verdict.NotRun, verdict.CodeUnknownService, "%q names no plain service of the site text", vars["service"])
	}
	key, err := readKey(r)
	if err != nil {
		return err
	}
	if key == "" && !service.Idempotent {
		return verdict.New(verdict.NotRun, verdict.CodeKeyRequired,
			"calls to %s may not be repeated: send an %s header, the same one when you try again", service.Name, keyHeader)
	}
	body, err := readBody(w, r, s.Limits.BodyBytes)
	if err != nil {
		return err
	}
	ans, err := a.Calls.Call(r.Context(), account, service, key, plain.Call{
		Method: r.Method,
		Path:   pathWithQuery(vars["path"], r.URL.RawQuery),
		Header: endToEnd(r.Header),
		Body:   body,
	})
	if err != nil {
		return err
	}
	h := w.Header()
	for k, v := range endToEnd(ans.Header) {
		h[k] = v
	}
	w.WriteHeader(ans.Status)
	_, _ = w.Write(ans.Body) // a caller that went away asks again with its key
	return nil
}

func pathWithQuery(path, query string) string {
	path = "/" + strings.TrimPrefix(path, "/")
	if query == "" {
		return path
	}
	return path + "?" + query
}

// endToEnd copies headers without those of one connection and without the
// caller's credentials, which are ours to check and not the backend server's.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, named := range h.Values("Connection") {
		for _, name := range strings.Split(named, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for k := range out {
		if slices.Contains(hopHeaders, k) || k == "Authorization" || k == "Content-Length" {
			delete(out, k)
		}
	}
	return out
}

// entriesAnswer tells a caller which entry VMs to use and for how long.
type entriesAnswer struct {
	Entries    []Entry `json:"entries"`
	TTLSeconds int     `json:"ttl_seconds"`
}

func (a *API) entries(w http.ResponseWriter, _ *http.Request, s *site.Site, account *site.Account) error {
	writeJSON(w, http.StatusOK, entriesAnswer{
		Entries:    a.Entries.EntriesFor(account),
		TTLSeconds: int(s.Limits.EntriesTTL.Seconds()),
	})
	return nil
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// models lists the generation services, as client libraries expect.
func (a *API) models(w http.ResponseWriter, _ *http.Request, s *site.Site, _ *site.Account) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, service := range s.Services {
		if service.Kind == site.KindGeneration {
			list.Data = append(list.Data, model{ID: service.Name, Object: "model"})
		}
	}
	slices.SortFunc(list.Data, func(a, b model) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(w, http.StatusOK, list)
	return nil
}
