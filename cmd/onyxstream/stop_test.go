package main

import (
	"strings"
	"testing"
	"time"
)

func TestStopWherePacketsPassThrough(t *testing.T) {
	t.Parallel()
	h := newHost(t, "h1")
	reg := newRegistry(t, list(1, true, h.member("SERVING")))
	p := start(t, options{known: list(1, true, h.member("SERVING"))}, reg.addr)
	on := p.open(t, "")
	on.hears("UP ")
	p.signal(t)
	late := p.open(t, "") // the front has not noticed yet
	late.hears("UP ")
	// What is open goes on until the time is up: other nodes take it over only from a process that has ended.
	for range 10 {
		time.Sleep(200 * time.Millisecond)
		on.say("M\r\n")
		on.hears("M")
	}
	if err := <-p.done; err != nil {
		t.Errorf("the node ended with %v", err)
	}
	if line, err := on.r.ReadString('\n'); line != "" || err == nil {
		t.Errorf("heard %q from a node that has ended", line)
	}
}

// A client that came in the last moment in which the front still sends may wait for longer than the node lasts. Where
// its host hangs it has its answer before the node ends, and not the end of its connection.
func TestStopWhileAHostHangsAnswersWhoWaitsLonger(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"pass", "proxy"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			h := newHost(t, "h1")
			h.says("")
			reg := newRegistry(t, list(1, true, h.member("SERVING")))
			p := start(t, options{known: list(1, true, h.member("SERVING")), mode: mode, aim: 9000}, reg.addr)
			var waiting []*client
			for _, when := range []string{"before", "after"} {
				k := p.dial(t)
				k.say("OPEN " + when + " key c=chat,t=acme,d=9000\r\n")
				waiting = append(waiting, k)
				eventually(t, "the host has it", func() bool { return len(h.lines()) == len(waiting) })
				if when == "before" {
					p.signal(t)
					p.logs(t, "shutting down gracefully")
				}
			}
			half := p.dial(t) // whose line comes in pieces around the stop
			half.say("OPEN half key c=ch")
			time.Sleep(1200 * time.Millisecond)
			half.say("at,t=acme,d=9000\r\n")
			for _, k := range append(waiting, half) {
				k.hears("BUSY ")
				k.ends(false)
			}
			if err := <-p.done; err != nil {
				t.Errorf("the node ended with %v", err)
			}
		})
	}
}

// Where nothing is open there is nothing to wait for.
func TestStopWithNothingOpen(t *testing.T) {
	t.Parallel()
	reg := newRegistry(t, list(1, true))
	p := start(t, options{}, reg.addr)
	p.signal(t)
	if err := <-p.done; err != nil {
		t.Errorf("the node ended with %v", err)
	}
	if !strings.Contains(p.log.String(), "stopped") {
		t.Error("it did not stop in order")
	}
}

func TestStopWhereConnectionsEndAtTheNode(t *testing.T) {
	t.Parallel()
	h := newHost(t, "h1")
	reg := newRegistry(t, list(1, true, h.member("SERVING")))
	p := start(t, options{known: list(1, true, h.member("SERVING")), mode: "proxy"}, reg.addr)
	var on []*client
	for range 10 {
		k := p.open(t, "")
		k.hears("UP ")
		on = append(on, k)
	}
	p.signal(t)
	late := p.open(t, "")
	late.hears("UP ")
	for _, k := range append(on, late) {
		k.hears("MOVE\r\n")
		k.ends(false)
	}
	if err := <-p.done; err != nil {
		t.Errorf("the node ended with %v", err)
	}
}
