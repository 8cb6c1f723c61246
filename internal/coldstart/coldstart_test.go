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

// The same verdict every time: other draws are had by -rapid.seed.
func init() { _ = flag.Set("rapid.seed", "1") }

const (
	ms           = time.Millisecond
	pollInterval = 10 * time.Second
)

// fakeService is a list service in virtual time: calls in turn, 10 ms each, those that would wait a second turned away then.
type fakeService struct {
	freeAt     time.Duration
	downUntil  time.Duration // until then every call is reset
	retryAfter time.Duration // the Retry-After of what is turned away
	calledAt   []time.Duration
	rejected   int
}

// runFleet plays n starts against a service, with peers that pass on to all within 100 ms where they do, and says when each
// node was told first.
func runFleet(n int, peers bool, s *fakeService, until time.Duration) (receivedAt []time.Duration) {
	type answer struct {
		node int
		at   time.Duration
		ok   bool
	}
	var all []*Scheduler
	var answers []answer
	receivedAt = make([]time.Duration, n)
	for i := range n {
		all = append(all, New(Config{NodeCount: n, Index: i, PollInterval: pollInterval, Peers: peers, Service: "s"},
			rand.New(rand.NewPCG(uint64(i), 7)), 0, NoSource, Offer{}))
	}
	first := time.Duration(0)
	for now := time.Duration(0); now < until; now += 10 * ms {
		left := answers[:0]
		for _, a := range answers {
			switch {
			case a.at > now:
				left = append(left, a)
			case a.ok:
				all[a.node].ListReceived(now, 1, 5)
				if receivedAt[a.node] == 0 {
					receivedAt[a.node] = now
				}
				if first == 0 {
					first = now
				}
			default:
				all[a.node].CallFailed(now, s.retryAfter)
			}
		}
		answers = left
		for i, x := range all {
			if peers && now%(2*time.Second) == time.Duration(i%200)*10*ms { // each hears of others every other second
				x.PeerContacted(now)
			}
			if peers && first > 0 && now >= first+100*ms && !x.listReceived {
				if v, _ := x.ConsiderPeerList(now, Offer{Service: "s", Revision: 1, Age: 50 * ms, Hosts: 5}); v == Adopt && receivedAt[i] == 0 {
					receivedAt[i] = now
				}
			}
			if !x.CallDue(now) {
				continue
			}
			s.calledAt = append(s.calledAt, now)
			switch begins := max(s.freeAt, now); {
			case now < s.downUntil:
				answers = append(answers, answer{i, now + 10*ms, false})
			case begins-now > time.Second:
				s.rejected++
				answers = append(answers, answer{i, now + time.Second, false})
			default:
				s.freeAt = begins + 10*ms
				answers = append(answers, answer{i, s.freeAt, true})
			}
		}
	}
	return receivedAt
}

func lastReceived(told []time.Duration) (most time.Duration) {
	for _, at := range told {
		if at == 0 {
			return time.Hour
		}
		most = max(most, at)
	}
	return most
}

// Hundreds that ask at once jam the service; what one told passes on spares it. Calls may not grow with the fleet.
func TestCalls_FleetStarts_StayFew(t *testing.T) {
	for _, n := range []int{3, 50, 150, 300, 600} {
		s := &fakeService{}
		told := runFleet(n, true, s, 5*time.Second)
		if len(s.calledAt) > 12 || s.rejected > 0 || lastReceived(told) > 2*time.Second {
			t.Errorf("%d nodes, lists passed on: %d calls, %d turned away, all told after %v", n, len(s.calledAt), s.rejected, lastReceived(told))
		}
		s = &fakeService{}
		told = runFleet(n, false, s, 15*time.Second)
		if len(s.calledAt) > n*11/10 || lastReceived(told) > pollInterval {
			t.Errorf("%d nodes, each for itself: %d calls, %d turned away, all told after %v", n, len(s.calledAt), s.rejected, lastReceived(told))
		}
	}
}

// A service that is down was called faster the larger the fleet was. Its calls stay under a quarter of the 100 a second
// that it can do, also while half a minute passes, and all are told soon once it is back.
func TestCalls_ServiceDown_StayBelowItsCapacity(t *testing.T) {
	for _, down := range []time.Duration{5 * time.Second, 60 * time.Second} {
		for _, n := range []int{50, 300, 600} {
			s := &fakeService{downUntil: down}
			told := runFleet(n, true, s, down+20*time.Second)
			in := 0
			for _, at := range s.calledAt {
				if at < down {
					in++
				}
			}
			if rate := float64(in) / down.Seconds(); rate > 25 || lastReceived(told) > down+4*time.Second {
				t.Errorf("%d nodes, down for %v: %.1f calls a second, all told after %v", n, down, rate, lastReceived(told))
			}
		}
	}
}

// What the service says of when to come again holds, and neither nothing nor an hour makes a node call at once or never.
func TestCallFailed_AnyRetryAfter_CalledAgainInTime(t *testing.T) {
	for _, after := range []time.Duration{0, time.Second, time.Hour, -time.Hour, 1 << 62} {
		s := New(Config{NodeCount: 300, PollInterval: pollInterval}, rand.New(rand.NewPCG(1, 2)), 0, NoSource, Offer{})
		now := time.Duration(0)
		next := func() time.Duration {
			for from := now; ; now += 10 * ms {
				if s.CallDue(now) {
					return now - from
				}
				if now-from > 10*maxBackoffPolls*pollInterval {
					t.Fatalf("after %v it never calls again", after)
				}
			}
		}
		next()
		s.CallFailed(now, after)
		if waited := next(); waited < min(after, maxBackoffPolls*pollInterval) || waited < 100*ms {
			t.Errorf("told to come after %v it called after %v", after, waited)
		}
	}
}

