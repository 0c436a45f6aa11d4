package main

import (
	"io"

	"mallowwind.dev/control/inforce/record"
	"mallowwind.dev/control/operate"
)

// getCmd prints an accepted site text byte for byte as it was applied.
type getCmd struct {
	siteFlags
	Revision int64 `placeholder:"REVISION" help:"Revision to print; the newest by default."`
}

// getOutput is the JSON output of getCmd.
type getOutput struct {
	Record record.Record `json:"record"`
	Text   string        `json:"text"`
}

// Run implements the command.
func (c *getCmd) Run() error {
	s, err := c.open()
	if err != nil {
		return err
	}
	defer s.stop()
	current, err := s.readRevision(c.Revision)
	if err != nil {
		return err
	}
	if c.JSON {
		r := *current.Record
		r.Patch = nil
		return writeJSON(s.out, getOutput{r, current.Text})
	}
	_, err = io.WriteString(s.out, current.Text)
	return err
}

// readRevision returns the accepted text of a revision; 0 stands for the newest.
func (s *session) readRevision(revision int64) (*operate.Current, error) {
	if revision == 0 {
		return s.Get(s.ctx)
	}
	return s.GetRevision(s.ctx, revision)
}
