package report

import (
	"os"
	"runtime"
	"strings"
)

// Machine describes the machine of a run and its load.
type Machine struct {
	Cores int    `json:"cores"`
	CPU   string `json:"cpu,omitempty"`
	Go    string `json:"go"`
	OS    string `json:"os"`
	// Load is the one-minute load average when the report was created, empty where
	// /proc/loadavg is missing. If it exceeds Cores, measured times include waiting
	// for a core.
	Load string `json:"load_1m,omitempty"`
}

// ThisMachine describes the machine this process runs on.
func ThisMachine() Machine {
	return Machine{
		Cores: runtime.NumCPU(),
		CPU:   cpuModel(),
		Go:    runtime.Version(),
		OS:    runtime.GOOS + "/" + runtime.GOARCH,
		Load:  loadAverage(),
	}
}

func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	first, _, _ := strings.Cut(string(b), " ")
	return first
}

func cpuModel() string {
	b, err := os.ReadFile("/proc/cpuinfo")
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(b)) {
		name, value, ok := strings.Cut(line, ":")
		if ok && strings.TrimSpace(name) == "model name" {
			return strings.TrimSpace(value)
		}
	}
	return ""
}
