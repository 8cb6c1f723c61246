package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"onyxstream/internal/faultinject"
)

// unanswered is a request that got none, or not one of the protocol's.
type unanswered struct {
	request int
	heard   string
	err     error
}

// ask sends one request and tells its final answer, or that it got none. A connection that the node's machine did not
// accept is no request.
func (p *running) ask(n int) (answer string, lost *unanswered) {
	c, err := net.DialTimeout("tcp", p.addr, long)
	if err != nil {
		return "", nil
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(long))
	if _, err := io.WriteString(c, fmt.Sprintf("OPEN r%d k%d c=chat,t=acme,d=2500\r\n", n, n)); err != nil {
		return "", &unanswered{n, "", err}
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	word, _, _ := strings.Cut(strings.TrimSpace(line), " ")
	if err != nil || word != "UP" && word != "BUSY" && word != "ERR" {
		return "", &unanswered{n, line, err}
	}
	return word, nil
}

// load sends requests from several clients at once for a time, and tells how many got which answer, and which got none.
func (p *running) load(clients int, length time.Duration) (answers map[string]int, lost []unanswered) {
	answers = map[string]int{}
	var mu sync.Mutex
	var all sync.WaitGroup
	until := time.Now().Add(length)
	for range clients {
		all.Go(func() {
			for time.Now().Before(until) {
				answer, none := p.ask(next())
				mu.Lock()
				if answers[answer]++; none != nil {
					lost = append(lost, *none)
				}
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	all.Wait()
	return answers, lost
}

// Calls that fail for a moment lose no request: each gets its final answer while they fail, and is served afterwards.
func TestSystemCalls_FailForAMoment_RequestsAreAnswered(t *testing.T) {
	const clients, share = 8, 0.3
	for _, c := range []struct {
		name  string
		rules []faultinject.Rule
	}{
		{"accept", []faultinject.Rule{{Call: faultinject.Accept, Probability: share,
			Errors: []unix.Errno{unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM, unix.EINTR}}}},
		{"dial", []faultinject.Rule{{Call: faultinject.Socket, Probability: share, Errors: []unix.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM}},
			{Call: faultinject.Connect, Probability: share,
				Errors: []unix.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EAGAIN, unix.EINTR, unix.EHOSTUNREACH, unix.ETIMEDOUT}}}},
		{"wait", []faultinject.Rule{{Call: faultinject.Wait, Probability: share, Errors: []unix.Errno{unix.EINTR}}}},
		{"interrupted", []faultinject.Rule{{Call: faultinject.Read, Probability: share, Errors: []unix.Errno{unix.EINTR}, OnSockets: true},
			{Call: faultinject.Write, Probability: share, Errors: []unix.Errno{unix.EINTR}, OnSockets: true}}},
		{"short", []faultinject.Rule{{Call: faultinject.Read, Probability: 0.7, MaxBytes: 3}, {Call: faultinject.Write, Probability: 0.7, MaxBytes: 3}}},
		{"read", []faultinject.Rule{{Call: faultinject.Read, Probability: 0.05, Errors: []unix.Errno{unix.ENOBUFS, unix.ENOMEM}, OnSockets: true}}},
		{"write", []faultinject.Rule{{Call: faultinject.Write, Probability: 0.05, Errors: []unix.Errno{unix.ENOBUFS, unix.ENOMEM}, OnSockets: true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h1, h2 := newHost(t, "h1"), newHost(t, "h2")
			all := list(1, true, h1.member("SERVING"), h2.member("SERVING"))
			reg := newRegistry(t, all)
			calls := []faultinject.Call{}
			for _, r := range c.rules {
				calls = append(calls, r.Call)
			}
			p := start(t, options{known: all, faults: &faultinject.Options{Calls: calls, Seed: 1}}, reg.addr)
			p.faults.Fail(c.rules...)
			answers, lost := p.load(clients, time.Second)
			p.faults.Fail()
			t.Logf("while calls fail: %v", answers)
			for _, l := range lost {
				t.Errorf("request r%d has no answer: heard %q, error %v", l.request, l.heard, l.err)
			}
			for _, r := range c.rules {
				if p.faults.Injected(r.Call) == 0 {
					t.Errorf("no call %d has failed: the test shows nothing", r.Call)
				}
			}
			eventually(t, "requests are served again", func() bool {
				answer, _ := p.ask(next())
				return answer == "UP"
			})
		})
	}
}

// A wall clock that is stepped, forward and back, by seconds or by an hour, changes no deadline, no grace and no wait: each
// request has its answer in its time, also where its host hangs, and a host that drains gets nothing new past its grace.
func TestWallClock_Stepped_SpansAreReal(t *testing.T) {
	t.Parallel()
	steps := []time.Duration{time.Hour, -time.Hour, 0, 5 * time.Second, -5 * time.Second, 24 * time.Hour, 0}
	const each, clients, deadline, slack = 300 * time.Millisecond, 6, 2500 * time.Millisecond, 500 * time.Millisecond
	well, drains, hangs := newHost(t, "h1"), newHost(t, "h2"), newHost(t, "h3")
	hangs.says("")
	all := list(1, true, well.member("SERVING"), drains.member("SERVING"), hangs.member("SERVING"))
	reg := newRegistry(t, all)
	p := start(t, options{known: all, aim: 300, faults: &faultinject.Options{StepsClock: true}}, reg.addr)
	eventually(t, "the node watches", func() bool { return len(reg.called()) > 0 })
	var stepping sync.WaitGroup
	stepping.Go(func() {
		for i, step := range steps {
			if i == len(steps)/2 {
				reg.tell(list(2, false, drains.member("DRAINING")))
			}
			p.faults.StepClock(step)
			time.Sleep(each)
		}
	})
	var mu sync.Mutex
	answers := map[string]int{}
	var asking sync.WaitGroup
	until := time.Now().Add(each * time.Duration(len(steps)))
	for range clients {
		asking.Go(func() {
			for time.Now().Before(until) {
				begin := time.Now()
				answer, lost := p.ask(next())
				if took := time.Since(begin); lost != nil || took > deadline+slack {
					t.Errorf("answered %q after %v, lost %+v", answer, took, lost)
				}
				mu.Lock()
				answers[answer]++
				mu.Unlock()
			}
		})
	}
	stepping.Wait()
	asking.Wait()
	t.Logf("answers %v", answers)
	if answers["UP"] == 0 || answers[""] > 0 {
		t.Errorf("answers: %v", answers)
	}
	before := len(drains.lines())
	for range 20 {
		p.ask(next())
	}
	if after := len(drains.lines()); after > before {
		t.Errorf("%d requests went to the host that drains", after-before)
	}
}

// While one process of a node takes over from another, files can't be opened or renamed and sockets lack memory for moments,
// at both. Nobody who comes is lost, and whoever stood is served on, or sent away between two lines.
func TestUpgrade_SystemCallsFail_NobodyIsLost(t *testing.T) {
	t.Parallel()
	h := newHost(t, "h1")
	o, reg := inherited(t, h)
	rules := []faultinject.Rule{{Call: faultinject.OpenAt, Probability: 0.2, Errors: []unix.Errno{unix.EMFILE, unix.ENFILE, unix.EIO, unix.ENOMEM}},
		{Call: faultinject.Rename, Probability: 0.2, Errors: []unix.Errno{unix.ENOSPC, unix.EIO}},
		{Call: faultinject.Read, Probability: 0.05, Errors: []unix.Errno{unix.ENOMEM, unix.EINTR}, OnSockets: true},
		{Call: faultinject.Write, Probability: 0.05, Errors: []unix.Errno{unix.ENOBUFS, unix.EINTR}, OnSockets: true}}
	calls := []faultinject.Call{faultinject.OpenAt, faultinject.Rename, faultinject.Read, faultinject.Write}
	o.faults = &faultinject.Options{Calls: calls, Seed: 1}
	p := start(t, o, reg.addr)
	var standing []*client
	for range 40 { // more than one offer
		standing = append(standing, p.open(t, ""))
		standing[len(standing)-1].hears("UP ")
	}
	o.faults = &faultinject.Options{Calls: calls, Seed: 2}
	next := upgrade(t, o, reg.addr)
	p.faults.Fail(rules...)
	next.faults.Fail(rules...)
	p.signal(t)
	answers, lost := next.load(4, 2*time.Second)
	p.ended(t)
	next.faults.Fail()
	for _, l := range lost {
		t.Errorf("request r%d has no answer: heard %q, error %v", l.request, l.heard, l.err)
	}
	served, moved := 0, 0
	for i, k := range standing {
		k.say("M 1\r\n")
		switch line, err := k.r.ReadString('\n'); {
		case strings.HasPrefix(line, "M 1"):
			served++
		case strings.HasPrefix(line, "MOVE"):
			moved++
		default:
			t.Errorf("client %d, which stood: heard %q, error %v", i, line, err)
		}
	}
	t.Logf("answers %v; of %d who stood %d are served on, %d were sent away", answers, len(standing), served, moved)
}

// A node whose listening socket can't be had for a moment starts a moment later. It ended.
func TestStart_SocketFailsForAMoment_NodeStarts(t *testing.T) {
	t.Parallel()
	h := newHost(t, "h1")
	all := list(1, true, h.member("SERVING"))
	reg := newRegistry(t, all)
	o := options{mode: "pass", known: all, manage: freeAddr(t), faults: &faultinject.Options{Calls: []faultinject.Call{faultinject.Socket},
		Rules: []faultinject.Rule{{Call: faultinject.Socket, Probability: 1, Errors: []unix.Errno{unix.ENFILE, unix.ENOBUFS, unix.ENOMEM}}}}}
	addr := freeAddr(t)
	p := launchWith(t, config(t, addr, reg.addr, o), o)
	p.addr = addr
	time.Sleep(300 * time.Millisecond)
	p.faults.Fail()
	eventually(t, "the node serves", func() bool {
		select {
		case err := <-p.done:
			t.Fatalf("the node ended: %v", err)
		default:
		}
		answer, _ := p.ask(next())
		return answer == "UP"
	})
}

// movesTo waits until a host gets what comes.
func (p *running) movesTo(t *testing.T, host string) {
	t.Helper()
	eventually(t, "requests go to "+host, func() bool {
		k := p.open(t, "")
		defer k.c.Close()
		return strings.Contains(k.hears("UP "), "from-"+host)
	})
}

// A signal to read the configuration again is not forgotten where the file can't be read just then.
func TestReload_FileCantBeReadForAMoment_IsReadLater(t *testing.T) {
	t.Parallel()
	a, b := newHost(t, "ha"), newHost(t, "hb")
	old, reg := newRegistry(t, list(1, true, a.member("SERVING"))), newRegistry(t, list(1, true, b.member("SERVING")))
	p := start(t, options{known: list(1, true, a.member("SERVING")), faults: &faultinject.Options{Calls: []faultinject.Call{faultinject.OpenAt}}}, old.addr)
	eventually(t, "the first watch", func() bool { return len(old.called()) == 1 })
	p.faults.Fail(faultinject.Rule{Call: faultinject.OpenAt, Probability: 1, Errors: []unix.Errno{unix.ENFILE}})
	p.hup(t, old.addr, reg.addr)
	p.logs(t, "configuration reload failed")
	p.faults.Fail()
	p.movesTo(t, "hb")
}

// A file that is still being written as the signal comes is read again once it is whole.
func TestReload_FileHalfWritten_IsReadOnceItIsWhole(t *testing.T) {
	t.Parallel()
	a, b := newHost(t, "ha"), newHost(t, "hb")
	old, reg := newRegistry(t, list(1, true, a.member("SERVING"))), newRegistry(t, list(1, true, b.member("SERVING")))
	p := start(t, options{known: list(1, true, a.member("SERVING"))}, old.addr)
	eventually(t, "the first watch", func() bool { return len(old.called()) == 1 })
	text, err := os.ReadFile(p.config)
	if err != nil {
		t.Fatal(err)
	}
	whole := strings.ReplaceAll(string(text), old.addr, reg.addr)
	write := func(text string) {
		if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(whole[:len(whole)/2])
	p.signalled(t, syscall.SIGHUP)
	p.logs(t, "configuration reload failed")
	write(whole)
	p.movesTo(t, "hb")
}
