package fakeserver

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"onyxstream/internal/wire"
)

// discoveryClient sends requests to a discovery service. The requests end with the test.
type discoveryClient struct {
	ctx    context.Context
	client *http.Client
	url    string
}

func newDiscoveryClient(t *testing.T, discovery *Discovery) *discoveryClient {
	return &discoveryClient{
		ctx:    t.Context(),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		url:    "http://" + discovery.Addr() + "/catalog/members",
	}
}

// get sends a request and returns the body and the status of the response. The status is 0 if the connection was reset.
func (c *discoveryClient) get(query string) (body *bufio.Reader, status int) {
	request, _ := http.NewRequestWithContext(c.ctx, http.MethodGet, c.url+query, nil)
	response, err := c.client.Do(request)
	if err != nil {
		return bufio.NewReader(strings.NewReader("")), 0
	}
	return bufio.NewReader(response.Body), response.StatusCode
}

// nextList skips heartbeats, which are empty lines, and reads the next list or update. ended reports that the
// connection has ended.
func nextList(t *testing.T, body *bufio.Reader) (list wire.EndpointList, ended bool) {
	t.Helper()
	for {
		line, err := body.ReadString('\n')
		if err != nil {
			return list, true
		}
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		if err := json.Unmarshal([]byte(line), &list); err != nil {
			t.Fatal(err)
		}
		return list, false
	}
}

// expectList reads the next list or update and checks its revision, completeness and number of endpoints.
func expectList(t *testing.T, body *bufio.Reader, revision int64, complete bool, endpoints int) {
	t.Helper()
	list, _ := nextList(t, body)
	if list.Revision != revision || list.Complete != complete || len(list.Endpoints) != endpoints {
		t.Errorf("list %+v, want revision %d, complete %v, %d endpoints", list, revision, complete, endpoints)
	}
}

// A watch must get the changes in order of revision, late if they are delayed and not at all while the list is frozen.
// It must end at a restart and when the service becomes unavailable. A client with a revision from before the restart
// must get the complete list.
func TestDiscovery_DelayFreezeRestart_WatchFollows(t *testing.T) {
	env := newFixture(t)
	endpoint := func(id string, phase wire.Phase) wire.Endpoint {
		return wire.Endpoint{ID: id, Addr: "127.0.0.1:1", Phase: phase, Size: 1}
	}
	discovery, err := NewDiscovery("", env.clock, env.events, 41, endpoint("a", wire.Serving))
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	client := newDiscoveryClient(t, discovery)
	watch, _ := client.get("?watch=1&after=41")
	expectList(t, watch, 41, false, 0) // an empty update: nothing has changed yet
	discovery.SetNotifyDelay(150 * time.Millisecond)
	setAt := env.clock.Now()
	discovery.Set(endpoint("a", wire.Draining))
	discovery.SetNotifyDelay(0)
	discovery.Set(endpoint("b", wire.Serving)) // must be published after the previous, delayed change
	list, _ := nextList(t, watch)
	if now := env.clock.Now(); now < setAt+150*time.Millisecond {
		t.Errorf("update arrived %v after a delayed change, want at least 150 ms", now-setAt)
	}
	for list.Revision < 43 {
		if list.Complete || len(list.Endpoints) == 0 || list.Endpoints[0].Phase != wire.Draining {
			t.Errorf("update %+v, want the draining endpoint first", list)
		}
		list, _ = nextList(t, watch)
	}
	complete, _ := client.get("")
	expectList(t, complete, 43, true, 2)
	discovery.SetFrozen(true)
	discovery.Set(endpoint("b", wire.Removed))
	frozen, _ := client.get("")
	if list, _ := nextList(t, frozen); list.Revision != 43 {
		t.Errorf("frozen list has revision %d, want 43", list.Revision)
	}
	discovery.SetFrozen(false)
	if list, _ := nextList(t, watch); list.Revision != 44 || list.Endpoints[0].Phase != wire.Removed {
		t.Errorf("update %+v, want revision 44 with the removed endpoint", list)
	}
	discovery.Restart(7)
	if _, ended := nextList(t, watch); !ended {
		t.Error("the watch stays open after the restart")
	}
	watch, _ = client.get("?watch=1&after=44") // a revision from before the restart gets the complete list
	expectList(t, watch, 7, true, 1)
	discovery.SetMode(ModeUnavailable)
	if _, ended := nextList(t, watch); !ended {
		t.Error("the watch stays open while the service is unavailable")
	}
	if _, status := client.get(""); status != http.StatusServiceUnavailable {
		t.Errorf("status %d while the service is unavailable, want 503", status)
	}
	discovery.SetMode(ModeReset)
	if _, status := client.get(""); status != 0 {
		t.Errorf("status %d while requests are reset, want a reset", status)
	}
}
