package main

import (
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"onyxstream/internal/faultinject"
	"onyxstream/internal/wire"
)

// systemFaultCase is a named set of rules that make some system calls fail.
type systemFaultCase struct {
	name  string
	rules []faultinject.Rule
}

// systemFaultCases returns failures of system calls that can occur in production, and reads and writes that transfer
// fewer bytes than requested.
func systemFaultCases() []systemFaultCase {
	const probability = 0.3 // for system calls whose failure most connections survive
	acceptErrors := []unix.Errno{
		unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM, unix.EINTR,
	}
	socketErrors := []unix.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM}
	connectErrors := []unix.Errno{
		unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EAGAIN, unix.EINTR, unix.EHOSTUNREACH, unix.ETIMEDOUT,
	}
	interrupted := []unix.Errno{unix.EINTR}
	outOfMemory := []unix.Errno{unix.ENOBUFS, unix.ENOMEM}
	return []systemFaultCase{
		{"accept", []faultinject.Rule{
			{Call: faultinject.Accept, Probability: probability, Errors: acceptErrors},
		}},
		{"dial", []faultinject.Rule{
			{Call: faultinject.Socket, Probability: probability, Errors: socketErrors},
			{Call: faultinject.Connect, Probability: probability, Errors: connectErrors},
		}},
		{"epoll_wait", []faultinject.Rule{
			{Call: faultinject.EpollWait, Probability: probability, Errors: interrupted},
		}},
		{"interrupted reads and writes", []faultinject.Rule{
			{Call: faultinject.Read, Probability: probability, Errors: interrupted, OnSockets: true},
			{Call: faultinject.Write, Probability: probability, Errors: interrupted, OnSockets: true},
		}},
		{"short reads and writes", []faultinject.Rule{
			{Call: faultinject.Read, Probability: 0.7, MaxBytes: 3},
			{Call: faultinject.Write, Probability: 0.7, MaxBytes: 3},
		}},
		{"read", []faultinject.Rule{
			{Call: faultinject.Read, Probability: 0.05, Errors: outOfMemory, OnSockets: true},
		}},
		{"write", []faultinject.Rule{
			{Call: faultinject.Write, Probability: 0.05, Errors: outOfMemory, OnSockets: true},
		}},
	}
}

// While some system calls fail, each request must still get its final answer. When the system calls succeed again,
// requests must be served.
func TestSystemCalls_FailBriefly_RequestsAreAnswered(t *testing.T) {
	for _, test := range systemFaultCases() {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			expectAnswersDuringFaults(t, test.rules)
		})
	}
}

// expectAnswersDuringFaults runs load on a node while the rules apply. It checks that each request gets a final answer
// and that requests are served afterwards. The test also fails if a rule did not apply to any system call.
func expectAnswersDuringFaults(t *testing.T, rules []faultinject.Rule) {
	t.Helper()
	hosts := []*fakeHost{newFakeHost(t, "h1"), newFakeHost(t, "h2")}
	calls := []faultinject.Call{}
	for _, rule := range rules {
		calls = append(calls, rule.Call)
	}
	node, _ := startNodeWithHosts(t, nodeOptions{faults: &faultinject.Options{Calls: calls, Seed: 1}}, hosts...)
	node.faults.SetRules(rules...)
	const clients = 8
	answers, missing := node.runLoad(clients, time.Second)
	node.faults.SetRules()
	t.Logf("answers during faults: %v", answers)
	expectAllAnswered(t, missing)
	for _, rule := range rules {
		if node.faults.Injected(rule.Call) == 0 {
			t.Errorf("test is inconclusive: no failure injected into system call %d", rule.Call)
		}
	}
	eventually(t, "requests are served again", func() bool {
		answer, _ := node.request(nextID())
		return answer == "UP"
	})
}

// clockSteps lists offsets of the wall clock. The test sets them in this order, one every clockStepInterval.
var clockSteps = []time.Duration{time.Hour, -time.Hour, 0, 5 * time.Second, -5 * time.Second, 24 * time.Hour, 0}

const clockStepInterval = 300 * time.Millisecond

// Forward and backward steps of the wall clock, by seconds or by hours, must not affect deadlines, the drain grace or
// timers. Each request must get its final answer in time, even if its host hangs, and a draining host must receive no
// new request after the drain grace.
func TestWallClock_Stepped_DurationsUnaffected(t *testing.T) {
	t.Parallel()
	healthy, draining, hanging := newFakeHost(t, "h1"), newFakeHost(t, "h2"), newFakeHost(t, "h3")
	hanging.setResponse("")
	options := nodeOptions{latencyObjectiveMS: 300, faults: &faultinject.Options{StepsClock: true}}
	node, discovery := startNodeWithHosts(t, options, healthy, draining, hanging)
	eventually(t, "the node opens its watch", func() bool { return len(discovery.requestPaths()) > 0 })
	var stepping sync.WaitGroup
	stepping.Go(func() {
		for i, step := range clockSteps {
			if i == len(clockSteps)/2 {
				discovery.sendEvent(endpointListJSON(2, false, draining.endpoint(wire.Draining)))
			}
			node.faults.StepClock(step)
			time.Sleep(clockStepInterval)
		}
	})
	answers := requestAndCheckTimes(t, node, clockStepInterval*time.Duration(len(clockSteps)))
	stepping.Wait()
	t.Logf("answers %v", answers)
	if answers["UP"] == 0 || answers[""] > 0 {
		t.Errorf("final answers %v, want some UP and none missing", answers)
	}
	before := len(draining.openingLines())
	for range 20 {
		node.request(nextID())
	}
	if after := len(draining.openingLines()); after > before {
		t.Errorf("draining host received %d new requests, want 0", after-before)
	}
}

// requestAndCheckTimes sends requests from six concurrent clients for the duration and returns the number of requests
// per final answer. Each answer must arrive within the request's deadline plus some slack.
func requestAndCheckTimes(t *testing.T, node *nodeProcess, duration time.Duration) map[string]int {
	t.Helper()
	const clients, deadline, slack = 6, 2500 * time.Millisecond, 500 * time.Millisecond
	var mu sync.Mutex
	answers := map[string]int{}
	var requesting sync.WaitGroup
	end := time.Now().Add(duration)
	for range clients {
		requesting.Go(func() {
			for time.Now().Before(end) {
				start := time.Now()
				answer, missing := node.request(nextID())
				took := time.Since(start)
				if missing != nil || took > deadline+slack {
					t.Errorf("final answer %q after %v, missing answer %+v; want a final answer within 3 s", answer, took, missing)
				}
				mu.Lock()
				answers[answer]++
				mu.Unlock()
			}
		})
	}
	requesting.Wait()
	return answers
}
