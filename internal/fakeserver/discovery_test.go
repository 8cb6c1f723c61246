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

func TestDiscovery_DelayFreezeRestart_WatchFollows(t *testing.T) {
	env := newFixture(t)
	m := func(id string, p wire.Phase) wire.Endpoint {
		return wire.Endpoint{ID: id, Addr: "127.0.0.1:1", Phase: p, Size: 1}
	}
	d, err := NewDiscovery("", env.clock, env.events, 41, m("a", wire.Serving))
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ask := func(query string) (*bufio.Reader, int) {
		q, _ := http.NewRequestWithContext(ctx, "GET", "http://"+d.Addr()+"/catalog/members"+query, nil)
		resp, err := client.Do(q)
		if err != nil {
			return bufio.NewReader(strings.NewReader("")), 0
		}
		return bufio.NewReader(resp.Body), resp.StatusCode
	}
	next := func(b *bufio.Reader) (c wire.EndpointList, ended bool) {
		for {
			line, err := b.ReadString('\n')
			if err != nil {
				return c, true
			}
			if line = strings.TrimSpace(line); line != "" {
				if err := json.Unmarshal([]byte(line), &c); err != nil {
					t.Fatal(err)
				}
				return c, false
			}
		}
	}
	w, _ := ask("?watch=1&after=41")
	if c, _ := next(w); c.Revision != 41 || c.Complete || len(c.Endpoints) != 0 {
		t.Errorf("a watch on which nothing has changed begins with %+v", c)
	}
	d.SetNotifyDelay(150 * time.Millisecond)
	set := env.clock.Now()
	d.Set(m("a", wire.Draining))
	d.SetNotifyDelay(0)
	d.Set(m("b", wire.Serving)) // does not overtake
	c, _ := next(w)
	if now := env.clock.Now(); now < set+150*time.Millisecond {
		t.Errorf("told %v after the change, want 150 ms at least", now-set)
	}
	for c.Revision < 43 {
		if c.Complete || len(c.Endpoints) == 0 || c.Endpoints[0].Phase != wire.Draining {
			t.Errorf("told %+v", c)
		}
		c, _ = next(w)
	}
	whole, _ := ask("")
	if c, _ := next(whole); c.Revision != 43 || !c.Complete || len(c.Endpoints) != 2 {
		t.Errorf("the list is %+v", c)
	}
	d.SetFrozen(true)
	d.Set(m("b", wire.Removed))
	frozen, _ := ask("")
	if c, _ := next(frozen); c.Revision != 43 {
		t.Errorf("a frozen list is at %d", c.Revision)
	}
	d.SetFrozen(false)
	if c, _ := next(w); c.Revision != 44 || c.Endpoints[0].Phase != wire.Removed {
		t.Errorf("told %+v", c)
	}
	d.Restart(7)
	if _, ended := next(w); !ended {
		t.Error("a watch outlives the restart")
	}
	w, _ = ask("?watch=1&after=44") // of the old count: the whole list
	if c, _ := next(w); c.Revision != 7 || !c.Complete || len(c.Endpoints) != 1 {
		t.Errorf("after the restart %+v", c)
	}
	d.SetMode(ModeUnavailable)
	if _, ended := next(w); !ended {
		t.Error("a watch outlives the failure")
	}
	if _, status := ask(""); status != 503 {
		t.Errorf("status %d while it is busy", status)
	}
	d.SetMode(ModeReset)
	if _, status := ask(""); status != 0 {
		t.Errorf("status %d while it resets", status)
	}
}
