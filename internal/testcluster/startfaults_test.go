package testcluster

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"onyxstream/internal/coldstart"
	"onyxstream/internal/control"
	"onyxstream/internal/fakeserver"
	"onyxstream/internal/pki"
	"onyxstream/internal/tomlfile"
	"onyxstream/internal/wire"
)

// Starts of several nodes with faults between them and the list service, each other and their hosts. What is judged is
// what the service, the hosts and the clients saw.

const startNodeCount = 12

// Half of the nodes can't reach the service, in each of the ways a link fails: they are told by the others.
func TestColdStart_HalfCutOffFromDiscovery_AllServed(t *testing.T) {
	for _, what := range []string{"refuse", "silence", "deaf", "mute", "stall"} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			r := prepare(t, startConfig(startNodeCount, nil))
			startFault(t, r, FaultSpec{Kind: what, Target: "link-n1..n6"})
			launch(t, r)
			expectAllServed(t, r, startNodeCount, 2)
			if n, by := discoveryCalls(r); n > startNodeCount || len(by) > startNodeCount {
				t.Errorf("%d calls by %v", n, by)
			}
		})
	}
}

// With nobody to pass a list on, whoever is cut off can't know: told by one of them, the others are served all the same,
// and the one that others can't reach either asks for itself.
func TestColdStart_NodeUnreachableByPeers_PollsDiscovery(t *testing.T) {
	t.Parallel()
	r := prepare(t, startConfig(startNodeCount, nil))
	startFault(t, r, FaultSpec{Kind: "refuse", Target: "peers-n9"})
	launch(t, r)
	expectAllServed(t, r, startNodeCount, 1)
	if _, by := discoveryCalls(r); by["n9"] == 0 {
		t.Errorf("n9 was told by nobody and asked nobody: %v", by)
	}
}

// The service is busy and says when to come again: nothing, an hour, a date, or what it can't mean. Its calls stay few
// meanwhile, and all are told soon when it is well.
func TestColdStart_DiscoveryRejectsWithRetryAfter_CallsStayFew(t *testing.T) {
	for name, after := range map[string]string{"none": "", "at once": "0", "an hour": "3600", "nonsense": "soon, -7",
		"a date": "Tue, 01 Dec 2026 10:00:00 GMT", "without end": strings.Repeat("9", 40)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := prepare(t, startConfig(startNodeCount, func(f *Config) {
				f.Discovery.RetryAfter, f.Discovery.PollInterval = after, tomlfile.Duration(2*time.Second) // four times that is the longest rest
			}))
			r.Discovery.SetMode(fakeserver.ModeUnavailable)
			launch(t, r)
			go func() {
				time.Sleep(3 * time.Second)
				r.Discovery.SetMode(fakeserver.ModeNormal)
			}()
			expectAllServed(t, r, startNodeCount, 1)
			if n, _ := discoveryCalls(r); n > 4*startNodeCount {
				t.Errorf("%d calls of %d nodes while it was busy", n, startNodeCount)
			}
		})
	}
}

// A third is killed and started again while the service is down, the others are stopped for a while and go on in the same
// instant: nobody is left behind, and those who come back together do not call together.
func TestColdStart_NodesKilledAndStalled_CallsSpread(t *testing.T) {
	t.Parallel()
	r := prepare(t, startConfig(startNodeCount, nil))
	r.Discovery.SetMode(fakeserver.ModeReset)
	launch(t, r)
	time.Sleep(500 * time.Millisecond)
	back := startFault(t, r, FaultSpec{Kind: "kill", Target: "n1..n4"})
	on := startFault(t, r, FaultSpec{Kind: "stall", Target: "n5..n12"})
	time.Sleep(5 * time.Second)
	r.Discovery.SetMode(fakeserver.ModeNormal)
	began := r.Clock.Now()
	on()
	back()
	expectAllServed(t, r, startNodeCount, 2)
	recs, _ := r.EventLog.Events()
	asked := EventTimes(recs, "discovery", fakeserver.EventRequested)
	if most := CountBetween(asked, began, began+100*time.Millisecond); most > startNodeCount/2 {
		t.Errorf("%d of %d nodes call in the tenth of a second in which they go on", most, startNodeCount)
	}
}

