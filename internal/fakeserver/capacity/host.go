package capacity

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Admission is the result of a request for a connection setup.
type Admission uint8

// The admission results.
const (
	Admitted    Admission = iota // an Event with Established set follows when the setup is done
	Rejected                     // a limit is reached or the ID is in use; no setup was started
	Unavailable                  // the host has collapsed and does not respond
)

// Event is a state change that Advance reports.
type Event struct {
	ID          string // of the connection; empty if Collapsed is set
	At          time.Duration
	Established bool    // the setup is done; if neither Established nor Collapsed is set, the load has changed
	Load        float64 // current load of the connection
	Collapsed   bool    // the host has collapsed
}

// connection is a connection setup in progress or an established connection.
type connection struct {
	id, group      string
	meanLoad, load float64
	storeAnswersAt time.Duration // setups only
	remainingWork  float64       // setups only
	established    bool
	index          int // in Host.order
}

// Host is the model of one host. The times passed to its methods must not decrease. It is not safe for concurrent use.
type Host struct {
	spec  Spec
	store *SessionStore
	rng   *rand.Rand
	now   time.Duration

	startedAt      time.Duration // time of the last start
	startedCold    bool          // the last start was cold
	slowFactor     float64       // multiplies all work; 1 for none
	stolenFraction float64       // fraction of the cores that another program uses

	connections     map[string]*connection
	order           []*connection // all connections, in a deterministic order
	setups          []*connection // setups in order of arrival
	groupSizes      map[string]int
	establishedLoad float64 // load of the established connections, without the cost of groups
	nextDrift       time.Duration

	recentSetupWork   float64       // requested setup work, decaying with the time constant setupWorkDecay
	recentSetupWorkAt time.Duration // when recentSetupWork was computed
	overloadedSince   time.Duration // when the load rose above Spec.CollapseMultiple; 0 while it is below
	collapsed         bool
}

const (
	driftInterval    = time.Second
	driftOneIn       = 4          // on average, one connection in this many changes its load at a drift
	minSetupFraction = 0.05       // fraction of the capacity that setups get at any demand, because schedulers are fair
	negligibleWork   = 1e-9       // remaining work up to this amount counts as done
	rngStream        = 0x686f7374 // second half of the random seed; the first half is the seed passed to New
)

// New returns a host that starts at now, with a slow start if cold is set and the spec has one. Hosts with the same
// store share its queue; a nil store answers at once. The same seed and the same method calls give the same events.
func New(spec Spec, store *SessionStore, seed uint64, now time.Duration, cold bool) *Host {
	if store == nil {
		store = &SessionStore{}
	}
	h := &Host{spec: spec, store: store, rng: rand.New(rand.NewPCG(seed, rngStream)), slowFactor: 1}
	h.Restart(now, cold)
	return h
}

// Restart removes all connections and starts the host again, with a slow start if cold is set and the spec has one.
func (h *Host) Restart(now time.Duration, cold bool) {
	h.now = now
	h.startedAt = now
	h.startedCold = cold
	h.connections = map[string]*connection{}
	h.groupSizes = map[string]int{}
	h.order = nil
	h.setups = nil
	h.establishedLoad = 0
	h.recentSetupWork = 0
	h.recentSetupWorkAt = now
	h.overloadedSince = 0
	h.collapsed = false
	h.nextDrift = now + driftInterval
}

// BeginSetup requests the setup of a connection whose mean load is weight times Spec.ConnectionLoad. The caller must
// have advanced the host to now.
func (h *Host) BeginSetup(now time.Duration, id, group string, weight float64) Admission {
	h.addSetupWork(now, h.spec.SetupWork)
	if h.collapsed {
		return Unavailable
	}
	if h.connections[id] != nil || h.isFull() {
		return Rejected
	}
	c := h.add(id, group, weight)
	c.storeAnswersAt = h.store.Call(now)
	c.remainingWork = h.spec.SetupWork
	h.setups = append(h.setups, c)
	return Admitted
}

// isFull reports whether the limit of connections or of setups is reached.
func (h *Host) isFull() bool {
	established, setups := h.Counts()
	if h.spec.MaxConnections > 0 && established+setups >= h.spec.MaxConnections {
		return true
	}
	return h.spec.MaxSetups > 0 && setups >= h.spec.MaxSetups
}

// AddEstablished adds an established connection without a setup. It does nothing if the ID is in use.
func (h *Host) AddEstablished(id, group string, weight float64) {
	if h.connections[id] != nil {
		return
	}
	h.establish(h.add(id, group, weight))
}

// add registers a new connection.
func (h *Host) add(id, group string, weight float64) *connection {
	meanLoad := h.spec.ConnectionLoad * weight
	c := &connection{id: id, group: group, meanLoad: meanLoad, load: meanLoad, index: len(h.order)}
	h.connections[id] = c
	h.order = append(h.order, c)
	return c
}

// establish marks a connection as established, and counts its load and its group from now on.
func (h *Host) establish(c *connection) {
	c.established = true
	h.establishedLoad += c.load
	if c.group != "" {
		h.groupSizes[c.group]++
	}
}

// Remove removes an established connection or a setup. It ignores an unknown ID.
func (h *Host) Remove(id string) {
	c := h.connections[id]
	if c == nil {
		return
	}
	delete(h.connections, id)
	last := h.order[len(h.order)-1]
	h.order[c.index] = last
	last.index = c.index
	h.order = h.order[:len(h.order)-1]
	if !c.established {
		h.removeSetup(c)
		return
	}
	h.establishedLoad = max(h.establishedLoad-c.load, 0)
	if c.group == "" {
		return
	}
	h.groupSizes[c.group]--
	if h.groupSizes[c.group] <= 0 {
		delete(h.groupSizes, c.group)
	}
}

// removeSetup removes a connection from the queue of setups.
func (h *Host) removeSetup(c *connection) {
	if i := slices.Index(h.setups, c); i >= 0 {
		h.setups = slices.Delete(h.setups, i, i+1)
	}
}

// Counts returns the numbers of established connections and of setups in progress.
func (h *Host) Counts() (established, setups int) {
	return len(h.connections) - len(h.setups), len(h.setups)
}

// IDs returns the IDs of all established connections and setups, in a deterministic order.
func (h *Host) IDs() []string {
	ids := make([]string, len(h.order))
	for i, c := range h.order {
		ids[i] = c.id
	}
	return ids
}

// Collapsed reports whether the host has collapsed since its last start.
func (h *Host) Collapsed() bool { return h.collapsed }
