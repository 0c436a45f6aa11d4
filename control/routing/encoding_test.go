package routing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const configJSON = `{"version":3,"limits":{"body_bytes":1000,"idle_timeout":"15s"},
"services":[{"name":"desk","health_path":"/health"},{"name":"llm","engine":{"slots":4,"copies":true}}],
"routes":[{"name":"r","host":"desk.example","prefix":"/a/","kind":"idempotent","timeout":"600ms","attempts":2,
 "targets":[{"service":"desk","weight":3},{"service":"llm","weight":1}]}],
"accounts":[{"name":"mill","keys":["k1"],"priority":2},{"name":"depot","keys":["k2"]}]}`

func TestDecode(t *testing.T) {
	c, err := Decode([]byte(configJSON))
	must.NoError(t, err)
	must.Eq(t, int64(3), c.Version)
	must.Eq(t, 15*time.Second, c.Limits.IdleTimeout)
	r := c.Match("desk.example", "/a/b")
	must.Eq(t, Idempotent, r.Kind)
	must.Eq(t, 600*time.Millisecond, r.Timeout)
	must.Eq(t, "desk", r.PickService(0.74))
	must.Eq(t, "llm", r.PickService(0.76))
	must.Eq(t, 2, c.Account("k1").Priority)
	must.Eq(t, -1, c.Account("k2").Priority)
	must.Eq(t, "llm", c.SoleEngineService())
	must.Eq(t, "/health", c.HealthPath("desk"))
	must.Eq(t, "", c.HealthPath("llm"))
	must.Eq(t, "", c.HealthPath("other"))
}

// The error for an invalid configuration names the part that is invalid.
func TestDecodeRejectsInvalid(t *testing.T) {
	for text, want := range map[string]string{
		`x`:             "configuration",
		`{"version":0}`: "version 0",
		`{"version":1,"services":[{"name":"s","health_path":"health"}]}`:                                 `service s: health path "health"`,
		`{"version":1,"routes":[{"name":"r","prefix":"a/"}]}`:                                            `route r: prefix "a/"`,
		`{"version":1,"routes":[{"name":"r","prefix":"/","kind":"x"}]}`:                                  `kind "x"`,
		`{"version":1,"routes":[{"name":"r","prefix":"/","kind":"stream"}]}`:                             "no target",
		`{"version":1,"routes":[{"name":"r","prefix":"/","kind":"stream","targets":[{"service":"s"}]}]}`: `unknown service "s"`,
		`{"version":1,"routes":[{"name":"r","prefix":"/","kind":"stream","timeout":"soon"}]}`:            `"soon"`,
	} {
		_, err := Decode([]byte(text))
		must.ErrorContains(t, err, want)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(configJSON))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := Decode(raw)
		if err == nil {
			c.Match("desk.example", "/a/")
		}
	})
}
