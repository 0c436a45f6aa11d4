package inifile

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Field describes one key of a section that is decoded into a T.
type Field[T any] struct {
	// Name is the key. A name that ends in "." is a prefix that takes a suffix, such as a zone.
	Name     string
	Required bool
	Default  string // shown on the reference page; Decode does not apply it
	Help     string
	// Secret keeps the value out of errors: operators sometimes paste a token where its hash
	// belongs, and errors end up in logs.
	Secret bool
	// Set stores the value in dst; suffix is the part of the key after a Name that ends in ".". The
	// error says what to write instead.
	Set func(dst *T, suffix, value string) error
}

// Row is one key in the tables of a reference page.
type Row struct {
	Section, Key, Default, Help string
}

// Rows returns the reference rows for the fields of a section kind.
func Rows[T any](section string, fields []Field[T]) []Row {
	rows := make([]Row, len(fields))
	for i, f := range fields {
		rows[i] = Row{Section: section, Key: f.Name, Default: f.Default, Help: f.Help}
		if f.Required {
			rows[i].Default = "required"
		}
	}
	return rows
}

// Decode stores the values of the keys of s in dst and adds unknown keys, bad values and missing
// required keys to errs.
func Decode[T any](s *Section, fields []Field[T], dst *T, errs *Collector) {
	for _, k := range s.Keys {
		f, suffix, ok := findField(fields, k.Name)
		if !ok {
			errs.Add(k.Line, fmt.Sprintf("unknown key %q in [%s]", k.Name, s.Header()), "write one of "+keyNames(fields))
			continue
		}
		if err := f.Set(dst, suffix, k.Value); err != nil {
			errs.Add(k.Line, describeBadValue(f.Secret, k), err.Error())
		}
	}
	for _, f := range fields {
		if _, ok := s.Key(f.Name); f.Required && !ok {
			errs.Add(s.Line, fmt.Sprintf("[%s] has no key %q", s.Header(), f.Name), "add "+f.Name+" = ..., "+f.Help)
		}
	}
}

func describeBadValue(secret bool, k Key) string {
	if secret {
		return "bad value of " + k.Name
	}
	return fmt.Sprintf("bad value %q of %s", k.Value, k.Name)
}

func findField[T any](fields []Field[T], key string) (Field[T], string, bool) {
	for _, f := range fields {
		if f.Name == key {
			return f, "", true
		}
		if suffix, ok := strings.CutPrefix(key, f.Name); ok && strings.HasSuffix(f.Name, ".") && suffix != "" {
			return f, suffix, true
		}
	}
	return Field[T]{}, "", false
}

func keyNames[T any](fields []Field[T]) string {
	list := make([]string, len(fields))
	for i, f := range fields {
		list[i] = f.Name
		if strings.HasSuffix(f.Name, ".") {
			list[i] += "ZONE"
		}
	}
	return strings.Join(list, ", ")
}

// Int parses an integer from lowest to highest.
func Int(value string, lowest, highest int64) (int64, error) {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < lowest || n > highest {
		return 0, errors.Errorf("write a whole number from %d to %d", lowest, highest)
	}
	return n, nil
}

// Float parses a number from lowest to highest.
func Float(value string, lowest, highest float64) (float64, error) {
	f, err := strconv.ParseFloat(value, 64)
	if err != nil || !(f >= lowest && f <= highest) {
		return 0, errors.Errorf("write a number from %g to %g", lowest, highest)
	}
	return f, nil
}

// Duration parses a duration, such as 30s or 10m, from lowest to highest.
func Duration(value string, lowest, highest time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(value)
	if err != nil || d < lowest || d > highest {
		return 0, errors.Errorf("write a duration with its unit from %s to %s, such as 30s", lowest, highest)
	}
	return d, nil
}

// Bool parses yes or no.
func Bool(value string) (bool, error) {
	switch value {
	case "yes":
		return true, nil
	case "no":
		return false, nil
	}
	return false, errors.New("write yes or no")
}

// OneOf returns value as an S if it is one of words.
func OneOf[S ~string](value string, words ...S) (S, error) {
	list := make([]string, len(words))
	for i, w := range words {
		if string(w) == value {
			return w, nil
		}
		list[i] = string(w)
	}
	return "", errors.Errorf("write one of %s", strings.Join(list, ", "))
}

const (
	maxNameBytes    = 63
	tokenHashDigits = 64 // hex digits of a SHA-256
)

// IsName reports whether s is a valid name of a service, pool, account, site or VM. Valid names
// need no escaping in URL paths and store keys.
func IsName(s string) bool {
	if s == "" || len(s) > maxNameBytes || strings.Contains("._-", s[:1]) {
		return false
	}
	for _, r := range s {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && !strings.ContainsRune("._-", r) {
			return false
		}
	}
	return true
}

// IsTokenHash reports whether s has the form of a SHA-256 in lower-case hex.
func IsTokenHash(s string) bool {
	return len(s) == tokenHashDigits && strings.Trim(s, "0123456789abcdef") == ""
}

// MarkdownTables renders rows as the Markdown tables of a reference page, one table per section.
func MarkdownTables(rows []Row) string {
	var b strings.Builder
	section := ""
	for _, r := range rows {
		if r.Section != section {
			section = r.Section
			fmt.Fprintf(&b, "\n### `[%s]`\n\n| key | default | meaning |\n|---|---|---|\n", section)
		}
		key := r.Key
		if strings.HasSuffix(key, ".") {
			key += "ZONE"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", key, r.Default, r.Help)
	}
	return b.String()
}
