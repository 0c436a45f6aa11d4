package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"mallowwind.dev/control/inifile"
	"mallowwind.dev/control/settings"
	"mallowwind.dev/control/site"
	"mallowwind.dev/lab/standins"
)

// checkCmd validates configuration files without running anything.
type checkCmd struct {
	Files []string `arg:"" name:"file" help:"Site texts, daemon settings and stand-in configurations."`
	JSON  bool     `name:"json" help:"Write the faults as JSON."`
}

// Run implements the command.
func (c *checkCmd) Run() error {
	faults := inifile.Errors{}
	for _, file := range c.Files {
		found, err := checkFile(file)
		if err != nil {
			return usageError{err}
		}
		faults = append(faults, found...)
		if len(found) == 0 && !c.JSON {
			fmt.Printf("%s: ok\n", file)
		}
	}
	if c.JSON {
		if err := writeJSON(os.Stdout, faults); err != nil {
			return err
		}
	}
	return reportFaults(faults)
}

// reportFaults writes one line per fault to standard error and returns an error with their number,
// or nil if there are none.
func reportFaults(faults inifile.Errors) error {
	if len(faults) == 0 {
		return nil
	}
	fmt.Fprintln(os.Stderr, faults)
	return usageError{errors.Errorf("%d faults found", len(faults))}
}

// checkFile returns the faults of one file. The error is set if the file cannot be checked.
func checkFile(file string) (inifile.Errors, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	switch detectKind(text) {
	case daemonSettings:
		_, err = settings.ParseText(file, text)
	case standInConfig:
		_, err = standins.Parse(file, text)
	default:
		_, err = site.Parse(file, text)
	}
	var faults inifile.Errors
	if err != nil && !errors.As(err, &faults) {
		return nil, err
	}
	return faults, nil
}

// fileKind is the kind of an INI file.
type fileKind uint8

const (
	siteText fileKind = iota
	daemonSettings
	standInConfig
)

// detectKind returns the kind of a file by its first section that is specific to one kind. A file
// without such a section is treated as a site text.
func detectKind(text []byte) fileKind {
	for _, s := range inifile.Parse(text, &inifile.Collector{}) {
		switch s.Kind {
		case "daemon", "tls":
			return daemonSettings
		case "store", "vm-list", "engines", "plain", "entry":
			return standInConfig
		}
	}
	return siteText
}

// readSite reads and validates a site text. It writes the faults to standard error.
func readSite(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", usageError{err}
	}
	_, err = site.Parse(file, text)
	var faults inifile.Errors
	if errors.As(err, &faults) {
		return "", reportFaults(faults)
	}
	return string(text), err
}
