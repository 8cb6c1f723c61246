package main

import (
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"onyxstream/internal/faultinject"
	"onyxstream/internal/wire"
)

// systemFaultCase is a set of system calls that fail for some of their calls.
type systemFaultCase struct {
	name  string
	rules []faultinject.Rule
}

func systemFaultCases() []systemFaultCase {
	const share = 0.3 // of the calls, where most connections survive a failure
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
			{Call: faultinject.Accept, Probability: share, Errors: acceptErrors},
		}},
		{"dial", []faultinject.Rule{
			{Call: faultinject.Socket, Probability: share, Errors: socketErrors},
			{Call: faultinject.Connect, Probability: share, Errors: connectErrors},
		}},
		{"wait", []faultinject.Rule{
			{Call: faultinject.EpollWait, Probability: share, Errors: interrupted},
		}},
		{"interrupted", []faultinject.Rule{
			{Call: faultinject.Read, Probability: share, Errors: interrupted, OnSockets: true},
			{Call: faultinject.Write, Probability: share, Errors: interrupted, OnSockets: true},
		}},
		{"short", []faultinject.Rule{
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

// System calls that fail briefly lose no request: each gets its final answer while they fail, and requests are served
// afterwards.
func TestSystemCalls_FailBriefly_RequestsAreAnswered(t *testing.T) {
	for _, test := range systemFaultCases() {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			expectAnswersDuringFaults(t, test.rules)
		})
	}
}

// expectAnswersDuringFaults runs load on a node while the rules apply, and wants each request answered, each call to
// have failed, and requests to be served afterwards.
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
	t.Logf("while calls fail: %v", answers)
	expectNoneMissing(t, missing)
	for _, rule := range rules {
		if node.faults.Injected(rule.Call) == 0 {
			t.Errorf("no call %d has failed: the test shows nothing", rule.Call)
		}
	}
	eventually(t, "requests are served again", func() bool {
		answer, _ := node.request(nextID())
		return answer == "UP"
	})
}

// clockSteps are the offsets to which the wall clock is stepped in turn, one every clockStepInterval.
var clockSteps = []time.Duration{time.Hour, -time.Hour, 0, 5 * time.Second, -5 * time.Second, 24 * time.Hour, 0}

const clockStepInterval = 300 * time.Millisecond

// A wall clock that is stepped forward and back, by seconds or by hours, affects no deadline, grace or timer: each
// request is answered in time, even where its host hangs, and a draining host receives nothing new after its grace.
func TestWallClock_Stepped_DurationsUnaffected(t *testing.T) {
	t.Parallel()
	healthy, draining, hanging := newFakeHost(t, "h1"), newFakeHost(t, "h2"), newFakeHost(t, "h3")
	hanging.setReply("")
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
		t.Errorf("answers: %v", answers)
	}
	before := len(draining.openings())
	for range 20 {
		node.request(nextID())
	}
	if after := len(draining.openings()); after > before {
		t.Errorf("%d requests went to the draining host", after-before)
	}
}

// requestAndCheckTimes sends requests from six clients for the duration, wants each answered within its deadline and
// some slack, and counts the answers.
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
					t.Errorf("answered %q after %v, missing %+v", answer, took, missing)
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
