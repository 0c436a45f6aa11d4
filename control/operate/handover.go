package operate

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/inforce/record"
)

// Handover is the report that an operator passes to the next shift: the accepted text and the state
// of the deployment.
type Handover struct {
	Time   time.Time      `json:"time"`
	Record *record.Record `json:"record,omitempty"` // nil when the store is unavailable or no text is accepted yet
	Text   string         `json:"text,omitempty"`
	Status *Status        `json:"status"`
	// Recent lists the most recently accepted changes, newest first.
	Recent []record.Record `json:"recent,omitempty"`
}

// maxRecentChanges bounds the changes that a handover lists. At 5,200 changes a day the changes of
// one hour alone would be about 200, which is too long to read.
const maxRecentChanges = 20

// Handover collects the accepted text, its revision, lagging VMs, changes in progress and current
// warnings. An unavailable store is part of the report, not an error.
func (c *Client) Handover(ctx context.Context, results []PageResult) (*Handover, error) {
	h := &Handover{Time: time.Now().UTC(), Status: c.Status(ctx, results)}
	current, err := c.Get(ctx)
	var down *StoreError
	if errors.As(err, &down) || errors.Is(err, ErrNoText) {
		return h, nil
	}
	if err != nil {
		return nil, err
	}
	bare := *current.Record
	bare.Patch = nil
	h.Record, h.Text = &bare, current.Text
	history, err := c.History(ctx)
	if err == nil {
		h.Recent = history[:min(maxRecentChanges, len(history))]
	}
	return h, nil
}

// Write prints the report as comments followed by the site text, so that the output is itself a
// valid site text that can be checked, committed to version control and applied.
func (h *Handover) Write(out io.Writer) {
	c := &commentWriter{out: out}
	fmt.Fprintf(c, "handover at %s\n", h.Time.Format(time.RFC3339))
	if h.Record != nil {
		fmt.Fprintf(c, "revision %d, accepted %s from %s: %s\n",
			h.Record.Revision, h.Record.AppliedAt.Format(time.RFC3339), h.Record.Author, h.Record.Comment)
	}
	h.Status.Write(c)
	if len(h.Recent) > 0 {
		fmt.Fprintln(c, "last changes:")
	}
	for _, r := range h.Recent {
		fmt.Fprintf(c, "  %d %s %s %s\n", r.Revision, r.AppliedAt.Format(time.RFC3339), r.Author, r.Comment)
	}
	io.WriteString(out, "\n"+h.Text)
}

// commentWriter prefixes each line with "# ".
type commentWriter struct {
	out       io.Writer
	isMidLine bool // the last byte written did not end a line
}

func (c *commentWriter) Write(p []byte) (int, error) {
	for _, b := range p {
		if !c.isMidLine {
			if _, err := io.WriteString(c.out, "# "); err != nil {
				return 0, err
			}
		}
		c.isMidLine = b != '\n'
		if _, err := c.out.Write([]byte{b}); err != nil {
			return 0, err
		}
	}
	return len(p), nil
}
