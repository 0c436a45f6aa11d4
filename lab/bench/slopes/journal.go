package slopes

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"

	"github.com/pkg/errors"

	"mallowwind.dev/lab/report"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/peer/peerpb"
)

// appendsPerRun are enough for the cost of one append to stand out from the
// kernel's clock of processor time.
const appendsPerRun = 1000

var appendSizes = []int{1, 4, 16, 64, 128}

// journalSlopes are what copying released tokens to another daemon costs. At a
// steady pace an append carries one token; the intercept is what an append
// costs by itself, and so what carrying several tokens in one would save.
func journalSlopes() []Measurement {
	return []Measurement{
		{
			Name: "journal_append_bytes",
			Help: "Bytes of both directions of one append over twirp on loopback, by the tokens in it.",
			X:    report.Col("tokens", ""), Y: report.Col("bytes", "B"), Sizes: appendSizes,
			Run: func(ctx context.Context, n int, rng *rand.Rand) (float64, error) {
				_, bytes, err := appendTokens(ctx, n, rng)
				return bytes, err
			},
		},
		{
			Name: "journal_append_cpu",
			Help: "Processor time of both ends of one append over twirp on loopback, by the tokens in it.",
			X:    report.Col("tokens", ""), Y: report.Col("CPU", "µs"), Sizes: appendSizes,
			Run: func(ctx context.Context, n int, rng *rand.Rand) (float64, error) {
				cpu, _, err := appendTokens(ctx, n, rng)
				return cpu, err
			},
		},
	}
}

// appendTokens returns the processor time in microseconds and the bytes of one
// append of n tokens.
func appendTokens(ctx context.Context, n int, rng *rand.Rand) (cpu, bytes float64, err error) {
	server, counter, client := journalPeer()
	defer server.Close()
	open := &peerpb.OpenRequest{
		Spec:  &peerpb.GenerationSpec{Id: "generation-0123456789abcdef"},
		Forks: []*peerpb.Fork{{Epoch: 1, Owner: "entry-1"}},
	}
	if r, err := client.Open(ctx, open); err != nil || !r.GetAccepted() {
		return 0, 0, errors.Errorf("open: accepted %v, %v", r.GetAccepted(), err)
	}
	tokens := randomTokens(n*appendsPerRun, rng)
	before := counter.bytes.Load()
	used, err := cpuOf(func() error { return appendEach(ctx, client, open.GetSpec().GetId(), tokens, n) })
	sent := counter.bytes.Load() - before
	return float64(used.Microseconds()) / appendsPerRun, float64(sent) / appendsPerRun, err
}

func appendEach(ctx context.Context, client peerpb.Journal, id string, tokens []string, n int) error {
	for i := 0; i < len(tokens); i += n {
		r, err := client.Append(ctx, &peerpb.AppendRequest{
			Id: id, Epoch: 1, Offset: uint32(i), Tokens: tokens[i : i+n],
		})
		if err != nil || !r.GetAccepted() {
			return errors.Errorf("append at %d: accepted %v, %v", i, r.GetAccepted(), err)
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

func journalPeer() (*httptest.Server, *counter, peerpb.Journal) {
	server, counter := serve(peerpb.NewJournalServer(acceptAll{}))
	dialer := link.NewDialer(nil)
	return server, counter, peerpb.NewJournalProtobufClient(server.URL, dialer.Client)
}

type acceptAll struct{ peerpb.Journal }

func (acceptAll) Open(context.Context, *peerpb.OpenRequest) (*peerpb.JournalReply, error) {
	return &peerpb.JournalReply{Accepted: true}, nil
}

func (acceptAll) Append(_ context.Context, r *peerpb.AppendRequest) (*peerpb.JournalReply, error) {
	return &peerpb.JournalReply{Accepted: true, Epoch: r.GetEpoch(), Length: r.GetOffset()}, nil
}
