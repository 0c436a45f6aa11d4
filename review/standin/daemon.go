package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemon is one process of the project, started with the command of the deploy file.
type daemon struct {
	name, zone, ip                           string
	front, ready, control, directory, metric string
	dir                                      string
	cmd                                      *exec.Cmd
	exited                                   chan struct{}
	startedAt                                time.Time
}

var zones = []string{"rufisque", "pikine", "plateau"}

// running holds the processes that were started.
var running struct {
	sync.Mutex
	list  []process
	ended bool // no more are started
}

// process is one run of a program.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// newDaemons prepares the settings of a small deployment's machines and starts one process on each.
func newDaemons(n int, dir, storeAddress string) []*daemon {
	list := make([]*daemon, n)
	for i := range list {
		ip := fmt.Sprintf("127.0.0.%d", 11+i)
		port := freePorts(ip, 5)
		list[i] = &daemon{
			name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], 1+i/len(zones)), zone: zones[i%len(zones)], ip: ip, dir: dir,
			front: port[0], ready: port[1], control: port[2], directory: port[3], metric: port[4],
		}
	}
	var seeds []string
	for _, d := range list[:min(3, n)] {
		seeds = append(seeds, d.control)
	}
	for _, d := range list {
		d.writeSettings(storeAddress, seeds)
		d.start()
	}
	return list
}

// freePorts returns addresses at which nothing listens.
func freePorts(ip string, n int) []string {
	var held []net.Listener
	var list []string
	for range n {
		l := listen(ip)
		held, list = append(held, l), append(list, l.Addr().String())
	}
	for _, l := range held {
		l.Close()
	}
	return list
}

func (d *daemon) settingsFile() string { return filepath.Join(d.dir, d.name+".conf") }

func (d *daemon) writeSettings(storeAddress string, seeds []string) {
	text := fmt.Sprintf(`node_name=%s
role=entry
machine_class=front
serves=front,control,directory
ip=%s
zone=%s
region=dakar
zones.rufisque=dakar
zones.pikine=dakar
zones.plateau=dakar
endpoints.front=%s
endpoints.ready=%s
endpoints.control=%s
endpoints.directory=%s
port_range=7200,7215
seeds=%s
bootstrap=true
in_tolerance=false
limits.cpu_quota=0.4
limits.cpu_cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.bandwidth_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=directory
heartbeat_ms=1200
policies=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
fault_tolerance.nodes=2
fault_tolerance.zones=0
fault_tolerance.regions=0
parameters.seed_staleness_s=3
parameters.addr_reuse_s=2
parameters.contact_ms=3000
parameters.ack_ms=4000
parameters.sync_s=4
parameters.drain_ms=2000
parameters.grace_s=8
parameters.loss_slack_ms=200
parameters.config_apply_ms=2000
parameters.downgrade_ms=250
parameters.skew_max_ms=5000
parameters.strict_revoke=true
parameters.revoke_ms=5000
parameters.retry_ratio=0.8
parameters.retry_window_s=10
parameters.budget_slack=150
parameters.recovery_s=12
parameters.delivery_ms=120
parameters.reuse_window_s=10
parameters.ttl_max_s=5
platform.address=%s
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.retention_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
`, d.name, d.ip, d.zone, d.front, d.ready, d.control, d.directory, strings.Join(seeds, ","), storeAddress)
	check(os.WriteFile(d.settingsFile(), []byte(text), 0o600))
}

func (d *daemon) start() {
	_, port, err := net.SplitHostPort(d.metric)
	check(err)
	cmd := exec.Command("target/mallowwind", "forward", "--metrics", port)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, wire["settings"] + "=" + d.settingsFile()}
	log, err := os.OpenFile(filepath.Join(d.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd.Stdout, cmd.Stderr = log, log
	running.Lock()
	if running.ended {
		running.Unlock()
		select {} // this program is about to exit
	}
	err = cmd.Start()
	if err == nil {
		d.cmd, d.exited, d.startedAt = cmd, make(chan struct{}), time.Now()
		running.list = append(running.list, process{cmd, d.exited})
	}
	running.Unlock()
	check(err)
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		log.Close()
		close(exited)
	}(d.exited)
}

// kill ends the process at once and waits for its end.
func (d *daemon) kill() {
	_ = d.cmd.Process.Signal(syscall.SIGKILL)
	<-d.exited
}

// isReady asks the readiness endpoint as the platform does.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.ready + wire["ready"])
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func awaitReady(list []*daemon) {
	deadline := time.Now().Add(20 * time.Second)
	for _, d := range list {
		for !d.isReady() {
			if time.Now().After(deadline) {
				fail("%s isn't ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// endAll ends all processes for good.
func endAll() {
	running.Lock()
	defer running.Unlock()
	running.ended = true
	for _, p := range running.list {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // fails only if it has ended
		<-p.exited
	}
}
