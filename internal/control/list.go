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

// PeerList is an instance's endpoint list as it sends it to another instance.
type PeerList struct {
	Service     string             `json:"service"` // name of the list service that it came from, the same on all instances
	Age         time.Duration      `json:"age_ns"`  // since the service last sent or confirmed it, as of the answer
	Waited      time.Duration      `json:"waited_ns"`
	Revision    int64              `json:"revision"`
	List        *wire.EndpointList `json:"list,omitempty"` // nil where the caller has this revision
	Unreachable []UnreachableHost  `json:"dead,omitempty"` // while the list is not confirmed
}

// UnreachableHost is a host that an instance could not connect to, and how long ago.
type UnreachableHost struct {
	ID  string        `json:"id"`
	Age time.Duration `json:"age_ns"`
}

// CachedList is the endpoint list that an instance has now. It does not change once it is returned.
type CachedList struct {
	Service       string
	List          wire.EndpointList // complete
	Confirmed     time.Time         // when the list service last sent or confirmed it
	Replaced      chan struct{}     // closed once there is another list
	Unreachable   []string          // hosts that the instance recently failed to connect to
	UnreachableAt []time.Time       // when, for each of them
}

// ListProvider is an Instance that sends its endpoint list to others.
type ListProvider interface {
	// CachedList returns the list, or nil where there is none.
	CachedList() *CachedList
	// ListAvailable returns a channel that is closed once there is a first list.
	ListAvailable() <-chan struct{}
}

// The bounds of a request for the list.
const (
	maxPeerListWait         = 10 * time.Second
	maxUnreachable          = 4096 // hosts
	maxPeerListRequestBytes = maxUnreachable * (maxNameLength + 4)
	// minAgeAdvantage is how much younger than the caller's the list must be to be sent before the caller's timeout.
	minAgeAdvantage = 500 * time.Millisecond
)

// errNoList says that the instance has no list of the service.
var errNoList = errors.New("no list")

// knownUnreachable is the body of a POST: the unreachable hosts that the caller knows. With a GET the caller does not
// want to be notified of them.
type knownUnreachable struct {
	IDs []string `json:"dead"`
}

// peerListQuery is what a caller has, and how long it waits for something newer.
type peerListQuery struct {
	service           string
	revision          int64
	age               time.Duration
	timeout           time.Duration
	notifyUnreachable bool
	knownUnreachable  map[string]bool
}

// handlePeerList answers a long poll for the endpoint list: at once if the instance's is newer than the caller's, otherwise
// once it is, or when the timeout is over. A caller that has the same revision gets its age alone.
func (s *Server) handlePeerList(w http.ResponseWriter, request *http.Request) {
	provider, ok := s.instance.(ListProvider)
	if !ok {
		WriteError(w, http.StatusNotFound, errors.New("this instance does not share its endpoint list"))
		return
	}
	if !s.peerListSlots.tryAcquire() {
		err := fmt.Errorf("too many list requests: %d are waiting", cap(s.peerListSlots))
		WriteError(w, http.StatusServiceUnavailable, err)
		return
	}
	defer s.peerListSlots.release()
	start := time.Now()
	query, err := parsePeerListQuery(w, request)
	if err != nil {
		WriteError(w, http.StatusBadRequest, err)
		return
	}
	list, err := waitForList(request.Context(), provider, query, start)
	switch {
	case errors.Is(err, errNoList):
		WriteError(w, http.StatusNotFound, fmt.Errorf("this instance has no list of %q", query.service))
	case err != nil: // the caller has disconnected
	default:
		writePeerList(w, list, query.revision, start)
	}
}

// waitForList returns the list as soon as it is worth an answer. The error is errNoList or that of ctx.
func waitForList(ctx context.Context, provider ListProvider, query peerListQuery, start time.Time) (*CachedList, error) {
	timeout := time.NewTimer(query.timeout)
	defer timeout.Stop()
	for {
		changed := provider.ListAvailable() // before CachedList, so that no change in between is missed
		list := provider.CachedList()
		now := time.Now()
		expired := now.Sub(start) >= query.timeout
		if list != nil {
			changed = list.Replaced
		}
		usable := list != nil && list.Service == query.service
		switch {
		case usable && (expired || query.isOutdatedBy(list, start, now)):
			return list, nil
		case !usable && expired:
			return nil, errNoList
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		case <-timeout.C:
		}
	}
}

// isOutdatedBy reports whether a list is newer than the caller's, has been confirmed later, or has other unreachable
// hosts. The caller's has aged since start.
func (q *peerListQuery) isOutdatedBy(list *CachedList, start, now time.Time) bool {
	if list.List.Revision != q.revision {
		return list.List.Revision > q.revision
	}
	callerAge := q.age + now.Sub(start)
	ageAdvantage := callerAge - now.Sub(list.Confirmed)
	if ageAdvantage >= minAgeAdvantage {
		return true
	}
	return q.notifyUnreachable && slices.ContainsFunc(list.Unreachable, func(id string) bool {
		return !q.knownUnreachable[id]
	})
}

func writePeerList(w http.ResponseWriter, list *CachedList, callerRevision int64, start time.Time) {
	now := time.Now()
	peerList := PeerList{
		Service:  list.Service,
		Age:      now.Sub(list.Confirmed),
		Waited:   now.Sub(start),
		Revision: list.List.Revision,
	}
	if list.List.Revision != callerRevision {
		peerList.List = &list.List
	}
	for i, id := range list.Unreachable[:min(len(list.Unreachable), maxUnreachable)] {
		host := UnreachableHost{ID: id, Age: now.Sub(list.UnreachableAt[i])}
		peerList.Unreachable = append(peerList.Unreachable, host)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(now.Add(bodyTimeout))
	WriteJSON(w, peerList)
}

func parsePeerListQuery(w http.ResponseWriter, request *http.Request) (peerListQuery, error) {
	values := request.URL.Query()
	query := peerListQuery{
		service:           values.Get("service"),
		notifyUnreachable: request.Method == http.MethodPost,
		knownUnreachable:  map[string]bool{},
	}
	if query.notifyUnreachable {
		var known knownUnreachable
		body := http.MaxBytesReader(w, request.Body, maxPeerListRequestBytes)
		if err := ReadJSON(body, &known); err != nil {
			return query, fmt.Errorf("dead: %w", err)
		}
		for _, id := range known.IDs {
			query.knownUnreachable[id] = true
		}
	}
	var err error
	query.revision, err = strconv.ParseInt(values.Get("after"), 10, 64)
	if err != nil {
		return query, fmt.Errorf("after: %q is not a revision", values.Get("after"))
	}
	query.age, err = parseMilliseconds(values, "age_ms", maxDuration)
	if err != nil {
		return query, err
	}
	query.timeout, err = parseMilliseconds(values, "within_ms", maxPeerListWait)
	return query, err
}

func parseMilliseconds(values url.Values, name string, limit time.Duration) (time.Duration, error) {
	text := values.Get(name)
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > limit.Milliseconds() {
		return 0, fmt.Errorf("%s: %q is not between 0 and %d", name, text, limit.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}
