package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// The names of the platform's messages lie in a text file, as this project keeps them out of Go code
// outside its adapter.
var (
	//go:embed wire.txt
	wireText string
	//go:embed desired.json
	desiredText []byte
	wire        = readWire()
)

// readWire returns the platform's names by what they mean.
func readWire() map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(wireText) {
		if meaning, name, ok := strings.Cut(strings.TrimSpace(line), " = "); ok {
			names[meaning] = name
		}
	}
	return names
}

// desiredState is the desired state that the operator writes.
func desiredState(version int, routes ...map[string]any) map[string]any {
	state := map[string]any{}
	check(json.Unmarshal(desiredText, &state))
	state["version"], state["routes"] = version, routes
	return state
}
