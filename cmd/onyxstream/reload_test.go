package main

import (
	"os"
	"strings"
	"syscall"
	"testing"
)

// hup replaces the program's configuration by a changed one and tells it.
func (p *running) hup(t *testing.T, change ...string) {
	t.Helper()
	text, err := os.ReadFile(p.config)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.NewReplacer(change...).Replace(string(text))
	if err := os.WriteFile(p.config+".new", []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(p.config+".new", p.config); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

func (p *running) logs(t testing.TB, text string) {
	t.Helper()
	eventually(t, "the log says "+text, func() bool { return strings.Contains(p.log.String(), text) })
}

// On SIGHUP the node follows the discovery that the file names: with its whole list, whatever version the old one
// was at, and without a word to the connections that stand.
func TestReloadFollowsAnotherDiscovery(t *testing.T) {
	t.Parallel()
	a, b := newHost(t, "ha"), newHost(t, "hb")
	old := newRegistry(t, list(41, true, a.member("SERVING")))
	p := start(t, options{known: list(41, true, a.member("SERVING"))}, old.addr)
	on := p.open(t, "")
	on.hears("UP from-ha")
	eventually(t, "the first watch", func() bool { return len(old.called()) == 1 })
	reg := newRegistry(t, list(3, true, b.member("SERVING")))
	p.hup(t, old.addr, reg.addr)
	p.logs(t, "configuration reloaded")
	eventually(t, "the new list alone holds", func() bool {
		return strings.Contains(p.open(t, "").hears("UP "), "from-hb")
	})
	eventually(t, "the old watch is left", func() bool { return old.OpenCalls() == 0 })
	old.turn(true)
	for range 10 {
		p.open(t, "").hears("UP from-hb")
	}
	eventually(t, "the new watch", func() bool { return len(reg.called()) >= 2 })
	if calls := reg.called(); calls[0] != "/catalog/members" || calls[1] != "/catalog/members?watch=1&after=3" {
		t.Errorf("asked %q", calls)
	}
	if n := len(old.called()); n != 1 {
		t.Errorf("the old discovery was asked %d times", n)
	}
	reg.tell(list(4, false, a.member("SERVING"), b.member("DRAINING")))
	eventually(t, "changes are followed", func() bool { return strings.Contains(p.open(t, "").hears("UP "), "from-ha") })
	on.say("M still here\r\n")
	on.hears("M still here")
}

// A discovery that does not answer yet takes nothing from what is known, and is asked until it does.
func TestReloadToADiscoveryThatIsDown(t *testing.T) {
	t.Parallel()
	a, b := newHost(t, "ha"), newHost(t, "hb")
	old := newRegistry(t, list(41, true, a.member("SERVING")))
	p := start(t, options{known: list(41, true, a.member("SERVING"))}, old.addr)
	eventually(t, "the first watch", func() bool { return len(old.called()) == 1 })
	reg := newRegistry(t, list(3, true, b.member("SERVING")))
	reg.turn(true)
	p.hup(t, old.addr, reg.addr)
	eventually(t, "the new discovery is asked again", func() bool { return len(reg.called()) >= 2 })
	p.open(t, "").hears("UP from-ha")
	reg.turn(false)
	eventually(t, "its list holds", func() bool { return strings.Contains(p.open(t, "").hears("UP "), "from-hb") })
	for _, call := range reg.called() {
		if strings.Contains(call, "after=41") {
			t.Errorf("a version of the old discovery was named to the new one: %q", call)
		}
	}
}

// What can't be read changes nothing, and what can't change is named.
func TestReloadKeepsWhatItCanNotTake(t *testing.T) {
	t.Parallel()
	h := newHost(t, "h1")
	reg := newRegistry(t, list(1, true, h.member("SERVING")))
	p := start(t, options{known: list(1, true, h.member("SERVING"))}, reg.addr)
	eventually(t, "the first watch", func() bool { return len(reg.called()) == 1 })
	on := p.open(t, "")
	on.hears("UP ")
	p.hup(t, `"sockets":256`, `"sockets":"many"`)
	p.logs(t, `field \"limits.sockets\"`)
	p.hup(t, `"sockets":"many"`, `"sockets":256`, reg.addr, "nowhere")
	p.logs(t, `field \"discovery\"`)
	p.hup(t, `"discovery":"nowhere",`, "")
	p.logs(t, `field \"discovery\": \"\" is no address`)
	p.hup(t, `"listen"`, `"discovery":"`+reg.addr+`","listen"`, "}", "")
	p.logs(t, "can't be read")
	text, _ := os.ReadFile(config(t, "127.0.0.1:1", reg.addr, options{mode: "pass", known: list(0, true), sockets: 512}))
	if err := os.WriteFile(p.config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	p.hup(t)
	p.logs(t, `"field": "listen"`)
	p.logs(t, `"field": "limits.sockets"`)
	if strings.Contains(p.log.String(), `"field": "settings"`) {
		t.Error("settings that are the same are named as left")
	}
	on.say("M\r\n")
	on.hears("M")
	p.open(t, "").hears("UP ")
	if n := len(reg.called()); n != 1 {
		t.Errorf("discovery was asked %d times, though its address is the same", n)
	}
}

func TestManyReloadsAndOneWhileItStops(t *testing.T) {
	t.Parallel()
	h := newHost(t, "h1")
	reg := newRegistry(t, list(1, true, h.member("SERVING")))
	p := start(t, options{known: list(1, true, h.member("SERVING")), mode: "proxy"}, reg.addr)
	on := p.open(t, "")
	on.hears("UP ")
	was := reg.addr
	for range 6 {
		next := newRegistry(t, list(1, true, h.member("SERVING")))
		p.hup(t, was, next.addr)
		was = next.addr
	}
	last := newRegistry(t, list(1, true, h.member("SERVING")))
	p.hup(t, was, last.addr)
	eventually(t, "the last one named is watched", func() bool { return len(last.called()) >= 2 })
	p.open(t, "").hears("UP ")
	p.signal(t)
	p.logs(t, "shutting down gracefully")
	drain := newRegistry(t, list(1, true, h.member("SERVING")))
	p.hup(t, last.addr, drain.addr)
	on.hears("MOVE\r\n")
	on.ends(false)
	if err := <-p.done; err != nil {
		t.Errorf("the node ended with %v", err)
	}
}

// The watch at the old discovery goes on while the new one refuses, and brings news behind that refusal; then it ends too.
// The new one is asked on: that news passed for a watch at it, and nothing that came to the list was heard of any more.
func TestNewsOfTheOldWatchBehindARefusalOfTheNewOne(t *testing.T) {
	t.Parallel()
	a, b, c := newHost(t, "ha"), newHost(t, "hb"), newHost(t, "hc")
	old := newRegistry(t, list(41, true, a.member("SERVING")))
	p := start(t, options{known: list(41, true, a.member("SERVING"))}, old.addr)
	eventually(t, "the first watch", func() bool { return old.OpenCalls() == 1 })
	reg := newRegistry(t, list(3, true, c.member("SERVING")))
	reg.turn(true)
	p.hup(t, old.addr, reg.addr)
	uses := func(on *host) { // each client leaves again: they would fill the node
		t.Helper()
		eventually(t, on.id+" is used", func() bool {
			k := p.open(t, "")
			defer k.c.Close()
			return strings.Contains(k.hears("UP "), "from-"+on.id)
		})
	}
	eventually(t, "the new discovery is asked", func() bool { return len(reg.called()) > 0 })
	p.logs(t, "discovery answered 503")
	for i := int64(0); i < 4; i += 2 { // one of them comes while no call to the new one is out
		old.tell(list(42+i, false, b.member("SERVING"), a.member("DRAINING")))
		uses(b)
		old.tell(list(43+i, false, a.member("SERVING"), b.member("DRAINING")))
		uses(a)
	}
	old.turn(true)
	eventually(t, "the old watch has ended", func() bool { return old.OpenCalls() == 0 })
	reg.turn(false)
	uses(c)
}
