package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"onyxstream/internal/wire"
)

// PeerList is the list of hosts as one instance passes it on to another.
type PeerList struct {
	Service     string             `json:"service"` // that told it first, by the name that all instances know it by
	Age         time.Duration      `json:"age_ns"`  // since the service last told or confirmed it, as of the answer
	Waited      time.Duration      `json:"waited_ns"`
	Revision    int64              `json:"revision"`
	List        *wire.EndpointList `json:"list,omitempty"` // nil where the asker's revision is this one
	Unreachable []UnreachableHost  `json:"dead,omitempty"` // hosts that could not be connected to while the list is old
}

// UnreachableHost is a host that a node could not connect to, and how long ago.
type UnreachableHost struct {
	ID  string        `json:"id"`
	Age time.Duration `json:"age_ns"`
}

// CachedList is the list that an instance holds now.
type CachedList struct {
	Service       string
	List          wire.EndpointList // complete; never changed once it is held
	Confirmed     time.Time         // when the service last told or confirmed it
	Replaced      chan struct{}
	Unreachable   []string    // hosts that could not be connected to of late, and when
	UnreachableAt []time.Time // of each
}

// ListProvider is an instance that passes its list on. CachedList returns nil where it has none; Replaced of what it returns is closed
// once there is another, and ListAvailable once there is a first one.
type ListProvider interface {
	CachedList() *CachedList
	ListAvailable() <-chan struct{}
}

const (
	mostAsk  = 10 * time.Second          // the longest that such a call may wait
	mostDead = 4096                      // hosts found dead that are told of
	deadBody = mostDead * (mostName + 4) // bytes of their names, quoted
	// fresher is how much younger than the asker's what is held must be to be worth an answer before the asked time.
	fresher = 500 * time.Millisecond
)

// list answers a call for the list: at once where what is held is newer than the asker's, else when it is, or when the
// asked time is over. An asker that knows the revision is told its age alone.
func (s *Server) list(w http.ResponseWriter, q *http.Request) {
	l, ok := s.instance.(ListProvider)
	if !ok {
		WriteError(w, http.StatusNotFound, errors.New("this instance passes no list on"))
		return
	}
	select {
	case s.askers <- struct{}{}:
		defer func() { <-s.askers }()
	default:
		WriteError(w, http.StatusServiceUnavailable, fmt.Errorf("%d calls for the list wait, no more can", cap(s.askers)))
		return
	}
	began := time.Now()
	service, known := q.URL.Query().Get("service"), knownDead{}
	if q.Method == http.MethodPost {
		if err := ReadJSON(http.MaxBytesReader(w, q.Body, deadBody), &known); err != nil {
			WriteError(w, http.StatusBadRequest, fmt.Errorf("dead: %w", err))
			return
		}
	}
	dead := make(map[string]bool, len(known.Dead))
	for _, id := range known.Dead {
		dead[id] = true
	}
	after, age, within, err := asked(q.URL.Query())
	if err != nil {
		WriteError(w, http.StatusBadRequest, err)
		return
	}
	late := time.NewTimer(within)
	defer late.Stop()
	for {
		empty := l.ListAvailable() // before CachedList: what comes between the two is not missed
		h := l.CachedList()
		now := time.Now()
		over := now.Sub(began) >= within
		changed := empty
		if h != nil && h.Service != service { // of no use to the asker, nor will it be soon
			changed, h = h.Replaced, nil
		}
		if h != nil {
			ahead := now.Sub(began) + age - now.Sub(h.Confirmed) // by how much the asker's is older by now
			news := q.Method == http.MethodPost && slices.ContainsFunc(h.Unreachable, func(id string) bool { return !dead[id] })
			if h.List.Revision > after || over || (news || ahead >= fresher) && h.List.Revision == after {
				s.pass(w, h, after, began)
				return
			}
			changed = h.Replaced
		} else if over {
			WriteError(w, http.StatusNotFound, fmt.Errorf("this instance has no list of %q", service))
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-changed:
		case <-late.C:
		}
	}
}

// knownDead is what an asker knows of hosts found dead. A call without it does not want to be told.
type knownDead struct {
	Dead []string `json:"dead"`
}

func (s *Server) pass(w http.ResponseWriter, h *CachedList, after int64, began time.Time) {
	now := time.Now()
	p := PeerList{Service: h.Service, Age: now.Sub(h.Confirmed), Waited: now.Sub(began), Revision: h.List.Revision}
	if h.List.Revision != after {
		p.List = &h.List
	}
	for i, id := range h.Unreachable[:min(len(h.Unreachable), mostDead)] {
		p.Unreachable = append(p.Unreachable, UnreachableHost{id, now.Sub(h.UnreachableAt[i])})
	}
	_ = http.NewResponseController(w).SetWriteDeadline(now.Add(bodyWithin))
	WriteJSON(w, p)
}

// asked reads what an asker holds, and how long it waits.
func asked(q url.Values) (after int64, age, within time.Duration, err error) {
	if after, err = strconv.ParseInt(q.Get("after"), 10, 64); err != nil {
		return 0, 0, 0, fmt.Errorf("after: %q is no revision", q.Get("after"))
	}
	for _, f := range []struct {
		name string
		into *time.Duration
		most time.Duration
	}{{"age_ms", &age, mostWithin}, {"within_ms", &within, mostAsk}} {
		ms, err := strconv.ParseInt(q.Get(f.name), 10, 64)
		if err != nil || ms < 0 || ms > f.most.Milliseconds() {
			return 0, 0, 0, fmt.Errorf("%s: %q is not between 0 and %d", f.name, q.Get(f.name), f.most.Milliseconds())
		}
		*f.into = time.Duration(ms) * time.Millisecond
	}
	return after, age, within, nil
}

// List asks an instance for its list of a service: it answers as soon as it holds one that is newer than the revision given, or younger
// than age, or other hosts found dead than those given (nil where they don't matter), and after within at the latest. The time at which the answer was true comes with it, as early as it can have
// been: an answer that lay unread counts as old as it is.
func (c *Client) List(ctx context.Context, service string, after int64, age, within time.Duration, dead *[]string) (p PeerList, at time.Time, err error) {
	began := time.Now()
	method, in := http.MethodGet, any(nil)
	path := fmt.Sprintf("/v1/list?service=%s&after=%d&age_ms=%d&within_ms=%d", url.QueryEscape(service), after,
		min(age, mostWithin).Milliseconds(), within.Milliseconds())
	if dead != nil {
		method, in = http.MethodPost, knownDead{(*dead)[:min(len(*dead), mostDead)]}
	}
	if err = c.Call(ctx, method, path, in, &p); err != nil {
		return p, began, err
	}
	if p.Age < 0 || p.Waited < 0 || p.Waited > time.Since(began) {
		return p, began, errors.New("the answer's times can't be true")
	}
	if len(p.Unreachable) > mostDead {
		return p, began, fmt.Errorf("the answer names over %d dead hosts", mostDead)
	}
	if p.List != nil {
		if err := p.List.Check(); err != nil {
			return p, began, fmt.Errorf("the list that was passed on: %w", err)
		}
		p.List.Complete, p.List.Revision = true, p.Revision
	}
	return p, began.Add(p.Waited), nil
}
