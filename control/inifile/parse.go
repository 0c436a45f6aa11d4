// Package inifile parses INI files with ini.v1 and adds what ini.v1 lacks: line numbers in errors,
// all errors in one pass, and a schema of the known keys of each section, against which the
// reference pages are checked.
//
// The accepted syntax is a subset of what ini.v1 reads: one key per line, "=" as the only
// delimiter, comments after "#" or ";" (after a space when on the line of a key), no continuation
// lines, no multi-line quotes, no interpolation. Anything else is reported as an error instead of
// being interpreted.
package inifile

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Key is one key of a section with its value and line number.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is one section with its keys; its header is "[kind name]" or "[kind]".
type Section struct {
	Kind string
	Name string // rest of the header after the kind; may be empty
	Line int
	Keys []Key
}

// Header returns the section's header without brackets.
func (s *Section) Header() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}

// Key returns the key with the given name and whether the section has it.
func (s *Section) Key(name string) (Key, bool) {
	for _, k := range s.Keys {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

// LineOf returns the line of the key with the given name, or of the section header if the section
// has no such key.
func (s *Section) LineOf(name string) int {
	if k, ok := s.Key(name); ok {
		return k.Line
	}
	return s.Line
}

// Parse parses text and returns its sections in order. Problems are added to errs; the sections
// that could be read are returned as well, so that the caller can check them in the same pass.
func Parse(text []byte, errs *Collector) []*Section {
	l := lineScanner{errs: errs, byHeader: map[string]*Section{}}
	normalized := l.scan(string(text))
	file, err := ini.LoadSources(loadOptions, []byte(normalized))
	if err != nil {
		errs.Add(0, fmt.Sprintf("not an INI text (%v)", err), "write [section] headers and key = value lines")
		return nil
	}
	for _, s := range l.sections {
		fillValues(s, file)
	}
	return l.sections
}

var loadOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}

func fillValues(s *Section, file *ini.File) {
	parsed, err := file.GetSection(s.Header())
	if err != nil {
		return
	}
	for i := range s.Keys {
		k := &s.Keys[i]
		if parsed.HasKey(k.Name) {
			k.Value = parsed.Key(k.Name).Value()
		}
	}
}

// List splits a comma-separated value, trims the items and drops empty ones.
func List(value string) []string {
	var items []string
	for item := range strings.SplitSeq(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
