package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// What can't be served is told so, and no host hears of it.
func TestBadClientsGetAnErrorAndHostsHearNothing(t *testing.T) {
	t.Parallel()
	h := newHost(t, "h1")
	reg := newRegistry(t, list(1, true, h.member("SERVING")))
	p := start(t, options{known: list(1, true, h.member("SERVING"))}, reg.addr)
	on := p.dial(t)
	on.say("OPEN held key c=chat,t=acme,d=2000\r\n")
	on.hears("UP ")
	many := strings.Repeat("OPEN m key c=chat,t=acme,d=2000\r\n", 300)
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "\r\n", "\x16\x03\x01\x02\x00\x01\n", "OPEN\r\n", "OPEN key c=chat,t=acme,d=500\r\n",
		"OPEN  key c=chat,t=acme,d=500\r\n", "OPEN x y d=500\r\n", "OPEN x y c=odd,t=acme,d=500\r\n", "OPEN x y c=chat,t=odd,d=500\r\n",
		"OPEN x y c=chat,t=acme,d=soon\r\n", "OPEN x y c=chat,t=acme,d=\r\n", "OPEN x y c=chat,t=acme,d=-5\r\n",
		"OPEN x y c=chat,t=acme,d=0x5\r\n", "OPEN x y c=chat,t=acme,d=5e3\r\n", "OPEN x y c=chat,t=acme,d=99999999999999\r\n",
		"OPEN x y c=chat,t=acme,d=500,d=500\r\n", "OPEN x y c=chat,t=ac\x01me,d=500\r\n", "OPEN held y c=chat,t=acme,d=2000\r\n",
		strings.Repeat("x", 10<<10), "OPEN " + strings.Repeat("y", 5000) + "\r\n", many, "PING\r\nOPEN a b\r\n"} {
		k := p.dial(t)
		_, _ = io.WriteString(k.c, text)
		if strings.HasPrefix(text, "PING") {
			k.hears("PONG")
		}
		k.hears("ERR")
		_ = k.c.Close()
	}
	if n := len(h.lines()); n != 1 {
		t.Errorf("the host got %d lines, want that of the first client", n)
	}
	on.say("M 1\r\n")
	on.hears("M 1")
	p.open(t, "").hears("UP ")
}

// One that does not wait for its answer is not served, though its first line was sent on before it spoke.
func TestAClientThatSpeaksBeforeItsAnswerIsEnded(t *testing.T) {
	t.Parallel()
	h := newHost(t, "h1")
	h.says("")
	reg := newRegistry(t, list(1, true, h.member("SERVING")))
	p := start(t, options{known: list(1, true, h.member("SERVING"))}, reg.addr)
	k := p.open(t, "")
	eventually(t, "its line is at the host", func() bool { return len(h.lines()) == 1 })
	k.say("OPEN more key c=chat,t=acme,d=2000\r\n")
	k.hears("ERR")
	k.ends(false)
	eventually(t, "the host is left", func() bool { return h.open() == 0 })
}

// A flood without an end, a trickle, half a line, pings in haste: each gets an error or a close by itself.
func TestEndlessClientsAreEnded(t *testing.T) {
	t.Parallel()
	h := newHost(t, "h1")
	reg := newRegistry(t, list(1, true, h.member("SERVING")))
	p := start(t, options{known: list(1, true, h.member("SERVING"))}, reg.addr)
	endless := func(text string, pause time.Duration) chan bool {
		k := p.dial(t)
		go func() {
			for {
				if _, err := io.WriteString(k.c, text); err != nil {
					return
				}
				time.Sleep(pause)
			}
		}()
		ended := make(chan bool, 1)
		go func() {
			_, err := io.Copy(io.Discard, k.r)
			late, ok := err.(net.Error)
			ended <- !ok || !late.Timeout()
		}()
		return ended
	}
	half, gone := p.dial(t), p.dial(t)
	half.say("OPEN half a line")
	gone.say("OPEN half")
	_ = gone.c.CloseWrite()
	for what, ended := range map[string]chan bool{"a flood": endless(strings.Repeat("x", 64<<10), 0), "a trickle": endless("x", 100*time.Millisecond),
		"pings": endless("PING\r\n", time.Millisecond)} {
		if !<-ended {
			t.Errorf("%s is not ended", what)
		}
	}
	half.ends(false)
	gone.ends(false)
	if n := len(h.lines()); n != 0 {
		t.Errorf("the host got %d lines", n)
	}
}

