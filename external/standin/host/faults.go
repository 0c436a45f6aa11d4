package host

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/external/standin/weightsim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/telemetry/event"
)

// ErrUnknownFault means that there is no such node, or that it has no such fault.
var ErrUnknownFault = errors.New("host: unknown fault")

// faults maps the name of a fault to what does it; value is its argument.
type faults map[string]func(value string) error

// Fault injects a fault by name, or ends one. docs/platform-protocols.md lists
// them. Where several nodes share a name, as the store's endpoints do, a
// number picks one: "store/2"; faults of the service itself concern all.
func (h *Host) Fault(name, fault, value string) error {
	node, err := h.pick(name)
	if err != nil {
		return err
	}
	if err := node.do(fault, value); err != nil {
		return errors.Wrapf(err, "%s of %s", fault, name)
	}
	h.log.Emit(event.FaultInjected, name, fault, value)
	return nil
}

// do injects a fault of the node, or one that any has.
func (n *Node) do(fault, value string) error {
	do, ok := n.connectionFaults()[fault]
	if f, own := n.faults[fault]; own {
		do, ok = f, true
	}
	if !ok {
		return errors.Wrapf(ErrUnknownFault, "%q; it has %s", fault, n.faultNames())
	}
	return do(value)
}

func (h *Host) pick(name string) (*Node, error) {
	base, number, numbered := strings.Cut(name, "/")
	at := 1
	if numbered {
		at, _ = strconv.Atoi(number)
	}
	for _, n := range h.nodes {
		if n.Name != base {
			continue
		}
		if at--; at == 0 {
			return n, nil
		}
	}
	return nil, errors.Wrapf(ErrUnknownFault, "no node %q", name)
}

func (n *Node) faultNames() string {
	all := n.connectionFaults()
	maps.Copy(all, n.faults)
	return strings.Join(slices.Sorted(maps.Keys(all)), ", ")
}

// connectionFaults are those that any node can have.
func (n *Node) connectionFaults() faults {
	return faults{
		"die":     plainly(n.net.Cut),
		"revive":  func(string) error { return n.net.Restore() },
		"pause":   plainly(n.net.Stall),
		"unpause": plainly(n.net.Unstall),
		"silence": plainly(n.net.Silence),
	}
}

// engineFaults stop the engine together with its connections.
func engineFaults(n *Node) faults {
	e := n.Engine
	return faults{
		"die":     func(string) error { n.net.Cut(); e.Crash(); return nil },
		"revive":  func(string) error { e.Restart(); return n.net.Restore() },
		"pause":   func(string) error { n.net.Stall(); e.Pause(); return nil },
		"unpause": func(string) error { e.Unpause(); n.net.Unstall(); return nil },
		"slow":    number(e.SetSlowdown),
		"refuse":  boolean(e.SetRefusing),
	}
}

func plainFaults(n *Node) faults {
	return faults{
		"work":         duration(n.Plain.SetServiceTime),
		"hold":         boolean(n.Plain.SetSilent),
		"lose-answers": integer(n.Plain.LoseResponses),
	}
}

func storeFaults(f *store.Faulty) faults {
	return faults{
		"down":            boolean(f.SetDown),
		"delay":           duration(f.SetDelay),
		"lose-next-write": plainly(f.LoseNextWriteResponse),
		"drop-next-write": plainly(f.DropNextWrite),
	}
}

func vmListFaults(m *vmlist.Memory) faults {
	return faults{"down": boolean(m.SetDown), "lag": duration(m.SetLag)}
}

func weightFaults(w *weightsim.Sim) faults { return faults{"slow": number(w.SetSlowdown)} }

func plainly(f func()) func(string) error {
	return func(string) error { f(); return nil }
}

func boolean(f func(bool)) func(string) error { return parsed(strconv.ParseBool, f) }

func integer(f func(int)) func(string) error { return parsed(strconv.Atoi, f) }

func duration(f func(time.Duration)) func(string) error { return parsed(time.ParseDuration, f) }

func number(f func(float64)) func(string) error {
	parse := func(s string) (float64, error) { return strconv.ParseFloat(s, 64) }
	return parsed(parse, f)
}

func parsed[T any](parse func(string) (T, error), f func(T)) func(string) error {
	return func(value string) error {
		v, err := parse(value)
		if err == nil {
			f(v)
		}
		return err
	}
}
