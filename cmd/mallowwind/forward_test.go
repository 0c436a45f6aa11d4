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

const nodeFile = `node_name=front-1
zone=a
ip=127.0.0.1
endpoints.front=127.0.0.1:1
endpoints.ready=127.0.0.1:2
port_range=3,4
platform.address=127.0.0.1:5
seeds=127.0.0.1:6
`

func writeNodeFile(t *testing.T, path, text string) {
	t.Helper()
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
}

func TestForwardSettingsAreChecked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.conf")
	writeNodeFile(t, path, nodeFile)
	must.Eq(t, exitOK, run([]string{"forward", "--settings", path, "--check"}))
	writeNodeFile(t, path, strings.Replace(nodeFile, "zone=a", "", 1))
	must.Eq(t, exitUsage, run([]string{"forward", "--settings", path, "--check"}))
}

// The platform replaces the settings file, first by one that cannot be used.
// The daemon keeps what it has until the file is whole again.
func TestSettingsAreReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.conf")
	writeNodeFile(t, path, nodeFile)
	before, err := nodefile.Load(path)
	must.NoError(t, err)
	applied := make(chan *nodefile.Settings, 10)
	c := &forwardCmd{Settings: path}
	hup := make(chan os.Signal)
	go c.reload(hup, before, event.Discard(), func(s *nodefile.Settings) { applied <- s })
	writeNodeFile(t, path, "nonsense")
	hup <- syscall.SIGHUP
	writeNodeFile(t, path, strings.Replace(nodeFile, "127.0.0.1:6", "127.0.0.1:7,127.0.0.1:8", 1))
	hup <- syscall.SIGHUP
	got := <-applied
	must.Eq(t, []string{"127.0.0.1:7", "127.0.0.1:8"}, got.Seeds)
}
