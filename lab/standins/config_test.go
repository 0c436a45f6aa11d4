package standins_test

import (
	"path/filepath"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/inifile"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/standin/host"
	"mallowwind.dev/lab/standins"
)

func TestExamplesParse(t *testing.T) {
	for name, want := range map[string]struct {
		engines, plain, entries int
		ref                     engine.ModelRef
	}{
		"association": {36, 3, 7, engine.ModelRef{Model: "granules", Version: "1"}},
		"tharaka":     {18, 3, 6, engine.ModelRef{Model: "hire", Adapter: "fleet", Version: "1"}},
	} {
		c, err := standins.Load(filepath.Join("..", "..", "examples", name, "standin.ini"))
		must.NoError(t, err)
		count := make(map[host.Kind]int)
		for _, p := range c.Pools {
			must.Len(t, 3, p.Zones)
			count[p.Kind] += p.ServersPerZone * len(p.Zones)
		}
		must.Eq(t, want.engines, count[host.KindEngine])
		must.Eq(t, want.plain, count[host.KindPlain])
		must.Len(t, want.entries, c.Entries)
		must.Eq(t, []engine.ModelRef{want.ref}, c.Pools[0].Engine.Models)
		addresses, err := c.Addresses()
		must.NoError(t, err)
		must.Len(t, want.engines+want.plain+5, addresses)
	}
}

// A file with several mistakes must be reported with all of them and their line numbers at once.
func TestAllMistakesAreReported(t *testing.T) {
	_, err := standins.Parse("s.ini", []byte(`[store]
listen = 0.0.0.0:7001
[engine review]
[engines review]
listen = 127.0.0.1:7100
zones = Pikine
replicas = -1
event_loss = 2
models = a:b:c:d
colour = red
[weights x]
`))
	var faults inifile.Errors
	must.True(t, errors.As(err, &faults))
	var lines []int
	for _, f := range faults {
		lines = append(lines, f.Line)
	}
	must.Eq(t, []int{2, 3, 7, 8, 9, 10, 11}, lines)
}

// Two pools whose port ranges overlap must be rejected by the parser. Otherwise one of them would
// fail to listen.
func TestOverlappingPorts(t *testing.T) {
	_, err := standins.Parse("s.ini", []byte(`[plain a]
listen = 127.0.0.1:7100
zones = Pikine, Plateau
replicas = 2
[plain b]
listen = 127.0.0.1:7103
zones = Pikine
replicas = 1
`))
	must.ErrorContains(t, err, "a-plateau-2 and b-pikine-1 both listen on 127.0.0.1:7103")
}
