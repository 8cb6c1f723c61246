package main

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// call makes an operator's call and returns the whole answer.
func (p *running) call(t testing.TB, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", p.manage)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(long))
	_, _ = io.WriteString(c, text+"\r\n")
	all, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("%s: %q, %v", text, all, err)
	}
	return string(all)
}

// yes makes a call that must be carried out.
func (p *running) yes(t testing.TB, text string) {
	t.Helper()
	if got := p.call(t, text); !strings.HasPrefix(got, "YES") {
		t.Fatalf("%s: %q", text, got)
	}
}

// no makes a call that must not be.
func (p *running) no(t testing.TB, text string) {
	t.Helper()
	if got := p.call(t, text); !strings.HasPrefix(got, "NO ") {
		t.Fatalf("%s: %q", text, got)
	}
}

// figures asks for the figures.
func (p *running) figures(t testing.TB) map[string]int {
	t.Helper()
	out := map[string]int{}
	lines := strings.Split(strings.TrimSuffix(p.call(t, "show-stat"), "\r\n"), "\r\n")
	if lines[0] != "YES" || lines[len(lines)-1] != "END" {
		t.Fatalf("the figures are %q", lines)
	}
	for _, line := range lines[1 : len(lines)-1] {
		name, value, _ := strings.Cut(line, "=")
		n, err := strconv.Atoi(value)
		if err != nil {
			t.Fatalf("a figure is %q", line)
		}
		out[strings.TrimPrefix(name, "svc.")] = n
	}
	return out
}

// uses waits until a host has had more lines than before.
func (p *running) uses(t testing.TB, h *host, before int) {
	t.Helper()
	eventually(t, "it is used again", func() bool {
		k := p.open(t, "")
		k.hears("UP")
		_ = k.c.Close()
		return len(h.lines()) > before
	})
}

// A host that is taken out gets nothing new from the yes on, whatever the list says, and is used again when called back.
func TestAHostTakenOutAndBack(t *testing.T) {
	t.Parallel()
	a, b := newHost(t, "ha"), newHost(t, "hb")
	reg := newRegistry(t, list(1, true, a.member("SERVING"), b.member("SERVING")))
	p := start(t, options{known: list(1, true, a.member("SERVING"), b.member("SERVING")), manage: freeAddr(t)}, reg.addr)
	p.yes(t, "ready")
	p.no(t, "disable-server nobody")
	p.no(t, "enable-server nobody")
	p.yes(t, "disable-server ha")
	p.yes(t, "disable-server ha")
	after := len(a.lines())
	again := a.member("SERVING")
	again.StartedAtMS = time.Now().UnixMilli() // it was restarted
	for _, news := range []string{list(2, false, again), list(3, true, again, b.member("SERVING")),
		list(4, false, a.member("DELETED")), list(5, false, again)} {
		reg.tell(news)
		for range 8 {
			k := p.open(t, "")
			k.hears("UP from-hb")
		}
	}
	if got := len(a.lines()) - after; got > 0 {
		t.Errorf("the host that is out was sent %d lines", got)
	}
	eventually(t, "the figures show it", func() bool {
		f := p.figures(t)
		return f["targets"] == 2 && f["targets_disabled"] == 1
	})
	p.yes(t, "enable-server ha")
	if f := p.figures(t); f["targets_disabled"] != 0 {
		t.Errorf("called back: %v", f)
	}
	p.uses(t, a, after)
}

// A node that drains says so to the front, on a connection that the front keeps too, serves who still comes, and keeps
// what stands where packets pass through. It stays, and is back at the word.
func TestANodeDrainsAndComesBack(t *testing.T) {
	t.Parallel()
	a := newHost(t, "ha")
	known := list(1, true, a.member("SERVING"))
	p := start(t, options{known: known, manage: freeAddr(t)}, newRegistry(t, known).addr)
	front := p.dial(t)
	for range 8 {
		front.say("PING\r\n")
		front.hears("PONG")
		time.Sleep(30 * time.Millisecond) // more often than that is a flood
	}
	stands := p.open(t, "")
	stands.hears("UP")
	p.yes(t, "resume") // of no drain
	p.yes(t, "drain")
	front.say("PING\r\n")
	front.hears("BUSY")
	p.open(t, "").hears("UP") // the front has not noticed yet
	p.yes(t, "drain")
	time.Sleep(frontNotices)
	p.open(t, "").hears("BUSY")
	p.yes(t, "ready")
	stands.say("M 1\r\n")
	stands.hears("M 1")
	p.yes(t, "resume")
	front.say("PING\r\n")
	front.hears("PONG")
	p.open(t, "").hears("UP")
	p.yes(t, "drain")
	p.signal(t) // a stop in a drain is a stop
	p.logs(t, "shutting down gracefully")
}

