package main

import (
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/standin/storesim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/external/vmlist"
)

// Operators' scripts depend on the exit codes.
func TestExitCodes(t *testing.T) {
	kv := store.NewFaulty(store.NewMemory())
	server := httptest.NewServer(storesim.Handler(kv))
	defer server.Close()
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	one := file("one.ini", "[site]\nname = yard\nzones = A\n")
	two := file("two.ini", "[site]\nname = yard\nzones = A, B\n")
	bad := file("bad.ini", "[site]\nname = yard\nzone = A\n")
	ctl := func(args ...string) int {
		return run(append(args, "--site", "yard", "--store", server.URL, "--timeout", "1s"))
	}

	must.Eq(t, exitOK, run([]string{"check", one, two}))
	must.Eq(t, exitUsage, run([]string{"check", one, bad}))
	must.Eq(t, exitUsage, run([]string{"check", filepath.Join(dir, "none.ini")}))
	must.Eq(t, exitUsage, run([]string{"frobnicate"}))
	must.Eq(t, exitFailed, ctl("get"))
	must.Eq(t, exitUsage, ctl("apply", bad, "--yes"))
	must.Eq(t, exitUsage, ctl("apply", one)) // the standard input is not a terminal
	must.Eq(t, exitOK, ctl("apply", one, "--yes"))
	must.Eq(t, exitOK, ctl("apply", two, "--yes", "--against", "1"))
	must.Eq(t, exitConflict, ctl("apply", one, "--yes", "--against", "1"))
	must.Eq(t, exitOK, ctl("apply", "--restore", "1", "--yes", "--json"))
	must.Eq(t, exitOK, ctl("diff", "2", "3"))
	must.Eq(t, exitOK, ctl("history", "--json"))
	must.Eq(t, exitFailed, ctl("get", "--revision", "9"))
	must.Eq(t, exitUsage, ctl("status"))
	must.Eq(t, exitFailed, ctl("status", "--admin", "127.0.0.1:1"))
	list := vmlist.NewMemory(0)
	vms := httptest.NewServer(vmlist.Handler(list))
	defer vms.Close()
	must.Eq(t, exitUsage, ctl("status", "--vm-list", vms.URL)) // no entry VM in the list
	list.Put(vmlist.VM{ID: "a", Address: "127.0.0.1:9", Role: vmlist.RoleEntry, State: vmlist.Live})
	must.Eq(t, exitFailed, ctl("status", "--vm-list", vms.URL, "--admin-port", "1"))
	kv.SetDown(true)
	must.Eq(t, exitStore, ctl("get"))
	must.Eq(t, exitStore, ctl("apply", two, "--yes"))
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.ini")
	must.NoError(t, err)
	must.SliceLen(t, 17, files) // 13 entry VMs, two site texts, two sets of stand-ins
	must.Eq(t, exitOK, run(append([]string{"check"}, files...)))
}
