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

// checkCmd validates files without running anything.
type checkCmd struct {
	Files []string `arg:"" name:"file" help:"Site texts, settings of daemons, configurations of stand-ins."`
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

// reportFaults writes one line per fault and returns how many there are as an error.
func reportFaults(faults inifile.Errors) error {
	if len(faults) == 0 {
		return nil
	}
	fmt.Fprintln(os.Stderr, faults)
	return usageError{errors.Errorf("%d faults found", len(faults))}
}

// checkFile returns the faults of one file.
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

// fileKind tells what an INI file is for.
type fileKind uint8

const (
	siteText fileKind = iota
	daemonSettings
	standInConfig
)

// detectKind goes by the first section that stands in one kind of file alone.
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

// readSite reads a site text and refuses a faulty one.
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