// frontNotices is longer than a node that drains serves those who still come.
const frontNotices = 1200 * time.Millisecond

// Where connections end at the node, a drain moves all that stands and cuts off none; back to work, the node moves no
// one more.
func TestADrainMovesWhatStands(t *testing.T) {
	t.Parallel()
	a := newHost(t, "ha")
	known := list(1, true, a.member("SERVING"))
	p := start(t, options{mode: "proxy", known: known, manage: freeAddr(t)}, newRegistry(t, known).addr)
	var on []*client
	for range 12 {
		on = append(on, p.open(t, ""))
		on[len(on)-1].hears("UP")
	}
	p.yes(t, "drain")
	eventually(t, "some are moved", func() bool { return p.figures(t)["concurrent"] < len(on) })
	p.yes(t, "resume")
	stay := p.figures(t)["concurrent"]
	time.Sleep(time.Second)
	if now := p.figures(t)["concurrent"]; now < stay-1 || now == 0 { // one was on its way
		t.Errorf("%d stood when the node was called back, %d a second later", stay, now)
	}
	p.yes(t, "drain")
	for _, k := range on {
		k.hears("MOVE")
		k.ends(false)
	}
}

// The figures are what clients and hosts have seen, over every way in which a client's set-up can end.
func TestFiguresAreWhatPeersSaw(t *testing.T) {
	t.Parallel()
	a, b := newHost(t, "ha"), newHost(t, "hb")
	known := list(1, true, a.member("SERVING"), b.member("SERVING"))
	p := start(t, options{known: known, manage: freeAddr(t), sockets: 128}, newRegistry(t, known).addr)
	seen := map[string]int{}
	ask := func(more string) *client {
		k := p.open(t, more)
		line, _ := k.r.ReadString('\n')
		seen[strings.Fields(line + "nothing")[0]]++
		return k
	}
	for range 9 {
		ask("")
	}
	a.says("BUSY\r\n") // the other takes them
	for range 6 {
		ask("")
	}
	a.says("ERR\r\n")
	b.says("ERR\r\n")
	for range 3 {
		ask("")
	}
	a.says("UP r\r\n")
	b.says("UP r\r\n")
	time.Sleep(2 * time.Second) // both are left alone for a while
	for range 40 {              // more than there are descriptors for
		ask("")
	}
	bad := p.dial(t)
	bad.say("OPEN x y c=nonsense,t=acme,d=2000\r\n")
	bad.hears("ERR")
	f := p.figures(t)
	if f["replies.chat.success"] != seen["UP"] || f["replies.chat.overload"] != seen["BUSY"] || f["replies.chat.error"] != seen["ERR"] {
		t.Errorf("clients saw %v, the figures say %v", seen, f)
	}
	if seen["UP"] < 20 || seen["BUSY"] == 0 {
		t.Errorf("the run is too tame: %v", seen)
	}
	if told := len(a.lines()) + len(b.lines()); f["dispatches"] != told {
		t.Errorf("hosts had %d lines, the figures say %d", told, f["dispatches"])
	}
	if f["concurrent"] != seen["UP"] {
		t.Errorf("%d stand, the figures say %d", seen["UP"], f["concurrent"])
	}
}

func TestSilentOperatorsAndAnotherAddress(t *testing.T) {
	t.Parallel()
	a := newHost(t, "ha")
	known := list(1, true, a.member("SERVING"))
	p := start(t, options{known: known, manage: freeAddr(t)}, newRegistry(t, known).addr)
	for i := range 64 {
		c, err := net.Dial("tcp", p.manage)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, []string{"", "sho", "disable-server h"}[i%3])
	}
	p.figures(t)
	p.hup(t, p.manage, freeAddr(t))
	p.logs(t, "ignored until the next start")
	if !strings.Contains(p.log.String(), `"field": "management"`) {
		t.Error("the field is not named")
	}
	p.yes(t, "ready")
	p.yes(t, "disable-server ha")
	p.open(t, "").hears("BUSY") // all are out
}
