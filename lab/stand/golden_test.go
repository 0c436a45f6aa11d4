package stand

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/shoenig/test/must"

	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/standin/tokencheck"
)

// callLog records the calls to engines in order.
type callLog struct {
	mu    sync.Mutex
	lines []string
}

func (r *callLog) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

// recordingEngine records the calls of daemons to an engine. Requests for a single token, as the
// readiness check sends them, are left out.
type recordingEngine struct {
	engine.Engine
	id string
	to *callLog
}

func (e recordingEngine) Generate(ctx context.Context, r engine.Request) (engine.Stream, error) {
	if r.MaxTokens > 1 {
		e.to.add("%s generate attempt=%d prefix=%d max=%d priority=%d", e.id, r.Attempt&0xffff, len(r.Prefix), r.MaxTokens, r.Priority)
	}
	return e.Engine.Generate(ctx, r)
}

func (e recordingEngine) Attach(ctx context.Context, id string, attempt uint64, from int) (engine.Stream, error) {
	e.to.add("%s attach attempt=%d from=%d", e.id, attempt&0xffff, from)
	return e.Engine.Attach(ctx, id, attempt, from)
}

func (e recordingEngine) Cancel(ctx context.Context, id string, attempt uint64) error {
	e.to.add("%s cancel attempt=%d", e.id, attempt&0xffff)
	return e.Engine.Cancel(ctx, id, attempt)
}

// Parts that differ from run to run and are replaced before the comparison: random parts of
// ids, times and sampled tokens. checkText checks separately that the tokens are one complete
// generation.
var (
	generationID = regexp.MustCompile(`g[0-9a-f]{32}`)
	epochID      = regexp.MustCompile(`GENERATION:[0-9a-f]+:`)
	createdAt    = regexp.MustCompile(`"created":[0-9]+`)
	sampled      = regexp.MustCompile(`(" [0-9]+\.)[0-9a-f]{8}[a-z]+"`)
	bodyID       = regexp.MustCompile(`body/[0-9a-f-]{36}`)
)

func normalise(s string) string {
	s = generationID.ReplaceAllString(s, "GENERATION")
	s = epochID.ReplaceAllString(s, "GENERATION:EPOCH:")
	s = sampled.ReplaceAllString(s, `${1}SAMPLED"`)
	s = bodyID.ReplaceAllString(s, "body/ID")
	return createdAt.ReplaceAllString(s, `"created":0`)
}

// goldenSiteText has one engine in each of two zones, so that there is one choice
// at each step and the golden file does not depend on the timing of polls.
const goldenSiteText = `[site]
name = golden
zones = Rufisque, Pikine

[pool engines]

[service reviews]
kind = generation
pool = engines
model = granulator
version = 1
replicas.Rufisque = 1
replicas.Pikine = 1
class = long
deadline = 30s

[account cooperative]
token_hashes = HASH
`

func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// A caller reads a generation of 30 tokens and the engine dies after the twelfth event.
// The golden file holds the bytes that the caller read, the calls to engines and the
// keys in the store afterwards.
func TestGoldenSession(t *testing.T) {
	var (
		caller  strings.Builder
		engines callLog
		keys    []string
	)
	synctest.Test(t, func(t *testing.T) {
		d, err := Start(t.Context(), Options{
			Seed: 11, Memory: true, EnginesPerZone: 1, Text: strings.Replace(goldenSiteText, "HASH", tokenHash(DemoToken), 1),
			Site: "golden", Zones: []string{"Rufisque", "Pikine"}, WrapEngine: func(id string, e engine.Engine) engine.Engine {
				return recordingEngine{e, id, &engines}
			},
		})
		must.NoError(t, err)
		defer time.Sleep(3 * time.Minute)
		defer d.Close()
		time.Sleep(5 * time.Second) // until all engines have loaded and the site text is in force everywhere
		r, err := d.Entries[0].Client().Do(t.Context(), http.MethodPost, "/v1/completions", map[string]any{
			"model": "reviews", "prompt": "golden", "max_tokens": 30, "stream": true,
		}, nil)
		must.NoError(t, err)
		defer r.Body.Close()
		readSession(t, d, r, &caller)
		checkText(t, caller.String())
		list, err := d.Store.List(t.Context(), "")
		must.NoError(t, err)
		for _, kv := range list.KVs {
			keys = append(keys, kv.Key)
		}
	})
	g := goldie.New(t)
	g.Assert(t, "session", []byte(normalise(fmt.Sprintf("# the caller\n%s\n# the engines\n%s\n\n# the store\n%s\n",
		caller.String(), strings.Join(engines.lines, "\n"), strings.Join(keys, "\n")))))
}

// checkText verifies that the events contain one complete generation of 30 tokens.
func checkText(t *testing.T, events string) {
	t.Helper()
	var text strings.Builder
	for _, m := range regexp.MustCompile(`"text":"([^"]*)"`).FindAllStringSubmatch(events, -1) {
		text.WriteString(m[1])
	}
	must.NoError(t, tokencheck.CheckWhole(DemoModel, "golden", text.String(), 30))
}

// readSession copies the response and kills the engine after twelve events.
func readSession(t *testing.T, d *Deployment, r *http.Response, to *strings.Builder) {
	fmt.Fprintf(to, "%s\nContent-Type: %s\n\n", r.Status, r.Header.Get("Content-Type"))
	buf := make([]byte, 64<<10)
	events, killed := 0, false
	for {
		n, err := r.Body.Read(buf)
		to.Write(buf[:n])
		events += strings.Count(string(buf[:n]), "\n\n")
		if events >= 12 && !killed {
			killed = true
			must.Eq(t, 1, d.kill(r.Header.Get("X-Generation-Id")))
		}
		if err != nil {
			return
		}
	}
}