// A service that comes back with an older, shorter or empty list is followed to the letter: no host is sent anything that
// the service does not name any more, whoever passed on what. With the right list all are served again.
func TestColdStart_DiscoveryRestoredWithOlderList_Followed(t *testing.T) {
	for name, left := range map[string]int{"shorter": 2, "empty": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := prepare(t, startConfig(6, func(f *Config) { f.Discovery.PollInterval = tomlfile.Duration(2 * time.Second) }))
			var all []wire.Endpoint
			for _, h := range r.Hosts() {
				all = append(all, r.HostEndpoint(h, wire.Serving))
			}
			r.Discovery.Set(all...) // revision 2
			launch(t, r)
			expectAllServed(t, r, 6, 2)
			r.Discovery.Restore(1, all[:left]...)
			named := map[string]bool{}
			for _, m := range all[:left] {
				named[m.ID] = true
			}
			if left > 0 {
				// Those that follow others ask for themselves once nobody confirms what they hold.
				time.Sleep(8 * time.Second)
				from := r.Clock.Now()
				expectAllServed(t, r, 6, 2)
				for h := range setupsByHost(r, from) {
					if !named[h] {
						t.Errorf("%s was sent clients, the service names %v", h, named)
					}
				}
			} else {
				time.Sleep(8 * time.Second)
				from := r.Clock.Now()
				for _, k := range probeAllNodes(t.Context(), r, 6, 2, 0, 2*time.Second) {
					if k.ServedAt > 0 || k.WithoutRetryAfter > 0 || k.Failed > 0 || k.MaxLatency > 500*time.Millisecond {
						t.Errorf("with no host: %+v", k)
					}
				}
				if got := setupsByHost(r, from); len(got) > 0 {
					t.Errorf("hosts that nobody names were sent %v", got)
				}
			}
			r.Discovery.Restore(3, all...)
			expectAllServed(t, r, 6, 1)
		})
	}
}

// One node holds an old list, cut off from the service, and passes it on: whoever was told a newer one never goes back to
// it, and the host that was taken out since is sent nothing by them.
func TestColdStart_PeerGossipsOldList_NewerListKept(t *testing.T) {
	t.Parallel()
	r := prepare(t, startConfig(startNodeCount, func(f *Config) { f.ColdStart.Peers = 8 }))
	var all []wire.Endpoint
	for _, h := range r.Hosts() {
		all = append(all, r.HostEndpoint(h, wire.Serving))
	}
	if err := r.SetKnownEndpointsOf(0, 1, all...); err != nil { // n1 alone knows the list as it was
		t.Fatal(err)
	}
	gone := all[3]
	gone.Phase = wire.Removed
	r.Discovery.Set(gone)
	startFault(t, r, FaultSpec{Kind: "refuse", Target: "link-n1"})
	launch(t, r)
	expectAllServed(t, r, startNodeCount, 2)
	time.Sleep(time.Second) // n1 has been told by the others
	from := r.Clock.Now()
	expectAllServed(t, r, startNodeCount, 4)
	if n := setupsByHost(r, from)[gone.ID]; n > 0 {
		t.Errorf("%s, which the service took out, was sent %d clients", gone.ID, n)
	}
}

