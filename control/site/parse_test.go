package site

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/inifile"
)

const (
	hashA = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08" // "test"
	hashB = "60303ae22b998861bce3b28f33eec1be758a213c86c93c076dbe9f558c11c752" // "test2"
)

const sample = `# the yard
[site]
name = yard
zones = Embakasi, Athi River, Ruiru

[pool engines]
fencing = no
slots = 16

[pool desks]

[service drafting]
kind = generation
pool = engines
model = planner
adapter = hire
version = 3
replicas.Embakasi = 6 ; the largest
replicas.Athi River = 6
floor = 4
class = long
deadline = 2m
depends_on = desk
latency_weight = 0.9

[service desk]
kind = plain
pool = desks
replicas.Ruiru = 3
class = urgent
repeatable = no

[account agents]
token_hashes = ` + hashA + `
share = 2.5

[limits]
answer_ttl = 5m
`

func TestParse(t *testing.T) {
	s, err := Parse("site.ini", []byte(sample))
	must.NoError(t, err)
	must.Eq(t, []string{"Embakasi", "Athi River", "Ruiru"}, s.Zones)
	must.Eq(t, map[string]int{"Embakasi": 6, "Athi River": 6}, s.Services["drafting"].Replicas)
	must.Eq(t, 2*time.Minute, s.Services["drafting"].Deadline)
	must.Eq(t, []string{"desk"}, s.Services["drafting"].DependsOn)
	must.False(t, s.Services["desk"].Idempotent)
	must.False(t, s.Pools["engines"].Fencing)
	must.True(t, s.Pools["desks"].Fencing)
	must.Eq(t, 5*time.Minute, s.Limits.AnswerTTL)
	must.Eq(t, DefaultLimits().KeyTTL, s.Limits.KeyTTL)
	must.Eq(t, sample, s.Text)

	index := NewIndex(s)
	must.Eq(t, s.Accounts["agents"], index.Account("test"))
	must.Nil(t, index.Account("test2"))
	must.Nil(t, index.Account(""))
}

// An operator saves a text with many slips at once. A checker that stops at
// the first one costs a round for each; here every slip is named in one go,
// with its line and what to write instead.
func TestParseReportsEveryFault(t *testing.T) {
	text := `stray = 1
[site]
name = yard
zones = A, B
color = red
[pool p]
slots = -4
[service a]
kind = generation
pool = nowhere
replicas.C = 2
depends_on = b, ghost
floor = 9
class = fast
[service b]
kind = plain
pool = p
replicas.A = 1
depends_on = a
repeatable = maybe
[service b]
[service c]
kind = plain
pool = p
replicas.A = -1
deadline = 30
[account x]
token_hashes = ` + hashA + `
[account y]
token_hashes = ` + hashA + `
[limits]
body_bytes = -1
key_ttl = 1h
key_ttl = 2h
nonsense
[extra]
`
	_, err := Parse("site.ini", []byte(text))
	var errs inifile.Errors
	must.ErrorAs[error](t, err, &errs)
	for _, want := range []string{
		`site.ini:1: key "stray" stands outside of a section: put it below`,
		`site.ini:5: unknown key "color" in [site]: write one of name, zones`,
		`site.ini:7: bad value "-4" of slots: write a whole number from 1`,
		`site.ini:8: service a has no model: add model`,
		`site.ini:10: service a runs in pool "nowhere", which is not defined: add [pool nowhere]`,
		`site.ini:11: service a wants replicas in zone "C", which [site] does not list: write one of A, B`,
		`site.ini:11: service a wants 2 replicas in C, below its floor of 9`,
		`site.ini:12: service a depends on "ghost", which is not defined`,
		`site.ini:12: service a is in a cycle: a -> b -> a`,
		`site.ini:14: bad value "fast" of class: write one of urgent, normal, long`,
		`site.ini:20: bad value "maybe" of repeatable: write yes or no`,
		`site.ini:21: section [service b] stands twice, first in line 15`,
		`site.ini:25: bad value "-1" of replicas.A`,
		`site.ini:26: bad value "30" of deadline: write a duration with its unit`,
		`site.ini:30: account y has a token hash that account x lists already`,
		`site.ini:32: bad value "-1" of body_bytes`,
		`site.ini:34: key "key_ttl" stands twice in [limits], first in line 33`,
		`site.ini:35: this is neither a section header nor a key: write key = value`,
		`site.ini:36: unknown section [extra]`,
	} {
		must.StrContains(t, err.Error(), want)
	}
	must.SliceLen(t, 20, errs) // those above, and service c without replicas
	must.StrContains(t, err.Error(), "service c has no replicas in any zone")
}

func TestParseRefusesTooLarge(t *testing.T) {
	_, err := Parse("site.ini", []byte(strings.Repeat("# x\n", MaxTextBytes/4+1)))
	must.ErrorContains(t, err, "keep it under")
}

func FuzzParse(f *testing.F) {
	f.Add(sample)
	f.Add("[site]\nname=a\nzones=\"x\"\n[service s]\nreplicas.x = 1 # c\n")
	f.Add("[a\n]b = `\n= \"\"\"\n-=1\r\n\ufeff[DEFAULT]\n%(x)s = 1\n")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("f", []byte(text))
		if err != nil {
			var errs inifile.Errors
			must.ErrorAs[error](t, err, &errs)
			must.Positive(t, len(errs))
			return
		}
		again, err := Parse("f", []byte(s.Text))
		must.NoError(t, err)
		must.Eq(t, s, again)
		NewIndex(s)
	})
}
