package main

import (
	"fmt"
	"sync"
	"testing"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/fakeserver/capacity"
	"onyxstream/internal/wire"
)

// fakeClock is the clock of all fake hosts and fake discovery services.
var fakeClock = fakeserver.NewClock()

// fakeHost is a fake host that sends a configurable response to each opening line, by default UP. On an established
// connection it echoes each line, except that it executes a line that begins with DO as a test command.
type fakeHost struct {
	*fakeserver.Host
	id       string
	mu       sync.Mutex
	response string
	received []string
}

// newFakeHost starts a host in zone a. It is closed when the test ends.
func newFakeHost(t testing.TB, id string) *fakeHost {
	t.Helper()
	host := &fakeHost{id: id, response: "UP from-" + id + "\r\n"}
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
		return host.response
	})
	return host
}

// setResponse sets the response to each further opening line. With "" the host never responds.
func (h *fakeHost) setResponse(response string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.response = response
}

// openingLines returns the opening lines received so far.
func (h *fakeHost) openingLines() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.received...)
}

// openConnections returns the number of the host's open connections.
func (h *fakeHost) openConnections() int { return h.State().Connections }

// kill crashes the host: its connections are reset, and further connection attempts are refused.
func (h *fakeHost) kill() { h.Crash() }

// endpoint returns the host's entry in an endpoint list.
func (h *fakeHost) endpoint(phase wire.Phase) wire.Endpoint {
	return wire.Endpoint{ID: h.id, Addr: h.Addr(), Zone: "a", Phase: phase, Size: 1}
}

// endpointsOf returns the hosts' entries in an endpoint list, all in phase serving.
func endpointsOf(hosts ...*fakeHost) []wire.Endpoint {
	var endpoints []wire.Endpoint
	for _, host := range hosts {
		endpoints = append(endpoints, host.endpoint(wire.Serving))
	}
	return endpoints
}

// endpointsAt returns count endpoints with distinct ids, all with the address addr.
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
