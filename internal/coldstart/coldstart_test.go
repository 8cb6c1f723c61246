package coldstart

import (
	"errors"
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"onyxstream/internal/wire"
)

// Property tests draw the same values in every run, unless -rapid.seed is set.
func init() { _ = flag.Set("rapid.seed", "1") }

// Hundreds of simultaneous list requests overload discovery. With peer lists, the number of list requests must not grow
// with the number of nodes.
func TestListRequests_FleetStarts_CountBounded(t *testing.T) {
	for _, n := range []int{3, 50, 150, 300, 600} {
		discovery := &fakeDiscovery{}
		receivedAt := runFleet(n, true, discovery, 5*time.Second)
		if len(discovery.requestedAt) > 12 || discovery.rejected > 0 || lastReceived(receivedAt) > 2*time.Second {
			t.Errorf("%d nodes with peer lists: %d list requests, %d rejected, last node received the list after %v",
				n, len(discovery.requestedAt), discovery.rejected, lastReceived(receivedAt))
		}
		discovery = &fakeDiscovery{}
		receivedAt = runFleet(n, false, discovery, 15*time.Second)
		if len(discovery.requestedAt) > n*11/10 || lastReceived(receivedAt) > pollInterval {
			t.Errorf("%d nodes without peer lists: %d list requests, %d rejected, last node received the list after %v",
				n, len(discovery.requestedAt), discovery.rejected, lastReceived(receivedAt))
		}
	}
}

// While discovery is down, the list requests of all nodes stay below a quarter of its capacity of 100 per second, so
// that they can't overload it when it recovers. Soon after it has recovered, all nodes have the list.
func TestListRequests_DiscoveryDown_BelowItsCapacity(t *testing.T) {
	for _, down := range []time.Duration{5 * time.Second, 60 * time.Second} {
		for _, n := range []int{50, 300, 600} {
			discovery := &fakeDiscovery{downUntil: down}
			receivedAt := runFleet(n, true, discovery, down+20*time.Second)
			requestsWhileDown := 0
			for _, at := range discovery.requestedAt {
				if at < down {
					requestsWhileDown++
				}
			}
			rate := float64(requestsWhileDown) / down.Seconds()
			if rate > 25 || lastReceived(receivedAt) > down+4*time.Second {
				t.Errorf("%d nodes, discovery down for %v: %.1f list requests per second, last node received the list after %v",
					n, down, rate, lastReceived(receivedAt))
			}
		}
	}
}

// A node honours Retry-After. Without a valid one, it does not retry at once. A Retry-After of an hour or longer is cut
// to the longest backoff, so that the node still retries.
func TestListRequestFailed_AnyRetryAfter_RetriedInTime(t *testing.T) {
	for _, retryAfter := range []time.Duration{0, time.Second, time.Hour, -time.Hour, 1 << 62} {
		s := New(Config{NodeCount: 300, PollInterval: pollInterval}, rand.New(rand.NewPCG(1, 2)), 0, NoSource, Offer{})
		now := time.Duration(0)
		next := func() time.Duration {
			for from := now; ; now += 10 * ms {
				if s.ListRequestDue(now) {
					return now - from
				}
				if now-from > 10*maxBackoffPolls*pollInterval {
					t.Fatalf("Retry-After %v: the list request is never retried", retryAfter)
				}
			}
		}
		next()
		s.ListRequestFailed(now, retryAfter)
		if waited := next(); waited < min(retryAfter, maxBackoffPolls*pollInterval) || waited < 100*ms {
			t.Errorf("Retry-After %v: list request retried after %v, want at least Retry-After or the longest backoff, and 100ms", retryAfter, waited)
		}
	}
}

// A list request that was reported as failed because it was overdue may still be answered. Its watch then keeps the
// node current, so no further list request may be due.
func TestListReceived_RequestOverdue_NoFurtherRequest(t *testing.T) {
	s := New(Config{NodeCount: 3, PollInterval: pollInterval}, rand.New(rand.NewPCG(1, 2)), 0, NoSource, Offer{})
	now := time.Duration(0)
	for !s.ListRequestDue(now) {
		now += 10 * ms
	}
	s.ListRequestFailed(now, 0)
	s.ListReceived(now, 4, 3)
	for end := now + 10*maxBackoffPolls*pollInterval; now < end; now += 10 * ms {
		if s.ListRequestDue(now) {
			t.Fatal("a list request is due although the watch of the last one is active")
		}
	}
	if !s.Heartbeat(now) {
		t.Error("a heartbeat of the watch does not confirm the list")
	}
}

