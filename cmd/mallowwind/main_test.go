package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/settings"
	"mallowwind.dev/serve/daemon"
)

const settingsTemplate = `[daemon]
site = yard
vm = entry-1
zone = Ruiru
listen = %s
peer_listen = 127.0.0.1:1
admin_listen = 127.0.0.1:2

[platform]
store = http://127.0.0.1:3
vm_list = http://127.0.0.1:4
`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "entry.ini")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestExitCodes(t *testing.T) {
	good := writeSettings(t, fmt.Sprintf(settingsTemplate, "127.0.0.1:5"))
	must.Eq(t, exitOK, run([]string{"--config", good, "--check"}))
	must.Eq(t, exitUsage, run([]string{"--config", writeSettings(t, "[daemon]\nzonee = Ruiru\n")}))
	must.Eq(t, exitUsage, run([]string{"--config", filepath.Join(t.TempDir(), "none.ini")}))
	must.Eq(t, exitUsage, run([]string{"--frobnicate"}))
}

// The daemon is started while its port is in use, for example by another instance. It must exit
// with a usage error that names the line of the setting and the cause.
func TestBusyPort(t *testing.T) {
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer busy.Close()
	path := writeSettings(t, fmt.Sprintf(settingsTemplate, busy.Addr()))
	must.Eq(t, exitUsage, run([]string{"--config", path}))
	s, err := settings.Parse(path)
	must.NoError(t, err)
	_, err = daemon.Listen(s)
	must.ErrorContains(t, err, path+":5: ")
	must.ErrorContains(t, err, "address already in use")
}