// A host that a node was told to drain is not sent anything because another node's list says that it serves.
func TestColdStart_PeerListSaysServing_DrainKept(t *testing.T) {
	t.Parallel()
	r := prepare(t, startConfig(2, func(f *Config) { f.ColdStart.Peers = 1 }))
	hosts := r.Hosts()
	serving, draining := r.HostEndpoint(hosts[0], wire.Serving), r.HostEndpoint(hosts[0], wire.Draining)
	var rest []wire.Endpoint
	for _, h := range hosts[1:] {
		rest = append(rest, r.HostEndpoint(h, wire.Serving))
	}
	// n1 knows the drain; n2 holds a list with a higher number in which the host serves, and neither reaches the service.
	if err := r.SetKnownEndpointsOf(0, 5, append(rest, draining)...); err != nil {
		t.Fatal(err)
	}
	if err := r.SetKnownEndpointsOf(1, 6, append(rest, serving)...); err != nil {
		t.Fatal(err)
	}
	heal := startFault(t, r, FaultSpec{Kind: "refuse", Target: "link-n1..n2"})
	launch(t, r)
	waitUntil(t, "n1 is passed n2's list", func() bool { return r.status(t, 0).Revision == 6 })
	from := r.Clock.Now()
	for _, k := range r.ProbeAdmission(t.Context(), 0, 40, time.Second, 500*time.Millisecond, 5*time.Second) {
		if k.ServedAt == 0 {
			t.Errorf("%+v", k)
		}
	}
	if n := setupsByHost(r, from)[hosts[0].ID()]; n > 0 {
		t.Errorf("the host that drains was sent %d clients", n)
	}
	// The service itself says that it serves, under the number that n1 holds already: the drain is over.
	r.Discovery.Restore(6, append(rest, serving)...)
	heal()
	waitUntil(t, "the host is used again by n1", func() bool {
		from := r.Clock.Now()
		r.ProbeAdmission(t.Context(), 0, 10, 0, 200*time.Millisecond, 2*time.Second)
		return setupsByHost(r, from)[hosts[0].ID()] > 0
	})
}

