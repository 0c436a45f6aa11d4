// Package inifile reads INI texts through ini.v1 and adds what operators need
// and ini.v1 does not give: line numbers, every fault at once, and a table of
// known keys per section from which the reference pages are checked.
//
// The accepted form is a subset of what ini.v1 reads: one key a line, "=" as
// the only delimiter, comments after "#" or ";" (after a space when on the line
// of a key), no continuation lines, no multi-line quotes, no interpolation.
// Whatever lies outside is reported instead of being guessed at.
package inifile

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Key is one key of a section.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is one section: "[kind name]" or "[kind]".
type Section struct {
	Kind string
	Name string // rest of the header after the kind, may be empty
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

// Key returns the key called name.
func (s *Section) Key(name string) (Key, bool) {
	for _, k := range s.Keys {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

// LineOf returns the line of the key called name, or of the section's header.
func (s *Section) LineOf(name string) int {
	if k, ok := s.Key(name); ok {
		return k.Line
	}
	return s.Line
}

// Parse reads text and returns its sections in order. Faults go to errs;
// what could be read is returned all the same, so that one pass reports all.
func Parse(text []byte, errs *Collector) []*Section {
	l := lineScanner{errs: errs, byHeader: map[string]*Section{}}
	clean := l.scan(string(text))
	file, err := ini.LoadSources(loadOptions, []byte(clean))
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
	from, err := file.GetSection(s.Header())
	if err != nil {
		return
	}
	for i := range s.Keys {
		k := &s.Keys[i]
		if from.HasKey(k.Name) {
			k.Value = from.Key(k.Name).Value()
		}
	}
}

// List splits a comma-separated value and trims its items.
func List(value string) []string {
	var items []string
	for item := range strings.SplitSeq(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
