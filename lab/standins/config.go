// Package standins reads the INI text of `mallowctl stand-in` into the
// configuration of the stand-ins.
package standins

import (
	"fmt"
	"os"
	"strings"

	"mallowwind.dev/control/inifile"
	"mallowwind.dev/external/standin/host"
	"mallowwind.dev/external/vmlist"
)

// Section kinds.
const (
	kindPlatform = "platform"
	kindStore    = "store"
	kindVMList   = "vm-list"
	kindWeights  = "weights"
	kindEntry    = "entry"
	kindEngines  = "engines"
	kindPlain    = "plain"
)

var kinds = []string{kindPlatform, kindStore, kindVMList, kindWeights, kindEntry, kindEngines, kindPlain}

// Load reads the file at path. Its error is an inifile.Errors with every fault.
func Load(path string) (host.Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return host.Config{}, inifile.Errors{{
			File: path, Problem: err.Error(), Remedy: "give the path of a readable file",
		}}
	}
	return Parse(path, text)
}

// Parse is Load on a text already read; name stands in the errors.
func Parse(name string, text []byte) (host.Config, error) {
	errs := &inifile.Collector{File: name}
	var c host.Config
	for _, s := range inifile.Parse(text, errs) {
		decode(s, &c, errs)
	}
	if errs.Err() == nil {
		checkPorts(&c, errs)
	}
	return c, errs.Err()
}

func decode(s *inifile.Section, c *host.Config, errs *inifile.Collector) {
	named := s.Kind == kindEntry || s.Kind == kindEngines || s.Kind == kindPlain
	if named != (s.Name != "") {
		errs.Add(s.Line, fmt.Sprintf("[%s]", s.Header()), "write a name after entry, engines and plain, and none after the others")
		return
	}
	switch s.Kind {
	case kindPlatform:
		inifile.Decode(s, platformFields, c, errs)
	case kindStore:
		inifile.Decode(s, storeFields, &c.Store, errs)
	case kindVMList:
		inifile.Decode(s, vmListFields, &c.VMList, errs)
	case kindWeights:
		inifile.Decode(s, weightsFields, &c.Weights, errs)
	case kindEntry:
		vm := vmlist.VM{ID: s.Name, Role: vmlist.RoleEntry, State: vmlist.Live}
		inifile.Decode(s, entryFields, &vm, errs)
		c.Entries = append(c.Entries, vm)
	case kindEngines:
		p := host.Pool{Name: s.Name, Kind: host.KindEngine}
		inifile.Decode(s, engineFields, &p, errs)
		c.Pools = append(c.Pools, p)
	case kindPlain:
		p := host.Pool{Name: s.Name, Kind: host.KindPlain}
		inifile.Decode(s, plainFields, &p, errs)
		c.Pools = append(c.Pools, p)
	default:
		errs.Add(s.Line, fmt.Sprintf("unknown section [%s]", s.Header()), "write one of ["+strings.Join(kinds, "], [")+"]")
	}
}

// checkPorts refuses two stand-ins on one address: the second could not listen,
// and the error would name neither.
func checkPorts(c *host.Config, errs *inifile.Collector) {
	addresses, err := c.Addresses()
	if err != nil {
		errs.Add(0, err.Error(), "give every section a listen address")
		return
	}
	seen := make(map[string]string)
	for _, a := range addresses {
		if first, dup := seen[a.Address]; dup && !strings.HasSuffix(a.Address, ":0") {
			errs.Add(0, fmt.Sprintf("%s and %s both listen on %s", first, a.Name, a.Address), "leave room for the ports of each pool")
		}
		seen[a.Address] = a.Name
	}
}