// A folder keeps the list over a kill; what is of another service, cut short or from the future does no harm.
func TestColdStart_CacheFolderDamaged_Ignored(t *testing.T) {
	t.Parallel()
	r := prepare(t, startConfig(5, func(f *Config) { f.ColdStart.CacheFolder, f.ColdStart.Peers = true, 0 }))
	launch(t, r)
	expectAllServed(t, r, 5, 1)
	expectCachedLists(t, r, 0, 1, 2, 3, 4)
	r.Discovery.SetMode(fakeserver.ModeReset)
	back := startFault(t, r, FaultSpec{Kind: "kill", Target: "n1..n4"})
	lost := startFault(t, r, FaultSpec{Kind: "lose", Target: "n5"})
	path := func(i int) string { return filepath.Join(r.CacheFolder(i), "hosts.list") }
	text, err := os.ReadFile(path(1))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path(1), text[:len(text)-9], 0o600); err != nil {
		t.Fatal(err)
	}
	var k coldstart.CachedList
	if err := json.Unmarshal(text[strings.IndexByte(string(text), '\n'):], &k); err != nil {
		t.Fatal(err)
	}
	keep := func(i int, k coldstart.CachedList) {
		text, err := k.Encode()
		if err == nil {
			err = os.WriteFile(path(i), text, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	other := k
	other.Service = "another"
	keep(2, other)
	future := k
	future.Confirmed += time.Hour.Milliseconds()
	keep(3, future)
	back()
	lost()
	for i, serves := range []bool{true, false, false, true, false} {
		for _, k := range r.ProbeAdmission(t.Context(), i, 2, 0, time.Second, 2*time.Second) {
			if (k.ServedAt > 0) != serves || k.WithoutRetryAfter > 0 {
				t.Errorf("n%d, while the service is down: %+v, want it served: %v", i+1, k, serves)
			}
		}
	}
	r.Discovery.SetMode(fakeserver.ModeNormal)
	expectAllServed(t, r, 5, 1)
}

// A signal names another service during the start: its lists count, the old one's are passed on to nobody, and the new
// one is not called by all at once.
func TestColdStart_DiscoveryAddressChanges_CallsSpread(t *testing.T) {
	t.Parallel()
	const nodes = 40
	r := prepare(t, startConfig(nodes, func(f *Config) { f.Discovery.NodeLinks = false }))
	ledger := fakeserver.NewEventLog(r.Clock)
	next, err := fakeserver.NewDiscovery("", r.Clock, ledger, 1, r.HostEndpoint(r.Hosts()[0], wire.Serving))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.Close)
	launch(t, r)
	expectAllServed(t, r, nodes, 1)
	began := r.Clock.Now()
	for i := range nodes {
		if err := r.SwitchDiscovery(i, next.Addr()); err != nil {
			t.Fatal(err)
		}
	}
	waitUntil(t, "all follow the new one's list", func() bool {
		from := r.Clock.Now()
		expectAllServed(t, r, nodes, 1)
		got := setupsByHost(r, from)
		return len(got) == 1 && got[r.Hosts()[0].ID()] > 0
	})
	recs, _ := ledger.Events()
	var first []time.Duration // each node asks for the whole list, and opens its watch right after: that is one node
	for _, r := range recs {
		if r.Kind == fakeserver.EventRequested && !strings.Contains(r.Detail, "watch") && r.At >= began {
			first = append(first, r.At)
		}
	}
	if most := MaxInWindow(first, 200*time.Millisecond); len(first) == 0 || most > nodes/3 {
		t.Errorf("%d of %d nodes call the new one within a fifth of a second; %d calls in all", most, nodes, len(first))
	}
}

// Two hundred clients at a node that has no list: each is told at once when to come back, and served soon when it has one.
func TestColdStart_ManyClientsNoList_RejectedThenServed(t *testing.T) {
	t.Parallel()
	r := prepare(t, startConfig(3, func(f *Config) { f.ColdStart.Peers = 2 }))
	r.Discovery.SetMode(fakeserver.ModeReset)
	launch(t, r)
	go func() {
		time.Sleep(2 * time.Second)
		r.Discovery.SetMode(fakeserver.ModeNormal)
	}()
	for _, k := range r.ProbeAdmission(t.Context(), 1, 200, time.Second, time.Second, 40*time.Second) {
		if k.ServedAt == 0 || k.WithoutRetryAfter > 0 || k.Failed > 0 {
			t.Errorf("%+v", k)
		}
	}
}

// After a power cut all hosts are cold, and the old list that all nodes know does not say so: together they must not push
// one over, while the service is down as well as after, and what can be served meanwhile is.
func TestColdStart_AllHostsColdOldList_NoneCollapses(t *testing.T) {
	t.Parallel()
	r := prepare(t, startConfig(startNodeCount, func(f *Config) {
		f.Discovery.StartsUnknown = false
		f.Host = HostConfig{Cores: 1, ConnectionLoad: 0.0001, SetupWork: tomlfile.Duration(20 * time.Millisecond), SlowStartFraction: 0.3, SlowStartDuration: tomlfile.Duration(10 * time.Second),
			CollapseMultiple: 4, CollapseAfter: tomlfile.Duration(time.Second), StartsCold: true}
	}))
	var old []wire.Endpoint
	for _, h := range r.Hosts() {
		m := r.HostEndpoint(h, wire.Serving)
		m.StartedAtMS = 0
		old = append(old, m)
	}
	if err := r.SetKnownEndpoints(1, old...); err != nil {
		t.Fatal(err)
	}
	r.Discovery.SetMode(fakeserver.ModeReset)
	launch(t, r)
	go func() {
		time.Sleep(3 * time.Second)
		r.Discovery.SetMode(fakeserver.ModeNormal)
	}()
	served := 0
	all := probeAllNodes(t.Context(), r, startNodeCount, 80, 2*time.Second, 20*time.Second)
	for _, k := range all {
		if k.ServedAt > 0 {
			served++
		}
		if k.WithoutRetryAfter > 0 {
			t.Errorf("turned away with no word of when to come back: %+v", k)
		}
	}
	for _, h := range r.Hosts() {
		if h.State().Collapsed {
			t.Errorf("%s was pushed over", h.ID())
		}
	}
	if served < len(all)*9/10 {
		t.Errorf("%d of %d were served", served, len(all))
	}
}

// Half of the hosts of an old list are gone, and the service is down: one node's dial spares the others theirs.
func TestColdStart_DeadHostsInOldList_FewDials(t *testing.T) {
	t.Parallel()
	const nodes = 24
	r := prepare(t, startConfig(nodes, func(f *Config) { f.Discovery.StartsUnknown, f.HostLinks, f.Hosts = false, true, 6 }))
	r.Discovery.SetMode(fakeserver.ModeReset)
	startFault(t, r, FaultSpec{Kind: "refuse", Target: "link-h5..h6"})
	launch(t, r)
	time.Sleep(time.Second) // all are up, and wait at each other
	from := r.Clock.Now()
	all := probeAllNodes(t.Context(), r, nodes, 30, 3*time.Second, 10*time.Second)
	for _, k := range all {
		if k.ServedAt == 0 {
			t.Errorf("%+v", k)
		}
	}
	recs, _ := r.EventLog.Events()
	for _, h := range []string{"link-h5", "link-h6"} {
		// Without a word from others each node dials three times and more; on a busy machine some dial before they hear.
		if n := CountBetween(EventTimes(recs, h, fakeserver.EventDialed), from, r.Clock.Now()); n == 0 || n > nodes {
			t.Errorf("%s, which is gone, was dialled %d times by %d nodes, at %v", h, n, nodes, EventTimes(recs, h, fakeserver.EventDialed))
		}
	}
}

// Over TLS with the certificates that stand, lists are passed on as over Unix sockets; a revoked certificate ends that,
// and its holder asks for itself.
func TestColdStart_PeersOverTLS_ListsGossiped(t *testing.T) {
	t.Parallel()
	r := prepare(t, startConfig(6, func(f *Config) { f.ColdStart.TLS = true }))
	startFault(t, r, FaultSpec{Kind: "refuse", Target: "link-n5..n6"})
	launch(t, r)
	expectAllServed(t, r, 6, 1)
	if _, by := discoveryCalls(r); by["n1"]+by["n2"]+by["n3"]+by["n4"] == 0 {
		t.Errorf("nobody who could asked the service: %v", by)
	}
	if err := pki.Revoke(r.keyFolder(), listReader); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "without a certificate that counts, what n5 holds is old", func() bool {
		s := r.status(t, 4)
		return s.List != nil && s.List.State == "old"
	})
}

