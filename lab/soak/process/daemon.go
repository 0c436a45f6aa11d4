package process

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/platform/nodefile"
	"mallowwind.dev/platform/wire"
)

// Ports of a daemon on its own loopback address.
const (
	portCallers   = 8740
	portDirectory = 8746
	portPeers     = 8748
	portReady     = 8749
)

// outputTailLines is how many lines of a process's output explain an unexpected exit.
const outputTailLines = 12

// daemon is one mallowwind process with the proxies on its links.
type daemon struct {
	harness        *harness
	settings       nodefile.Settings
	path           string // settings file
	log            *os.File
	callerProxy    *proxy
	directoryProxy *proxy // to the directory port
	storeProxy     *proxy

	lifecycle     sync.Mutex // serializes stops, kills and starts
	mu            sync.Mutex
	cmd           *exec.Cmd
	startedAt     time.Time
	stopRequested bool          // SIGTERM or SIGKILL was sent
	disturbed     disturbances  // times in which the process did not run, was stopping or was frozen
	exited        chan struct{} // closed when the process has exited
}

func (h *harness) newDaemon(n int, ip, listenIP, zone, storeAt string) (*daemon, error) {
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	d := &daemon{harness: h, path: filepath.Join(h.opts.Dir, fmt.Sprintf("entry-%d.conf", n))}
	var err error
	for _, l := range []struct {
		proxy  **proxy
		target string
	}{{&d.callerProxy, at(portCallers)}, {&d.directoryProxy, at(portDirectory)}, {&d.storeProxy, storeAt}} {
		if *l.proxy, err = newProxy(listenIP+":0", l.target); err != nil {
			return nil, err
		}
	}
	d.settings = nodefile.Settings{
		VM: fmt.Sprintf("entry-%d", n), Zone: zone, IP: ip, CallerAddress: at(portCallers), ReadinessAddress: at(portReady),
		DirectoryAddress: at(portDirectory), PeerAddress: at(portPeers), StoreAddress: d.storeProxy.address(),
		DrainGrace: h.opts.Scenario.drainGrace(), KeyRevocationDelay: keyRevocationDelay, MaxDirectoryTTL: time.Second, RetryRatio: h.opts.Scenario.retryRatio(), RetryWindow: 10 * time.Second, RetrySlack: h.opts.Scenario.retrySlack(),
		MemoryLimitBytes: h.opts.MemoryLimitBytes,
	}
	if d.log, err = os.Create(filepath.Join(h.opts.Dir, fmt.Sprintf("entry-%d.log", n))); err != nil {
		return nil, errors.Wrap(err, "log")
	}
	if err = nodefile.Write(d.path, d.settings); err != nil {
		return nil, err
	}
	return d, d.start()
}

// start runs the program. An exit that the harness did not ask for is a violation.
func (d *daemon) start() error {
	cmd := exec.Command(d.harness.opts.Binary, "forward", "--settings", d.path)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	cmd.Env = append(os.Environ(), "GORACE=halt_on_error=1")
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "daemon")
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited, d.stopRequested, d.startedAt = cmd, exited, false, time.Now()
	d.mu.Unlock()
	d.disturbed.end()
	go func() {
		err := cmd.Wait()
		d.mu.Lock()
		stopRequested := d.stopRequested
		d.mu.Unlock()
		if !stopRequested {
			d.harness.recorder.recordViolation("%s exited unexpectedly: %v: %s", d.settings.VM, err, d.outputTail())
		}
		close(exited)
	}()
	return nil
}

// outputTail returns the last lines that the process wrote, without its JSON events.
func (d *daemon) outputTail() string {
	raw, err := os.ReadFile(d.log.Name())
	if err != nil {
		return err.Error()
	}
	var tail []string
	for line := range strings.Lines(string(raw)) {
		if !strings.HasPrefix(line, "{") {
			tail = append(tail, strings.TrimSpace(line))
		}
	}
	return strings.Join(tail[max(0, len(tail)-outputTailLines):], " | ")
}

// signal sends sig to the process and notes whether that asks it to exit.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch sig {
	case syscall.SIGKILL, syscall.SIGTERM:
		d.stopRequested = true
		d.disturbed.begin()
	case syscall.SIGSTOP:
		d.disturbed.begin()
	case syscall.SIGCONT:
		d.disturbed.end()
	}
	_ = d.cmd.Process.Signal(sig) // fails only if the process has exited
}

// kill sends SIGKILL and waits until the process has exited.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.exitChan()
}

// isStopping reports whether the process was asked to exit.
func (d *daemon) isStopping() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopRequested
}

func (d *daemon) exitChan() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exited
}

// stop is a planned stop: SIGTERM, then SIGKILL after the drain grace period.
func (d *daemon) stop() {
	d.signal(syscall.SIGTERM)
	select {
	case <-d.exitChan():
	case <-time.After(d.harness.opts.Scenario.drainGrace()):
		d.kill()
	}
}

// isReady queries the readiness endpoint, as the platform does.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.settings.ReadinessAddress + wire.ReadyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *daemon) close() {
	d.signal(syscall.SIGCONT)
	d.kill()
	for _, p := range []*proxy{d.callerProxy, d.directoryProxy, d.storeProxy} {
		p.close()
	}
	_ = d.log.Close() // the process that wrote to it has exited
}
