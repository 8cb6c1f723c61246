package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// object is a JSON object.
type object map[string]any

// platform starts nodes with the run command of the deploy file, and ends them.
type platform struct {
	root, folder, command string
	record                *record

	mu    sync.Mutex
	nodes []*node
}

func newPlatform(root, folder string, rec *record) (*platform, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if match == nil {
		return nil, errors.New("deploy file: no run command")
	}
	return &platform{root: root, folder: folder, command: string(match[1]), record: rec}, nil
}

// node is one node and its present process.
type node struct {
	platform *platform
	name     string
	addr     string
	config   object
	file     string
	starts   int

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{} // closed when the process has ended
	inUse   bool          // the front deals out connections to it
}

// freeAddr returns a loopback address with a free port.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func (p *platform) add(name, discovery string, known, settings object) (*node, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	n := &node{platform: p, name: name, addr: addr, file: filepath.Join(p.folder, name+".json")}
	n.config = object{
		"name": name, "listen": addr, "discovery": discovery,
		"limits":   object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    known,
		"settings": settings,
	}
	p.mu.Lock()
	p.nodes = append(p.nodes, n)
	p.mu.Unlock()
	return n, nil
}

// start writes the configuration, starts a process and waits until it answers PING with PONG.
func (n *node) start() error {
	n.starts++
	n.config["seed"] = fmt.Sprintf("%016x", time.Now().UnixNano()^int64(n.starts)<<48)
	if err := n.writeConfig(); err != nil {
		return err
	}
	temporary := filepath.Join(n.platform.folder, fmt.Sprintf("%s-tmp-%d", n.name, n.starts))
	if err := os.Mkdir(temporary, 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.platform.folder, n.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", n.platform.command)
	cmd.Dir = n.platform.root
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+n.file, "TMPDIR="+temporary)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.process, n.exited = cmd, exited
	n.mu.Unlock()
	n.platform.record.add(n.name, "started, process %d", cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		n.platform.record.add(n.name, "process %d ended: %v", cmd.Process.Pid, err)
		close(exited)
	}()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if n.ping() {
			n.platform.record.add(n.name, "PONG")
			n.setInUse(true)
			return nil
		}
		select {
		case <-exited:
			return fmt.Errorf("%s ended at its start", n.name)
		default:
		}
	}
	return fmt.Errorf("%s did not answer PONG", n.name)
}

// writeConfig replaces the configuration file as a whole.
func (n *node) writeConfig() error {
	text, err := json.MarshalIndent(n.config, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.file+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(n.file+".new", n.file)
}

func (n *node) ping() bool {
	conn, err := net.DialTimeout("tcp", n.addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(conn, "PING\r\n")
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && strings.TrimSpace(line) == "PONG"
}

func (n *node) setInUse(inUse bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inUse = inUse
}

func (n *node) isInUse() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inUse
}

// signal sends a signal to the process that the run command started.
func (n *node) signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.platform.record.add(n.name, "gets %v", signal)
	_ = n.process.Process.Signal(signal)
}

// awaitExit waits until the process has ended, and reports false at the timeout.
func (n *node) awaitExit(timeout time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// close kills all processes that were started.
func (p *platform) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.nodes {
		n.mu.Lock()
		if n.process != nil {
			select {
			case <-n.exited:
			default:
				_ = n.process.Process.Kill()
				<-n.exited
			}
		}
		n.mu.Unlock()
	}
}

// pick returns a node that the front uses, beginning with the one at the index.
func (p *platform) pick(index int) *node {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.nodes {
		if n := p.nodes[(index+i)%len(p.nodes)]; n.isInUse() {
			return n
		}
	}
	return nil
}
