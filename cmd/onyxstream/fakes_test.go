package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/fakeserver/capacity"
	"onyxstream/internal/faultinject"
	"onyxstream/internal/wire"
)

// The tests here build the program, start it, and speak to it over sockets, with a few hosts and a
// discovery of their own on loopback.

var program string

func TestMain(m *testing.M) {
	faultinject.RunLauncher()
	dir, err := os.MkdirTemp("", "onyxstream")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "onyxstream")
	build := []string{"build", "-race", "-o", program, "."}
	if flag.Parse(); flag.Lookup("test.bench").Value.String() != "" { // the detector would be what is measured
		build = []string{"build", "-o", program, "."}
	}
	if out, err := exec.Command("go", build...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s", out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// long is how long the tests wait for what must come; none of them measures time.
const long = 20 * time.Second

// host is a stand-in host that answers by script: UP unless told otherwise. After an UP it echoes lines, and obeys
// those that begin with DO.
type host struct {
	*fakeserver.Host
	id     string
	mu     sync.Mutex
	reply  string
	opened []string
}

var clock = fakeserver.NewClock()

func newHost(t testing.TB, id string) *host {
	t.Helper()
	h := &host{id: id, reply: "UP from-" + id + "\r\n"}
	var err error
	h.Host, err = fakeserver.NewHost(fakeserver.HostConfig{ID: id, Zone: "a", Spec: capacity.Spec{Cores: 1, Speed: 1}, ObeysTestCommands: true}, clock, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	h.SetReply(func(line string) string {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.opened = append(h.opened, line)
		return h.reply
	})
	return h
}

func (h *host) says(reply string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reply = reply
}

func (h *host) lines() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.opened...)
}

func (h *host) open() int { return h.State().Connections }

func (h *host) kill() { h.Crash() }

func (h *host) member(phase string) wire.Endpoint {
	var p wire.Phase
	if err := p.UnmarshalText([]byte(phase)); err != nil {
		panic(err)
	}
	return wire.Endpoint{ID: h.id, Addr: h.Addr(), Zone: "a", Phase: p, Size: 1}
}

// registry is a stand-in discovery that says what a test gives it, word for word.
type registry struct {
	*fakeserver.Discovery
	addr string
}

