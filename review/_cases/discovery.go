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

// discovery is a stand-in for discovery: GET /catalog/members gives the whole list, with watch=1 the changes.
type discovery struct {
	addr   string
	record *record

	mu       sync.Mutex
	server   *http.Server
	revision int
	members  map[string]object // by id
	changed  map[string]int    // revision of the last change, by id
	wake     chan struct{}
}

func newDiscovery(rec *record, hosts []*host) (*discovery, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: addr, record: rec, revision: 1, members: map[string]object{}, changed: map[string]int{},
		wake: make(chan struct{})}
	for _, h := range hosts {
		d.members[h.id] = h.entry("SERVING")
		d.changed[h.id] = 1
	}
	return d, d.up()
}

// up begins to serve at the address.
func (d *discovery) up() error {
	var listener net.Listener
	var err error
	for range 100 { // the port may be in use for a moment
		if listener, err = net.Listen("tcp", d.addr); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	d.mu.Lock()
	d.server = server
	d.mu.Unlock()
	d.record.add("discovery", "is up at %s, revision %d", d.addr, d.revision)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// down ends all calls and watches. New ones are refused.
func (d *discovery) down() {
	d.mu.Lock()
	server := d.server
	d.mu.Unlock()
	d.record.add("discovery", "is down")
	_ = server.Close()
}

// change gives hosts another phase, as one change.
func (d *discovery) change(phase string, hosts ...*host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for _, h := range hosts {
		d.members[h.id] = h.entry(phase)
		d.changed[h.id] = d.revision
		d.record.add("discovery", "revision %d: %s %s", d.revision, h.id, phase)
	}
	close(d.wake)
	d.wake = make(chan struct{})
}

// list returns what changed after a revision, or the whole list.
func (d *discovery) list(after int, complete bool) (list object, revision int, wake chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	members := []object{}
	for id, entry := range d.members {
		if complete && entry["phase"] != "DELETED" || !complete && d.changed[id] > after {
			members = append(members, entry)
		}
	}
	return object{"revision": d.revision, "complete": complete, "members": members}, d.revision, d.wake
}

func (d *discovery) serve(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	d.record.add("discovery", "%s asks %s", request.RemoteAddr, request.URL.RequestURI())
	if query.Get("watch") != "1" {
		list, revision, _ := d.list(0, true)
		d.write(w, request, list, revision)
		return
	}
	after, err := strconv.Atoi(query.Get("after"))
	complete := err != nil || after < 1
	for {
		list, revision, wake := d.list(after, complete)
		if !d.write(w, request, list, revision) {
			return
		}
		after, complete = revision, false
		for waiting := true; waiting; {
			select {
			case <-request.Context().Done():
				return
			case <-wake:
				waiting = false
			case <-time.After(2 * time.Second):
				if _, err := fmt.Fprint(w, "\n"); err != nil {
					return
				}
				w.(http.Flusher).Flush()
			}
		}
	}
}

func (d *discovery) write(w http.ResponseWriter, request *http.Request, list object, revision int) bool {
	text, _ := json.Marshal(list)
	_, err := w.Write(append(text, '\n'))
	w.(http.Flusher).Flush()
	d.record.add("discovery", "writes revision %d to %s", revision, request.RemoteAddr)
	return err == nil
}
