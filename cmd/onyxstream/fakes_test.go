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

var programPath string

func TestMain(m *testing.M) {
	faultinject.RunLauncher()
	dir, err := os.MkdirTemp("", "onyxstream")
	if err != nil {
		panic(err)
	}
	programPath = filepath.Join(dir, "onyxstream")
	build := []string{"build", "-race", "-o", programPath, "."}
	if flag.Parse(); flag.Lookup("test.bench").Value.String() != "" { // the detector would be what is measured
		build = []string{"build", "-o", programPath, "."}
	}
	if out, err := exec.Command("go", build...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s", out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// waitLimit is how long the tests wait for what must come; none of them measures time.
const waitLimit = 20 * time.Second

// fakeHost is a stand-in host that answers by script: UP unless told otherwise. After an UP it echoes lines, and obeys
// those that begin with DO.
type fakeHost struct {
	*fakeserver.Host
	id       string
	mu       sync.Mutex
	reply    string
	received []string
}

var fakeClock = fakeserver.NewClock()

func newFakeHost(t testing.TB, id string) *fakeHost {
	t.Helper()
	host := &fakeHost{id: id, reply: "UP from-" + id + "\r\n"}
	var err error
	host.Host, err = fakeserver.NewHost(fakeserver.HostConfig{ID: id, Zone: "a", Spec: capacity.Spec{Cores: 1, Speed: 1}, Obeys: true}, fakeClock, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Close)
	host.Says(func(line string) string {
		host.mu.Lock()
		defer host.mu.Unlock()
		host.received = append(host.received, line)
		return host.reply
	})
	return host
}

func (h *fakeHost) setReply(reply string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reply = reply
}

func (h *fakeHost) openings() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.received...)
}

func (h *fakeHost) openConnections() int { return h.State().Conns }

func (h *fakeHost) kill() { h.Die() }

func (h *fakeHost) endpoint(phase string) wire.Endpoint {
	var p wire.Phase
	if err := p.UnmarshalText([]byte(phase)); err != nil {
		panic(err)
	}
	return wire.Endpoint{ID: h.id, Addr: h.Addr(), Zone: "a", Phase: p, Size: 1}
}

// fakeDiscovery is a stand-in discovery that says what a test gives it, word for word.
type fakeDiscovery struct {
	*fakeserver.Discovery
	addr string
}

func newFakeDiscovery(t testing.TB, first string) *fakeDiscovery {
	t.Helper()
	d, err := fakeserver.NewDiscovery("", fakeClock, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	d.Raw(first)
	return &fakeDiscovery{d, d.Addr()}
}

func (r *fakeDiscovery) sendEvent(text string) { r.Tell(text) }

func (r *fakeDiscovery) setUnavailable(down bool) {
	mode := fakeserver.Well
	if down {
		mode = fakeserver.Busy
	}
	r.Answer(mode)
}

func (r *fakeDiscovery) requestPaths() []string { return r.Calls() }

func endpointListJSON(revision int64, complete bool, endpoints ...wire.Endpoint) string {
	if endpoints == nil {
		endpoints = []wire.Endpoint{}
	}
	text, _ := json.Marshal(wire.EndpointList{Revision: revision, Complete: complete, Endpoints: endpoints})
	return string(text)
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

type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.String()
}

// nodeOptions are what the tests vary of the configuration.
type nodeOptions struct {
	mode               string // "pass" or "proxy"
	socketLimit        int
	addr               string // with inherit
	latencyObjectiveMS int    // of a set-up, in ms
	answerSlackMS      int    // in ms, how long after a deadline an answer is in time
	descriptorLimit    int    // the system's limit on descriptors, 0 for none of the test's own
	initialList        string
	managementAddr     string // the operators' address
	env                []string
	programPath        string // "" for the one under the race detector
	// memoryMB is the node's memory limit, 0 for 256 MB.
	memoryMB int
	listener *os.File // the clients' listening socket, as descriptor 3
	stderr   *os.File // where its log goes, nil for the test's own
	// faults is what the node's system calls can be made to meet, nil for a process as usual.
	faults *faultinject.Options
}

const settingsTemplate = `{"index":0,"groupSize":1,"zone":0,"zones":["a"],"registryMode":"ask",
	"lanes":[{"name":"chat","aim":%d,"deadline":3000,"semantics":"safe","group":"all","worth":1,"window":5000}],
	"customers":[{"name":"acme"}],"domain":{"mode":"%s","groups":false,"messageAim":[60000]},
	"limits":{"cancel":true,"connectTimeout":1000,"maxAttempts":4,"maxRetryAfter":2000,"probes":false,"retryAfter":true},
	"rules":{"answerSlack":%d,"askWithin":2000,"coldShare":0.3,"fallMultiple":4,"overloadFor":1000,
	"stopSendingWithin":400,"warmWithin":1000}}`

func writeConfig(t testing.TB, addr, discoveryAddr string, options nodeOptions) string {
	t.Helper()
	if options.socketLimit == 0 {
		options.socketLimit = 256
	}
	if options.latencyObjectiveMS == 0 {
		options.latencyObjectiveMS = 2000 // a host that is slow on a busy machine is not left for another
	}
	if options.answerSlackMS == 0 {
		options.answerSlackMS = 16
	}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",`+
		`"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`,
		addr, discoveryAddr, cmp.Or(options.memoryMB, 256), options.socketLimit, options.initialList, fmt.Sprintf(settingsTemplate, options.latencyObjectiveMS, options.mode, options.answerSlackMS))
	if options.managementAddr != "" {
		text = strings.Replace(text, `{`, fmt.Sprintf(`{"management":%q,`, options.managementAddr), 1)
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
	l, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", os.Getpid()%250, 1+nextID()%250))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
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

// testClient is a connection to the node.
type testClient struct {
	t      testing.TB
	conn   *net.TCPConn
	reader *bufio.Reader
}

func (p *nodeProcess) dial(t testing.TB) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	return &testClient{t, c.(*net.TCPConn), bufio.NewReader(c)}
}

var idCounter struct {
	sync.Mutex
	n int
}

// nextID is a fresh number.
func nextID() int {
	idCounter.Lock()
	defer idCounter.Unlock()
	idCounter.n++
	return idCounter.n
}

// openRequest sends an OPEN with a fresh id and key, and more behind the usual.
func (p *nodeProcess) openRequest(t testing.TB, more string) *testClient {
	t.Helper()
	n, client := nextID(), p.dial(t)
	client.send(fmt.Sprintf("OPEN id%d key%d c=chat,t=acme,d=2500%s\r\n", n, n, more))
	return client
}

func (c *testClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// expectLine reads a line and wants it to begin with text.
func (c *testClient) expectLine(text string) string {
	c.t.Helper()
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, text) {
		c.t.Fatalf("heard %q, error %v; want %q", line, err, text)
	}
	return line
}

// expectClose wants the end of the connection: by FIN, or by a reset.
func (c *testClient) expectClose(byReset bool) {
	c.t.Helper()
	rest, err := io.ReadAll(c.reader)
	if len(rest) > 0 || byReset != (err != nil) {
		c.t.Errorf("ended with %q, error %v; want a reset: %v", rest, err, byReset)
	}
}

// eventually waits for what must become true.
func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for begin := time.Now(); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begin) > waitLimit {
			t.Fatalf("never: %s", what)
		}
	}
}