// Clients that connect by hundreds and say nothing, and others that come again as soon as they are turned away, keep
// no usual client out and take no descriptors that are not theirs.
func TestUsualClientsGetInPastACrowd(t *testing.T) {
	t.Parallel()
	h := newHost(t, "h1")
	reg := newRegistry(t, list(1, true, h.member("SERVING")))
	p := start(t, options{known: list(1, true, h.member("SERVING")), sockets: 128}, reg.addr)
	var held []net.Conn
	defer func() {
		for _, c := range held {
			_ = c.Close()
		}
	}()
	stop := make(chan bool)
	defer close(stop)
	for range 4 {
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if c, err := net.Dial("tcp", p.addr); err == nil {
					_, _ = io.WriteString(c, "OPEN x y c=odd\r\n")
					_, _ = io.Copy(io.Discard, c)
					_ = c.Close()
				}
			}
		}()
	}
	for range 15 {
		for range 30 {
			if c, err := net.Dial("tcp", p.addr); err == nil {
				held = append(held, c)
			}
		}
		k := p.open(t, "")
		k.hears("UP ")
		if n := p.descriptors(t); n > 128 {
			t.Errorf("%d descriptors held, 128 allowed", n)
		}
		_ = k.c.Close()
	}
}

// The id of another client's open request: the second one gets an error, and the first does not feel it, also where
// the second leaves at once.
func TestAnIdThatIsOpenAlready(t *testing.T) {
	t.Parallel()
	h := newHost(t, "h1")
	h.says("")
	reg := newRegistry(t, list(1, true, h.member("SERVING")))
	p := start(t, options{known: list(1, true, h.member("SERVING"))}, reg.addr)
	for i := range 2 {
		line := fmt.Sprintf("OPEN same%d key c=chat,t=acme,d=900\r\n", i)
		first := p.dial(t)
		first.say(line)
		eventually(t, "the first is at the host", func() bool { return len(h.lines()) == i+1 })
		for range 5 {
			second, leaves := p.dial(t), p.dial(t)
			leaves.say(line)
			_ = leaves.c.Close()
			second.say(line)
			second.hears("ERR")
		}
		first.hears("BUSY") // the host never answers, so it is the module's own word, in its time
	}
	if strings.Contains(p.log.String(), "request deadline exceeded") {
		t.Error("a first client was forgotten")
	}
}

// Clients that say nothing fill every descriptor they can get while discovery is down, at the system's own limit. Requests
// are answered all the same, the configuration is read, and the list is followed as soon as discovery is back.
func TestIdleClientsFillTheDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	const sockets = 96
	a, b := newHost(t, "ha"), newHost(t, "hb")
	old := newRegistry(t, list(1, true, a.member("SERVING")))
	old.turn(true)
	p := start(t, options{known: list(1, true, a.member("SERVING")), sockets: sockets, files: sockets}, old.addr)
	var held []net.Conn
	defer func() {
		for _, c := range held {
			_ = c.Close()
		}
	}()
	crowd := func() {
		for range 3 * sockets {
			if c, err := net.Dial("tcp", p.addr); err == nil {
				held = append(held, c)
			}
		}
	}
	crowd()
	p.open(t, "").hears("UP from-ha")
	reg := newRegistry(t, list(2, true, a.member("DRAINING"), b.member("SERVING")))
	reg.turn(true)
	p.hup(t, old.addr, reg.addr)
	p.logs(t, "configuration reloaded")
	eventually(t, "the new discovery is asked", func() bool { return len(reg.called()) > 0 })
	crowd()
	p.open(t, "").hears("UP from-ha")
	reg.turn(false)
	eventually(t, "its list is followed", func() bool {
		k := p.open(t, "")
		defer k.c.Close()
		return strings.Contains(k.hears("UP "), "from-hb")
	})
	crowd()
	p.open(t, "").hears("UP from-hb")
	if n := p.descriptors(t); n > sockets {
		t.Errorf("%d descriptors held, %d allowed", n, sockets)
	}
}
