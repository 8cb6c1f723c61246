package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"onyxstream/internal/wire"
)

// PeerList is the endpoint list that an instance sends to a peer.
type PeerList struct {
	DiscoveryName string             `json:"service"`   // name of the discovery service, the same on all instances
	Age           time.Duration      `json:"age_ns"`    // since discovery last sent or confirmed the list; as of the response
	Waited        time.Duration      `json:"waited_ns"` // how long the request waited for the response
	Revision      int64              `json:"revision"`
	List          *wire.EndpointList `json:"list,omitempty"` // nil if the requester has this revision
	Unreachable   []UnreachableHost  `json:"dead,omitempty"` // set only while discovery has not confirmed the list
}

// listField is the name of PeerList.List in JSON.
const listField = "list"

// UnreachableHost is a host that an instance could not connect to.
type UnreachableHost struct {
	ID  string        `json:"id"`
	Age time.Duration `json:"age_ns"` // since the failed connection attempt
}

// CachedList is the endpoint list that an instance has now. It is immutable.
type CachedList struct {
	DiscoveryName string
	List          wire.EndpointList // complete
	Confirmed     time.Time         // when discovery last sent or confirmed the list
	Replaced      chan struct{}     // closed when another list replaces this one
	Unreachable   []string          // IDs of hosts that the instance recently failed to connect to
	UnreachableAt []time.Time       // when each connection attempt failed, in the order of Unreachable
}

// ListProvider is an Instance that shares its endpoint list with peers.
type ListProvider interface {
	// CachedList returns the current list, or nil if the instance has none.
	CachedList() *CachedList
	// ListAvailable returns a channel that is closed when the instance gets its first list.
	ListAvailable() <-chan struct{}
}

// The limits of a peer list request.
const (
	maxPeerListWait         = 10 * time.Second
	maxUnreachable          = 4096 // hosts
	maxPeerListRequestBytes = maxUnreachable * (maxNameLength + 4)
	// minAgeAdvantage decides whether a list of the same revision is worth a response before the timeout: it must have
	// been confirmed at least this much later than the requester's list.
	minAgeAdvantage = 500 * time.Millisecond
)

// errNoList means that the instance has no list from the requested discovery service.
var errNoList = errors.New("no list")

// knownUnreachable is the body of a POST: the unreachable hosts that the requester already knows. A requester that
// sends a GET does not want to be notified of unreachable hosts.
type knownUnreachable struct {
	IDs []string `json:"dead"`
}

// peerListQuery describes the requester's list, and how long the requester waits for a newer one.
type peerListQuery struct {
	discoveryName     string
	revision          int64
	age               time.Duration
	timeout           time.Duration
	notifyUnreachable bool
	knownUnreachable  map[string]bool
}

// handlePeerList serves a long poll for the endpoint list. It responds as soon as the instance's list is newer than the
// requester's, or when the timeout expires. If both have the same revision, the response leaves out the list.
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
	release, err := s.bodies.Reserve(request, maxPeerListRequestBytes)
	if err != nil {
		WriteError(w, http.StatusServiceUnavailable, err)
		return
	}
	defer release()
	start := time.Now()
	query, err := parsePeerListQuery(w, request)
	if err != nil {
		WriteError(w, http.StatusBadRequest, err)
		return
	}
	list, err := waitForList(request.Context(), provider, query, start)
	switch {
	case errors.Is(err, errNoList):
		WriteError(w, http.StatusNotFound, fmt.Errorf("this instance has no list of %q", query.discoveryName))
	case err != nil: // the requester has disconnected
	default:
		s.writePeerList(w, list, query.revision, start)
	}
}

