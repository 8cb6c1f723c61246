package fakeserver

import (
	"strconv"
	"time"

	"onyxstream/internal/wire"
)

// DiscoveryMode is the way in which a discovery service handles list requests and watches.
type DiscoveryMode uint8

// The modes.
const (
	ModeNormal      DiscoveryMode = iota
	ModeUnavailable               // new requests get status 503; open watches are reset
	ModeReset                     // list requests and watches are reset
	ModeSilent                    // list requests and watches stay open but get no bytes, not even heartbeats
)

// SetNotifyDelay delays the publication of all changes made from now on.
func (d *Discovery) SetNotifyDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notifyDelay = delay
	d.record(EventFault, "lags by "+delay.String())
}

// SetFrozen stops or resumes the publication of changes. While the list is frozen, list requests are still served and
// watches still send heartbeats.
func (d *Discovery) SetFrozen(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozen = on
	d.record(EventFault, "frozen "+strconv.FormatBool(on))
	d.wakeWatches()
}

// SetMode sets the mode. It applies to open watches too.
func (d *Discovery) SetMode(mode DiscoveryMode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = mode
	d.record(EventFault, "answers in mode "+strconv.Itoa(int(mode)))
	d.wakeWatches()
}

// Restart publishes all changes, resets all watches and renumbers the list to the given revision.
func (d *Discovery) Restart(revision int64) {
	d.mu.Lock()
	for i := range d.changes {
		d.publish(&d.changes[i])
	}
	snapshot := d.published.snapshot()
	d.mu.Unlock()
	d.Restore(revision, snapshot.Endpoints...)
}

// Restore resets all watches and replaces the list and its revision, like a service that was restored from an older
// backup or that has lost its state.
func (d *Discovery) Restore(revision int64, endpoints ...wire.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resetList(revision, endpoints)
	d.record(EventFault, "restarted at revision "+strconv.FormatInt(revision, 10))
	d.wakeWatches()
}

// SetRawBody makes requests that arrive from now on get a raw text in place of the list or of the first object of a
// watch. An empty text restores normal responses.
func (d *Discovery) SetRawBody(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rawBody = text
}

// SendRaw writes a text to all open watches that began with a raw body. An empty text resets them.
func (d *Discovery) SendRaw(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for texts := range d.rawRequests {
		texts <- text
	}
}
