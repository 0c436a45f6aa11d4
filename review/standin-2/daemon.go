package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the pause between the end of a daemon's process and its next start.
const restartDelay = 300 * time.Millisecond

// daemon is one process of the project on an address of its own.
type daemon struct {
	rec                                 *record
	index                               int
	ip, front, ready, directory, peers  string
	metrics                             int
	settings, log, program, home, store string

	mu  sync.Mutex
	cmd *exec.Cmd
	// startedAt is when the running process was started.
	startedAt time.Time
}

// freePort returns a free port of an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func newDaemon(rec *record, index int, ip, home, folder, storeAddress string) (*daemon, error) {
	d := &daemon{
		rec: rec, index: index, ip: ip, home: home, store: storeAddress, program: filepath.Join(home, "target", "mallowwind"),
		settings: filepath.Join(folder, fmt.Sprintf("node-%d.conf", index)), log: filepath.Join(folder, fmt.Sprintf("node-%d.log", index)),
	}
	for _, address := range []*string{&d.front, &d.ready, &d.directory, &d.peers} {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		*address = net.JoinHostPort(ip, strconv.Itoa(port))
	}
	port, err := freePort(ip)
	d.metrics = port
	return d, err
}

// node returns the name of a machine.
func node(index int) string { return fmt.Sprintf("front-%s-%d", zone(index), index+1) }

func zone(index int) string { return []string{"rufisque", "pikine", "plateau"}[index%3] }

// writeSettings writes the settings file as the platform does.
func (d *daemon) writeSettings(all []*daemon) error {
	var seeds []string
	for _, other := range all {
		seeds = append(seeds, other.peers)
	}
	lines := []string{
		"node_name=" + node(d.index), "role=entry", "machine_class=front", "serves=front,control,directory", "ip=" + d.ip,
		"zone=" + zone(d.index), "region=dakar", "zones.rufisque=dakar", "zones.pikine=dakar", "zones.plateau=dakar",
		"endpoints.front=" + d.front, "endpoints.ready=" + d.ready, "endpoints.control=" + d.peers, "endpoints.directory=" + d.directory,
		"port_range=7200,7215", "seeds=" + strings.Join(seeds[:min(3, len(seeds))], ","), "bootstrap=true", "in_tolerance=false",
		"limits.cpu_quota=0.4", "limits.cpu_cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.bandwidth_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=directory", "heartbeat_ms=1200", "policies=base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
		"parameters.seed_staleness_s=3", "parameters.addr_reuse_s=2", "parameters.contact_ms=4000", "parameters.ack_ms=6000", "parameters.sync_s=6",
		"parameters.drain_ms=3000", "parameters.grace_s=8", "parameters.loss_slack_ms=200", "parameters.config_apply_ms=3000", "parameters.downgrade_ms=250",
		"parameters.skew_max_ms=6000", "parameters.strict_revoke=true", "parameters.revoke_ms=5000", "parameters.retry_ratio=0.8", "parameters.retry_window_s=10",
		"parameters.budget_slack=150", "parameters.recovery_s=15", "parameters.delivery_ms=200", "parameters.reuse_window_s=10", "parameters.ttl_max_s=5",
		"platform.address=" + d.store, "platform.form=kv", "platform.writes_per_s=1200", "platform.reads_per_s=6000", "platform.retention_s=20",
		"platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
	}
	return os.WriteFile(d.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(d.program, "forward", "--metrics", strconv.Itoa(d.metrics))
	cmd.Dir, cmd.Stdout, cmd.Stderr = d.home, out, out
	cmd.Env = append(os.Environ(), name("settings")+"="+d.settings)
	if err := cmd.Start(); err != nil {
		return err
	}
	trackProcess(cmd)
	d.mu.Lock()
	d.cmd, d.startedAt = cmd, time.Now()
	d.mu.Unlock()
	d.rec.add("%s starts, process %d, callers at %s", node(d.index), cmd.Process.Pid, d.front)
	return nil
}

func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(sig)
		d.rec.add("%s gets %v", node(d.index), sig)
	}
}

// wait waits until the process has ended.
func (d *daemon) wait() {
	d.mu.Lock()
	cmd := d.cmd
	d.mu.Unlock()
	if cmd != nil {
		_ = cmd.Wait()
	}
}

// kill ends the process at once.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	d.wait()
}

// since returns when the running process was started.
func (d *daemon) since() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.startedAt
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.ready + name("ready"))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pid returns the id of the running process.
func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process.Pid
}
