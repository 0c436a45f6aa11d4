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
	// resolveTimeout bounds one question for addresses.
	resolveTimeout = 2 * time.Second
	// retryDelay spaces attempts that reached nobody.
	retryDelay = 300 * time.Millisecond
	// idleTimeout is how long a caller waits on a connection that says nothing:
	// streams send a comment every 5 s, so two were missed.
	idleTimeout = 12 * time.Second
	// requestTimeout bounds a request that is answered at once.
	requestTimeout = 6 * time.Second
)

// caller is one program of the account. It keeps the addresses it was told
// until they run out, as the address answer allows.
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

// uniqueName names the next request of this caller; it serves as prompt and key.
func (c *caller) uniqueName(kind string) string {
	c.requestCount++
	return fmt.Sprintf("%s %s %d", kind, c.name, c.requestCount)
}

func (c *caller) chance(percent int) bool { return c.rng.IntN(100) < percent }

func (c *caller) randomDuration(low, high time.Duration) time.Duration {
	return randomDuration(c.rng, low, high)
}

// nextEntry returns a client of an entry VM that the caller was told to use. Each
// call takes the next one of the answer. It returns nil when ctx ends.
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

// resolve learns the addresses anew from an entry VM, whichever answers.
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
		Entries    []stand.Named `json:"entries"`
		TTLSeconds int           `json:"ttl_seconds"`
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return err
	}
	if len(body.Entries) == 0 {
		return errors.New("no entry VM was named")
	}
	c.addresses = nil
	for _, n := range body.Entries {
		c.addresses = append(c.addresses, n.Address)
	}
	c.expiresAt = asked.Add(time.Duration(body.TTLSeconds) * time.Second)
	return nil
}

// invalidateAddresses drops an answer whose entry VMs do not answer.
func (c *caller) invalidateAddresses() { c.expiresAt = time.Time{} }

// idleTimeoutReader ends a request whose connection says nothing for silenceLimit.
type idleTimeoutReader struct {
	io.Reader
	timer *time.Timer
}

// Read implements io.Reader; any byte counts, also a comment.
func (w idleTimeoutReader) Read(p []byte) (int, error) {
	n, err := w.Reader.Read(p)
	w.timer.Reset(idleTimeout)
	return n, err
}
