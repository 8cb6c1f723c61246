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

// discoveryClient calls a discovery service; its calls end with the test.
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

// get returns the body and the status of an answer, 0 where the connection was reset.
func (c *discoveryClient) get(query string) (body *bufio.Reader, status int) {
	request, _ := http.NewRequestWithContext(c.ctx, http.MethodGet, c.url+query, nil)
	response, err := c.client.Do(request)
	if err != nil {
		return bufio.NewReader(strings.NewReader("")), 0
	}
	return bufio.NewReader(response.Body), response.StatusCode
}

// nextList reads the next list or update, past heartbeats; ended where the connection has ended.
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

// expectList reads the next list or update, and checks its revision, completeness and number of endpoints.
func expectList(t *testing.T, body *bufio.Reader, revision int64, complete bool, endpoints int) {
	t.Helper()
	list, _ := nextList(t, body)
	if list.Revision != revision || list.Complete != complete || len(list.Endpoints) != endpoints {
		t.Errorf("list %+v, want revision %d, complete %v, %d endpoints", list, revision, complete, endpoints)
	}
}

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
	expectList(t, watch, 41, false, 0) // no changes yet
	discovery.SetNotifyDelay(150 * time.Millisecond)
	setAt := env.clock.Now()
	discovery.Set(endpoint("a", wire.Draining))
	discovery.SetNotifyDelay(0)
	discovery.Set(endpoint("b", wire.Serving)) // is published after the change before it
	list, _ := nextList(t, watch)
	if now := env.clock.Now(); now < setAt+150*time.Millisecond {
		t.Errorf("notified %v after the change, want at least 150 ms", now-setAt)
	}
	for list.Revision < 43 {
		if list.Complete || len(list.Endpoints) == 0 || list.Endpoints[0].Phase != wire.Draining {
			t.Errorf("update %+v", list)
		}
		list, _ = nextList(t, watch)
	}
	complete, _ := client.get("")
	expectList(t, complete, 43, true, 2)
	discovery.SetFrozen(true)
	discovery.Set(endpoint("b", wire.Removed))
	frozen, _ := client.get("")
	if list, _ := nextList(t, frozen); list.Revision != 43 {
		t.Errorf("a frozen list has revision %d", list.Revision)
	}
	discovery.SetFrozen(false)
	if list, _ := nextList(t, watch); list.Revision != 44 || list.Endpoints[0].Phase != wire.Removed {
		t.Errorf("update %+v", list)
	}
	discovery.Restart(7)
	if _, ended := nextList(t, watch); !ended {
		t.Error("a watch outlives the restart")
	}
	watch, _ = client.get("?watch=1&after=44") // a revision before the restart: the complete list
	expectList(t, watch, 7, true, 1)
	discovery.SetMode(ModeUnavailable)
	if _, ended := nextList(t, watch); !ended {
		t.Error("a watch outlives the failure")
	}
	if _, status := client.get(""); status != http.StatusServiceUnavailable {
		t.Errorf("status %d while unavailable", status)
	}
	discovery.SetMode(ModeReset)
	if _, status := client.get(""); status != 0 {
		t.Errorf("status %d while calls are reset", status)
	}
}
