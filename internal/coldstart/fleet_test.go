package coldstart

import (
	"math/rand/v2"
	"time"
)

const (
	ms           = time.Millisecond
	pollInterval = 10 * time.Second

	simulationStep     = 10 * ms
	requestDuration    = 10 * ms     // time that discovery takes for a list request
	listRequestTimeout = time.Second // list requests that would wait for longer are rejected
	gossipDelay        = 100 * ms    // until a list has reached all peers
)

// fakeDiscovery is a discovery service in virtual time that processes list requests one at a time.
type fakeDiscovery struct {
	freeAt      time.Duration // when it can process the next list request
	downUntil   time.Duration // list requests fail until then
	retryAfter  time.Duration // Retry-After of rejections
	requestedAt []time.Duration
	rejected    int
}

// response is the response to a node's list request.
type response struct {
	node int
	at   time.Duration
	ok   bool
}

// respond returns the response to a node's list request.
func (d *fakeDiscovery) respond(node int, now time.Duration) response {
	d.requestedAt = append(d.requestedAt, now)
	begin := max(d.freeAt, now)
	if now < d.downUntil {
		return response{node: node, at: now + requestDuration}
	}
	if begin-now > listRequestTimeout {
		d.rejected++
		return response{node: node, at: now + listRequestTimeout}
	}
	d.freeAt = begin + requestDuration
	return response{node: node, at: d.freeAt, ok: true}
}

// fleet simulates nodes that start together.
type fleet struct {
	schedulers  []*Scheduler
	peers       bool // nodes pass lists on to each other
	discovery   *fakeDiscovery
	responses   []response
	firstListAt time.Duration   // when the first node received the list
	receivedAt  []time.Duration // when each node received the list, 0 for never
}

// runFleet simulates nodes that start together until a given time, and returns when each node received the list.
func runFleet(nodes int, peers bool, discovery *fakeDiscovery, until time.Duration) []time.Duration {
	f := &fleet{peers: peers, discovery: discovery, receivedAt: make([]time.Duration, nodes)}
	for i := range nodes {
		cfg := Config{NodeCount: nodes, Index: i, PollInterval: pollInterval, Peers: peers, DiscoveryName: "s"}
		f.schedulers = append(f.schedulers, New(cfg, rand.New(rand.NewPCG(uint64(i), 7)), 0, NoSource, Offer{}))
	}
	for now := time.Duration(0); now < until; now += simulationStep {
		f.deliverResponses(now)
		for i, scheduler := range f.schedulers {
			f.gossip(i, scheduler, now)
			if scheduler.ListRequestDue(now) {
				f.responses = append(f.responses, discovery.respond(i, now))
			}
		}
	}
	return f.receivedAt
}

// deliverResponses passes the responses of discovery that are due to the nodes.
func (f *fleet) deliverResponses(now time.Duration) {
	pending := f.responses[:0]
	for _, r := range f.responses {
		switch {
		case r.at > now:
			pending = append(pending, r)
		case r.ok:
			f.schedulers[r.node].ListReceived(now, 1, 5)
			f.recordReceived(r.node, now)
			if f.firstListAt == 0 {
				f.firstListAt = now
			}
		default:
			f.schedulers[r.node].ListRequestFailed(now, f.discovery.retryAfter)
		}
	}
	f.responses = pending
}

// gossip lets a node contact its peers every 2 s, and offers it the list gossipDelay after the first node received it.
func (f *fleet) gossip(node int, scheduler *Scheduler, now time.Duration) {
	if !f.peers {
		return
	}
	if now%(2*time.Second) == time.Duration(node%200)*simulationStep {
		scheduler.PeerContacted(now)
	}
	if f.firstListAt == 0 || now < f.firstListAt+gossipDelay || scheduler.listReceived {
		return
	}
	verdict, _ := scheduler.ConsiderPeerList(now, Offer{DiscoveryName: "s", Revision: 1, Age: 50 * ms, Hosts: 5})
	if verdict == Adopt {
		f.recordReceived(node, now)
	}
}

// recordReceived records when a node first received the list.
func (f *fleet) recordReceived(node int, now time.Duration) {
	if f.receivedAt[node] == 0 {
		f.receivedAt[node] = now
	}
}

// lastReceived returns when the last node received the list, or an hour if any node never did.
func lastReceived(receivedAt []time.Duration) (last time.Duration) {
	for _, at := range receivedAt {
		if at == 0 {
			return time.Hour
		}
		last = max(last, at)
	}
	return last
}
