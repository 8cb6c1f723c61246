package main

import (
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"onyxstream/internal/faultinject"
)

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
