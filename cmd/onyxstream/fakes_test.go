package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The tests here build the program, start it, and speak to it over sockets, with a few hosts and a
// discovery of their own on loopback.

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "onyxstream")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "onyxstream")
	if out, err := exec.Command("go", "build", "-race", "-o", program, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s", out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// long is how long the tests wait for what must come; none of them measures time.
const long = 20 * time.Second

// host is a fake host. Each connection's first line goes to opened; answer says what to reply, "" for
// nothing. After an UP it echoes lines, and obeys those that begin with DO.
type host struct {
	id, addr string
	l        net.Listener
	mu       sync.Mutex
	answer   func(line string) string
	opened   []string
	conns    map[*net.TCPConn]bool
}

func newHost(t *testing.T, id string) *host {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &host{id: id, addr: l.Addr().String(), l: l, conns: map[*net.TCPConn]bool{}}
	h.answer = func(string) string { return "UP from-" + id + "\r\n" }
	t.Cleanup(func() { h.kill() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(c.(*net.TCPConn))
		}
	}()
	return h
}

func (h *host) serve(c *net.TCPConn) {
	h.mu.Lock()
	h.conns[c] = true
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	h.mu.Lock()
	h.opened = append(h.opened, strings.TrimSpace(line))
	reply := h.answer(line)
	h.mu.Unlock()
	_, _ = io.WriteString(c, reply)
	if reply != "" && !strings.HasPrefix(reply, "UP ") {
		return
	}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		switch strings.TrimSpace(line) {
		case "DO bye":
			_, _ = io.WriteString(c, "BYE\r\n")
			return
		case "DO move":
			_, _ = io.WriteString(c, "MOVE\r\n")
			return
		case "DO reset":
			_ = c.SetLinger(0)
			return
		case "DO flood":
			w := bufio.NewWriter(c)
			for i := range floodLines {
				_, _ = w.WriteString(floodLine(i))
			}
			_ = w.Flush()
		case "DO nothing":
		case "DO half":
			_, _ = io.WriteString(c, "half a line")
		default:
			_, _ = io.WriteString(c, line)
		}
	}
}

// floodLines is more than the sockets between a host and its client hold.
const floodLines = 20000

func floodLine(i int) string { return fmt.Sprintf("F %d %s\r\n", i, strings.Repeat("x", i%1500)) }

func (h *host) says(reply string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answer = func(string) string { return reply }
}

func (h *host) lines() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.opened...)
}

func (h *host) open() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns)
}

func (h *host) kill() {
	_ = h.l.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (h *host) member(phase string) map[string]any {
	return map[string]any{"id": h.id, "host_port": h.addr, "locality": "a", "flavor": "m", "cell": 0, "phase": phase,
		"size": 1.0, "up_since_ms": 0}
}

// registry is a fake discovery.
type registry struct {
	addr    string
	mu      sync.Mutex
	calls   []string
	down    bool
	mute    bool // says nothing more, not even its beat
	watches map[chan string]bool
	first   string // what a watch begins with
	srv     *http.Server
}

func newRegistry(t *testing.T, first string) *registry {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &registry{addr: l.Addr().String(), watches: map[chan string]bool{}, first: first}
	r.srv = &http.Server{Handler: r}
	go func() { _ = r.srv.Serve(l) }()
	t.Cleanup(func() { _ = r.srv.Close() })
	return r
}

func (r *registry) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	r.calls = append(r.calls, q.URL.RequestURI())
	down, first := r.down, r.first
	news := make(chan string, 16)
	r.watches[news] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.watches, news)
		r.mu.Unlock()
	}()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if q.URL.Query().Get("watch") == "" {
		_, _ = io.WriteString(w, first)
		return
	}
	text := first + "\n"
	for {
		r.mu.Lock()
		mute := r.mute
		r.mu.Unlock()
		if mute {
			<-q.Context().Done()
			return
		}
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-q.Context().Done():
			return
		case text = <-news:
			if text == "" {
				panic(http.ErrAbortHandler) // the connection breaks
			}
			text += "\n"
		case <-time.After(500 * time.Millisecond):
			text = "\n"
		}
	}
}

func (r *registry) tell(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for w := range r.watches {
		w <- text
	}
}

func (r *registry) turn(down bool) {
	r.mu.Lock()
	r.down = down
	r.mu.Unlock()
	if down {
		r.tell("")
	}
}

func (r *registry) called() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.calls...)
}

func list(revision int, complete bool, members ...map[string]any) string {
	if members == nil {
		members = []map[string]any{}
	}
	text, _ := json.Marshal(map[string]any{"revision": revision, "complete": complete, "members": members})
	return string(text)
}

// running is the program, started.
type running struct {
	addr   string
	config string // the path of its configuration
	cmd    *exec.Cmd
	log    *syncBuffer
	done   chan error
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
	aim     int // of a set-up, in ms
	files   int // the system's limit on descriptors, 0 for none of the test's own
	known   string
}

const settingsText = `{"index":0,"groupSize":1,"zone":0,"zones":["a"],"registryMode":"ask",
	"lanes":[{"name":"chat","aim":%d,"deadline":3000,"semantics":"safe","group":"all","worth":1,"window":5000}],
	"customers":[{"name":"acme"}],"domain":{"mode":"%s","groups":false,"messageAim":[60000]},
	"limits":{"cancel":true,"connectTimeout":1000,"maxAttempts":4,"maxRetryAfter":2000,"probes":false,"retryAfter":true},
	"rules":{"answerSlack":16,"askWithin":2000,"coldShare":0.3,"fallMultiple":4,"overloadFor":1000,
	"stopSendingWithin":400,"warmWithin":1000}}`

func config(t *testing.T, addr, discovery string, o options) string {
	t.Helper()
	if o.sockets == 0 {
		o.sockets = 256
	}
	if o.aim == 0 {
		o.aim = 2000 // a host that is slow on a busy machine is not left for another
	}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",`+
		`"limits":{"cores":1.0,"memory_mb":256,"sockets":%d},"known":%s,"settings":%s}`,
		addr, discovery, o.sockets, o.known, fmt.Sprintf(settingsText, o.aim, o.mode))
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// freeAddr is an address that nothing listens on, on a loopback address of its own: the port that one test
// has found free must not go to another meanwhile.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", os.Getpid()%250, 1+next()%250))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// launch starts the program; files above 0 limits its descriptors below what its configuration says.
func launch(t *testing.T, path string, files int) *running {
	t.Helper()
	cmd := exec.Command(program, "node")
	if files > 0 {
		cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s node", files, program))
	}
	p := &running{config: path, cmd: cmd, log: &syncBuffer{}, done: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
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
func start(t *testing.T, o options, discovery string) *running {
	t.Helper()
	if o.mode == "" {
		o.mode = "pass"
	}
	if o.known == "" {
		o.known = list(0, true)
	}
	addr := freeAddr(t)
	p := launch(t, config(t, addr, discovery, o), o.files)
	p.addr = addr
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

func (p *running) signal(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
}

// descriptors counts what the node's process holds.
func (p *running) descriptors(t *testing.T) int {
	t.Helper()
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Skip("no /proc here")
	}
	return len(names)
}

// client is a connection to the node.
type client struct {
	t *testing.T
	c *net.TCPConn
	r *bufio.Reader
}

func (p *running) dial(t *testing.T) *client {
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
func (p *running) open(t *testing.T, more string) *client {
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
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for begin := time.Now(); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begin) > long {
			t.Fatalf("never: %s", what)
		}
	}
}
