package vmlist

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// Daemons read the list every second and it rarely changes. The response must have no body while the
// list is unchanged and the new rows after a change.
func TestUnchangedListHasNoBody(t *testing.T) {
	list := NewMemory(0, VM{ID: "a", State: Live})
	var bytes atomic.Int64
	handler := Handler(list)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		handler.ServeHTTP(rec, r)
		bytes.Store(int64(rec.Body.Len()))
		for k, v := range rec.Header() {
			w.Header()[k] = v
		}
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	defer server.Close()
	client := NewClient(server.URL, nil)

	first, err := client.List(t.Context())
	must.NoError(t, err)
	must.Positive(t, bytes.Load())
	second, err := client.List(t.Context())
	must.NoError(t, err)
	must.Zero(t, bytes.Load())
	must.Eq(t, first, second)

	list.Put(VM{ID: "a", State: Leaving})
	third, err := client.List(t.Context())
	must.NoError(t, err)
	must.Eq(t, Leaving, third[0].State)
}

// A daemon downloads the whole list after each change. At 2,290 VMs the compressed list must be less
// than a fifth of its JSON form.
func TestListIsCompressed(t *testing.T) {
	var rows []VM
	for i := range 2290 {
		rows = append(rows, VM{
			ID: fmt.Sprintf("backend-%04d", i), Address: fmt.Sprintf("10.7.%d.%d:8080", i/250, i%250),
			Zone: fmt.Sprintf("zone-%d", i%7), Region: fmt.Sprintf("region-%d", i%3), Role: RoleBackend,
			Pool: fmt.Sprintf("model-%02d", i%15), State: Live,
		})
	}
	handler := Handler(NewMemory(0, rows...))
	size := func(encoding string) int {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set("Accept-Encoding", encoding)
		rec := httptest.NewRecorder()
		handler.ServeHTTP(rec, r)
		return rec.Body.Len()
	}
	t.Logf("%d VMs: %d bytes, %d compressed", len(rows), size(""), size("gzip"))
	must.Less(t, size("")/5, size("gzip"))

	server := httptest.NewServer(handler)
	defer server.Close()
	list, err := NewClient(server.URL, nil).List(t.Context())
	must.NoError(t, err)
	must.Eq(t, rows, list)
}
