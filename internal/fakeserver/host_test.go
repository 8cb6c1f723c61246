package fakeserver

import (
	"fmt"
	"net"
	"testing"
	"time"

	"onyxstream/internal/wire"
)

// A host must end a connection after the duration that the opening line requests, respond to health checks and to
// invalid lines, and record an event for each opening line and each health check.
func TestHost_OpeningWithDuration_EndsConnection(t *testing.T) {
	env := newFixture(t)
	host := env.host("h1", func(config *HostConfig) {
		config.ReportsLoad = true
		config.AnswersStats = true
	})
	client := dial(t, host.Addr(), "OPEN a key c=chat,t=acme,d=2000,life=50")
	if receipt := client.expect("UP "); receipt != "UP h1-1" {
		t.Errorf("response %q, want UP h1-1", receipt)
	}
	client.expect("LOAD ")
	client.expect("BYE")
	client.expectEnd()
	for line, want := range map[string]string{
		"PING":   "PONG",
		"STATS":  "PONG x0=",
		"HELLO":  "SYNTAX",
		"OPEN x": "SYNTAX",
	} {
		dial(t, host.Addr(), line).expect(want)
	}
	for kind, want := range map[string]int{
		EventOpened:      1,
		EventEstablished: 1,
		EventEnded:       1,
		EventHealthCheck: 2,
	} {
		if got := env.count(kind); got != want {
			events, _ := env.events.Events()
			t.Errorf("%d events of kind %q, want %d, in %v", got, kind, want, events)
		}
	}
}

// A draining host must reject new connections and send MOVE to the established ones. With a negative period it must
// keep them. After the drain is canceled it must accept connections again.
func TestHostDrain_EstablishedConnections_MigratedGradually(t *testing.T) {
	env := newFixture(t)
	host := env.host("h1", nil)
	var established []*testClient
	for i := range 8 {
		client := dial(t, host.Addr(), fmt.Sprintf("OPEN %d key c=chat,t=acme,d=2000", i))
		client.expect("UP ")
		established = append(established, client)
	}
	host.Drain(80 * time.Millisecond)
	dial(t, host.Addr(), "OPEN late key c=chat,t=acme,d=2000").expect("BUSY")
	for _, client := range established {
		client.expect("MOVE")
		client.expectEnd()
	}
	if n := env.count(EventMigrated); n != 8 {
		t.Errorf("%d connections migrated, want 8", n)
	}
	host.CancelDrain()
	client := dial(t, host.Addr(), "OPEN again key c=chat,t=acme,d=2000")
	client.expect("UP ")
	host.Drain(-1)
	client.send("M 1")
	client.expect("M 1")
}

// A hanging host must neither respond nor end connections, but must do both when the hang ends.
func TestHostHang_Resumed_AnswersPending(t *testing.T) {
	env := newFixture(t)
	host := env.host("h1", nil)
	established := dial(t, host.Addr(), "OPEN a key c=chat,t=acme,d=2000,life=20")
	established.expect("UP ")
	host.Hang()
	pending := dial(t, host.Addr(), "OPEN b key c=chat,t=acme,d=2000")
	time.Sleep(100 * time.Millisecond)
	if env.count(EventEnded) != 0 || env.count(EventOpened) != 1 {
		t.Error("a hanging host reads from connections or ends them")
	}
	host.Resume()
	pending.expect("UP ")
	established.expect("BYE")
}

// A crashed host must reset its connections and refuse new ones. After a restart it must be in slow start, without
// connections and at the same address, and its endpoint must have a start time.
func TestHostCrash_Restarted_EmptyAndCold(t *testing.T) {
	env := newFixture(t)
	host := env.host("h1", func(config *HostConfig) {
		config.Spec.SlowStartFraction = 0.3
		config.Spec.SlowStartDuration = time.Hour
	})
	warmCapacity := host.State().Capacity
	before := host.Endpoint(wire.Serving)
	client := dial(t, host.Addr(), "OPEN a key c=chat,t=acme,d=2000")
	client.expect("UP ")
	host.Crash()
	client.expectEnd()
	if connection, err := net.Dial("tcp", host.Addr()); err == nil {
		_ = connection.Close()
		t.Error("a crashed host accepts connections")
	}
	if err := host.Restart(); err != nil {
		t.Fatal(err)
	}
	state := host.State()
	if state.Established != 0 || state.Crashed || state.Capacity > 0.31*warmCapacity {
		t.Errorf("state %+v after the restart, want an empty host in slow start; capacity before %g", state, warmCapacity)
	}
	after := host.Endpoint(wire.Serving)
	if before.StartedAtMS != 0 || after.StartedAtMS == 0 || after.Addr != before.Addr {
		t.Errorf("endpoint %+v before the restart, %+v after it; want the same address and a start time", before, after)
	}
	dial(t, host.Addr(), "OPEN a key c=chat,t=acme,d=2000").expect("UP ")
}

// A session whose connection was reset is resumed by a mid-flow reconnect, with the same receipt. A mid-flow reconnect
// is reset if no session waits to be resumed.
func TestHost_MidFlowReconnect_ResumesSession(t *testing.T) {
	env := newFixture(t)
	host := env.host("h1", func(config *HostConfig) { config.ResumeTimeout = time.Hour })
	client := dial(t, host.Addr(), "OPEN a key c=chat,t=acme,d=2000")
	receipt := client.expect("UP ")
	_ = client.connection.SetLinger(0)
	_ = client.connection.Close()
	eventually(t, "the host has removed the reset connection", func() bool { return host.State().Connections == 0 })
	resumed := dial(t, host.Addr(), "OPEN a key c=chat,t=acme,d=2000,mid=1")
	if got := resumed.expect("UP "); got != receipt {
		t.Errorf("response %q after the reconnect, want %q as before", got, receipt)
	}
	resumed.send("M 1")
	resumed.expect("M 1")
	dial(t, host.Addr(), "OPEN a key c=chat,t=acme,d=2000,mid=1").expectEnd() // the session already has a connection
	dial(t, host.Addr(), "OPEN other key c=chat,t=acme,d=2000,mid=1").expectEnd()
	dial(t, host.Addr(), "OPEN stood key c=chat,t=acme,d=2000,at=h1").expect("UP ")
	dial(t, host.Addr(), "OPEN stood2 key c=chat,t=acme,d=2000,at=h2").expect("ERR")
}

// A crashed host whose port another program has taken must report the error at its restart, and must restart once the
// port is free. Such a host made the process of a soak panic when its cluster was closed.
func TestHostRestart_PortTaken_ErrorUntilFree(t *testing.T) {
	host := newFixture(t).host("h1", nil)
	host.Crash()
	listener, err := net.Listen("tcp", host.Addr())
	if err != nil {
		t.Fatal(err)
	}
	if err := host.Restart(); err == nil {
		t.Error("the host has restarted at a port that is taken, want an error")
	}
	if !host.State().Crashed {
		t.Error("the host serves after a failed restart, want it crashed")
	}
	_ = listener.Close()
	if err := host.Restart(); err != nil {
		t.Errorf("restart after the port is free: %v", err)
	}
	dial(t, host.Addr(), "PING").expect("PONG")
	host.Crash()
	if listener, err = net.Listen("tcp", host.Addr()); err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if err := host.Restart(); err == nil {
		t.Error("the host has restarted at a port that is taken again, want an error")
	}
	host.Close()
}