func newRegistry(t testing.TB, first string) *registry {
	t.Helper()
	d, err := fakeserver.NewDiscovery("", clock, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	d.SetRawBody(first)
	return &registry{d, d.Addr()}
}

func (r *registry) tell(text string) { r.SendRaw(text) }

func (r *registry) turn(down bool) {
	mode := fakeserver.ModeNormal
	if down {
		mode = fakeserver.ModeUnavailable
	}
	r.SetMode(mode)
}

func (r *registry) called() []string { return r.Requests() }

func list(revision int64, complete bool, members ...wire.Endpoint) string {
	if members == nil {
		members = []wire.Endpoint{}
	}
	text, _ := json.Marshal(wire.EndpointList{Revision: revision, Complete: complete, Endpoints: members})
	return string(text)
}

// running is the program, started.
type running struct {
	addr   string
	manage string
	config string // the path of its configuration
	cmd    *exec.Cmd
	log    *syncBuffer
	done   chan error
	faults *faultinject.Process // with options.faults
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// options are what the tests vary of the configuration.
type options struct {
	mode    string // "pass" or "proxy"
	sockets int
	addr    string // with inherit
	aim     int    // of a set-up, in ms
	slack   int    // in ms, how long after a deadline an answer is in time
	files   int    // the system's limit on descriptors, 0 for none of the test's own
	known   string
	manage  string // the operators' address
	env     []string
	program string // "" for the one under the race detector
	// memoryMB is the node's memory limit, 0 for 256 MB.
	memoryMB int
	inherit  *os.File // the clients' listening socket, as descriptor 3
	stderr   *os.File // where its log goes, nil for the test's own
	// faults is what the node's system calls can be made to meet, nil for a process as usual.
	faults *faultinject.Options
}

const settingsText = `{"index":0,"groupSize":1,"zone":0,"zones":["a"],"registryMode":"ask",
	"lanes":[{"name":"chat","aim":%d,"deadline":3000,"semantics":"safe","group":"all","worth":1,"window":5000}],
	"customers":[{"name":"acme"}],"domain":{"mode":"%s","groups":false,"messageAim":[60000]},
	"limits":{"cancel":true,"connectTimeout":1000,"maxAttempts":4,"maxRetryAfter":2000,"probes":false,"retryAfter":true},
	"rules":{"answerSlack":%d,"askWithin":2000,"coldShare":0.3,"fallMultiple":4,"overloadFor":1000,
	"stopSendingWithin":400,"warmWithin":1000}}`

func config(t testing.TB, addr, discovery string, o options) string {
	t.Helper()
	if o.sockets == 0 {
		o.sockets = 256
	}
	if o.aim == 0 {
		o.aim = 2000 // a host that is slow on a busy machine is not left for another
	}
	if o.slack == 0 {
		o.slack = 16
	}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",`+
		`"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`,
		addr, discovery, cmp.Or(o.memoryMB, 256), o.sockets, o.known, fmt.Sprintf(settingsText, o.aim, o.mode, o.slack))
	if o.manage != "" {
		text = strings.Replace(text, `{`, fmt.Sprintf(`{"management":%q,`, o.manage), 1)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// freeAddr is an address that nothing listens on, on a loopback address of its own: the port that one test
// has found free must not go to another meanwhile.
func freeAddr(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", os.Getpid()%250, 1+next()%250))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// launch starts the program; files above 0 limits its descriptors below what its configuration says.
func launch(t testing.TB, path string, files int, more ...string) *running {
	t.Helper()
	return launchWith(t, path, options{files: files}, more...)
}

func launchWith(t testing.TB, path string, o options, more ...string) *running {
	t.Helper()
	files := o.files
	cmd := exec.Command(cmp.Or(o.program, program), append([]string{"node"}, more...)...)
	if files > 0 {
		cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s node", files, program))
	}
	p := &running{config: path, cmd: cmd, log: &syncBuffer{}, done: make(chan error, 1)}
	p.cmd.Env = append(append(os.Environ(), "PROXY_CONFIG="+path), o.env...)
	if o.inherit != nil {
		p.cmd.ExtraFiles = []*os.File{o.inherit}
		p.cmd.Env = append(p.cmd.Env, "PROXY_ACCEPT_FD=3")
	}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if o.stderr != nil {
		p.cmd.Stdout, p.cmd.Stderr = o.stderr, o.stderr
	}
	var err error
	if o.faults != nil {
		p.faults, err = faultinject.Start(p.cmd, *o.faults)
	} else {
		err = p.cmd.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	go func() { p.done <- p.cmd.Wait() }()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		if t.Failed() {
			t.Logf("the node's log:\n%s", p.log)
		}
		if strings.Contains(p.log.String(), "DATA RACE") {
			t.Errorf("a data race in the node:\n%s", p.log)
		}
	})
	return p
}

// start runs the program and waits until it answers PING.
func start(t testing.TB, o options, discovery string) *running {
	t.Helper()
	if o.mode == "" {
		o.mode = "pass"
	}
	if o.known == "" {
		o.known = list(0, true)
	}
	addr := freeAddr(t)
	if o.inherit != nil {
		addr = o.addr
	}
	p := launchWith(t, config(t, addr, discovery, o), o)
	p.addr, p.manage = addr, o.manage
	for begin := time.Now(); time.Since(begin) < long; time.Sleep(20 * time.Millisecond) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		defer c.Close()
		_, _ = io.WriteString(c, "PING\r\n")
		if line, _ := bufio.NewReader(c).ReadString('\n'); line == "PONG\r\n" {
			return p
		}
	}
	t.Fatalf("the node does not answer PING; its log:\n%s", p.log)
	return nil
}

func (p *running) signal(t testing.TB) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
}

// descriptors counts what the node's process holds.
func (p *running) descriptors(t testing.TB) int {
	t.Helper()
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Skip("no /proc here")
	}
	return len(names)
}

// client is a connection to the node.
type client struct {
	t testing.TB
	c *net.TCPConn
	r *bufio.Reader
}

func (p *running) dial(t testing.TB) *client {
	t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(long))
	return &client{t, c.(*net.TCPConn), bufio.NewReader(c)}
}

var ids struct {
	sync.Mutex
	n int
}

// next is a fresh number.
func next() int {
	ids.Lock()
	defer ids.Unlock()
	ids.n++
	return ids.n
}

// open sends an OPEN with a fresh id and key, and more behind the usual.
func (p *running) open(t testing.TB, more string) *client {
	t.Helper()
	n, k := next(), p.dial(t)
	k.say(fmt.Sprintf("OPEN id%d key%d c=chat,t=acme,d=2500%s\r\n", n, n, more))
	return k
}

func (k *client) say(text string) {
	k.t.Helper()
	if _, err := io.WriteString(k.c, text); err != nil {
		k.t.Fatal(err)
	}
}

// hears reads a line and wants it to begin with text.
func (k *client) hears(text string) string {
	k.t.Helper()
	line, err := k.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, text) {
		k.t.Fatalf("heard %q, error %v; want %q", line, err, text)
	}
	return line
}

// ends wants the end of the connection: by FIN, or by a reset.
func (k *client) ends(byReset bool) {
	k.t.Helper()
	rest, err := io.ReadAll(k.r)
	if len(rest) > 0 || byReset != (err != nil) {
		k.t.Errorf("ended with %q, error %v; want a reset: %v", rest, err, byReset)
	}
}

// eventually waits for what must become true.
func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for begin := time.Now(); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begin) > long {
			t.Fatalf("never: %s", what)
		}
	}
}
