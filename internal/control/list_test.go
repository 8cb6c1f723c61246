package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"onyxstream/internal/wire"
)

// holder is an instance that passes a list on.
type holder struct {
	fake
	mu    sync.Mutex
	now   *CachedList
	empty chan struct{}
}

func (h *holder) CachedList() *CachedList {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now
}

func (h *holder) ListAvailable() <-chan struct{} { return h.empty }

func (h *holder) holds(service string, revision int64, age time.Duration, dead ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	was := h.now
	h.now = &CachedList{Service: service, List: wire.EndpointList{Revision: revision, Endpoints: []wire.Endpoint{{ID: "h1", Addr: "127.0.0.1:1"}}},
		Confirmed: time.Now().Add(-age), Replaced: make(chan struct{}), Unreachable: dead, UnreachableAt: make([]time.Time, len(dead))}
	if was != nil {
		close(was.Replaced)
	} else {
		close(h.empty)
	}
}

func newHolder() *holder { return &holder{empty: make(chan struct{})} }

// A call waits until there is something newer, and never longer than it asked.
func TestACallForTheListWaitsForANewerOne(t *testing.T) {
	h := newHolder()
	_, c := servedBy(t, h)
	var refused *RemoteError
	if _, _, err := c.List(t.Context(), "s", -1, 0, 50*time.Millisecond, nil); !errors.As(err, &refused) || refused.Code != http.StatusNotFound {
		t.Errorf("with no list: %v", err)
	}
	ask := func(service string, after int64, age time.Duration, dead *[]string) <-chan PeerList {
		got := make(chan PeerList, 1)
		go func() {
			defer close(got)
			if p, _, err := c.List(t.Context(), service, after, age, 5*time.Second, dead); err == nil {
				got <- p
			}
		}()
		return got
	}
	first, other := ask("s", -1, 0, nil), ask("other", -1, 0, nil)
	time.Sleep(50 * time.Millisecond)
	h.holds("s", 4, time.Minute)
	if p := <-first; p.Revision != 4 || p.List == nil || p.Age < time.Minute || p.Waited < 40*time.Millisecond {
		t.Errorf("the first list: %+v", p)
	}
	if p := <-ask("s", 3, 0, nil); p.List == nil {
		t.Errorf("an older one is asked with: %+v", p)
	}
	same := ask("s", 4, time.Minute, nil)
	dead := []string{"h2"}
	knows := ask("s", 4, time.Minute, &dead)
	time.Sleep(50 * time.Millisecond)
	select {
	case p := <-same:
		t.Errorf("the same one, as old, was answered at once: %+v", p)
	case p := <-other:
		t.Errorf("a list of another service was passed on: %+v", p)
	default:
	}
	h.holds("s", 4, time.Minute, "h1", "h2")
	if p := <-knows; len(p.Unreachable) != 2 || p.List != nil {
		t.Errorf("a host found dead was not told: %+v", p)
	}
	h.holds("s", 4, 0)
	if p := <-same; p.Age > 10*time.Second || p.List != nil {
		t.Errorf("a confirmed one: %+v", p)
	}
	h.holds("other", 9, 0)
	if p := <-other; p.Service != "other" || p.Revision != 9 {
		t.Errorf("the other service's: %+v", p)
	}
}

// Half of a fleet of thousands may be dead, under the longest names: all are told, and an asker that knows them waits.
func TestManyDeadHostsAreTold(t *testing.T) {
	h := newHolder()
	_, c := servedBy(t, h)
	var all []string
	for i := range mostDead {
		all = append(all, strings.Repeat("h", mostName-6)+fmt.Sprintf("%06d", i))
	}
	h.holds("s", 4, time.Minute, all...)
	none := []string{}
	if p, _, err := c.List(t.Context(), "s", 4, time.Minute, 5*time.Second, &none); err != nil || len(p.Unreachable) != mostDead {
		t.Errorf("%d of %d are told, error %v", len(p.Unreachable), mostDead, err)
	}
	for i := range all {
		all[i] = fmt.Sprintf("%0*d", mostName, i)
	}
	h.holds("s", 4, time.Minute, all...)
	if p, _, err := c.List(t.Context(), "s", 4, time.Minute, 100*time.Millisecond, &all); err != nil || p.Waited < 100*time.Millisecond {
		t.Errorf("who knows them all waited %v, error %v", p.Waited, err)
	}
}

// Calls that wait are bounded, and leave the agent its own; what can't be meant is an error.
func TestCallsForTheListAreBounded(t *testing.T) {
	h := newHolder()
	path, c := servedBy(t, h)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for range leastConns / askPart {
		wg.Go(func() {
			own, err := Dial("unix:"+path, nil)
			if err != nil {
				t.Error(err)
				return
			}
			defer own.Close()
			for ctx.Err() == nil { // the call of the test may have taken the last place for a moment
				_, _, _ = own.List(ctx, "s", -1, 0, mostAsk, nil)
			}
		})
	}
	var refused *RemoteError
	for begin := time.Now(); ; {
		_, _, err := c.List(t.Context(), "s", -1, 0, 0, nil)
		if errors.As(err, &refused) && refused.Code == http.StatusServiceUnavailable {
			break
		}
		if time.Since(begin) > 10*time.Second {
			t.Fatalf("%d calls wait, and one more: %v", leastConns/askPart, err)
		}
	}
	if s, err := c.Status(t.Context()); err != nil || s.Name == "" {
		t.Errorf("the agent's call beside them: %+v, %v", s, err)
	}
	cancel()
	wg.Wait()
	for query, want := range map[string]string{"": "after", "?after=x": "after", "?after=1&age_ms=-1&within_ms=0": "age_ms",
		"?after=1&age_ms=0&within_ms=99999999": "within_ms"} {
		var p PeerList
		call := func() error { return c.Call(t.Context(), http.MethodGet, "/v1/list"+query, nil, &p) }
		err := call()
		for begin := time.Now(); errors.As(err, &refused) && refused.Code == http.StatusServiceUnavailable && time.Since(begin) < 10*time.Second; {
			err = call() // those who waited have left, and the server has not seen all of them go yet
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", query, err, want)
		}
	}
}

// An instance that has no cold start passes nothing on.
func TestAnInstanceWithoutAListPassesNothingOn(t *testing.T) {
	_, c := served(t, &fake{})
	var refused *RemoteError
	if _, _, err := c.List(t.Context(), "s", -1, 0, time.Second, nil); !errors.As(err, &refused) || refused.Code != http.StatusNotFound {
		t.Errorf("%v", err)
	}
}
