package main

import (
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
)

// Connections go from one process to the next while either of the two is stopped, or told to stop, in between: the orders
// are brought about by holding the process that is to come second.

// signalled sends a signal to the process.
func (p *running) signalled(t testing.TB, s os.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// offered reports whether connections are on offer in a folder.
func offered(t testing.TB, dir string) bool {
	t.Helper()
	names, err := filepath.Glob(dir + "/*.offer")
	if err != nil {
		t.Fatal(err)
	}
	return len(names) > 0
}

// atOffer brings n connections up, starts a second process and tells the first to stop. Both stand still: the first one's
// first offer is valid, and not taken. One that was taken back before its process could be stopped is tried anew.
func atOffer(t testing.TB, a *host, mode string, n int) (dir string, p, next *running, on []*client) {
	t.Helper()
	for range 5 {
		o, reg := inherited(t, a)
		o.mode = mode
		p, on = start(t, o, reg.addr), nil
		for range n {
			on = append(on, p.open(t, ""))
			on[len(on)-1].hears("UP")
		}
		next = upgrade(t, o, reg.addr)
		next.signalled(t, syscall.SIGSTOP)
		p.signal(t)
		eventually(t, "connections are on offer", func() bool { return offered(t, o.tmp()) })
		if p.signalled(t, syscall.SIGSTOP); offered(t, o.tmp()) {
			return o.tmp(), p, next, on
		}
		p.signalled(t, syscall.SIGCONT)
		next.signalled(t, syscall.SIGCONT)
	}
	t.Fatal("no process could be stopped within the time of its offer")
	return "", nil, nil, nil
}

// A process is told to stop as it has taken over a part of what another one has, which ends too: neither is there for the
// other any more. They handed the same connections back and forth, until one ended with what it had just taken.
func TestTwoProcessesToldToStopHandNothingBack(t *testing.T) {
	t.Parallel()
	a := newHost(t, "ha")
	dir, p, next, on := atOffer(t, a, "proxy", 20) // more than one offer
	next.signalled(t, syscall.SIGCONT)
	eventually(t, "the offer is taken", func() bool { return !offered(t, dir) })
	next.signal(t)
	var moved atomic.Int32
	var all sync.WaitGroup
	for _, k := range on {
		all.Go(func() {
			line, err := k.r.ReadString('\n')
			rest, end := io.ReadAll(k.r)
			if moved.Add(1); line != "MOVE\r\n" || err != nil || len(rest) > 0 || end != nil {
				t.Errorf("heard %q, %v, then %q, %v; want MOVE and the end", line, err, rest, end)
			}
		})
	}
	eventually(t, "the second offers what it has, or moves it", func() bool { return offered(t, dir) || moved.Load() > 0 })
	p.signalled(t, syscall.SIGCONT)
	all.Wait()
	p.ended(t)
	next.ended(t)
	eventually(t, "the host is left", func() bool { return a.open() == 0 })
	if n := p.handedOff(t) + next.handedOff(t); n > len(on) {
		t.Errorf("%d connections were handed over %d times", len(on), n)
	}
}

// handedOff counts the connections that a process has handed off, by its log.
func (p *running) handedOff(t testing.TB) (sum int) {
	t.Helper()
	for _, m := range regexp.MustCompile(`"handed_off": (\d+)`).FindAllStringSubmatch(p.log.String(), -1) {
		n, err := strconv.Atoi(m[1])
		if err != nil {
			t.Fatal(err)
		}
		sum += n
	}
	return sum
}

// The process that offers connections stands still while they are taken, for longer than an offer is valid. Once it goes
// on they are the other one's, and it touches none of them.
func TestAnOfferIsTakenWhileItsProcessStandsStill(t *testing.T) {
	t.Parallel()
	a := newHost(t, "ha")
	_, p, next, on := atOffer(t, a, "pass", 5)
	next.signalled(t, syscall.SIGCONT)
	for _, k := range on { // only the next process can pass it on
		k.say("M 1\r\n")
		k.hears("M 1")
	}
	p.signalled(t, syscall.SIGCONT)
	p.ended(t)
	for _, k := range on {
		k.say("M 2\r\n")
		k.hears("M 2")
		k.say("DO bye\r\n")
		k.hears("BYE")
		k.ends(false)
	}
}
