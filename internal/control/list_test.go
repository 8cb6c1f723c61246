package control

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"onyxstream/internal/wire"
)

// fakeListInstance is a fake instance that implements ListProvider.
type fakeListInstance struct {
	fakeInstance
	mu        sync.Mutex
	list      *CachedList
	available chan struct{}
}

func (instance *fakeListInstance) CachedList() *CachedList {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.list
}

func (instance *fakeListInstance) ListAvailable() <-chan struct{} { return instance.available }

// setList sets a list with one host that was confirmed age ago, and wakes the requests that wait for a list.
func (instance *fakeListInstance) setList(discoveryName string, revision int64, age time.Duration, unreachable ...string) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	previous := instance.list
	instance.list = &CachedList{
		DiscoveryName: discoveryName,
		List:          wire.EndpointList{Revision: revision, Endpoints: []wire.Endpoint{{ID: "h1", Addr: "127.0.0.1:1"}}},
		Confirmed:     time.Now().Add(-age),
		Replaced:      make(chan struct{}),
		Unreachable:   unreachable,
		UnreachableAt: make([]time.Time, len(unreachable)),
	}
	if previous != nil {
		close(previous.Replaced)
	} else {
		close(instance.available)
	}
}

func newFakeListInstance() *fakeListInstance {
	return &fakeListInstance{available: make(chan struct{})}
}

// A request for the peer list waits until the instance has a newer list, and never longer than its timeout.
func TestList_NothingNewer_Waits(t *testing.T) {
	instance := newFakeListInstance()
	_, c := startServer(t, instance)
	_, _, err := c.List(t.Context(), "s", -1, 0, 50*time.Millisecond, nil)
	if !isRemoteError(err, http.StatusNotFound) {
		t.Errorf("List without a list: %v, want status 404", err)
	}
	requestList := func(discoveryName string, revision int64, age time.Duration, unreachable *[]string) <-chan PeerList {
		got := make(chan PeerList, 1)
		go func() {
			defer close(got)
			if p, _, err := c.List(t.Context(), discoveryName, revision, age, 5*time.Second, unreachable); err == nil {
				got <- p
			}
		}()
		return got
	}
	first, other := requestList("s", -1, 0, nil), requestList("other", -1, 0, nil)
	time.Sleep(50 * time.Millisecond)
	instance.setList("s", 4, time.Minute)
	if p := <-first; p.Revision != 4 || p.List == nil || p.Age < time.Minute || p.Waited < 40*time.Millisecond {
		t.Errorf("first list: %+v, want revision 4 after a wait", p)
	}
	if p := <-requestList("s", 3, 0, nil); p.List == nil {
		t.Errorf("response to a requester with an older revision: %+v, want a list", p)
	}
	same := requestList("s", 4, time.Minute, nil)
	known := []string{"h2"}
	knowing := requestList("s", 4, time.Minute, &known)
	time.Sleep(50 * time.Millisecond)
	select {
	case p := <-same:
		t.Errorf("immediate response to a requester with the same list: %+v, want none yet", p)
	case p := <-other:
		t.Errorf("response with the list of another discovery service: %+v, want none yet", p)
	default:
	}
	instance.setList("s", 4, time.Minute, "h1", "h2")
	if p := <-knowing; len(p.Unreachable) != 2 || p.List != nil {
		t.Errorf("response to a new unreachable host: %+v, want 2 hosts and no list", p)
	}
	instance.setList("s", 4, 0)
	if p := <-same; p.Age > 10*time.Second || p.List != nil {
		t.Errorf("response after a confirmation: %+v, want a low age and no list", p)
	}
	instance.setList("other", 9, 0)
	if p := <-other; p.DiscoveryName != "other" || p.Revision != 9 {
		t.Errorf("list of the other discovery service: %+v, want revision 9", p)
	}
}

