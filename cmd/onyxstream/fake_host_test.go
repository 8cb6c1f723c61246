package main

import (
	"fmt"
	"sync"
	"testing"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/fakeserver/capacity"
	"onyxstream/internal/wire"
)

// fakeClock is the time base of all fake hosts and fake discovery services.
var fakeClock = fakeserver.NewClock()

// fakeHost is a host that answers each OPEN with a scripted reply, by default UP. After an UP it echoes each line, and
// carries out lines that begin with DO.
type fakeHost struct {
	*fakeserver.Host
	id       string
	mu       sync.Mutex
	reply    string
	received []string
}

// newFakeHost starts a host in zone a. It is closed when the test ends.
func newFakeHost(t testing.TB, id string) *fakeHost {
	t.Helper()
	host := &fakeHost{id: id, reply: "UP from-" + id + "\r\n"}
	config := fakeserver.HostConfig{ID: id, Zone: "a", Spec: capacity.Spec{Cores: 1, Speed: 1}, ObeysTestCommands: true}
	var err error
	host.Host, err = fakeserver.NewHost(config, fakeClock, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Close)
	host.SetResponse(func(line string) string {
		host.mu.Lock()
		defer host.mu.Unlock()
		host.received = append(host.received, line)
		return host.reply
	})
	return host
}

// setReply sets the answer to each OPEN from now on. With "" the host never answers.
func (h *fakeHost) setReply(reply string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reply = reply
}

// openings returns the OPEN lines received so far.
func (h *fakeHost) openings() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.received...)
}

// openConnections returns the number of connections that the host has open.
func (h *fakeHost) openConnections() int { return h.State().Connections }

// kill stops the host as a crash would.
func (h *fakeHost) kill() { h.Crash() }

// endpoint returns the host's entry of an endpoint list.
func (h *fakeHost) endpoint(phase wire.Phase) wire.Endpoint {
	return wire.Endpoint{ID: h.id, Addr: h.Addr(), Zone: "a", Phase: phase, Size: 1}
}

// endpointsOf returns the entries of hosts that all serve.
func endpointsOf(hosts ...*fakeHost) []wire.Endpoint {
	var endpoints []wire.Endpoint
	for _, host := range hosts {
		endpoints = append(endpoints, host.endpoint(wire.Serving))
	}
	return endpoints
}

// endpointsAt returns count entries with different ids and the same address.
func endpointsAt(count int, addr string) []wire.Endpoint {
	var endpoints []wire.Endpoint
	for i := range count {
		endpoints = append(endpoints, wire.Endpoint{
			ID:    fmt.Sprint("s", i),
			Addr:  addr,
			Zone:  "a",
			Size:  1,
			Phase: wire.Serving,
		})
	}
	return endpoints
}
