package inifile

import (
	"fmt"
	"strings"
)

// lineScanner records the line of every section and key and rewrites the text into the subset that
// this package accepts. Lines that it reports as errors are left blank, so that the rest of the
// file is still checked.
type lineScanner struct {
	errs     *Collector
	sections []*Section
	byHeader map[string]*Section
	current  *Section
}

func (l *lineScanner) scan(text string) string {
	text = strings.TrimPrefix(text, "\ufeff")
	lines := strings.Split(text, "\n")
	for i, raw := range lines {
		lines[i] = l.scanLine(i+1, strings.TrimSpace(raw))
	}
	return strings.Join(lines, "\n")
}

func (l *lineScanner) scanLine(n int, s string) string {
	switch {
	case s == "", s[0] == '#', s[0] == ';':
		return ""
	case s[0] == '[':
		return l.scanHeader(n, s)
	default:
		return l.scanKey(n, s)
	}
}

func (l *lineScanner) scanHeader(n int, s string) string {
	inside, rest, closed := strings.Cut(s[1:], "]")
	rest = strings.TrimSpace(rest)
	header := strings.Join(strings.Fields(inside), " ")
	if !closed || header == "" || (rest != "" && rest[0] != '#' && rest[0] != ';') {
		l.errs.Add(n, fmt.Sprintf("malformed section header %q", s), "write [kind] or [kind name]")
		l.current = nil
		return ""
	}
	if first, ok := l.byHeader[header]; ok {
		l.errs.Add(n, fmt.Sprintf("section [%s] stands twice, first in line %d", header, first.Line),
			"keep one of them")
		l.current = first
		return "[" + header + "]"
	}
	kind, name, _ := strings.Cut(header, " ")
	l.current = &Section{Kind: kind, Name: name, Line: n}
	l.byHeader[header] = l.current
	l.sections = append(l.sections, l.current)
	return "[" + header + "]"
}

func (l *lineScanner) scanKey(n int, s string) string {
	name, value, ok := strings.Cut(s, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	switch {
	case !ok || name == "":
		l.errs.Add(n, "this is neither a section header nor a key", "write key = value")
		return ""
	case l.current == nil:
		l.errs.Add(n, fmt.Sprintf("key %q stands outside of a section", name), "put it below a [section] header")
		return ""
	case name == "-" || strings.ContainsAny(name, "\"'`#;"):
		l.errs.Add(n, fmt.Sprintf("key %q is quoted or holds a reserved character", name), "write the bare name")
		return ""
	case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
		l.errs.Add(n, fmt.Sprintf("key %q has a multi-line value", name), "write the value on one line")
		return ""
	}
	if first, dup := l.current.Key(name); dup {
		l.errs.Add(n, fmt.Sprintf("key %q stands twice in [%s], first in line %d", name, l.current.Header(), first.Line),
			"keep one of them")
		return ""
	}
	l.current.Keys = append(l.current.Keys, Key{Name: name, Line: n})
	return name + " = " + value
}