// Half of the hosts may be unreachable in a large deployment, and their IDs may have the maximum length. The response
// contains all of them, and the request of an instance that already knows them waits.
func TestList_ManyUnreachableHosts_SendsAll(t *testing.T) {
	instance := newFakeListInstance()
	_, c := startServer(t, instance)
	var all []string
	for i := range maxUnreachable {
		all = append(all, strings.Repeat("h", maxNameLength-6)+fmt.Sprintf("%06d", i))
	}
	instance.setList("s", 4, time.Minute, all...)
	none := []string{}
	list, _, err := c.List(t.Context(), "s", 4, time.Minute, 5*time.Second, &none)
	if err != nil || len(list.Unreachable) != maxUnreachable {
		t.Errorf("%d of %d unreachable hosts received, error %v, want all", len(list.Unreachable), maxUnreachable, err)
	}
	for i := range all {
		all[i] = fmt.Sprintf("%0*d", maxNameLength, i)
	}
	instance.setList("s", 4, time.Minute, all...)
	const timeout = 100 * time.Millisecond
	list, _, err = c.List(t.Context(), "s", 4, time.Minute, timeout, &all)
	if err != nil || list.Waited < timeout {
		t.Errorf("the request of an instance that knows all hosts waited %v, error %v, want at least 100ms", list.Waited, err)
	}
}

// The number of waiting requests is limited. Waiting requests leave connections for the agent's requests, and free their
// slots when their senders disconnect.
func TestList_TooManyRequests_Rejects(t *testing.T) {
	instance := newFakeListInstance()
	path, c := startServer(t, instance)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for range minConns / peerListDivisor {
		wg.Go(func() {
			client, err := Dial("unix:"+path, nil)
			if err != nil {
				t.Error(err)
				return
			}
			defer client.Close()
			for ctx.Err() == nil { // the test's own request may have taken the last slot
				_, _, _ = client.List(ctx, "s", -1, 0, maxPeerListWait, nil)
			}
		})
	}
	for start := time.Now(); ; {
		_, _, err := c.List(t.Context(), "s", -1, 0, 0, nil)
		if isRemoteError(err, http.StatusServiceUnavailable) {
			break
		}
		if time.Since(start) > 10*time.Second {
			t.Fatalf("request while %d requests are waiting: %v, want status 503", minConns/peerListDivisor, err)
		}
	}
	if s, err := c.Status(t.Context()); err != nil || s.Name == "" {
		t.Errorf("Status while list requests are waiting: %+v, error %v, want a name", s, err)
	}
	cancel()
	wg.Wait()
	start := time.Now()
	err := c.Call(t.Context(), http.MethodGet, "/v1/list", nil, new(PeerList))
	for isRemoteError(err, http.StatusServiceUnavailable) && time.Since(start) < 10*time.Second {
		// The server may not have noticed yet that all senders have disconnected.
		err = c.Call(t.Context(), http.MethodGet, "/v1/list", nil, new(PeerList))
	}
	if err == nil || !strings.Contains(err.Error(), "after") {
		t.Errorf("request without parameters after the other requests ended: %v, want an error that names the parameter after", err)
	}
}

// A missing, malformed or negative parameter, or a timeout above the limit, is rejected with an error that names it.
func TestList_InvalidQuery_NamesParameter(t *testing.T) {
	_, c := startServer(t, newFakeListInstance())
	for query, want := range map[string]string{
		"":                                     "after",
		"?after=x":                             "after",
		"?after=1&age_ms=-1&within_ms=0":       "age_ms",
		"?after=1&age_ms=0&within_ms=99999999": "within_ms",
	} {
		err := c.Call(t.Context(), http.MethodGet, "/v1/list"+query, nil, new(PeerList))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("query %q: error %v, want %s", query, err, want)
		}
	}
}

// An instance without cold start does not share its list.
func TestList_NoProvider_RespondsNotFound(t *testing.T) {
	_, c := startServer(t, &fakeInstance{})
	_, _, err := c.List(t.Context(), "s", -1, 0, time.Second, nil)
	if !isRemoteError(err, http.StatusNotFound) {
		t.Error(err)
	}
}
