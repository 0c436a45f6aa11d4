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

// ErrUnknownFault means that the node does not exist or does not support the fault.
var ErrUnknownFault = errors.New("host: unknown fault")

// faults maps the name of a fault to the function that injects it; value is its argument.
type faults map[string]func(value string) error

// InjectFault injects or ends the named fault of the named node. docs/platform-protocols.md
// lists the faults. Where several nodes share a name, as the endpoints of the store do, a number
// selects one of them ("store/2"). Faults of the store itself affect all its endpoints.
func (h *Host) InjectFault(name, fault, value string) error {
	node, err := h.findNode(name)
	if err != nil {
		return err
	}
	if err := node.inject(fault, value); err != nil {
		return errors.Wrapf(err, "%s of %s", fault, name)
	}
	h.log.Emit(event.FaultInjected, name, fault, value)
	return nil
}

// inject injects a fault of this node or, if it has none of that name, a connection fault.
func (n *Node) inject(fault, value string) error {
	do, ok := n.connectionFaults()[fault]
	if f, own := n.faults[fault]; own {
		do, ok = f, true
	}
	if !ok {
		return errors.Wrapf(ErrUnknownFault, "%q; it has %s", fault, n.faultNames())
	}
	return do(value)
}

func (h *Host) findNode(name string) (*Node, error) {
	base, number, numbered := strings.Cut(name, "/")
	ordinal := 1
	if numbered {
		ordinal, _ = strconv.Atoi(number)
	}
	for _, n := range h.nodes {
		if n.Name != base {
			continue
		}
		if ordinal--; ordinal == 0 {
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

// connectionFaults returns the faults that every node supports.
func (n *Node) connectionFaults() faults {
	return faults{
		"die":     ignoreValue(n.listener.Cut),
		"revive":  func(string) error { return n.listener.Restore() },
		"pause":   ignoreValue(n.listener.Stall),
		"unpause": ignoreValue(n.listener.Unstall),
		"silence": ignoreValue(n.listener.Silence),
	}
}

// engineFaults returns the faults of an engine. Those that replace connection faults affect the
// engine and its connections together.
func engineFaults(n *Node) faults {
	e := n.Engine
	return faults{
		"die":     func(string) error { n.listener.Cut(); e.Crash(); return nil },
		"revive":  func(string) error { e.Restart(); return n.listener.Restore() },
		"pause":   func(string) error { n.listener.Stall(); e.Pause(); return nil },
		"unpause": func(string) error { e.Unpause(); n.listener.Unstall(); return nil },
		"slow":    floatFault(e.SetSlowdown),
		"refuse":  boolFault(e.SetRefusing),
	}
}

func plainFaults(n *Node) faults {
	return faults{
		"work":         durationFault(n.Plain.SetServiceTime),
		"hold":         boolFault(n.Plain.SetSilent),
		"lose-answers": intFault(n.Plain.LoseResponses),
	}
}

func storeFaults(f *store.Faulty) faults {
	return faults{
		"down":            boolFault(f.SetDown),
		"delay":           durationFault(f.SetDelay),
		"lose-next-write": ignoreValue(f.LoseNextWriteResponse),
		"drop-next-write": ignoreValue(f.DropNextWrite),
	}
}

func vmListFaults(m *vmlist.Memory) faults {
	return faults{"down": boolFault(m.SetDown), "lag": durationFault(m.SetLag)}
}

func weightFaults(w *weightsim.Sim) faults { return faults{"slow": floatFault(w.SetSlowdown)} }

func ignoreValue(f func()) func(string) error {
	return func(string) error { f(); return nil }
}

func boolFault(f func(bool)) func(string) error { return parsedFault(strconv.ParseBool, f) }

func intFault(f func(int)) func(string) error { return parsedFault(strconv.Atoi, f) }

func durationFault(f func(time.Duration)) func(string) error {
	return parsedFault(time.ParseDuration, f)
}

func floatFault(f func(float64)) func(string) error {
	parse := func(s string) (float64, error) { return strconv.ParseFloat(s, 64) }
	return parsedFault(parse, f)
}

func parsedFault[T any](parse func(string) (T, error), f func(T)) func(string) error {
	return func(value string) error {
		v, err := parse(value)
		if err == nil {
			f(v)
		}
		return err
	}
}
