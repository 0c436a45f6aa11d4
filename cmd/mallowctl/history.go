package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"mallowwind.dev/control/inforce/record"
)

// historyCmd lists the accepted site texts, newest first.
type historyCmd struct {
	siteFlags
	Limit int `default:"20" help:"Maximum number of entries to show."`
}

// Run implements the command.
func (c *historyCmd) Run() error {
	s, err := c.open()
	if err != nil {
		return err
	}
	defer s.stop()
	list, err := s.History(s.ctx)
	if err != nil {
		return err
	}
	list = list[:min(max(c.Limit, 0), len(list))]
	if c.JSON {
		for i := range list {
			list[i].Patch = nil
		}
		return writeJSON(s.out, list)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	for _, r := range list {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", r.Revision, r.AppliedAt.Format(time.RFC3339), r.Author, r.Comment, formatRestored(r))
	}
	return nil
}

func formatRestored(r record.Record) string {
	if r.RestoredRevision == 0 {
		return ""
	}
	return fmt.Sprintf("(text of revision %d)", r.RestoredRevision)
}
