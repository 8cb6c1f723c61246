package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// nodeConfig is what a node is told.
type nodeConfig struct {
	mode      string // of the connections: "pass" or "proxy"
	listen    string
	discovery string
	known     memberList

	aim         int // of the class, in milliseconds; 500 if it is 0
	deadline    int // of the class, in milliseconds; 3000 if it is 0
	connections int // the tenant's quota over all nodes; 0 for none
}

func (c nodeConfig) text() string {
	known, _ := json.Marshal(c.known)
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"5be2a07c9b1f03aa",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,
"settings":{"index":0,"groupSize":3,"zone":0,"zones":["a"],"registryMode":"ask","kinds":["m"],"tick":4,
"lanes":[{"name":"chat","aim":%d,"deadline":%d,"semantics":"safe","group":"all","worth":3,"window":5000,"streaming":true}],
"customers":[{"name":"acme","share":1}],
"domain":{"mode":%q,"groups":false,"messageAim":[250]%s},
"limits":{"cancel":true,"connectTimeout":250,"maxAttempts":5,"maxRetryAfter":2000,"probes":false,"retryAfter":true,"secondCopies":false},
"rules":{"answerSlack":16,"askWithin":10000,"coldShare":0.3,"fallMultiple":4,"overloadFor":1000,"stopSendingWithin":400,"warmWithin":8600}}}`,
		c.listen, c.discovery, known, cmp.Or(c.aim, 500), cmp.Or(c.deadline, 3000), c.mode, c.quota())
}

// quota returns the tenant's quota of connections as a field of the settings, or nothing if there is none.
func (c nodeConfig) quota() string {
	if c.connections == 0 {
		return ""
	}
	return fmt.Sprintf(`,"tenantQuotaConnections":[%d]`, c.connections)
}

// write replaces the file of the configuration.
func (c nodeConfig) write(path string) error {
	next := path + ".next"
	if err := os.WriteFile(next, []byte(c.text()), 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// nodeProcess is a process of the node.
type nodeProcess struct {
	name       string
	cmd        *exec.Cmd
	management string
	exited     chan struct{}
}

// environment is what the platform gives to all processes of the node.
type environment struct {
	folder   string // of the case; holds the configuration and the logs
	config   string
	shared   string   // $TMPDIR
	listener *os.File // the clients' listening socket, nil if the node opens its own
}

func newEnvironment() (environment, error) {
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return environment{}, err
	}
	env := environment{folder: folder, config: filepath.Join(folder, "config.json"), shared: filepath.Join(folder, "shared")}
	return env, os.Mkdir(env.shared, 0o700)
}

// start starts a process by the command that the deploy file gives.
func (e environment) start(name, management string, rec *record) (*nodeProcess, error) {
	run, err := deployCommand("run")
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(e.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+e.config, "PROXY_MANAGEMENT="+management, "TMPDIR="+e.shared)
	if e.listener != nil {
		cmd.ExtraFiles = []*os.File{e.listener}
		cmd.Env = append(cmd.Env, "PROXY_ACCEPT_FD=3")
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	rec.add("process %s started", name)
	p := &nodeProcess{name: name, cmd: cmd, management: management, exited: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		rec.add("process %s ended: %v", name, err)
		close(p.exited)
	}()
	return p, nil
}

// deployCommand returns a command of the deploy file.
func deployCommand(name string) (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, name+` = "`); ok {
			command, _, _ := strings.Cut(value, `"`)
			return command, nil
		}
	}
	return "", fmt.Errorf("the deploy file has no %s", name)
}

func (p *nodeProcess) signal(s syscall.Signal, rec *record) {
	rec.add("process %s gets signal %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process.
func (p *nodeProcess) kill() {
	if p != nil {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// call makes one operators' call and returns the answer's first line.
func (p *nodeProcess) call(line string, rec *record) string {
	answer := ask(p.management, line)
	rec.add("process %s: call %q is answered %q", p.name, line, answer)
	return answer
}

// ask sends one line and returns the first line that comes back.
func ask(addr, line string) string {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "%s\r\n", line)
	answer, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(answer)
}

// await repeats a check every 50 ms until it holds, for up to 30 s.
func await(what string, check func() bool) error {
	for start := time.Now(); time.Since(start) < 30*time.Second; time.Sleep(50 * time.Millisecond) {
		if check() {
			return nil
		}
	}
	return fmt.Errorf("not within 30 s: %s", what)
}

// freeAddr returns a loopback address whose port was free a moment ago.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
