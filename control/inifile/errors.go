package inifile

import (
	"fmt"
	"sort"
	"strings"
)

// Error is one problem in a file and how to fix it.
type Error struct {
	File    string
	Line    int // 0 if the problem concerns the whole file
	Problem string
	Remedy  string
}

// Error returns "file:line: problem: remedy".
func (e Error) Error() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	return fmt.Sprintf("%s: %s: %s", position, e.Problem, e.Remedy)
}

// Errors lists all problems in one file, ordered by line.
type Errors []Error

// Error returns one line per problem.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Collector collects the problems found in one file.
type Collector struct {
	File string
	list Errors
}

// Add records a problem at line; line is 0 if the problem concerns the whole file.
func (c *Collector) Add(line int, problem, remedy string) {
	c.list = append(c.list, Error{File: c.File, Line: line, Problem: problem, Remedy: remedy})
}

// Err returns the collected problems as Errors ordered by line, or nil if there are none.
func (c *Collector) Err() error {
	if len(c.list) == 0 {
		return nil
	}
	sort.SliceStable(c.list, func(i, j int) bool { return c.list[i].Line < c.list[j].Line })
	return c.list
}
