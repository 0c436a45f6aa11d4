package generation

import (
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/epochs"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/serve/journal"
)

type noSite struct{}

func (noSite) Current() *site.Site { return nil }

// BenchmarkAppendBatch gives the processor time, both ends, of copying one
// token, by how many generations share a message over loopback.
func BenchmarkAppendBatch(b *testing.B) {
	for _, size := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("generations=%d", size), func(b *testing.B) {
			m := NewManager(Config{Site: noSite{}, Members: membership.Static{View: &membership.View{}}, Metrics: prometheus.NewRegistry()})
			_, h := m.Handler()
			server := httptest.NewServer(h)
			defer server.Close()
			dialer := link.NewDialer(nil)
			client := peerpb.NewJournalProtobufClient(server.URL, dialer.Client)
			batch := &peerpb.AppendBatch{}
			for i := range size {
				id := fmt.Sprintf("g%032x", i)
				res := m.holder.Open(journal.Copy{Spec: &peerpb.GenerationSpec{Id: id}, History: epochs.History{{Epoch: 1}}})
				must.True(b, res.Accepted)
				batch.Appends = append(batch.Appends, &peerpb.AppendRequest{Id: id, Epoch: 1, Tokens: []string{" token"}})
			}
			n := 0
			for b.Loop() {
				for _, a := range batch.Appends {
					a.Offset = uint32(n)
				}
				n++
				r, err := client.Append(b.Context(), batch)
				must.NoError(b, err)
				must.Len(b, size, r.GetReplies())
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n*size), "ns/token")
		})
	}
}
