package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/platform/nodefile"
	"mallowwind.dev/telemetry/event"
)

const nodeSettings = `node_name=front-1
zone=a
ip=127.0.0.1
endpoints.front=127.0.0.1:1
endpoints.ready=127.0.0.1:2
port_range=3,4
platform.address=127.0.0.1:5
seeds=127.0.0.1:6
`

func writeNodeSettings(t *testing.T, path, text string) {
	t.Helper()
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
}

func TestForwardCheckValidatesSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.conf")
	writeNodeSettings(t, path, nodeSettings)
	must.Eq(t, exitOK, run([]string{"forward", "--settings", path, "--check"}))
	writeNodeSettings(t, path, strings.Replace(nodeSettings, "zone=a", "", 1))
	must.Eq(t, exitUsage, run([]string{"forward", "--settings", path, "--check"}))
}

// The platform replaces the settings file with an invalid one and then with a valid one. The daemon
// must keep its settings while the file is invalid and then apply the new ones.
func TestReloadIgnoresInvalidSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.conf")
	writeNodeSettings(t, path, nodeSettings)
	before, err := nodefile.Load(path)
	must.NoError(t, err)
	applied := make(chan *nodefile.Settings, 10)
	c := &forwardCmd{Settings: path}
	hup := make(chan os.Signal)
	go c.reload(hup, before, event.Discard(), func(s *nodefile.Settings) { applied <- s })
	writeNodeSettings(t, path, "nonsense")
	hup <- syscall.SIGHUP
	writeNodeSettings(t, path, strings.Replace(nodeSettings, "127.0.0.1:6", "127.0.0.1:7,127.0.0.1:8", 1))
	hup <- syscall.SIGHUP
	got := <-applied
	must.Eq(t, []string{"127.0.0.1:7", "127.0.0.1:8"}, got.Seeds)
}

// Guards against requests that may hold more memory than the process has beside the daemon's own.
func TestRequestMemoryFitsIntoTheLimit(t *testing.T) {
	for _, c := range []struct{ limit, requests int64 }{{0, 0}, {64 << 20, 16 << 20}, {144 << 20, 75 << 20}, {284 << 20, 187 << 20}, {1024 << 20, 779 << 20}} {
		s := &nodefile.Settings{MemoryLimitBytes: c.limit}
		must.Eq(t, c.requests>>20, requestMemory(s)>>20)
		must.LessEq(t, runtimeMemory(s), requestMemory(s))
	}
}
