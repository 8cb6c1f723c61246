package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is an entry of the list of hosts.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

type memberList struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

func membersOf(hosts []*host) (members []member) {
	for _, h := range hosts {
		members = append(members, member{ID: h.id, HostPort: h.addr(), Locality: "a", Flavor: "m", Phase: "SERVING", Size: 1})
	}
	return members
}

// discovery is a stand-in for the discovery service.
type discovery struct {
	name     string
	rec      *record
	server   *http.Server
	listener net.Listener

	mu       sync.Mutex
	wait     time.Duration // how long each call waits for its turn
	list     memberList    // the whole list
	changed  chan struct{} // closed at each change
	changes  map[int]member
	writtenA map[int]time.Time // when the first answer that holds a revision had been written
}

func startDiscovery(name string, rec *record, revision int, members []member) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{
		name:     name,
		rec:      rec,
		listener: listener,
		list:     memberList{revision, true, append([]member(nil), members...)},
		changed:  make(chan struct{}),
		changes:  map[int]member{},
		writtenA: map[int]time.Time{},
	}
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

func (d *discovery) addr() string { return d.listener.Addr().String() }

// down ends all watches, and refuses calls from now on.
func (d *discovery) down() {
	d.rec.add("discovery %s goes down", d.name)
	_ = d.server.Close()
}

// setPhase changes the phase of a host under the next revision, and tells it to all watches.
func (d *discovery) setPhase(id, phase string) (revision int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Revision++
	for i := range d.list.Members {
		if d.list.Members[i].ID == id {
			d.list.Members[i].Phase = phase
			d.changes[d.list.Revision] = d.list.Members[i]
		}
	}
	d.rec.add("discovery %s: revision %d, %s is %s", d.name, d.list.Revision, id, phase)
	close(d.changed)
	d.changed = make(chan struct{})
	return d.list.Revision
}

// writtenAt returns when an answer or a watch with a revision had been written, and whether it was.
func (d *discovery) writtenAt(revision int) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.writtenA[revision]
	return at, ok
}

func (d *discovery) written(revision int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.writtenA[revision]; !ok {
		d.writtenA[revision] = time.Now()
	}
}

func (d *discovery) snapshot() (memberList, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.list
	list.Members = append([]member(nil), list.Members...)
	return list, d.changed
}

// since returns the entries that changed after a revision.
func (d *discovery) since(revision int) memberList {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := memberList{Revision: d.list.Revision, Members: []member{}}
	for r := revision + 1; r <= d.list.Revision; r++ {
		if changed, ok := d.changes[r]; ok {
			list.Members = append(list.Members, changed)
		}
	}
	return list
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	d.rec.add("discovery %s is asked %s", d.name, request.URL.RequestURI())
	d.mu.Lock()
	wait := d.wait
	d.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-request.Context().Done():
		d.rec.add("discovery %s: the caller of %s has gone", d.name, request.URL.RequestURI())
		return
	}
	if request.URL.Path != "/catalog/members" {
		http.NotFound(w, request)
		return
	}
	if request.URL.Query().Get("watch") == "" {
		list, _ := d.snapshot()
		_ = json.NewEncoder(w).Encode(list)
		d.written(list.Revision)
		d.rec.add("discovery %s answers with the whole list, revision %d", d.name, list.Revision)
		return
	}
	d.watch(w, request)
}

// watch answers with a chunk for each change, and an empty line every 2 s.
func (d *discovery) watch(w http.ResponseWriter, request *http.Request) {
	after, err := strconv.Atoi(request.URL.Query().Get("after"))
	send := func(list memberList) {
		_ = json.NewEncoder(w).Encode(list)
		w.(http.Flusher).Flush()
		d.written(list.Revision)
		d.rec.add("discovery %s writes revision %d on a watch", d.name, list.Revision)
	}
	list, changed := d.snapshot()
	if err != nil || after > list.Revision {
		after = list.Revision
		send(list)
	} else {
		changes := d.since(after)
		after = changes.Revision
		send(changes)
	}
	for {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(2 * time.Second):
			fmt.Fprint(w, "\n")
			w.(http.Flusher).Flush()
		case <-changed:
			changes := d.since(after)
			after = changes.Revision
			send(changes)
		}
		_, changed = d.snapshot()
		if changes := d.since(after); changes.Revision > after {
			after = changes.Revision
			send(changes)
		}
	}
}
