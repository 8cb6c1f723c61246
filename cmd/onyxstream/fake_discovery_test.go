package main

import (
	"encoding/json"
	"testing"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/wire"
)

// fakeDiscovery is a stand-in discovery that says what a test gives it, word for word.
type fakeDiscovery struct {
	*fakeserver.Discovery
	addr string
}

func newFakeDiscovery(t testing.TB, first string) *fakeDiscovery {
	t.Helper()
	d, err := fakeserver.NewDiscovery("", fakeClock, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	d.Raw(first)
	return &fakeDiscovery{d, d.Addr()}
}

func (r *fakeDiscovery) sendEvent(text string) { r.Tell(text) }

func (r *fakeDiscovery) setUnavailable(down bool) {
	mode := fakeserver.Well
	if down {
		mode = fakeserver.Busy
	}
	r.Answer(mode)
}

func (r *fakeDiscovery) requestPaths() []string { return r.Calls() }

func endpointListJSON(revision int64, complete bool, endpoints ...wire.Endpoint) string {
	if endpoints == nil {
		endpoints = []wire.Endpoint{}
	}
	text, _ := json.Marshal(wire.EndpointList{Revision: revision, Complete: complete, Endpoints: endpoints})
	return string(text)
}