// Whatever the order, age and discovery name of the offered lists: the held revision never decreases, its age is never
// understated, and no offer replaces a list that a watch keeps current.
func TestPeerList_AnyOffers_RevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{NodeCount: 3, PollInterval: pollInterval, Peers: true, DiscoveryName: "s"}
		s := New(cfg, rand.New(rand.NewPCG(1, 2)), 0, NoSource, Offer{})
		now := time.Duration(0)
		held := int64(-1)
		confirmedAt := time.Duration(-1)
		watching := false // a watch keeps the held list current
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				watching = watching || s.ListRequestDue(now)
				if watching {
					held = int64(rapid.IntRange(0, 9).Draw(t, "discovery revision")) // the revision of discovery may decrease
					confirmedAt = now
					s.ListReceived(now, held, 3)
				}
			case 1:
				if watching {
					s.ListRequestFailed(now, 0)
					watching = false
				}
			default:
				offer := Offer{
					DiscoveryName: rapid.SampledFrom([]string{"s", "s", "s", "other"}).Draw(t, "discovery name"),
					Revision:      int64(rapid.IntRange(0, 9).Draw(t, "revision")),
					Hosts:         rapid.IntRange(0, 3).Draw(t, "hosts"),
					Age:           time.Duration(rapid.IntRange(0, 30000).Draw(t, "age")) * ms,
				}
				verdict, reason := s.ConsiderPeerList(now, offer)
				offeredAt := now - offer.Age
				usable := offer.DiscoveryName == "s" && offer.Hosts > 0 && !watching
				switch {
				case verdict == Adopt && (!usable || offer.Revision <= held),
					verdict == Confirm && (!usable || offer.Revision != held || offeredAt <= confirmedAt):
					t.Fatalf("offer %+v: verdict %d does not fit held revision %d", offer, verdict, held)
				case verdict == Ignore && reason == "":
					t.Fatal("offer ignored without a reason")
				case verdict == Adopt:
					held = offer.Revision
					confirmedAt = offeredAt
				case verdict == Confirm:
					confirmedAt = offeredAt
				}
			}
			state := s.State(now)
			wrongState := held >= 0 && (state.Revision != held || state.Age != now-confirmedAt)
			if wrongState || state.Phase == CurrentList && state.Age > pollInterval {
				t.Fatalf("held revision %d, confirmed at %v: state %+v at %v, want that revision and its age", held, confirmedAt, state, now)
			}
		}
	})
}

// When its peers fall silent, a node sends a list request as soon as a node without peers would.
func TestListRequestDue_PeersFallSilent_NodeRequests(t *testing.T) {
	cfg := Config{NodeCount: 300, Index: 99, PollInterval: pollInterval, Peers: true}
	s := New(cfg, rand.New(rand.NewPCG(9, 2)), 0, NoSource, Offer{})
	now := time.Duration(0)
	for ; !s.ListRequestDue(now); now += 50 * ms {
		if now > peerSilenceTimeout+pollInterval {
			t.Fatal("no list request although the peers are silent")
		}
	}
}

// A node refreshes a peer list with a list request of its own before the list is too old, unless a peer confirms it
// again.
func TestListRequestDue_PeerListAges_NodeRequests(t *testing.T) {
	cfg := Config{NodeCount: 10, Index: 9, PollInterval: pollInterval, Peers: true, DiscoveryName: "s"}
	s := New(cfg, rand.New(rand.NewPCG(9, 2)), 0, NoSource, Offer{})
	now := time.Duration(0)
	for ; now < time.Minute; now += 100 * ms {
		s.ConsiderPeerList(now, Offer{DiscoveryName: "s", Revision: 1, Age: time.Second, Hosts: 2})
		if s.ListRequestDue(now) {
			t.Fatal("list request sent although peers confirm the list, want none")
		}
	}
	for ; !s.ListRequestDue(now); now += 100 * ms {
		if now > time.Minute+pollInterval {
			t.Fatalf("the list is %v old and no list request was sent", s.State(now).Age)
		}
	}
}

// Decode rejects a document that is truncated at any byte, corrupted in any byte, from another discovery service, or
// too old. The age of a list that was confirmed in the future is not understated.
func TestDecode_DamagedOrForeign_Rejected(t *testing.T) {
	confirmed := time.UnixMilli(1_700_000_000_000)
	endpoints := []wire.Endpoint{
		{ID: "h1", Addr: "127.0.0.1:1", Zone: "a", Size: 1},
		{ID: "h2", Addr: "127.0.0.1:2", Phase: wire.Draining, Size: 2},
	}
	document, err := CachedList{
		DiscoveryName: "s",
		Confirmed:     confirmed.UnixMilli(),
		List:          wire.EndpointList{Revision: 41, Complete: true, Endpoints: endpoints},
	}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	list, age, err := Decode(document, "s", confirmed.Add(time.Minute))
	if err != nil || age != time.Minute || list.Revision != 41 ||
		len(list.Endpoints) != 2 || list.Endpoints[1] != endpoints[1] {
		t.Fatalf("list %+v, age %v, error %v, want revision 41 with 2 endpoints and age 1m", list, age, err)
	}
	for i := range document {
		if _, _, err := Decode(document[:i], "s", confirmed); err == nil {
			t.Fatalf("document truncated at byte %d was decoded", i)
		}
		changed := append([]byte(nil), document...)
		changed[i] ^= 0x40
		if _, _, err := Decode(changed, "s", confirmed); err == nil {
			t.Fatalf("document corrupted in byte %d was decoded", i)
		}
	}
	for _, c := range []struct {
		discoveryName string
		now           time.Time
		err           error
		age           time.Duration
	}{
		{"other", confirmed, ErrOtherDiscovery, 0},
		{"s", confirmed.Add(MaxAge + time.Second), ErrTooOld, MaxAge + time.Second},
		{"s", confirmed.Add(-time.Hour), nil, UnknownAge},
	} {
		_, age, err := Decode(document, c.discoveryName, c.now)
		if !errors.Is(err, c.err) || c.err != ErrOtherDiscovery && age != c.age {
			t.Errorf("discovery name %q at %v: age %v, error %v", c.discoveryName, c.now, age, err)
		}
	}
	laterVersion := append([]byte("onyxstream-list-2"), document[len(formatVersion):]...)
	if _, _, err := Decode(laterVersion, "s", confirmed); !errors.Is(err, ErrFormat) {
		t.Errorf("document of a later version: error %v, want ErrFormat", err)
	}
}
