package inifile

import (
	"fmt"
	"sort"
	"strings"
)

// Error is one fault of a file, and what to write instead.
type Error struct {
	File    string
	Line    int // 0 when the fault belongs to the whole file
	Problem string
	Remedy  string
}

// Error returns "file:line: what: what to write instead".
func (e Error) Error() string {
	where := e.File
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	return fmt.Sprintf("%s: %s: %s", where, e.Problem, e.Remedy)
}

// Errors lists every fault of one file, ordered by line.
type Errors []Error

// Error returns one line per fault.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Collector gathers the faults of one file.
type Collector struct {
	File string
	list Errors
}

// Add records a fault at line.
func (c *Collector) Add(line int, what, instead string) {
	c.list = append(c.list, Error{File: c.File, Line: line, Problem: what, Remedy: instead})
}

// Err returns the faults as Errors ordered by line, or nil.
func (c *Collector) Err() error {
	if len(c.list) == 0 {
		return nil
	}
	sort.SliceStable(c.list, func(i, j int) bool { return c.list[i].Line < c.list[j].Line })
	return c.list
}
