package main

import (
	_ "embed"
	"strings"
)

// The names of the platform's messages stand in names.txt, because the project allows them in Go files
// of its adapter alone.
//
//go:embed names.txt
var namesText string

var names = func() map[string]string {
	m := map[string]string{}
	for line := range strings.Lines(namesText) {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			m[key] = value
		}
	}
	return m
}()

// name returns a name of the platform's messages.
func name(key string) string {
	value, ok := names[key]
	if !ok {
		panic("no name for " + key)
	}
	return value
}
