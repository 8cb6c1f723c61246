package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// nodeLimits are limits that a deployment may give a node.
type nodeLimits struct {
	memoryMB    int
	descriptors int
}

func (l nodeLimits) String() string {
	return fmt.Sprintf("%d MB, %d descriptors", l.memoryMB, l.descriptors)
}

// openingWithManyFields returns an opening line of almost 4 KiB, with as many fields of distinct names as fit.
func openingWithManyFields(id int) string {
	const maxLength = 4 << 10
	var line strings.Builder
	fmt.Fprintf(&line, "OPEN many%d k%d c=chat,t=acme,d=2500", id, id)
	for i := 0; line.Len() < maxLength-8; i++ {
		line.WriteString(",Z")
		line.WriteString(strconv.FormatInt(int64(i), 36))
	}
	return line.String()
}

// hostileClient uses one connection after another until stop is closed. behave returns when the client is done with the
// connection.
func hostileClient(addr string, stop <-chan struct{}, behave func(conn net.Conn, stop <-chan struct{})) {
	for {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err == nil {
			_ = conn.SetDeadline(time.Now().Add(waitLimit))
			closed := make(chan struct{})
			go func() {
				select {
				case <-stop:
					_ = conn.SetDeadline(time.Now())
				case <-closed:
				}
			}()
			behave(conn, stop)
			close(closed)
			_ = conn.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// The behaviors of hostile clients.
var hostileBehaviors = []struct {
	name   string
	behave func(conn net.Conn, stop <-chan struct{})
}{
	{"slow writers", func(conn net.Conn, _ <-chan struct{}) {
		for _, b := range []byte(openingWithManyFields(nextID())) {
			if _, err := conn.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}},
	{"half a line", func(conn net.Conn, _ <-chan struct{}) {
		line := openingWithManyFields(nextID())
		_, _ = io.WriteString(conn, line[:len(line)-16])
		_, _ = io.Copy(io.Discard, conn)
	}},
	{"many fields, repeated", func(conn net.Conn, _ <-chan struct{}) {
		_, _ = io.WriteString(conn, openingWithManyFields(nextID())+"\r\n")
		_, _ = bufio.NewReader(conn).ReadString('\n')
	}},
	{"many fields, staying", func(conn net.Conn, stop <-chan struct{}) {
		_, _ = io.WriteString(conn, openingWithManyFields(nextID())+"\r\n")
		answer, _ := bufio.NewReader(conn).ReadString('\n')
		if strings.HasPrefix(answer, "UP") {
			<-stop
		}
	}},
	{"endless line", func(conn net.Conn, _ <-chan struct{}) {
		for text := strings.Repeat("x", 64<<10); ; {
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}},
}

// residentKB returns the anonymous and the file-backed resident memory of a process in KB, or 0 if it has ended.
func residentKB(pid int) (anonymous, file int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	read := func(field string) int {
		_, after, found := strings.Cut(string(text), field)
		if !found {
			return 0
		}
		kb, _ := strconv.Atoi(strings.Fields(after)[0])
		return kb
	}
	return read("RssAnon:"), read("RssFile:")
}

// memorySampler records the peak of the resident memory of all processes of a node together.
type memorySampler struct {
	mu     sync.Mutex
	pids   []int
	peakKB int
}

func (s *memorySampler) add(node *nodeProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pids = append(s.pids, node.cmd.Process.Pid)
}

func (s *memorySampler) sample() {
	s.mu.Lock()
	defer s.mu.Unlock()
	total, shared := 0, 0
	for _, pid := range s.pids {
		anonymous, file := residentKB(pid)
		total += anonymous
		shared = max(shared, file) // the processes share the pages of the program's file
	}
	s.peakKB = max(s.peakKB, total+shared)
}

// run samples until stop is closed.
func (s *memorySampler) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
			s.sample()
		}
	}
}

// regularTimeout is how long a regular client waits for its answer. The time from its dial to its opening line counts,
// too.
const regularTimeout = 2500 * time.Millisecond

// regularClients send one request after another and record the answers and how long the slowest took. lost describes the
// requests without an answer, except those that the node has not read.
type regularClients struct {
	mu      sync.Mutex
	answers map[string]int
	slowest time.Duration
	lost    []string
}

func (r *regularClients) run(addr string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
			r.request(addr)
		}
	}
}

