package inifile

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Field is one key that a section of type T may hold.
type Field[T any] struct {
	// Name is the key. One that ends in "." takes a suffix, such as a zone.
	Name     string
	Required bool
	Default  string // as shown in the reference; the zero T already holds it
	Help     string
	// Secret keeps the value out of errors: operators paste a token where its
	// hash belongs, and errors end up in logs.
	Secret bool
	// Set stores the value; suffix is what follows a Name that ends in ".".
	// Its error says what to write instead.
	Set func(to *T, suffix, value string) error
}

// Row is one line of a reference page.
type Row struct {
	Section, Key, Default, Help string
}

// Rows returns the reference of a section kind.
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

// Decode stores the keys of s in to. Faults go to errs.
func Decode[T any](s *Section, fields []Field[T], to *T, errs *Collector) {
	for _, k := range s.Keys {
		f, suffix, ok := find(fields, k.Name)
		if !ok {
			errs.Add(k.Line, fmt.Sprintf("unknown key %q in [%s]", k.Name, s.Header()), "write one of "+names(fields))
			continue
		}
		if err := f.Set(to, suffix, k.Value); err != nil {
			errs.Add(k.Line, badValue(f.Secret, k), err.Error())
		}
	}
	for _, f := range fields {
		if _, ok := s.Key(f.Name); f.Required && !ok {
			errs.Add(s.Line, fmt.Sprintf("[%s] has no key %q", s.Header(), f.Name), "add "+f.Name+" = ..., "+f.Help)
		}
	}
}

func badValue(secret bool, k Key) string {
	if secret {
		return "bad value of " + k.Name
	}
	return fmt.Sprintf("bad value %q of %s", k.Value, k.Name)
}

func find[T any](fields []Field[T], key string) (Field[T], string, bool) {
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

func names[T any](fields []Field[T]) string {
	list := make([]string, len(fields))
	for i, f := range fields {
		list[i] = f.Name
		if strings.HasSuffix(f.Name, ".") {
			list[i] += "ZONE"
		}
	}
	return strings.Join(list, ", ")
}

// Int reads a whole number from lowest to highest.
func Int(value string, lowest, highest int64) (int64, error) {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < lowest || n > highest {
		return 0, errors.Errorf("write a whole number from %d to %d", lowest, highest)
	}
	return n, nil
}

// Float reads a number from lowest to highest.
func Float(value string, lowest, highest float64) (float64, error) {
	f, err := strconv.ParseFloat(value, 64)
	if err != nil || !(f >= lowest && f <= highest) {
		return 0, errors.Errorf("write a number from %g to %g", lowest, highest)
	}
	return f, nil
}

// Duration reads a duration such as 30s or 10m from lowest to highest.
func Duration(value string, lowest, highest time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(value)
	if err != nil || d < lowest || d > highest {
		return 0, errors.Errorf("write a duration with its unit from %s to %s, such as 30s", lowest, highest)
	}
	return d, nil
}

// Bool reads yes or no.
func Bool(value string) (bool, error) {
	switch value {
	case "yes":
		return true, nil
	case "no":
		return false, nil
	}
	return false, errors.New("write yes or no")
}

// OneOf accepts one of the listed words.
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
	longestName   = 63
	tokenHashSize = 64 // hex digits of a SHA-256
)

// IsName reports whether s may name a service, pool, account, site or VM: it
// can stand in a URL path and in a store key without escaping.
func IsName(s string) bool {
	if s == "" || len(s) > longestName || strings.Contains("._-", s[:1]) {
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

// IsTokenHash reports whether s is a lower-case hex SHA-256.
func IsTokenHash(s string) bool {
	return len(s) == tokenHashSize && strings.Trim(s, "0123456789abcdef") == ""
}

// MarkdownTables returns rows as the Markdown tables of a reference page, one per section.
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
