package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/lab/stand"
)

const (
	// resolveTimeout bounds one request for the list of entry VMs.
	resolveTimeout = 2 * time.Second
	// retryDelay is the pause after an attempt that did not succeed.
	retryDelay = 300 * time.Millisecond
	// idleTimeout is how long a caller waits on an idle connection. Streams send a comment every
	// 5 s, so two of them were missed by then.
	idleTimeout = 12 * time.Second
	// requestTimeout bounds a short request.
	requestTimeout = 6 * time.Second
)

// caller is one client program of the account. It keeps the list of entry VMs until the TTL of the
// list ends.
type caller struct {
	run          *run
	rng          *rand.Rand
	http         *http.Client
	name         string
	requestCount int

	addresses []string
	expiresAt time.Time
	nextIndex int
}

func (r *run) newCaller(rng *rand.Rand, n int) *caller {
	return &caller{run: r, rng: rng, http: r.deployment.HTTP(), name: fmt.Sprintf("caller-%d", n)}
}

// uniqueName returns a new name, which serves as prompt and as idempotency key.
func (c *caller) uniqueName(kind string) string {
	c.requestCount++
	return fmt.Sprintf("%s %s %d", kind, c.name, c.requestCount)
}

func (c *caller) chance(percent int) bool { return c.rng.IntN(100) < percent }

func (c *caller) randomDuration(low, high time.Duration) time.Duration {
	return randomDuration(c.rng, low, high)
}

// nextEntry returns a client of one of the listed entry VMs, in rotation. It returns nil when ctx
// ends.
func (c *caller) nextEntry(ctx context.Context) *stand.Client {
	for ctx.Err() == nil {
		if time.Now().Before(c.expiresAt) && len(c.addresses) > 0 {
			c.nextIndex++
			return c.client(c.addresses[c.nextIndex%len(c.addresses)])
		}
		if c.resolve(ctx) != nil {
			pause.For(ctx, retryDelay)
		}
	}
	return nil
}

func (c *caller) client(address string) *stand.Client {
	return &stand.Client{Base: "http://" + address, Token: stand.DemoToken, HTTP: c.http}
}

// resolve fetches the list of entry VMs from a random one.
func (c *caller) resolve(ctx context.Context) error {
	known := c.run.fleet.allEntries()
	e := known[c.rng.IntN(len(known))]
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	asked := time.Now()
	response, err := c.client(e.Address).Do(ctx, http.MethodGet, "/v1/entries", nil, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var body struct {
		Entries    []stand.EntryAddress `json:"entries"`
		TTLSeconds int                  `json:"ttl_seconds"`
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return err
	}
	if len(body.Entries) == 0 {
		return errors.New("the list of entry VMs is empty")
	}
	c.addresses = nil
	for _, n := range body.Entries {
		c.addresses = append(c.addresses, n.Address)
	}
	c.expiresAt = asked.Add(time.Duration(body.TTLSeconds) * time.Second)
	return nil
}

// invalidateAddresses expires the list after an entry VM on it failed to respond.
func (c *caller) invalidateAddresses() { c.expiresAt = time.Time{} }

// idleTimeoutReader resets a timer, which ends the request, on every read.
type idleTimeoutReader struct {
	io.Reader
	timer *time.Timer
}

// Read implements io.Reader. Any byte resets the timer, also that of a comment.
func (w idleTimeoutReader) Read(p []byte) (int, error) {
	n, err := w.Reader.Read(p)
	w.timer.Reset(idleTimeout)
	return n, err
}
