package main

import (
	"encoding/json"
	"testing"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/wire"
)

// fakeDiscovery is a fake discovery service. It sends the text that the test sets, even if the text is not a valid
// endpoint list.
type fakeDiscovery struct {
	*fakeserver.Discovery
	addr string
}

// newFakeDiscovery starts a fake discovery service that returns list. It is closed when the test ends.
func newFakeDiscovery(t testing.TB, list string) *fakeDiscovery {
	t.Helper()
	discovery, err := fakeserver.NewDiscovery("", fakeClock, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	discovery.SetRawBody(list)
	return &fakeDiscovery{discovery, discovery.Addr()}
}

// sendEvent sends text to each open watch.
func (d *fakeDiscovery) sendEvent(text string) { d.SendRaw(text) }

// setUnavailable makes the service respond with status 503, or normally again.
func (d *fakeDiscovery) setUnavailable(unavailable bool) {
	mode := fakeserver.ModeNormal
	if unavailable {
		mode = fakeserver.ModeUnavailable
	}
	d.SetMode(mode)
}

// requestPaths returns the path and query of each request received so far, including watches.
func (d *fakeDiscovery) requestPaths() []string { return d.Requests() }

// endpointListJSON returns an endpoint list as JSON, as discovery sends it: a snapshot if complete is true, otherwise a
// delta, as in a watch event.
func endpointListJSON(revision int64, complete bool, endpoints ...wire.Endpoint) string {
	if endpoints == nil {
		endpoints = []wire.Endpoint{}
	}
	text, _ := json.Marshal(wire.EndpointList{Revision: revision, Complete: complete, Endpoints: endpoints})
	return string(text)
}