// Offers in any order, of any age and of any service: what is held never goes back behind a newer one, is never counted
// as younger than it is, and never takes the place of what the service itself tells.
func TestPeerList_AnyOffers_RevisionNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Config{NodeCount: 3, PollInterval: pollInterval, Peers: true, Service: "s"}, rand.New(rand.NewPCG(1, 2)), 0, NoSource, Offer{})
		now, held, confirmed, own := time.Duration(0), int64(-1), time.Duration(-1), false
		for range rapid.IntRange(1, 40).Draw(t, "n") {
			now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				if own = own || s.CallDue(now); own {
					held, confirmed = int64(rapid.IntRange(0, 9).Draw(t, "told")), now // also a lower one: it is the service
					s.ListReceived(now, held, 3)
				}
			case 1:
				if own {
					s.CallFailed(now, 0)
					own = false
				}
			default:
				o := Offer{Service: rapid.SampledFrom([]string{"s", "s", "s", "other"}).Draw(t, "service"),
					Revision: int64(rapid.IntRange(0, 9).Draw(t, "revision")), Hosts: rapid.IntRange(0, 3).Draw(t, "hosts"),
					Age: time.Duration(rapid.IntRange(0, 30000).Draw(t, "age")) * ms}
				v, why := s.ConsiderPeerList(now, o)
				at := now - o.Age
				fits := o.Service == "s" && o.Hosts > 0 && !own
				switch {
				case v == Adopt && (!fits || o.Revision <= held), v == Confirm && (!fits || o.Revision != held || at <= confirmed):
					t.Fatalf("%+v: verdict %d, held %d", o, v, held)
				case v == Ignore && why == "":
					t.Fatal("an offer is passed over without a reason")
				case v == Adopt:
					held, confirmed = o.Revision, at
				case v == Confirm:
					confirmed = at
				}
			}
			st := s.State(now)
			if held >= 0 && (st.Revision != held || st.Age != now-confirmed) || st.Phase == CurrentList && st.Age > pollInterval {
				t.Fatalf("held %d of %v, state %+v at %v", held, confirmed, st, now)
			}
		}
	})
}

// A node whose others have fallen silent asks for itself as if there were none.
func TestCallDue_PeersFallSilent_NodeCalls(t *testing.T) {
	s := New(Config{NodeCount: 300, Index: 99, PollInterval: pollInterval, Peers: true}, rand.New(rand.NewPCG(9, 2)), 0, NoSource, Offer{})
	now := time.Duration(0)
	for ; !s.CallDue(now); now += 50 * ms {
		if now > peerSilenceTimeout+pollInterval {
			t.Fatal("it waits for others that say nothing")
		}
	}
}

// What others told and nobody confirms any more is asked for in time; what they confirm is not.
func TestCallDue_PeerListAges_NodeCalls(t *testing.T) {
	s := New(Config{NodeCount: 10, Index: 9, PollInterval: pollInterval, Peers: true, Service: "s"}, rand.New(rand.NewPCG(9, 2)), 0, NoSource, Offer{})
	now := time.Duration(0)
	for ; now < time.Minute; now += 100 * ms {
		s.ConsiderPeerList(now, Offer{Service: "s", Revision: 1, Age: time.Second, Hosts: 2})
		if s.CallDue(now) {
			t.Fatal("it asks though others do")
		}
	}
	for ; !s.CallDue(now); now += 100 * ms {
		if now > time.Minute+pollInterval {
			t.Fatalf("what is held is %v old and is not asked for", s.State(now).Age)
		}
	}
}

// A folder's list cut at any byte, changed in any byte, of another service, too old, or from the future: it is whole and
// right or not there, and never younger than it is.
func TestDecode_DamagedOrForeign_Refused(t *testing.T) {
	wrote := time.UnixMilli(1_700_000_000_000)
	k := CachedList{Service: "s", Confirmed: wrote.UnixMilli(), List: wire.EndpointList{Revision: 41, Complete: true, Endpoints: []wire.Endpoint{
		{ID: "h1", Addr: "127.0.0.1:1", Zone: "a", Size: 1}, {ID: "h2", Addr: "127.0.0.1:2", Phase: wire.Draining, Size: 2}}}}
	text, err := k.Encode()
	if err != nil {
		t.Fatal(err)
	}
	list, age, err := Decode(text, "s", wrote.Add(time.Minute))
	if err != nil || age != time.Minute || list.Revision != 41 || len(list.Endpoints) != 2 || list.Endpoints[1] != k.List.Endpoints[1] {
		t.Fatalf("read %+v, %v, %v", list, age, err)
	}
	for i := range text {
		if _, _, err := Decode(text[:i], "s", wrote); err == nil {
			t.Fatalf("cut at byte %d it is taken", i)
		}
		changed := append([]byte(nil), text...)
		changed[i] ^= 0x40
		if _, _, err := Decode(changed, "s", wrote); err == nil {
			t.Fatalf("changed in byte %d it is taken", i)
		}
	}
	for _, c := range []struct {
		service string
		now     time.Time
		err     error
		age     time.Duration
	}{{"other", wrote, ErrOtherService, 0}, {"s", wrote.Add(MaxAge + time.Second), ErrTooOld, MaxAge + time.Second}, {"s", wrote.Add(-time.Hour), nil, UnknownAge}} {
		if _, age, err := Decode(text, c.service, c.now); !errors.Is(err, c.err) || c.err != ErrOtherService && age != c.age {
			t.Errorf("of %q at %v: age %v, error %v", c.service, c.now, age, err)
		}
	}
	if _, _, err := Decode(append([]byte("onyxstream-list-2"), text[len(formatVersion):]...), "s", wrote); !errors.Is(err, ErrFormat) {
		t.Errorf("of a later version: %v", err)
	}
}