// A node without the table in its own file does as before: it calls for itself at once, passes nothing on and keeps nothing.
func TestStart_ColdStartNotConfigured_EachPollsDiscovery(t *testing.T) {
	t.Parallel()
	const nodes = 8
	r := prepare(t, startConfig(nodes, func(f *Config) {
		f.ColdStart, f.Agents, f.Discovery.Push, f.Discovery.StartsUnknown = nil, 1, true, false
	}))
	launch(t, r)
	waitUntil(t, "each has called", func() bool { _, by := discoveryCalls(r); return len(by) == nodes })
	expectAllServed(t, r, nodes, 1)
	waitUntil(t, "the agent hears of all", func() bool { return strings.Count(r.command(t, "instances", "list"), "serving") == nodes })
	if out := r.command(t, "instances", "list"); strings.Contains(out, "current") {
		t.Errorf("a part of a start is shown where none is on:\n%s", out)
	}
	c, err := control.Dial("unix:"+r.ControlSocket(0), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var refused *control.RemoteError
	if _, _, err := c.List(t.Context(), "rig", -1, 0, 0, nil); !errors.As(err, &refused) {
		t.Errorf("a list was passed on, error %v", err)
	}
}

// What an operator sees of it: the part of the start, where the list came from and how old it is, at the agent.
func TestInstancesList_ColdStart_StateShown(t *testing.T) {
	t.Parallel()
	r := prepare(t, startConfig(3, func(f *Config) { f.ColdStart.Peers, f.Agents = 2, 1 }))
	r.Discovery.SetMode(fakeserver.ModeReset)
	launch(t, r)
	says := func(want string) func() bool {
		return func() bool { return strings.Count(r.command(t, "instances", "list"), want) == 3 }
	}
	waitUntil(t, "three with no list", says("none, "))
	r.Discovery.SetMode(fakeserver.ModeNormal)
	waitUntil(t, "three with a current one", says("current ("))
	// Cut off from the service and from each other, what they hold ages: the agent still hears of it.
	end := startFault(t, r, FaultSpec{Kind: "refuse", Target: "link-n1..n3"})
	waitUntil(t, "three with an old one", says("old ("))
	end()
	waitUntil(t, "three with a current one again", says("current ("))
}
