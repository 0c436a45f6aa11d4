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
	// askLimit bounds one question for addresses.
	askLimit = 2 * time.Second
	// tryAgain spaces attempts that reached nobody.
	tryAgain = 300 * time.Millisecond
	// silenceLimit is how long a caller waits on a connection that says nothing:
	// streams send a comment every 5 s, so two were missed.
	silenceLimit = 12 * time.Second
	// requestLimit bounds a request that is answered at once.
	requestLimit = 6 * time.Second
)

// caller is one program of the account. It keeps the addresses it was told
// until they run out, as the address answer allows.
type caller struct {
	r    *run
	rng  *rand.Rand
	http *http.Client
	name string
	made int

	addresses []string
	until     time.Time
	turn      int
}

func (r *run) newCaller(rng *rand.Rand, n int) *caller {
	return &caller{r: r, rng: rng, http: r.stand.HTTP(), name: fmt.Sprintf("caller-%d", n)}
}

// unique names the next request of this caller; it serves as prompt and key.
func (c *caller) unique(kind string) string {
	c.made++
	return fmt.Sprintf("%s %s %d", kind, c.name, c.made)
}

func (c *caller) chance(percent int) bool { return c.rng.IntN(100) < percent }

func (c *caller) between(low, high time.Duration) time.Duration {
	return between(c.rng, low, high)
}

// entry returns a client of an entry VM that the caller was told to use. Each
// call takes the next one of the answer. It returns nil when ctx ends.
func (c *caller) entry(ctx context.Context) *stand.Client {
	for ctx.Err() == nil {
		if time.Now().Before(c.until) && len(c.addresses) > 0 {
			c.turn++
			return c.client(c.addresses[c.turn%len(c.addresses)])
		}
		if c.ask(ctx) != nil {
			pause.For(ctx, tryAgain)
		}
	}
	return nil
}

func (c *caller) client(address string) *stand.Client {
	return &stand.Client{Base: "http://" + address, Token: stand.DemoToken, HTTP: c.http}
}

// ask learns the addresses anew from an entry VM, whichever answers.
func (c *caller) ask(ctx context.Context) error {
	known := c.r.fleet.all()
	e := known[c.rng.IntN(len(known))]
	ctx, cancel := context.WithTimeout(ctx, askLimit)
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
		return errors.New("no entry VM was named")
	}
	c.addresses = nil
	for _, n := range body.Entries {
		c.addresses = append(c.addresses, n.Address)
	}
	c.until = asked.Add(time.Duration(body.TTLSeconds) * time.Second)
	return nil
}

// forget drops an answer whose entry VMs do not answer.
func (c *caller) forget() { c.until = time.Time{} }

// watched ends a request whose connection says nothing for silenceLimit.
type watched struct {
	io.Reader
	timer *time.Timer
}

// Read implements io.Reader; any byte counts, also a comment.
func (w watched) Read(p []byte) (int, error) {
	n, err := w.Reader.Read(p)
	w.timer.Reset(silenceLimit)
	return n, err
}
