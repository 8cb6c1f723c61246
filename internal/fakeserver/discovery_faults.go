package fakeserver

import (
	"strconv"
	"time"

	"onyxstream/internal/wire"
)

// DiscoveryMode is how a discovery service answers its calls.
type DiscoveryMode uint8

// The modes.
const (
	ModeNormal      DiscoveryMode = iota
	ModeUnavailable               // calls are answered with status 503, watches are reset
	ModeReset                     // calls and watches are reset
	ModeSilent                    // calls and watches stay open without any byte, heartbeats included
)

// SetNotifyDelay delays the publication of changes that are made from now on.
func (d *Discovery) SetNotifyDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notifyDelay = delay
	d.record(EventFault, "lags by "+delay.String())
}

// SetFrozen stops the publication of changes, or ends that. Calls are answered and watches send heartbeats meanwhile.
func (d *Discovery) SetFrozen(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozen = on
	d.record(EventFault, "frozen "+strconv.FormatBool(on))
	d.wakeWatches()
}

// SetMode sets how calls are answered. Open watches follow it too.
func (d *Discovery) SetMode(mode DiscoveryMode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = mode
	d.record(EventFault, "answers in mode "+strconv.Itoa(int(mode)))
	d.wakeWatches()
}

// Restart resets all watches and renumbers the list, with all changes published, from a revision.
func (d *Discovery) Restart(revision int64) {
	d.mu.Lock()
	for i := range d.changes {
		d.publish(&d.changes[i])
	}
	snapshot := d.published.snapshot()
	d.mu.Unlock()
	d.Restore(revision, snapshot.Endpoints...)
}

// Restore resets all watches and replaces the list and its revision, as a service does that is restored from an older
// backup or has lost its state.
func (d *Discovery) Restore(revision int64, endpoints ...wire.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resetList(revision, endpoints)
	d.record(EventFault, "restarted at revision "+strconv.FormatInt(revision, 10))
	d.wakeWatches()
}

// SetRawBody replaces lists and the start of watches by a text; "" ends that. It holds for calls from now on.
func (d *Discovery) SetRawBody(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rawBody = text
}

// SendRaw writes a text to all open watches that began with a raw body; "" resets them.
func (d *Discovery) SendRaw(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for texts := range d.rawCalls {
		texts <- text
	}
}