// waitForList waits until the list is newer than the requester's or the timeout expires, and returns the list. The
// error is errNoList or that of ctx.
func waitForList(ctx context.Context, provider ListProvider, query peerListQuery, start time.Time) (*CachedList, error) {
	timeout := time.NewTimer(query.timeout)
	defer timeout.Stop()
	for {
		changed := provider.ListAvailable() // before CachedList, so that no list in between is missed
		list := provider.CachedList()
		now := time.Now()
		expired := now.Sub(start) >= query.timeout
		if list != nil {
			changed = list.Replaced
		}
		usable := list != nil && list.DiscoveryName == query.discoveryName
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

// isOutdatedBy reports whether a list is newer than the requester's: it has a higher revision, or it has the same
// revision and either was confirmed at least minAgeAdvantage later or comes with an unreachable host that the requester
// doesn't know. The requester's list has aged since start.
func (q *peerListQuery) isOutdatedBy(list *CachedList, start, now time.Time) bool {
	if list.List.Revision != q.revision {
		return list.List.Revision > q.revision
	}
	requesterAge := q.age + now.Sub(start)
	ageAdvantage := requesterAge - now.Sub(list.Confirmed)
	if ageAdvantage >= minAgeAdvantage {
		return true
	}
	return q.notifyUnreachable && slices.ContainsFunc(list.Unreachable, func(id string) bool {
		return !q.knownUnreachable[id]
	})
}

// listIdentity identifies an endpoint list, which is not modified once it is shared.
type listIdentity struct {
	revision int64
	first    *wire.Endpoint // nil if the list is empty
	count    int
}

func identifyList(list *wire.EndpointList) listIdentity {
	identity := listIdentity{revision: list.Revision, count: len(list.Endpoints)}
	if identity.count > 0 {
		identity.first = &list.Endpoints[0]
	}
	return identity
}

// writePeerList writes the response to a peer list request. A new list goes to all waiting requesters at once, so they
// share its encoding.
func (s *Server) writePeerList(w http.ResponseWriter, list *CachedList, requesterRevision int64, start time.Time) {
	response, err := json.Marshal(newPeerList(list, start))
	if err != nil {
		return
	}
	parts := [][]byte{response}
	if list.List.Revision != requesterRevision {
		text, err := s.peerLists.encode(identifyList(&list.List), &list.List)
		if err != nil {
			return
		}
		parts = appendField(response, listField, text)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = writeParts(w, parts, time.Now().Add(bodyTimeout)) // an error means that the requester has disconnected
}

// newPeerList returns a response without the list.
func newPeerList(list *CachedList, start time.Time) PeerList {
	now := time.Now()
	peerList := PeerList{
		DiscoveryName: list.DiscoveryName,
		Age:           now.Sub(list.Confirmed),
		Waited:        now.Sub(start),
		Revision:      list.List.Revision,
	}
	for i, id := range list.Unreachable[:min(len(list.Unreachable), maxUnreachable)] {
		host := UnreachableHost{ID: id, Age: now.Sub(list.UnreachableAt[i])}
		peerList.Unreachable = append(peerList.Unreachable, host)
	}
	return peerList
}

func parsePeerListQuery(w http.ResponseWriter, request *http.Request) (peerListQuery, error) {
	values := request.URL.Query()
	query := peerListQuery{
		discoveryName:     values.Get("service"),
		notifyUnreachable: request.Method == http.MethodPost,
		knownUnreachable:  map[string]bool{},
	}
	if query.notifyUnreachable {
		known, err := readKnownUnreachable(http.MaxBytesReader(w, request.Body, maxPeerListRequestBytes))
		if err != nil {
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

// readKnownUnreachable decodes the body of a POST. It counts the strings before it decodes them, because many short
// strings take a multiple of the body's length.
func readKnownUnreachable(body io.Reader) (known knownUnreachable, err error) {
	text, err := io.ReadAll(body)
	if err != nil {
		return known, err
	}
	const fieldNames = 1
	if bytes.Count(text, []byte{'"'}) > 2*(maxUnreachable+fieldNames) {
		return known, fmt.Errorf("more than %d unreachable hosts", maxUnreachable)
	}
	err = ReadJSON(bytes.NewReader(text), &known)
	return known, err
}

func parseMilliseconds(values url.Values, name string, limit time.Duration) (time.Duration, error) {
	text := values.Get(name)
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > limit.Milliseconds() {
		return 0, fmt.Errorf("%s: %q is not between 0 and %d", name, text, limit.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}
