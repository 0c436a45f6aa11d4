package main

import (
	"bytes"
	"os"

	"github.com/pkg/errors"

	"mallowwind.dev/lab/capacity"
)

// capacityCmd computes the capacity that each role needs at the planned size.
type capacityCmd struct {
	Slopes string `default:"docs/measurements" type:"existingdir" placeholder:"DIR" help:"Directory of the measured slopes."`
	Write  string `placeholder:"FILE" xor:"what" help:"Write the page to FILE instead of printing it."`
	Check  string `placeholder:"FILE" xor:"what" help:"Fail unless FILE equals the computed page."`
}

// Run implements the command.
func (c *capacityCmd) Run() error {
	page, err := capacity.Page(c.Slopes)
	if err != nil {
		return err
	}
	switch {
	case c.Write != "":
		return os.WriteFile(c.Write, page, 0o644)
	case c.Check != "":
		return checkPage(c.Check, page)
	}
	_, err = os.Stdout.Write(page)
	return err
}

func checkPage(file string, page []byte) error {
	have, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if !bytes.Equal(have, page) {
		return errors.Errorf("%s differs from the computed page; update it with mallowctl capacity --write %s", file, file)
	}
	return nil
}