func (r *regularClients) request(addr string) {
	start := time.Now()
	id := nextID()
	answer := ""
	conn, err := net.DialTimeout("tcp", addr, waitLimit)
	if err == nil {
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(waitLimit))
		_, err = fmt.Fprintf(conn, "OPEN reg%d k%d c=chat,t=acme,d=%d\r\n", id, id, regularTimeout.Milliseconds())
		if err == nil {
			answer, err = bufio.NewReader(conn).ReadString('\n')
		}
	}
	took := time.Since(start)
	word, _, _ := strings.Cut(strings.TrimSpace(answer), " ")
	unread := err != nil && conn != nil && wasReset(conn.(*net.TCPConn))
	if unread { // the node needed the descriptor and closed the connection without reading it
		word = "unread"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[word]++
	r.slowest = max(r.slowest, took)
	if err != nil && !unread {
		r.lost = append(r.lost, fmt.Sprintf("reg%d: received %q after %v, error %v", id, answer, took, err))
	}
}

// wasReset reports whether the other side has answered bytes of this one with a reset, because nobody had read them. The
// reset alone does not always show as an error: behind a FIN it reads as an orderly end.
func wasReset(conn *net.TCPConn) (reset bool) {
	const closed = 7 // TCP_CLOSE
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == closed
	})
	return reset
}

// hostileClients is the number of hostile clients that are connected at once.
const hostileClients = 600

// startHostileClients starts hostile and regular clients. stopAll stops them and waits for their end.
func startHostileClients(
	addr string, behave func(conn net.Conn, stop <-chan struct{}),
) (regular *regularClients, stopAll func()) {
	stop := make(chan struct{})
	var running sync.WaitGroup
	regular = &regularClients{answers: map[string]int{}}
	for range 4 {
		running.Go(func() { regular.run(addr, stop) })
	}
	for range hostileClients {
		running.Go(func() { hostileClient(addr, stop, behave) })
	}
	return regular, func() {
		close(stop)
		running.Wait()
	}
}

// checkMemory fails the test if the processes have taken more than the limit.
func (s *memorySampler) checkMemory(t *testing.T, limitMB int) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Logf("peak memory %d KB of %d MB", s.peakKB, limitMB)
	if s.peakKB > limitMB<<10 {
		t.Errorf("peak memory of all processes: %d KB, want at most %d MB", s.peakKB, limitMB)
	}
}

// Hundreds of clients that are connected at once and write slowly, stop in the middle of a line, or send lines with very
// many short fields took more memory than a small node has, most during a hot restart. Each regular request must get its
// answer meanwhile.
func TestHostileClients_HotRestart_MemoryLimitKept(t *testing.T) {
	program, err := buildWithoutRaceDetector()
	if err != nil {
		t.Fatal(err)
	}
	for _, limits := range []nodeLimits{{32, 256}, {32, 1024}, {192, 1024}} {
		for _, behavior := range hostileBehaviors {
			t.Run(fmt.Sprintf("%v/%s", limits, behavior.name), func(t *testing.T) {
				hosts := []*fakeHost{newFakeHost(t, "h1"), newFakeHost(t, "h2")}
				options, discovery := inheritedSocketOptions(t, hosts...)
				options.memoryMB, options.socketLimit, options.programPath = limits.memoryMB, limits.descriptors, program
				node := startNode(t, options, discovery.addr)
				var sampler memorySampler
				sampler.add(node)
				stopSampler := make(chan struct{})
				var sampling sync.WaitGroup
				sampling.Go(func() { sampler.run(stopSampler) })
				regular, stopAll := startHostileClients(node.addr, behavior.behave)
				time.Sleep(time.Second)
				if n := node.openDescriptors(t); n > limits.descriptors {
					t.Errorf("%d descriptors open, limit %d", n, limits.descriptors)
				}
				successor := startSuccessor(t, options, discovery.addr)
				sampler.add(successor)
				time.Sleep(500 * time.Millisecond)
				node.terminate(t)
				node.waitForCleanExit(t)
				time.Sleep(500 * time.Millisecond)
				stopAll()
				close(stopSampler)
				sampling.Wait()
				sampler.checkMemory(t, limits.memoryMB)
				t.Logf("regular requests: %v, slowest %v", regular.answers, regular.slowest)
				for _, lost := range regular.lost {
					t.Errorf("no answer: %s", lost)
				}
			})
		}
	}
}
