package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/decision/epochs"
	"mallowwind.dev/lab/report"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/serve/generation"
	"mallowwind.dev/serve/journal"
)

// messagesPerRun are enough for the cost of one message to stand out from the
// kernel's clock of processor time.
const messagesPerRun = 1000

// journalExperiments are what copying released tokens to another daemon costs.
// At a steady pace an append carries one token and a message the appends of
// several answers; the intercept is what a message costs by itself.
func journalExperiments() []Experiment {
	return []Experiment{
		{
			X: report.Col("answers", ""), Sizes: []int{1, 4, 16, 64, 128},
			Quantities: []Quantity{
				{"journal_append_bytes", "Bytes of both directions of one message to a holder over twirp on loopback, by the answers it appends a token to.", report.Col("bytes", "B")},
				{"journal_append_cpu", "Processor time of both ends of that message.", report.Col("CPU", "µs")},
			},
			Run: appendTokens,
		},
		{
			X: report.Col("tokens", ""), Sizes: []int{100_000, 200_000, 400_000, 800_000},
			Quantities: []Quantity{
				{"journal_copy_memory", "Heap of finished copies of 400 tokens each, without prompts, by the tokens in all.", report.Col("heap", "B")},
			},
			Run: one(copyMemory),
		},
	}
}

// appendTokens returns the bytes and the processor time of one message that
// appends a token to each of n copies.
func appendTokens(ctx context.Context, n int, rng *rand.Rand) ([]float64, error) {
	server, counter, client := journalPeer()
	defer server.Close()
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("g0123abcd%023x", i)
		r, err := client.Open(ctx, &peerpb.OpenRequest{
			Spec: &peerpb.GenerationSpec{Id: ids[i]}, Forks: []*peerpb.Fork{{Epoch: 1, Owner: "entry-1"}},
		})
		if err != nil || !r.GetAccepted() {
			return nil, errors.Errorf("open: accepted %v, %v", r.GetAccepted(), err)
		}
	}
	tokens := randomTokens(messagesPerRun, rng)
	before := counter.bytes.Load()
	used, err := cpuOf(func() error { return appendEach(ctx, client, ids, tokens) })
	sent := counter.bytes.Load() - before
	return []float64{float64(sent) / messagesPerRun, float64(used.Microseconds()) / messagesPerRun}, err
}

// appendEach sends one message a token, which appends it to all copies.
func appendEach(ctx context.Context, client peerpb.Journal, ids, tokens []string) error {
	for at := range tokens {
		batch := &peerpb.AppendBatch{Appends: make([]*peerpb.AppendRequest, 0, len(ids))}
		for _, id := range ids {
			batch.Appends = append(batch.Appends, &peerpb.AppendRequest{
				Id: id, Epoch: 1, Offset: uint32(at), Tokens: tokens[at : at+1],
			})
		}
		r, err := client.Append(ctx, batch)
		if err != nil {
			return errors.Wrapf(err, "append at %d", at)
		}
		for _, reply := range r.GetReplies() {
			if !reply.GetAccepted() {
				return errors.Errorf("append at %d was refused", at)
			}
		}
	}
	return nil
}

// randomTokens returns n tokens of two to seven bytes, about four on average,
// the usual length of a token of text.
func randomTokens(n int, rng *rand.Rand) []string {
	out := make([]string, n)
	for i := range out {
		b := make([]byte, 2+rng.IntN(3)+rng.IntN(4))
		for j := range b {
			b[j] = byte('a' + rng.IntN(26))
		}
		out[i] = string(b)
	}
	return out
}

// journalPeer starts a daemon's holder of copies.
func journalPeer() (*httptest.Server, *counter, peerpb.Journal) {
	m := generation.NewManager(generation.Config{
		Site: fixedSite{testSite(fewAccounts)}, Members: membership.Static{View: new(membership.View)},
		Log: discard(), Metrics: prometheus.NewRegistry(),
	})
	_, handler := m.Handler()
	server, counter := serve(handler)
	dialer := link.NewDialer(nil)
	return server, counter, peerpb.NewJournalProtobufClient(server.URL, dialer.Client)
}

const tokensPerCopy = 400

// copyMemory returns the heap of copies of n tokens in all, filled as by
// appends of one token.
func copyMemory(_ context.Context, n int, rng *rand.Rand) (float64, error) {
	return heapOf(func() (any, error) {
		h := journal.NewHolder(journal.Limits{Bytes: 1 << 30, TTL: func() time.Duration { return time.Hour }}, rng.Uint64)
		for i := range n / tokensPerCopy {
			id := fmt.Sprintf("generation-%016x", i)
			r := h.Open(journal.Copy{Spec: &peerpb.GenerationSpec{Id: id}, History: epochs.History{{Epoch: 1, Owner: "entry-1"}}})
			for at := 0; at < tokensPerCopy && r.Accepted; at++ {
				r = h.Append(id, 1, at, randomTokens(1, rng), nil, "")
			}
			if !r.Accepted {
				return nil, errors.New("a copy was not accepted")
			}
		}
		return h, nil
	})
}
