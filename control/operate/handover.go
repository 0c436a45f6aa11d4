package operate

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/inforce/record"
)

// Handover is what one shift gives to the next.
type Handover struct {
	Time   time.Time      `json:"time"`
	Record *record.Record `json:"record,omitempty"` // nil when the store does not answer
	Text   string         `json:"text,omitempty"`
	Status *Status        `json:"status"`
	// Recent are the last accepted changes, newest first.
	Recent []record.Record `json:"recent,omitempty"`
}

// recentChanges is how many changes a handover lists: about an hour's at
// 5,200 a day would be 200, more than anyone reads.
const recentChanges = 20

// Handover gathers text, revision, lagging VMs, running changes and open
// warnings. A store that does not answer is part of the report, not a failure.
func (c *Client) Handover(ctx context.Context, answers []PageResult) (*Handover, error) {
	h := &Handover{Time: time.Now().UTC(), Status: c.Status(ctx, answers)}
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
		h.Recent = history[:min(recentChanges, len(history))]
	}
	return h, nil
}

// Write prints the report as comments and then the text itself, so that the
// whole is again a site text that check accepts and version control can hold.
func (h *Handover) Write(out io.Writer) {
	c := &commenter{out: out}
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

// commenter puts "# " before each line.
type commenter struct {
	out    io.Writer
	middle bool // of a line
}

func (c *commenter) Write(p []byte) (int, error) {
	for _, b := range p {
		if !c.middle {
			if _, err := io.WriteString(c.out, "# "); err != nil {
				return 0, err
			}
		}
		c.middle = b != '\n'
		if _, err := c.out.Write([]byte{b}); err != nil {
			return 0, err
		}
	}
	return len(p), nil
}
