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

// nodeProcess is a running process of the command "onyxstream node".
type nodeProcess struct {
	addr           string // where clients connect
	managementAddr string
	configPath     string
	cmd            *exec.Cmd
	log            *syncBuffer
	exited         chan error           // receives the result of cmd.Wait, once
	faults         *faultinject.Process // nil if nodeOptions.faults is nil
}

// startProcess starts a node with the configuration file at path and default options.
func startProcess(t testing.TB, path string, args ...string) *nodeProcess {
	t.Helper()
	return startProcessWith(t, path, nodeOptions{}, args...)
}

// startProcessWith starts a node with the configuration file at path. It applies only those options that concern the
// process; the configuration file holds the others. The process is killed when the test ends, and a data race in it
// fails the test.
func startProcessWith(t testing.TB, path string, options nodeOptions, args ...string) *nodeProcess {
	t.Helper()
	cmd := exec.Command(cmp.Or(options.programPath, programPath), append([]string{"node"}, args...)...)
	if options.descriptorLimit > 0 {
		script := fmt.Sprintf("ulimit -n %d; exec %s node", options.descriptorLimit, programPath)
		cmd = exec.Command("sh", "-c", script)
	}
	node := &nodeProcess{configPath: path, cmd: cmd, log: &syncBuffer{}, exited: make(chan error, 1)}
	cmd.Env = append(append(os.Environ(), "PROXY_CONFIG="+path), options.env...)
	if options.listener != nil {
		cmd.ExtraFiles = []*os.File{options.listener}
		cmd.Env = append(cmd.Env, "PROXY_ACCEPT_FD=3")
	}
	cmd.Stdout, cmd.Stderr = node.log, node.log
	if options.stderr != nil {
		cmd.Stdout, cmd.Stderr = options.stderr, options.stderr
	}
	var err error
	if options.faults != nil {
		node.faults, err = faultinject.Start(cmd, *options.faults)
	} else {
		err = cmd.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	go func() { node.exited <- cmd.Wait() }()
	t.Cleanup(func() { node.killAndCheckLog(t) })
	return node
}

// killAndCheckLog kills the process, shows its log if the test failed, and fails the test if the log shows a data race.
func (p *nodeProcess) killAndCheckLog(t testing.TB) {
	t.Helper()
	_ = p.cmd.Process.Kill()
	if t.Failed() {
		t.Logf("log of the node:\n%s", p.log)
	}
	if strings.Contains(p.log.String(), "DATA RACE") {
		t.Errorf("data race in the node:\n%s", p.log)
	}
}

// startNode starts a node and waits until it answers PING.
func startNode(t testing.TB, options nodeOptions, discoveryAddr string) *nodeProcess {
	t.Helper()
	options.mode = cmp.Or(options.mode, "pass")
	options.initialList = cmp.Or(options.initialList, endpointListJSON(0, true))
	addr := freeAddr(t)
	if options.listener != nil {
		addr = options.addr
	}
	node := startProcessWith(t, writeConfig(t, addr, discoveryAddr, options), options)
	node.addr, node.managementAddr = addr, options.managementAddr
	for start := time.Now(); time.Since(start) < waitLimit; time.Sleep(20 * time.Millisecond) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "PING\r\n")
		if line, _ := bufio.NewReader(conn).ReadString('\n'); line == "PONG\r\n" {
			return node
		}
	}
	t.Fatalf("node did not answer PING; its log:\n%s", node.log)
	return nil
}

// startNodeWithHosts starts a fake discovery service and a node. The service's endpoint list, and the list in the
// node's configuration, hold the hosts in phase serving.
func startNodeWithHosts(t testing.TB, options nodeOptions, hosts ...*fakeHost) (*nodeProcess, *fakeDiscovery) {
	t.Helper()
	options.initialList = endpointListJSON(1, true, endpointsOf(hosts...)...)
	discovery := newFakeDiscovery(t, options.initialList)
	return startNode(t, options, discovery.addr), discovery
}

// startSuccessor starts the successor of a running node process, with its own management address, and waits until the
// successor reports that it is ready.
func startSuccessor(t testing.TB, options nodeOptions, discoveryAddr string) *nodeProcess {
	t.Helper()
	options.managementAddr = freeAddr(t)
	successor := startProcessWith(t, writeConfig(t, options.addr, discoveryAddr, options), options)
	successor.addr, successor.managementAddr = options.addr, options.managementAddr
	eventually(t, "the successor is ready", func() bool {
		conn, err := net.Dial("tcp", successor.managementAddr)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return strings.HasPrefix(successor.managementCall(t, "ready"), "YES")
	})
	return successor
}

// sendSignal sends a signal to the process.
func (p *nodeProcess) sendSignal(t testing.TB, signal os.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

// terminate sends SIGTERM, which begins a graceful shutdown.
func (p *nodeProcess) terminate(t testing.TB) {
	t.Helper()
	p.sendSignal(t, syscall.SIGTERM)
}

// reload edits the configuration file and sends SIGHUP. replacements are pairs of an old and a new string. The file is
// replaced by a rename, so that the node never reads a part of it.
func (p *nodeProcess) reload(t *testing.T, replacements ...string) {
	t.Helper()
	text, err := os.ReadFile(p.configPath)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.NewReplacer(replacements...).Replace(string(text))
	if err := os.WriteFile(p.configPath+".new", []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(p.configPath+".new", p.configPath); err != nil {
		t.Fatal(err)
	}
	p.sendSignal(t, syscall.SIGHUP)
}

// waitForLog waits until the log contains text.
func (p *nodeProcess) waitForLog(t testing.TB, text string) {
	t.Helper()
	eventually(t, "the log contains "+text, func() bool { return strings.Contains(p.log.String(), text) })
}

// waitForCleanExit waits until the process has exited, and fails the test unless its exit status is 0.
func (p *nodeProcess) waitForCleanExit(t testing.TB) {
	t.Helper()
	select {
	case err := <-p.exited:
		if err != nil {
			t.Errorf("process exited with %v, want status 0", err)
		}
	case <-time.After(waitLimit):
		p.sendSignal(t, syscall.SIGQUIT) // the log then shows what each goroutine waits for
		time.Sleep(time.Second)
		t.Fatal("process did not exit in time")
	}
}

// allThreadsStopped reports whether SIGSTOP has stopped every thread of the node. The threads of a process do not all
// stop at the same moment.
func (p *nodeProcess) allThreadsStopped(t testing.TB) bool {
	t.Helper()
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(tasks) == 0 {
		t.Fatalf("no threads found in /proc: %v", err)
	}
	for _, task := range tasks {
		text, err := os.ReadFile(task)
		_, state, _ := strings.Cut(string(text), ") ") // the thread state follows the command name, which is in parentheses
		if err != nil || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// openDescriptors returns the number of open file descriptors of the process.
func (p *nodeProcess) openDescriptors(t testing.TB) int {
	t.Helper()
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Skip("/proc is not available")
	}
	return len(names)
}
