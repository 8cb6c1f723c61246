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

// missingAnswer is a request that got none, or not one of the protocol's.
type missingAnswer struct {
	request  int
	received string
	err      error
}

// request sends one request and tells its final answer, or that it got none. A connection that the node's machine did not
// accept is no request.
func (p *nodeProcess) request(n int) (answer string, lost *missingAnswer) {
	c, err := net.DialTimeout("tcp", p.addr, waitLimit)
	if err != nil {
		return "", nil
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	if _, err := io.WriteString(c, fmt.Sprintf("OPEN r%d k%d c=chat,t=acme,d=2500\r\n", n, n)); err != nil {
		return "", &missingAnswer{n, "", err}
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	word, _, _ := strings.Cut(strings.TrimSpace(line), " ")
	if err != nil || word != "UP" && word != "BUSY" && word != "ERR" {
		return "", &missingAnswer{n, line, err}
	}
	return word, nil
}

// runLoad sends requests from several clients at once for a time, and tells how many got which answer, and which got none.
func (p *nodeProcess) runLoad(clients int, length time.Duration) (answers map[string]int, lost []missingAnswer) {
	answers = map[string]int{}
	var mu sync.Mutex
	var all sync.WaitGroup
	until := time.Now().Add(length)
	for range clients {
		all.Go(func() {
			for time.Now().Before(until) {
				answer, none := p.request(nextID())
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
func TestSystemCalls_FailBriefly_RequestsAreAnswered(t *testing.T) {
	const clients, share = 8, 0.3
	for _, c := range []struct {
		name  string
		rules []faultinject.Rule
	}{
		{"accept", []faultinject.Rule{{Call: faultinject.Accept, Share: share,
			Errors: []unix.Errno{unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM, unix.EINTR}}}},
		{"dial", []faultinject.Rule{{Call: faultinject.Socket, Share: share, Errors: []unix.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM}},
			{Call: faultinject.Connect, Share: share,
				Errors: []unix.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EAGAIN, unix.EINTR, unix.EHOSTUNREACH, unix.ETIMEDOUT}}}},
		{"wait", []faultinject.Rule{{Call: faultinject.Wait, Share: share, Errors: []unix.Errno{unix.EINTR}}}},
		{"interrupted", []faultinject.Rule{{Call: faultinject.Read, Share: share, Errors: []unix.Errno{unix.EINTR}, OnSockets: true},
			{Call: faultinject.Write, Share: share, Errors: []unix.Errno{unix.EINTR}, OnSockets: true}}},
		{"short", []faultinject.Rule{{Call: faultinject.Read, Share: 0.7, Short: 3}, {Call: faultinject.Write, Share: 0.7, Short: 3}}},
		{"read", []faultinject.Rule{{Call: faultinject.Read, Share: 0.05, Errors: []unix.Errno{unix.ENOBUFS, unix.ENOMEM}, OnSockets: true}}},
		{"write", []faultinject.Rule{{Call: faultinject.Write, Share: 0.05, Errors: []unix.Errno{unix.ENOBUFS, unix.ENOMEM}, OnSockets: true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h1, h2 := newFakeHost(t, "h1"), newFakeHost(t, "h2")
			hosts := endpointListJSON(1, true, h1.endpoint("SERVING"), h2.endpoint("SERVING"))
			discovery := newFakeDiscovery(t, hosts)
			calls := []faultinject.Call{}
			for _, r := range c.rules {
				calls = append(calls, r.Call)
			}
			node := startNode(t, nodeOptions{initialList: hosts, faults: &faultinject.Options{Calls: calls, Seed: 1}}, discovery.addr)
			node.faults.Fail(c.rules...)
			answers, lost := node.runLoad(clients, time.Second)
			node.faults.Fail()
			t.Logf("while calls fail: %v", answers)
			for _, l := range lost {
				t.Errorf("request r%d has no answer: heard %q, error %v", l.request, l.received, l.err)
			}
			for _, r := range c.rules {
				if node.faults.Injected(r.Call) == 0 {
					t.Errorf("no call %d has failed: the test shows nothing", r.Call)
				}
			}
			eventually(t, "requests are served again", func() bool {
				answer, _ := node.request(nextID())
				return answer == "UP"
			})
		})
	}
}

// A wall clock that is stepped, forward and back, by seconds or by an hour, changes no deadline, no grace and no wait: each
// request has its answer in its time, also where its host hangs, and a host that drains gets nothing new past its grace.
func TestWallClock_Stepped_DurationsUnaffected(t *testing.T) {
	t.Parallel()
	steps := []time.Duration{time.Hour, -time.Hour, 0, 5 * time.Second, -5 * time.Second, 24 * time.Hour, 0}
	const interval, clients, deadline, slack = 300 * time.Millisecond, 6, 2500 * time.Millisecond, 500 * time.Millisecond
	healthy, draining, hanging := newFakeHost(t, "h1"), newFakeHost(t, "h2"), newFakeHost(t, "h3")
	hanging.setReply("")
	all := endpointListJSON(1, true, healthy.endpoint("SERVING"), draining.endpoint("SERVING"), hanging.endpoint("SERVING"))
	discovery := newFakeDiscovery(t, all)
	node := startNode(t, nodeOptions{initialList: all, latencyObjectiveMS: 300, faults: &faultinject.Options{Clock: true}}, discovery.addr)
	eventually(t, "the node watches", func() bool { return len(discovery.requestPaths()) > 0 })
	var stepping sync.WaitGroup
	stepping.Go(func() {
		for i, step := range steps {
			if i == len(steps)/2 {
				discovery.sendEvent(endpointListJSON(2, false, draining.endpoint("DRAINING")))
			}
			node.faults.StepClock(step)
			time.Sleep(interval)
		}
	})
	var mu sync.Mutex
	answers := map[string]int{}
	var requesting sync.WaitGroup
	until := time.Now().Add(interval * time.Duration(len(steps)))
	for range clients {
		requesting.Go(func() {
			for time.Now().Before(until) {
				begin := time.Now()
				answer, lost := node.request(nextID())
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
	requesting.Wait()
	t.Logf("answers %v", answers)
	if answers["UP"] == 0 || answers[""] > 0 {
		t.Errorf("answers: %v", answers)
	}
	before := len(draining.openings())
	for range 20 {
		node.request(nextID())
	}
	if after := len(draining.openings()); after > before {
		t.Errorf("%d requests went to the host that drains", after-before)
	}
}

// While one process of a node takes over from another, files can't be opened or renamed and sockets lack memory for moments,
// at both. Nobody who comes is lost, and whoever stood is served on, or sent away between two lines.
func TestUpgrade_SystemCallsFail_NoClientLost(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	options, discovery := inheritedSocketOptions(t, host)
	rules := []faultinject.Rule{{Call: faultinject.OpenAt, Share: 0.2, Errors: []unix.Errno{unix.EMFILE, unix.ENFILE, unix.EIO, unix.ENOMEM}},
		{Call: faultinject.Rename, Share: 0.2, Errors: []unix.Errno{unix.ENOSPC, unix.EIO}},
		{Call: faultinject.Read, Share: 0.05, Errors: []unix.Errno{unix.ENOMEM, unix.EINTR}, OnSockets: true},
		{Call: faultinject.Write, Share: 0.05, Errors: []unix.Errno{unix.ENOBUFS, unix.EINTR}, OnSockets: true}}
	calls := []faultinject.Call{faultinject.OpenAt, faultinject.Rename, faultinject.Read, faultinject.Write}
	options.faults = &faultinject.Options{Calls: calls, Seed: 1}
	node := startNode(t, options, discovery.addr)
	var established []*testClient
	for range 40 { // more than one offer
		established = append(established, node.openRequest(t, ""))
		established[len(established)-1].expectLine("UP ")
	}
	options.faults = &faultinject.Options{Calls: calls, Seed: 2}
	successor := startSuccessor(t, options, discovery.addr)
	node.faults.Fail(rules...)
	successor.faults.Fail(rules...)
	node.terminate(t)
	answers, lost := successor.runLoad(4, 2*time.Second)
	node.waitForCleanExit(t)
	successor.faults.Fail()
	for _, l := range lost {
		t.Errorf("request r%d has no answer: heard %q, error %v", l.request, l.received, l.err)
	}
	served, migrated := 0, 0
	for i, client := range established {
		client.send("M 1\r\n")
		switch line, err := client.reader.ReadString('\n'); {
		case strings.HasPrefix(line, "M 1"):
			served++
		case strings.HasPrefix(line, "MOVE"):
			migrated++
		default:
			t.Errorf("client %d, which stood: heard %q, error %v", i, line, err)
		}
	}
	t.Logf("answers %v; of %d who stood %d are served on, %d were sent away", answers, len(established), served, migrated)
}

// A node whose listening socket can't be had for a moment starts a moment later. It ended.
func TestStartup_SocketFailsBriefly_NodeStarts(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	all := endpointListJSON(1, true, host.endpoint("SERVING"))
	discovery := newFakeDiscovery(t, all)
	options := nodeOptions{mode: "pass", initialList: all, managementAddr: freeAddr(t), faults: &faultinject.Options{Calls: []faultinject.Call{faultinject.Socket},
		Rules: []faultinject.Rule{{Call: faultinject.Socket, Share: 1, Errors: []unix.Errno{unix.ENFILE, unix.ENOBUFS, unix.ENOMEM}}}}}
	addr := freeAddr(t)
	node := startProcessWith(t, writeConfig(t, addr, discovery.addr, options), options)
	node.addr = addr
	time.Sleep(300 * time.Millisecond)
	node.faults.Fail()
	eventually(t, "the node serves", func() bool {
		select {
		case err := <-node.exited:
			t.Fatalf("the node ended: %v", err)
		default:
		}
		answer, _ := node.request(nextID())
		return answer == "UP"
	})
}

// waitUntilServedBy waits until a host gets what comes.
func (p *nodeProcess) waitUntilServedBy(t *testing.T, host string) {
	t.Helper()
	eventually(t, "requests go to "+host, func() bool {
		client := p.openRequest(t, "")
		defer client.conn.Close()
		return strings.Contains(client.expectLine("UP "), "from-"+host)
	})
}

// A signal to read the configuration again is not forgotten where the file can't be read just then.
func TestReload_FileUnreadableBriefly_Retried(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	oldDiscovery, discovery := newFakeDiscovery(t, endpointListJSON(1, true, hostA.endpoint("SERVING"))), newFakeDiscovery(t, endpointListJSON(1, true, hostB.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, hostA.endpoint("SERVING")), faults: &faultinject.Options{Calls: []faultinject.Call{faultinject.OpenAt}}}, oldDiscovery.addr)
	eventually(t, "the first watch", func() bool { return len(oldDiscovery.requestPaths()) == 1 })
	node.faults.Fail(faultinject.Rule{Call: faultinject.OpenAt, Share: 1, Errors: []unix.Errno{unix.ENFILE}})
	node.reload(t, oldDiscovery.addr, discovery.addr)
	node.waitForLog(t, "configuration reload failed")
	node.faults.Fail()
	node.waitUntilServedBy(t, "hb")
}

// A file that is still being written as the signal comes is read again once it is whole.
func TestReload_FileHalfWritten_ReadOnceComplete(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	oldDiscovery, discovery := newFakeDiscovery(t, endpointListJSON(1, true, hostA.endpoint("SERVING"))), newFakeDiscovery(t, endpointListJSON(1, true, hostB.endpoint("SERVING")))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, hostA.endpoint("SERVING"))}, oldDiscovery.addr)
	eventually(t, "the first watch", func() bool { return len(oldDiscovery.requestPaths()) == 1 })
	text, err := os.ReadFile(node.configPath)
	if err != nil {
		t.Fatal(err)
	}
	complete := strings.ReplaceAll(string(text), oldDiscovery.addr, discovery.addr)
	overwrite := func(text string) {
		if err := os.WriteFile(node.configPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	overwrite(complete[:len(complete)/2])
	node.sendSignal(t, syscall.SIGHUP)
	node.waitForLog(t, "configuration reload failed")
	overwrite(complete)
	node.waitUntilServedBy(t, "hb")
}
