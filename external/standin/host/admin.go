package host

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"mallowwind.dev/external/standin/enginesim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/external/vmlist"
)

// NodeReport is a node as GET /nodes shows it.
type NodeReport struct {
	Name    string           `json:"name"`
	Address string           `json:"address"`
	Zone    string           `json:"zone,omitempty"`
	Engine  *enginesim.Stats `json:"engine,omitempty"`
	Runs    map[string]int   `json:"runs,omitempty"` // of a plain service, by Idempotency-Key
	Calls   *store.Counts    `json:"calls,omitempty"`
}

// Admin serves reports and fault injection, documented in docs/platform-protocols.md.
func (h *Host) Admin() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/nodes", h.serveNodes).Methods(http.MethodGet)
	r.HandleFunc("/faults/{node:.+}/{fault}", h.serveFault).Methods(http.MethodPost)
	r.HandleFunc("/vms/{id}/{state}", h.serveVM).Methods(http.MethodPost)
	return r
}

// Report returns a node with its counts.
func (h *Host) Report(n *Node) NodeReport {
	report := NodeReport{Name: n.Name, Address: n.Address, Zone: n.Zone}
	switch {
	case n.Engine != nil:
		stats := n.Engine.Stats()
		report.Engine = &stats
	case n.Plain != nil:
		report.Runs = n.Plain.AllRuns()
	case n.Name == NameStore:
		counts := h.Store.Counts()
		report.Calls = &counts
	}
	return report
}

func (h *Host) serveNodes(w http.ResponseWriter, _ *http.Request) {
	reports := make([]NodeReport, 0, len(h.nodes))
	for _, n := range h.nodes {
		reports = append(reports, h.Report(n))
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reports)
}

func (h *Host) serveFault(w http.ResponseWriter, r *http.Request) {
	v := mux.Vars(r)
	reply(w, h.Fault(v["node"], v["fault"], r.FormValue("value")))
}

// stateGone takes a VM off the list; the other states are those of the list.
const stateGone = "gone"

func (h *Host) serveVM(w http.ResponseWriter, r *http.Request) {
	v := mux.Vars(r)
	reply(w, h.SetVM(v["id"], v["state"]))
}

// SetVM makes the list show a VM as "live", "leaving" or, with "gone", no
// longer; each after the list's lag.
func (h *Host) SetVM(id, state string) error {
	if state == stateGone {
		h.VMs.Remove(id)
		return nil
	}
	vm, ok := h.VMs.Latest(id)
	if !ok {
		return errors.Errorf("no VM %q", id)
	}
	vm.State = vmlist.State(state)
	if vm.State != vmlist.Live && vm.State != vmlist.Leaving {
		return errors.Errorf("state %q is none of live, leaving, gone", state)
	}
	h.VMs.Put(vm)
	return nil
}

func reply(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrUnknownFault):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
