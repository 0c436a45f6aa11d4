package main

import (
	"os/exec"
	"sync"
)

// processes holds the processes that were started, so that none is left at the end.
var processes struct {
	mu   sync.Mutex
	list []*exec.Cmd
}

func trackProcess(cmd *exec.Cmd) {
	processes.mu.Lock()
	defer processes.mu.Unlock()
	processes.list = append(processes.list, cmd)
}

// endProcesses ends all processes that were started; it has no effect on those that have ended.
func endProcesses() {
	processes.mu.Lock()
	defer processes.mu.Unlock()
	for _, cmd := range processes.list {
		_ = cmd.Process.Kill()
	}
}
