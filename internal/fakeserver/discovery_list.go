package fakeserver

import (
	"time"

	"onyxstream/internal/wire"
)

// maxChanges bounds the history of changes. A watch that starts at a revision before the history gets the complete
// list.
const maxChanges = 4096

// change is one revision of the list.
type change struct {
	revision  int64
	due       time.Duration // time of publication
	endpoints []wire.Endpoint
	published bool
}

// publishedList is the list that clients see.
type publishedList struct {
	revision  int64
	endpoints map[string]wire.Endpoint
	order     []string // IDs in order of their first appearance, which makes responses deterministic
}

// set adds or replaces an endpoint.
func (l *publishedList) set(endpoint wire.Endpoint) {
	if _, known := l.endpoints[endpoint.ID]; !known {
		l.order = append(l.order, endpoint.ID)
	}
	l.endpoints[endpoint.ID] = endpoint
}

// snapshot returns the complete list, without removed endpoints.
func (l *publishedList) snapshot() wire.EndpointList {
	snapshot := wire.EndpointList{Revision: l.revision, Complete: true, Endpoints: []wire.Endpoint{}}
	for _, id := range l.order {
		if endpoint := l.endpoints[id]; endpoint.Phase != wire.Removed {
			snapshot.Endpoints = append(snapshot.Endpoints, endpoint)
		}
	}
	return snapshot
}

// Set changes endpoints in one new revision, which is published after the current notify delay. To remove an endpoint,
// pass it with the phase wire.Removed.
func (d *Discovery) Set(endpoints ...wire.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	due := d.clock.Now() + d.notifyDelay
	if n := len(d.changes); n > 0 {
		due = max(due, d.changes[n-1].due) // revisions are published in order
	}
	d.changes = append(d.changes, change{revision: d.revision, due: due, endpoints: endpoints})
	if excess := len(d.changes) - maxChanges; excess > 0 && d.changes[excess-1].published {
		d.changes = d.changes[excess:]
	}
	d.wakeWatches()
	time.AfterFunc(due-d.clock.Now(), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.wakeWatches()
	})
}

// resetList replaces the list and clears its history. The caller must hold mu unless the service has not started.
func (d *Discovery) resetList(revision int64, endpoints []wire.Endpoint) {
	d.revision = revision
	d.changes = nil
	d.published = &publishedList{revision: revision, endpoints: map[string]wire.Endpoint{}}
	for _, endpoint := range endpoints {
		d.published.set(endpoint)
	}
}

// publish applies a change to the published list unless it is published already. The caller must hold mu.
func (d *Discovery) publish(c *change) {
	if c.published {
		return
	}
	c.published = true
	for _, endpoint := range c.endpoints {
		d.published.set(endpoint)
	}
	d.published.revision = c.revision
}

// publishDue publishes the changes that are due, unless the list is frozen. The caller must hold mu.
func (d *Discovery) publishDue() {
	now := d.clock.Now()
	for i := range d.changes {
		if !d.frozen && d.changes[i].due <= now {
			d.publish(&d.changes[i])
		}
	}
}

// snapshot publishes the changes that are due and returns the complete list.
func (d *Discovery) snapshot() wire.EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.publishDue()
	return d.published.snapshot()
}

// updateSince returns the update to send to a watch that has received the list up to a revision. The update holds the
// later changes, or the complete list if complete is set or the history does not reach back to the revision. ok is
// false if there is nothing to send. The caller must hold mu.
func (d *Discovery) updateSince(revision int64, complete bool) (update wire.EndpointList, ok bool) {
	d.publishDue()
	if revision == d.published.revision && !complete {
		return update, false
	}
	if complete || revision < d.oldestKnownRevision() || revision > d.published.revision {
		return d.published.snapshot(), true
	}
	return d.changesSince(revision), true
}

// oldestKnownRevision returns the oldest revision whose later changes are all in the history. The caller must hold mu.
func (d *Discovery) oldestKnownRevision() int64 {
	for _, c := range d.changes {
		if c.published {
			return c.revision - 1
		}
	}
	return d.published.revision
}

// changesSince returns the latest state of each endpoint that changed after a revision. The caller must hold mu.
func (d *Discovery) changesSince(revision int64) wire.EndpointList {
	update := wire.EndpointList{Revision: d.published.revision, Endpoints: []wire.Endpoint{}}
	indexes := map[string]int{}
	for _, c := range d.changes {
		if !c.published || c.revision <= revision {
			continue
		}
		for _, endpoint := range c.endpoints {
			if i, seen := indexes[endpoint.ID]; seen {
				update.Endpoints[i] = endpoint
				continue
			}
			indexes[endpoint.ID] = len(update.Endpoints)
			update.Endpoints = append(update.Endpoints, endpoint)
		}
	}
	return update
}
