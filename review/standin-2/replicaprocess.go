package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// lineBytes is the length of one line of a long answer, which begins with its number.
const lineBytes = 1024

// replicaProcess is a replica in a process of its own, so that it can be killed.
type replicaProcess struct {
	rec   *record
	entry entry
	cmd   *exec.Cmd
	runs  atomic.Int64 // requests that it has begun
}

// startReplicaProcess starts a replica whose answers have the given number of lines, made at a rate per
// second, and that has no length: each ends with its channel.
func startReplicaProcess(rec *record, e entry, lines, perSecond int) (*replicaProcess, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, "replica", e.id, e.address, strconv.Itoa(lines), strconv.Itoa(perSecond))
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	trackProcess(cmd)
	r := &replicaProcess{rec: rec, entry: e, cmd: cmd}
	started := make(chan struct{})
	go func() {
		s := bufio.NewScanner(out)
		var once sync.Once
		for s.Scan() {
			rec.add("replica %s: %s", e.id, s.Text())
			if strings.HasPrefix(s.Text(), "runs ") {
				r.runs.Add(1)
			}
			once.Do(func() { close(started) })
		}
	}()
	select {
	case <-started:
	case <-time.After(5 * time.Second):
		return nil, fmt.Errorf("replica %s did not start", e.id)
	}
	return r, nil
}

// kill ends the process at once.
func (r *replicaProcess) kill() {
	_ = r.cmd.Process.Kill()
	_ = r.cmd.Wait()
	r.rec.say("replica %s is killed", r.entry.id)
}

// runReplicaProcess is the main function of a replica process.
func runReplicaProcess(args []string) {
	id, address := args[0], args[1]
	lines, _ := strconv.Atoi(args[2])
	perSecond, _ := strconv.Atoi(args[3])
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	fmt.Printf("listens at %s\n", address)
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go serveLong(conn, id, lines, perSecond)
	}
}

// serveLong serves the requests of one channel; the first answer ends it.
func serveLong(conn net.Conn, id string, lines, perSecond int) {
	defer conn.Close()
	q, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	attempt := q.Header.Get(name("attempt"))
	if want := q.Header.Get(name("expect")); want != "" && want != id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", name("instance"), id)
		return
	}
	fmt.Printf("runs %s %s, id %s\n", q.Method, q.RequestURI, attempt)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n",
		name("attempt"), attempt, name("proof"), proofOf(id, attempt))
	began := time.Now()
	for n := range lines {
		if _, err := conn.Write(longLine(n)); err != nil {
			fmt.Printf("the answer to %s breaks off at line %d: %v\n", attempt, n, err)
			return
		}
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(perSecond))))
	}
	fmt.Printf("the answer to %s is whole, %d bytes\n", attempt, lines*lineBytes)
}

// longLine returns a line of a long answer.
func longLine(n int) []byte {
	text := fmt.Sprintf("%08d ", n)
	return []byte(text + strings.Repeat("x", lineBytes-len(text)-1) + "\n")
}
