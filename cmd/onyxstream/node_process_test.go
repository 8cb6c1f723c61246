package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"onyxstream/internal/faultinject"
)

// allThreadsStopped reports whether a signal has stopped every thread of the node: each does so on its own.
func (p *nodeProcess) allThreadsStopped(t testing.TB) bool {
	t.Helper()
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(tasks) == 0 {
		t.Fatalf("no threads are found: %v", err)
	}
	for _, task := range tasks {
		text, err := os.ReadFile(task)
		_, behind, _ := strings.Cut(string(text), ") ") // the state stands behind the name
		if err != nil || !strings.HasPrefix(behind, "T") {
			return false
		}
	}
	return true
}

// nodeProcess is the program, started.
type nodeProcess struct {
	addr           string
	managementAddr string
	configPath     string // the path of its configuration
	cmd            *exec.Cmd
	log            *syncBuffer
	exited         chan error
	faults         *faultinject.Process // with options.faults
}

// startProcess starts the program; files above 0 limits its descriptors below what its configuration says.
func startProcess(t testing.TB, path string, files int, more ...string) *nodeProcess {
	t.Helper()
	return startProcessWith(t, path, nodeOptions{descriptorLimit: files}, more...)
}

func startProcessWith(t testing.TB, path string, options nodeOptions, more ...string) *nodeProcess {
	t.Helper()
	files := options.descriptorLimit
	cmd := exec.Command(cmp.Or(options.programPath, programPath), append([]string{"node"}, more...)...)
	if files > 0 {
		cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s node", files, programPath))
	}
	node := &nodeProcess{configPath: path, cmd: cmd, log: &syncBuffer{}, exited: make(chan error, 1)}
	node.cmd.Env = append(append(os.Environ(), "PROXY_CONFIG="+path), options.env...)
	if options.listener != nil {
		node.cmd.ExtraFiles = []*os.File{options.listener}
		node.cmd.Env = append(node.cmd.Env, "PROXY_ACCEPT_FD=3")
	}
	node.cmd.Stdout, node.cmd.Stderr = node.log, node.log
	if options.stderr != nil {
		node.cmd.Stdout, node.cmd.Stderr = options.stderr, options.stderr
	}
	var err error
	if options.faults != nil {
		node.faults, err = faultinject.Start(node.cmd, *options.faults)
	} else {
		err = node.cmd.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	go func() { node.exited <- node.cmd.Wait() }()
	t.Cleanup(func() {
		_ = node.cmd.Process.Kill()
		if t.Failed() {
			t.Logf("the node's log:\n%s", node.log)
		}
		if strings.Contains(node.log.String(), "DATA RACE") {
			t.Errorf("a data race in the node:\n%s", node.log)
		}
	})
	return node
}

// startNode runs the program and waits until it answers PING.
func startNode(t testing.TB, options nodeOptions, discoveryAddr string) *nodeProcess {
	t.Helper()
	if options.mode == "" {
		options.mode = "pass"
	}
	if options.initialList == "" {
		options.initialList = endpointListJSON(0, true)
	}
	addr := freeAddr(t)
	if options.listener != nil {
		addr = options.addr
	}
	node := startProcessWith(t, writeConfig(t, addr, discoveryAddr, options), options)
	node.addr, node.managementAddr = addr, options.managementAddr
	for begin := time.Now(); time.Since(begin) < waitLimit; time.Sleep(20 * time.Millisecond) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		defer c.Close()
		_, _ = io.WriteString(c, "PING\r\n")
		if line, _ := bufio.NewReader(c).ReadString('\n'); line == "PONG\r\n" {
			return node
		}
	}
	t.Fatalf("the node does not answer PING; its log:\n%s", node.log)
	return nil
}

func (p *nodeProcess) terminate(t testing.TB) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
}

// openDescriptors counts what the node's process holds.
func (p *nodeProcess) openDescriptors(t testing.TB) int {
	t.Helper()
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Skip("no /proc here")
	}
	return len(names)
}

// Connections go from one process to the next while either of the two is stopped, or told to stop, in between: the orders
// are brought about by holding the process that is to come second.

// sendSignal sends a signal to the process.
func (p *nodeProcess) sendSignal(t testing.TB, s os.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// reload replaces the program's configuration by a changed one and tells it.
func (p *nodeProcess) reload(t *testing.T, change ...string) {
	t.Helper()
	text, err := os.ReadFile(p.configPath)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.NewReplacer(change...).Replace(string(text))
	if err := os.WriteFile(p.configPath+".new", []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(p.configPath+".new", p.configPath); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

func (p *nodeProcess) waitForLog(t testing.TB, text string) {
	t.Helper()
	eventually(t, "the log says "+text, func() bool { return strings.Contains(p.log.String(), text) })
}

// startSuccessor starts the program beside the one that runs, with an operators' address of its own.
func startSuccessor(t testing.TB, options nodeOptions, discoveryAddr string) *nodeProcess {
	t.Helper()
	options.managementAddr = freeAddr(t)
	successor := startProcessWith(t, writeConfig(t, options.addr, discoveryAddr, options), options)
	successor.addr, successor.managementAddr = options.addr, options.managementAddr
	eventually(t, "the new process is ready", func() bool {
		c, err := net.Dial("tcp", successor.managementAddr)
		if err != nil {
			return false
		}
		_ = c.Close()
		return strings.HasPrefix(successor.managementCall(t, "ready"), "YES")
	})
	return successor
}

func (p *nodeProcess) waitForCleanExit(t testing.TB) {
	t.Helper()
	select {
	case err := <-p.exited:
		if err != nil {
			t.Errorf("the process ended with %v", err)
		}
	case <-time.After(waitLimit):
		t.Fatal("the process does not end")
	}
}

// waitForPingAnswer waits until all processes behind an address answer PING alike: any of them may take a call.
func (p *nodeProcess) waitForPingAnswer(t *testing.T, want string) {
	t.Helper()
	eventually(t, "PING is answered "+want, func() bool {
		for range 8 {
			client := p.dial(t)
			client.send("PING\r\n")
			line, _ := client.reader.ReadString('\n')
			_ = client.conn.Close()
			if line != want {
				return false
			}
		}
		return true
	})
}
