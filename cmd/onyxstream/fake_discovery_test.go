package main

import (
	"encoding/json"
	"testing"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/wire"
)

// fakeDiscovery is a discovery service that returns the text that a test sets, unchanged.
type fakeDiscovery struct {
	*fakeserver.Discovery
	addr string
}

// newFakeDiscovery starts a discovery service whose first answer is list. It is closed when the test ends.
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

// setUnavailable makes the service answer 503, or answer as usual again.
func (d *fakeDiscovery) setUnavailable(unavailable bool) {
	mode := fakeserver.ModeNormal
	if unavailable {
		mode = fakeserver.ModeUnavailable
	}
	d.SetMode(mode)
}

// requestPaths returns the paths, with their queries, of the requests received so far.
func (d *fakeDiscovery) requestPaths() []string { return d.Requests() }

// endpointListJSON returns an endpoint list, or with complete false a watch event, in the form of the wire.
func endpointListJSON(revision int64, complete bool, endpoints ...wire.Endpoint) string {
	if endpoints == nil {
		endpoints = []wire.Endpoint{}
	}
	text, _ := json.Marshal(wire.EndpointList{Revision: revision, Complete: complete, Endpoints: endpoints})
	return string(text)
}
