package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Whoever was taken on gets one whole answer in time, whatever the client, the node's machine or a crowd do meanwhile.

// A client that ends its side after its line may still read.
func TestAClientThatEndsItsSideIsAnswered(t *testing.T) {
	t.Parallel()
	h := newHost(t, "h1")
	h.says("")
	reg := newRegistry(t, list(1, true, h.member("SERVING")))
	p := start(t, options{known: list(1, true, h.member("SERVING"))}, reg.addr)
	k := p.open(t, "")
	eventually(t, "the host has it", func() bool { return len(h.lines()) == 1 })
	if err := k.c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	k.hears("ERR")
	k.ends(false)
	eventually(t, "the host is left", func() bool { return h.open() == 0 })
}

// A client counts its time from its line's last byte, not from when a node that stood still comes to read it. What the
// node tells the host that it will wait shows which of the two it took, however long the machine takes for the rest. The
// module answers at the end of that time; the slack keeps the backstop, which promises less, from crossing with it.
func TestALineThatLayUnreadIsAnsweredInItsTime(t *testing.T) {
	t.Parallel()
	h := newHost(t, "h1")
	h.says("")
	reg := newRegistry(t, list(1, true, h.member("SERVING")))
	p := start(t, options{known: list(1, true, h.member("SERVING")), aim: 9000, slack: 5000}, reg.addr)
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	eventually(t, "all of its threads stand still", func() bool { return p.standsStill(t) })
	k := p.dial(t)
	const patience, lay = 4500, 1800 // ms
	k.say(fmt.Sprintf("OPEN a key c=chat,t=acme,d=%d\r\n", patience))
	time.Sleep(lay * time.Millisecond)
	if err := p.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	k.hears("BUSY")
	lines := h.lines()
	if len(lines) != 1 {
		t.Fatalf("the host has %q; want one line", lines)
	}
	_, rest, _ := strings.Cut(lines[0], ",d=")
	told, _, _ := strings.Cut(rest, ",")
	left, err := strconv.Atoi(told)
	if err != nil {
		t.Fatalf("the host has %q: %v", lines[0], err)
	}
	if most := patience - lay + 20; left > most { // the system counts in ticks
		t.Errorf("the host is told of %d ms; of %d ms %d were over, so at most %d", left, patience, lay, most)
	}
}

// standsStill reports whether a signal has stopped every thread of the node: each does so on its own.
func (p *running) standsStill(t testing.TB) bool {
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

// Where room is made for those who come, clients that have had their last word go first; one in the middle of its first
// line that has to go is told so.
func TestACrowdDoesNotCutAFirstLineShort(t *testing.T) {
	t.Parallel()
	h := newHost(t, "h1")
	reg := newRegistry(t, list(1, true, h.member("SERVING")))
	p := start(t, options{known: list(1, true, h.member("SERVING")), sockets: 128}, reg.addr)
	half := p.dial(t)
	half.say("OPEN half key c=chat,")
	time.Sleep(100 * time.Millisecond) // it has been read
	for range 60 {                     // past what can be heard at one time; their last word leaves them in place
		k := p.dial(t)
		k.say("nonsense\r\n")
		k.hears("ERR")
	}
	half.say("t=acme,d=2500\r\n")
	half.hears("UP ")
	second := p.dial(t)
	second.say("OPEN second key c=chat,")
	time.Sleep(100 * time.Millisecond)
	var silent []net.Conn
	eventually(t, "room is made", func() bool {
		for range 20 {
			if c, err := net.Dial("tcp", p.addr); err == nil {
				_, _ = io.WriteString(c, "O")
				silent = append(silent, c)
			}
		}
		return strings.Contains(p.log.String(), "client evicted")
	})
	second.hears("BUSY")
	for _, c := range silent {
		_ = c.Close()
	}
}
