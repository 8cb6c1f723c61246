package main

import (
	"fmt"
	"sync"
	"testing"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/fakeserver/capacity"
	"onyxstream/internal/wire"
)

// fakeHost is a stand-in host that answers by script: UP unless told otherwise. After an UP it echoes lines, and obeys
// those that begin with DO.
type fakeHost struct {
	*fakeserver.Host
	id       string
	mu       sync.Mutex
	reply    string
	received []string
}

var fakeClock = fakeserver.NewClock()

func newFakeHost(t testing.TB, id string) *fakeHost {
	t.Helper()
	host := &fakeHost{id: id, reply: "UP from-" + id + "\r\n"}
	var err error
	host.Host, err = fakeserver.NewHost(fakeserver.HostConfig{ID: id, Zone: "a", Spec: capacity.Spec{Cores: 1, Speed: 1}, Obeys: true}, fakeClock, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Close)
	host.Says(func(line string) string {
		host.mu.Lock()
		defer host.mu.Unlock()
		host.received = append(host.received, line)
		return host.reply
	})
	return host
}

func (h *fakeHost) setReply(reply string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reply = reply
}

func (h *fakeHost) openings() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.received...)
}

func (h *fakeHost) openConnections() int { return h.State().Conns }

func (h *fakeHost) kill() { h.Die() }

func (h *fakeHost) endpoint(phase string) wire.Endpoint {
	var p wire.Phase
	if err := p.UnmarshalText([]byte(phase)); err != nil {
		panic(err)
	}
	return wire.Endpoint{ID: h.id, Addr: h.Addr(), Zone: "a", Phase: p, Size: 1}
}

// endpointsAt are n hosts at one address.
func endpointsAt(n int, addr string) (out []wire.Endpoint) {
	for i := range n {
		out = append(out, wire.Endpoint{ID: fmt.Sprint("s", i), Addr: addr, Zone: "a", Size: 1, Phase: wire.Serving})
	}
	return out
}
