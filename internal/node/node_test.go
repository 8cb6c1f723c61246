package node

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"onyxstream/brain"
	"onyxstream/internal/settings"
	"onyxstream/internal/wire"
)

// port records what a connection is told.
type port struct {
	mu    sync.Mutex
	said  []string
	sent  []Attempt
	pulse MessageStats
}

func (p *port) say(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.said = append(p.said, text)
}

func (p *port) Send(a Attempt) {
	p.mu.Lock()
	p.sent = append(p.sent, a)
	p.mu.Unlock()
	p.say(fmt.Sprintf("send %d %s", a.N, a.Addr))
}
func (p *port) Proceed(n int, ok bool)                  { p.say(fmt.Sprintf("go %d %v", n, ok)) }
func (p *port) Cancel(n int)                            { p.say(fmt.Sprintf("cancel %d", n)) }
func (p *port) Refuse(d time.Duration)                  { p.say(fmt.Sprintf("refuse %v", d > 0)) }
func (p *port) Fail()                                   { p.say("fail") }
func (p *port) Move()                                   { p.say("move") }
func (p *port) MessageStats(now time.Time) MessageStats { return p.pulse }

func (p *port) heard() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.said, ", ")
}

// world records what the loop asks of the sockets beside its connections.
type world struct {
	watches []Call
	pings   []brain.ServerID
	full    bool // no ping is sent any more
}

func (w *world) Watch(c Call) { w.watches = append(w.watches, c) }

func (w *world) Ping(id brain.ServerID, _ string) bool {
	if w.full {
		return false
	}
	w.pings = append(w.pings, id)
	return true
}

func testSettings() settings.Settings {
	return settings.Settings{
		Settings: brain.Settings{GroupSize: 1, AskList: true, MaxAttempts: 4, MayCancel: true, MaxRetryAfter: time.Second,
			DrainGrace: 400 * time.Millisecond, WarmWithin: time.Second, ColdShare: 0.5, FallMultiple: 4,
			FallWindow: time.Second, AskWithin: 10 * time.Second,
			Classes: []brain.Class{{SetupAim: 300 * time.Millisecond, Deadline: 2 * time.Second,
				MessageAim: 60 * time.Millisecond, Worth: 1}}},
		ClassNames: []string{"chat"}, TenantNames: []string{"acme"}, ZoneNames: []string{"a", "b"}, Groups: true,
	}
}

func entry(id string, phase wire.Phase) wire.Member {
	return wire.Member{ID: id, Addr: id + ":1", Zone: "a", Size: 1, Phase: phase}
}

// held is a node that is not running: the test takes its events by hand.
func held(t *testing.T, members ...wire.Member) (*Node, *world, *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	w := &world{}
	return New(testSettings(), wire.Catalog{Revision: 7, Complete: true, Members: members}, "d:1", w, zap.New(core)), w, logs
}

func opening(t *testing.T, line string) *wire.Opening {
	t.Helper()
	_, o, err := wire.ParseHello([]byte(line))
	if err != nil {
		t.Fatal(err)
	}
	return &o
}

// arrive hands the node a client's line.
func arrive(t *testing.T, n *Node, id string) *port {
	t.Helper()
	p := &port{}
	n.take(event{kind: evArrive, id: brain.RequestID(id), opening: opening(t, "OPEN "+id+" key c=chat,t=acme,d=2000"),
		until: time.Now().Add(2 * time.Second), port: p})
	return p
}

func settled(id string, n int, o brain.Outcome) event {
	return event{kind: evSettled, id: brain.RequestID(id), attempt: n, outcome: o, took: time.Millisecond}
}

func opened(id string, n int) event {
	return event{kind: evOpened, id: brain.RequestID(id), attempt: n, took: time.Millisecond}
}

func TestServeAndEnd(t *testing.T) {
	n, _, _ := held(t, entry("s1", wire.Serving))
	p := arrive(t, n, "r")
	if p.heard() != "send 0 s1:1" || n.Owed() != 1 {
		t.Fatalf("%s; %d owed", p.heard(), n.Owed())
	}
	n.take(event{kind: evConnected, id: "r"})
	n.take(opened("r", 0))
	if p.heard() != "send 0 s1:1, go 0 true" || n.Owed() != 0 || n.Open() != 1 {
		t.Fatalf("%s; %d owed, %d open", p.heard(), n.Owed(), n.Open())
	}
	n.take(event{kind: evLoad, id: "r", load: 5})
	n.take(settled("r", 0, brain.Served))
	if n.Open() != 0 || len(n.reqs) != 0 {
		t.Errorf("%d open, %d requests kept", n.Open(), len(n.reqs))
	}
}

func TestFailoverThenRefusedAtOnce(t *testing.T) {
	n, _, _ := held(t, entry("s1", wire.Serving), entry("s2", wire.Serving))
	p := arrive(t, n, "r")
	n.take(settled("r", 0, brain.NoConnect))
	if len(p.sent) != 2 || p.sent[0].Addr == p.sent[1].Addr {
		t.Fatalf("sent to %v", p.sent)
	}
	n.take(settled("r", 1, brain.Full))
	if !strings.HasSuffix(p.heard(), "refuse true") || n.Owed() != 0 || len(n.reqs) != 0 {
		t.Errorf("%s; %d owed, %d kept", p.heard(), n.Owed(), len(n.reqs))
	}
}

// Whatever comes twice, late or for another attempt changes nothing.
func TestLateAndDoubledEventsDoNothing(t *testing.T) {
	n, _, _ := held(t, entry("s1", wire.Serving), entry("s2", wire.Serving))
	p := arrive(t, n, "r")
	n.take(settled("r", 0, brain.Errored))
	said := p.heard()
	n.take(settled("r", 0, brain.Errored))
	n.take(opened("r", 0))
	n.take(settled("r", 7, brain.Full))
	n.take(settled("other", 0, brain.Full))
	n.take(event{kind: evLoad, id: "r", load: 1})
	if p.heard() != said {
		t.Errorf("then also %s", p.heard())
	}
	n.take(event{kind: evConnected, id: "r", attempt: 0})
	if !strings.HasSuffix(p.heard(), "go 0 false") {
		t.Errorf("an attempt that is over may go: %s", p.heard())
	}
	again := arrive(t, n, "r")
	if again.heard() != "fail" || n.Owed() != 1 {
		t.Errorf("an id that is held: %s; %d owed", again.heard(), n.Owed())
	}
}

func TestClientGoneFreesEverything(t *testing.T) {
	n, _, _ := held(t, entry("s1", wire.Serving))
	p := arrive(t, n, "r")
	n.take(event{kind: evGone, id: "r", attempt: 1})
	if !strings.HasSuffix(p.heard(), "cancel 0") || n.Owed() != 0 || len(n.reqs) != 1 {
		t.Fatalf("%s; %d owed, %d kept", p.heard(), n.Owed(), len(n.reqs))
	}
	n.take(settled("r", 0, brain.Cancelled))
	if len(n.reqs) != 0 || strings.Contains(p.heard(), "refuse") {
		t.Errorf("%s; %d kept", p.heard(), len(n.reqs))
	}
	// A send that meets a connection which has ended is taken by no one and would be kept for ever.
	arrive(t, n, "q")
	n.take(event{kind: evGone, id: "q", attempt: 0})
	if len(n.reqs) != 0 || n.Owed() != 0 {
		t.Errorf("%d kept, %d owed", len(n.reqs), n.Owed())
	}
}

// A send counts at its first byte: a dial that comes up after the grace must not be written to.
func TestNothingIsWrittenAfterTheDrainsGrace(t *testing.T) {
	n, _, _ := held(t, entry("s1", wire.Serving))
	p := arrive(t, n, "r")
	n.list(&wire.Catalog{Revision: 8, Members: []wire.Member{entry("s1", wire.Draining)}}, brain.ListChange, false)
	n.take(event{kind: evConnected, id: "r"})
	if !strings.HasSuffix(p.heard(), "go 0 true") {
		t.Fatalf("within the grace: %s", p.heard())
	}
	n.members["s1"].toldAt = time.Now().Add(-n.set.DrainGrace)
	n.take(event{kind: evConnected, id: "r"})
	if !strings.HasSuffix(p.heard(), "go 0 false") {
		t.Fatalf("after the grace: %s", p.heard())
	}
	// Being told again, or that it is gone, does not start another grace.
	n.list(&wire.Catalog{Revision: 9, Members: []wire.Member{entry("s1", wire.Deleted)}}, brain.ListChange, false)
	if n.sendable(n.members["s1"]) {
		t.Error("a second notice gives a second grace")
	}
	n.list(&wire.Catalog{Revision: 10, Members: []wire.Member{entry("s1", wire.Serving)}}, brain.ListChange, false)
	if !n.sendable(n.members["s1"]) {
		t.Error("a host called back gets nothing")
	}
}

func TestCompleteListDropsWhatItLacks(t *testing.T) {
	n, _, _ := held(t, entry("s1", wire.Serving), entry("s2", wire.Serving))
	n.take(event{kind: evList, list: &wire.Catalog{Revision: 8, Complete: true, Members: []wire.Member{entry("s2", wire.Serving)}}})
	if n.members["s1"].state != brain.Gone || n.members["s2"].state != brain.Live || n.revision != 8 {
		t.Errorf("s1 %v, s2 %v, revision %d", n.members["s1"].state, n.members["s2"].state, n.revision)
	}
	n.members["s1"].toldAt = time.Now().Add(-2 * forgetAfter)
	n.list(&wire.Catalog{Revision: 9}, brain.ListChange, false)
	if n.members["s1"] != nil {
		t.Error("a host gone for long is kept")
	}
}

// A member without an address can't be sent to: the module must hear that nothing was passed on.
func TestMemberWithoutAnAddressIsNeverPassed(t *testing.T) {
	m := entry("s1", wire.Serving)
	m.Addr = ""
	n, _, _ := held(t, m)
	if p := arrive(t, n, "r"); p.heard() != "refuse true" || n.Owed() != 0 {
		t.Errorf("%s; %d owed", p.heard(), n.Owed())
	}
	if p := arrive(t, n, "q"); p.heard() != "refuse true" || len(n.reqs) != 0 {
		t.Errorf("%s; %d kept", p.heard(), len(n.reqs))
	}
}

func TestUnknownClassIsAnsweredAtOnce(t *testing.T) {
	n, _, logs := held(t, entry("s1", wire.Serving))
	p := &port{}
	n.take(event{kind: evArrive, id: "r", opening: opening(t, "OPEN r key c=odd"), until: time.Now().Add(time.Second), port: p})
	if p.heard() != "fail" || len(n.reqs) != 0 || logs.FilterMessageSnippet("class").Len() != 1 {
		t.Errorf("%s; %d kept", p.heard(), len(n.reqs))
	}
}

func TestMidFlowAndGroupReachTheModule(t *testing.T) {
	n, _, _ := held(t)
	a := n.arrival(opening(t, "OPEN r key c=chat,t=acme,g=grp,mid=1,again=1,r=1"), time.Second)
	want := brain.Arrival{ID: "r", Key: "key", Group: "grp", Left: time.Second, MidFlow: true, Again: true, Retry: true}
	if a != want {
		t.Errorf("%+v, want %+v", a, want)
	}
	n.set.Groups = false
	if a := n.arrival(opening(t, "OPEN r key c=chat,g=client"), 0); a.Group != "" || a.Tenant != -1 {
		t.Errorf("without groups: %+v", a)
	}
}

func TestInheritedConnectionsAreCountedAndEnd(t *testing.T) {
	n, _, _ := held(t, entry("s1", wire.Serving))
	for i, host := range []string{"s1", "unlisted"} {
		id := brain.RequestID(fmt.Sprint("r", i))
		at := event{kind: evResume, id: id, opening: opening(t, "OPEN "+string(id)+" key c=chat,at="+host), port: &port{}, reply: make(chan place, 1)}
		n.take(at)
		if got := <-at.reply; !got.ok || (got.addr != "") != (host == "s1") {
			t.Errorf("%s is at %+v", host, got)
		}
		at.kind = evInherit
		n.take(at)
		if n.Open() != 1 || n.Owed() != 0 {
			t.Errorf("at %s: %d open, %d owed", host, n.Open(), n.Owed())
		}
		n.take(settled(string(id), 0, brain.Served))
		if n.Open() != 0 || len(n.reqs) != 0 {
			t.Errorf("at %s: %d open, %d kept after the end", host, n.Open(), len(n.reqs))
		}
	}
}

// A client chooses its id. One that takes that of an open request gets an error, and whatever becomes of it the
// first one does not feel: its request, its attempt, its connection.
func TestASecondClientWithAnOpenIdIsNotServed(t *testing.T) {
	n, _, _ := held(t, entry("s1", wire.Serving))
	first := arrive(t, n, "r")
	intrude := func() {
		t.Helper()
		second := arrive(t, n, "r")
		if second.heard() != "fail" {
			t.Errorf("the second heard %q", second.heard())
		}
		at := event{kind: evResume, id: "r", opening: opening(t, "OPEN r key c=chat,at=s1"), port: &port{}, reply: make(chan place, 1)}
		n.take(at)
		if got := <-at.reply; got.ok {
			t.Error("it may be taken up beside the first")
		}
		for _, e := range []event{{kind: evGone}, {kind: evConnected}, {kind: evOpened, took: time.Hour}, {kind: evLoad, load: 5},
			{kind: evInherit, opening: at.opening}, {kind: evSettled, outcome: brain.Reset}} {
			e.id, e.port = "r", second
			n.take(e)
		}
	}
	intrude()
	if n.Owed() != 1 || first.heard() != "send 0 s1:1" {
		t.Fatalf("%d owed; the first heard %q", n.Owed(), first.heard())
	}
	n.take(event{kind: evOpened, id: "r", port: first, took: time.Millisecond})
	intrude()
	if n.Owed() != 0 || n.Open() != 1 {
		t.Errorf("%d owed, %d open", n.Owed(), n.Open())
	}
	n.take(event{kind: evSettled, id: "r", port: first, outcome: brain.Served})
	if n.Open() != 0 || len(n.reqs) != 0 {
		t.Errorf("%d open, %d kept after the end", n.Open(), len(n.reqs))
	}
}

// A connection from before the run that never comes up leaves nothing behind.
func TestWhatIsNotTakenUpIsForgotten(t *testing.T) {
	n, _, _ := held(t, entry("s1", wire.Serving))
	at := event{kind: evResume, id: "r", opening: opening(t, "OPEN r key c=chat,at=s1"), port: &port{}, reply: make(chan place, 2)}
	n.take(at)
	n.take(at) // it is tried again
	n.take(event{kind: evGone, id: "r", port: at.port})
	if len(n.reqs) != 0 || n.Owed() != 0 || n.Open() != 0 {
		t.Errorf("%d kept, %d owed, %d open", len(n.reqs), n.Owed(), n.Open())
	}
}

func TestKnowsTheNamesOfTheSettings(t *testing.T) {
	n, _, _ := held(t)
	for list, want := range map[string]bool{"c=chat,t=acme": true, "c=chats,t=acme": false, "t=acme": false, "c=chat,t=acne": false,
		"c=chat": false} {
		if got := n.Knows(opening(t, "OPEN r key "+list)); got != want {
			t.Errorf("%s: known %v, want %v", list, got, want)
		}
	}
}

// up is a connection that stands.
func up(t *testing.T, n *Node, id string) *port {
	t.Helper()
	p := arrive(t, n, id)
	n.take(opened(id, 0))
	return p
}

// A host that is cut off says nothing and breaks nothing; its clients must be sent away, and long before the
// seven seconds are over.
func TestSilentHostsClientsAreMovedOnce(t *testing.T) {
	n, _, logs := held(t, entry("s1", wire.Serving))
	n.slowFrom = 0 // slow messages are not what this is about
	p, q := up(t, n, "r"), up(t, n, "q")
	p.pulse = MessageStats{Waiting: silence + time.Millisecond}
	q.pulse = MessageStats{Waiting: silence - time.Millisecond}
	n.pulse(time.Now())
	if strings.Contains(p.heard(), "move") {
		t.Error("moved at the first sign, which a node that stood still itself sees at every host")
	}
	p.pulse = MessageStats{}
	n.pulse(time.Now())
	p.pulse = MessageStats{Waiting: silence + time.Millisecond}
	n.pulse(time.Now())
	if strings.Contains(p.heard(), "move") {
		t.Error("moved though the host had answered in between")
	}
	n.pulse(time.Now())
	n.pulse(time.Now())
	if strings.Count(p.heard(), "move") != 1 || strings.Contains(q.heard(), "move") || logs.FilterMessageSnippet("says nothing").Len() != 1 {
		t.Errorf("silent: %s; well: %s", p.heard(), q.heard())
	}
}

// The module is told as the simulator tells it: of the middle message of a second while that is over a
// third of the shortest aim, and once more when it is under. One slow message among many is no news.
func TestSlowNotesFollowTheMiddleMessage(t *testing.T) {
	n, _, _ := held(t, entry("s1", wire.Serving))
	ports := []*port{up(t, n, "r0"), up(t, n, "r1"), up(t, n, "r2")}
	m := n.members["s1"]
	second := func(took ...time.Duration) {
		for i, p := range ports {
			if took[i] > 0 {
				p.pulse.Answered++
				p.pulse.Took = took[i]
			}
		}
		for range noteEvery {
			n.pulse(time.Now())
		}
	}
	for i, c := range []struct {
		took []time.Duration
		slow bool
	}{
		{[]time.Duration{1e6, 1e6, 90e6}, false},
		{[]time.Duration{1e6, 30e6, 90e6}, true},
		{[]time.Duration{0, 0, 0}, true}, // nothing was said, so nothing is new
		{[]time.Duration{1e6, 2e6, 90e6}, false},
	} {
		if second(c.took...); m.slow != c.slow || len(m.took) != 0 {
			t.Errorf("second %d: slow %v, want %v; %d figures kept", i, m.slow, c.slow, len(m.took))
		}
	}
	for _, p := range ports { // all three: the module may have sent some away for the slow second
		p.pulse.Waiting = 40 * time.Millisecond
	}
	if second(0, 0, 0); !m.slow {
		t.Error("messages that wait for their answer are no news")
	}
}

// A host answers lines at once however much is piled up there; where probes are allowed a ping tells, and one
// without an answer tells by how long it waits.
func TestPingsTellWhatAMessageTakes(t *testing.T) {
	n, w, _ := held(t, entry("s1", wire.Serving), entry("s2", wire.Serving))
	n.set.TellsDelay, n.set.MayProbe = true, true
	p := up(t, n, "r")
	on := n.reqs["r"].on
	if len(w.pings) != 1 || w.pings[0] != on.id {
		t.Fatalf("pings %v with a first connection, want one to its host", w.pings)
	}
	n.take(event{kind: evPinged, id: brain.RequestID(on.id), took: 80 * time.Millisecond})
	w.pings = nil
	p.pulse = MessageStats{Answered: 1, Took: time.Millisecond}
	now := time.Now()
	second := func() {
		for range noteEvery {
			now = now.Add(tickEvery)
			n.pulse(now)
		}
	}
	second()
	if second(); len(w.pings) != 1 || w.pings[0] != on.id {
		t.Fatalf("pings %v in two seconds, want one to the host where a client stands", w.pings)
	}
	pinged := func(took time.Duration) {
		n.take(event{kind: evPinged, id: brain.RequestID(on.id), took: took})
	}
	// A host far away takes long to answer at its best too.
	pinged(70 * time.Millisecond)
	second()
	second()
	if pinged(75 * time.Millisecond); on.slow || on.doubt > 0 {
		t.Error("the way to a host counts as its message time")
	}
	pinged(2 * time.Millisecond) // its best
	for _, c := range []struct {
		first, again time.Duration
		slow         bool
	}{
		{3 * time.Millisecond, 0, false},                     // jitter
		{30 * time.Millisecond, 2 * time.Millisecond, false}, // a hiccup of this machine
		{7 * time.Millisecond, 6 * time.Millisecond, true},   // three times slower than at its best
		{5 * time.Millisecond, 0, true},                      // still slow
		{3 * time.Millisecond, 0, false},                     // well again
		{30 * time.Millisecond, 30 * time.Millisecond, true}, // slow by any measure
	} {
		second()
		second()
		before := len(w.pings)
		pinged(c.first)
		if (len(w.pings) > before) != (c.again > 0) {
			t.Errorf("after %v: asked again %v", c.first, len(w.pings) > before)
		}
		if c.again > 0 {
			pinged(c.again)
		}
		if on.slow != c.slow {
			t.Errorf("after %v and %v: slow %v", c.first, c.again, on.slow)
		}
	}
	n.reqs["r"].leaving = false // the module has moved it: have it back
	before := len(w.pings)
	if second(); len(w.pings) != before+1 {
		t.Errorf("%d pings a second after a slow one, want 1", len(w.pings)-before)
	}
	pinged(2 * time.Millisecond)
	second()
	second()
	pinged(-1)
	if second(); on.slow {
		t.Error("a host that could not be asked counts as slow")
	}
	for range 4 {
		second()
	}
	if !on.slow {
		t.Error("a ping without an answer is no news")
	}
	n.list(&wire.Catalog{Members: []wire.Member{{ID: string(on.id), UpSince: 5, Size: 1}}}, brain.ListChange, false)
	if on.best != 0 {
		t.Error("a host that has restarted is measured by what it was")
	}
}

// Where no descriptor is left for a ping, its host is not asked: that is no news of it, and it does not pass for silent.
func TestAPingThatIsNotSentSaysNothing(t *testing.T) {
	n, w, _ := held(t, entry("s1", wire.Serving))
	n.set.TellsDelay, n.set.MayProbe = true, true
	w.full = true
	p := up(t, n, "r")
	for range 8 * noteEvery {
		n.pulse(time.Now())
	}
	if on := n.reqs["r"].on; on.slow || strings.Contains(p.heard(), "move") {
		t.Errorf("slow %v; %s", on.slow, p.heard())
	}
	w.full = false
	for range 2 * noteEvery {
		n.pulse(time.Now())
	}
	if len(w.pings) != 1 {
		t.Errorf("%d pings once there is room, want 1", len(w.pings))
	}
}

// A host that has slowed to an eighth is asked four times what it can do if it was half used: four fifths
// of its clients are to leave at once, not a sixth.
func TestFirstNoteOfASlowedHostTellsOfThePile(t *testing.T) {
	n, _, _ := held(t, entry("s1", wire.Serving))
	n.set.TellsDelay, n.set.MayProbe = true, true
	var ports []*port
	for i := range 20 {
		ports = append(ports, up(t, n, fmt.Sprint("r", i)))
	}
	for range noteEvery {
		n.pulse(time.Now())
	}
	for _, took := range []time.Duration{3, 24, 24} {
		n.take(event{kind: evPinged, id: "s1", took: took * time.Millisecond})
	}
	moved := 0
	for _, p := range ports {
		moved += strings.Count(p.heard(), "move")
	}
	if moved < 15 || moved > 17 {
		t.Errorf("%d of 20 moved, want four fifths", moved)
	}
}

// What passes for jitter must not hide a crowd at a fast host, whose pings are short at twice and more of their best.
func TestACrowdAtAFastHostIsNoJitter(t *testing.T) {
	n, _, _ := held(t, entry("s1", wire.Serving))
	n.set.TellsDelay, n.set.MayProbe = true, true
	up(t, n, "r")
	m := n.members["s1"]
	m.some = "r"
	for _, c := range []struct {
		micros time.Duration
		slow   bool
	}{{1000, false}, {2100, false}, {2500, false}, {2500, true}, {2100, false}} {
		if n.pinged(m, c.micros*time.Microsecond); m.slow != c.slow {
			t.Errorf("after %v: slow %v", c.micros*time.Microsecond, m.slow)
		}
	}
}

// A host that stays at 2.5 times its best is asked more than it can do each second anew: shedding a seventh of the
// rest a second would let it stay so, and it gives up a third.
func TestAHostThatStaysSlowPilesUpMoreEachSecond(t *testing.T) {
	n, _, _ := held(t, entry("s1", wire.Serving))
	n.set.TellsDelay, n.set.MayProbe = true, true
	up(t, n, "r")
	n.pulse(time.Now())
	m := n.members["s1"]
	m.some = "r"
	for i, c := range []struct{ took, pile time.Duration }{{4, 0}, {10, 0}, {10, 250}, {10, 500}, {10, 750}, {7, 625}, {4, 0}} {
		n.pinged(m, c.took*time.Millisecond)
		if m.pile != c.pile*time.Millisecond {
			t.Errorf("ping %d: %v piled up, want %v", i, m.pile, c.pile*time.Millisecond)
		}
	}
}

func TestMoveAllSpreadsOverTheTime(t *testing.T) {
	n, _, _ := held(t, entry("s1", wire.Serving))
	var ports []*port
	for i := range 20 {
		ports = append(ports, up(t, n, fmt.Sprint("r", i)))
	}
	moved := func() (k int) {
		for _, p := range ports {
			k += strings.Count(p.heard(), "move")
		}
		return k
	}
	now := time.Now()
	n.take(event{kind: evMoveAll, until: now.Add(4 * tickEvery)})
	for i := range 4 {
		n.pulse(now.Add(time.Duration(i) * tickEvery))
		if i == 0 && (moved() == 0 || moved() > 6) {
			t.Errorf("%d of 20 moved at the first of four turns", moved())
		}
	}
	if moved() != 20 {
		t.Errorf("%d of 20 moved, each once", moved())
	}
}

func TestListEventsAndWatches(t *testing.T) {
	set := testSettings()
	set.AskWithin = time.Millisecond // the module asks within a twentieth of it
	w := &world{}
	n := New(set, wire.Catalog{Revision: 7}, "d:1", w, zap.NewNop())
	time.Sleep(time.Millisecond)
	n.decide(brain.Timer{Token: "sweep"})
	if len(w.watches) != 1 || w.watches[0] != (Call{1, "d:1", 7}) {
		t.Fatalf("watches %v, want one from version 7", w.watches)
	}
	n.take(event{kind: evList, call: 1, list: &wire.Catalog{Revision: 9, Members: []wire.Member{entry("s2", wire.Serving)}}})
	if n.revision != 9 || n.members["s2"] == nil {
		t.Errorf("revision %d", n.revision)
	}
}

// Another discovery is asked for the whole list, the versions of the old one mean nothing there, and the module
// sees neither a failure nor an empty fleet until the new list is there.
func TestFollowingAnotherDiscovery(t *testing.T) {
	n, w, _ := held(t, entry("s1", wire.Serving), entry("s2", wire.Serving))
	n.watch()
	serves := func(when string) {
		t.Helper()
		if p := arrive(t, n, when); !strings.HasPrefix(p.heard(), "send 0 ") {
			t.Errorf("%s: %q", when, p.heard())
		}
	}
	n.take(event{kind: evFollow, text: "d:2"})
	n.take(event{kind: evFollow, text: "d:3"})
	if want := (Call{3, "d:3", Whole}); len(w.watches) != 3 || w.watches[2] != want {
		t.Fatalf("asked %v, want %v last", w.watches, want)
	}
	n.take(event{kind: evWatchFailed, call: 1})
	n.take(event{kind: evWatchFailed, call: 2})
	serves("the-old-watch-has-ended")
	// What the old one wrote was told and holds, its version does not.
	n.take(event{kind: evList, call: 1, list: &wire.Catalog{Revision: 900, Members: []wire.Member{entry("s1", wire.Draining)}}})
	if n.revision != Whole || n.members["s1"].state != brain.Draining {
		t.Errorf("revision %d, s1 %v", n.revision, n.members["s1"].state)
	}
	n.take(event{kind: evWatchFailed, call: 3})
	n.watch()
	if got := w.watches[len(w.watches)-1]; got != (Call{4, "d:3", Whole}) {
		t.Errorf("after a failure asked %v", got)
	}
	n.take(event{kind: evList, call: 4, list: &wire.Catalog{Revision: 2, Complete: true,
		Members: []wire.Member{entry("s1", wire.Serving)}}})
	n.watch()
	if got := w.watches[len(w.watches)-1]; got != (Call{5, "d:3", 2}) {
		t.Errorf("after the list asked %v", got)
	}
	if n.members["s2"].state != brain.Gone || n.members["s1"].state != brain.Live {
		t.Error("the whole list does not hold")
	}
	serves("with-the-new-list")
}

// Sites that need not be asked have no module that asks: the node watches by itself, and again.
func TestPushSitesAreWatchedAgain(t *testing.T) {
	n, w, _ := held(t)
	n.set.AskList = false
	n.watch()
	n.take(event{kind: evWatchFailed, call: 1})
	n.pulse(time.Now())
	if len(w.watches) != 1 {
		t.Fatal("watched again at once")
	}
	n.pulse(time.Now().Add(time.Second))
	n.pulse(time.Now().Add(2 * time.Second))
	if len(w.watches) != 2 {
		t.Errorf("%d watches, want 2", len(w.watches))
	}
}

// A failure in the handling of one event must not end the node.
func TestAPanicStopsAtItsEvent(t *testing.T) {
	n, _, logs := held(t, entry("s1", wire.Serving))
	n.guard(func() { n.take(event{kind: evList}) }) // a list event without a list
	if logs.FilterMessage("an event could not be handled").Len() != 1 {
		t.Error("no trace of the failure in the log")
	}
	if p := arrive(t, n, "r"); p.heard() != "send 0 s1:1" {
		t.Errorf("after it: %s", p.heard())
	}
}

func TestTimersFallDueInOrder(t *testing.T) {
	var ts timers
	for i, at := range []time.Duration{5, 3, 5, 1} {
		ts.add(at, fmt.Sprint(i))
	}
	if ts.wait(0) != 1 {
		t.Errorf("waits %v", ts.wait(0))
	}
	var got []string
	for token, due := ts.next(5); due; token, due = ts.next(5) {
		got = append(got, token)
	}
	if !slices.Equal(got, []string{"3", "1", "0", "2"}) || ts.wait(0) != time.Hour {
		t.Errorf("order %v", got)
	}
}

// The loop under the race detector: many connections post and are told at once, and all of it ends.
func TestRunWithManyConnections(t *testing.T) {
	n, _, _ := held(t, entry("s1", wire.Serving), entry("s2", wire.Serving))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = n.Run(ctx)
	}()
	var all sync.WaitGroup
	for i := range 50 {
		all.Add(1)
		go func() {
			defer all.Done()
			id := brain.RequestID(fmt.Sprint(i))
			o := opening(t, fmt.Sprintf("OPEN %d key%d c=chat,d=2000", i, i))
			p := &port{}
			n.Arrive(o, time.Now().Add(2*time.Second), p)
			n.Connected(id, p, 0)
			n.Opened(id, p, 0, time.Millisecond)
			n.Load(id, p, float64(i))
			n.Listed(1, &wire.Catalog{Revision: int64(i), Members: []wire.Member{entry(fmt.Sprint("n", i%5), wire.Serving)}})
			n.Settled(id, p, 0, time.Millisecond, brain.Served)
		}()
	}
	all.Wait()
	// What was posted before has been taken once this is answered.
	if addr, ok := n.Resume(opening(t, "OPEN stood key c=chat,t=acme,at=s1"), &port{}); addr != "s1:1" || !ok {
		t.Errorf("resumed at %q, %v", addr, ok)
	}
	if n.Owed() != 0 || n.Open() != 0 {
		t.Errorf("%d owed, %d open", n.Owed(), n.Open())
	}
	cancel()
	<-ended
	n.Gone("1", &port{}, 0) // must not block
	if _, ok := n.Resume(opening(t, "OPEN stood key c=chat,t=acme,at=s1"), &port{}); ok {
		t.Error("an ended loop answers")
	}
}

// A repeat is dropped only so long after the first attempt: one whose dial came up later than that must not be written,
// whenever it was chosen.
func TestNoRepeatIsWrittenPastItsWindow(t *testing.T) {
	for _, c := range []struct {
		name   string
		effect brain.Effect
		first  brain.Outcome
		past   bool // the window is over as the second dial comes up
		want   string
	}{
		{"in time", brain.Keyed, brain.NoAnswer, false, "go 1 true"},
		{"late", brain.Keyed, brain.NoAnswer, true, "go 1 false"},
		{"late, but the first never ran", brain.Keyed, brain.NoConnect, true, "go 1 true"},
		{"late, of a safe class", brain.Safe, brain.NoAnswer, true, "go 1 true"},
	} {
		t.Run(c.name, func(t *testing.T) {
			window := time.Hour
			if c.past {
				window = 100 * time.Millisecond
			}
			set := testSettings()
			set.Classes[0].Effect, set.Classes[0].Window = c.effect, window
			known := wire.Catalog{Revision: 7, Complete: true, Members: []wire.Member{entry("s1", wire.Serving), entry("s2", wire.Serving)}}
			n := New(set, known, "d:1", &world{}, zap.NewNop())
			p := arrive(t, n, "r")
			n.take(settled("r", 0, c.first))
			if len(p.sent) != 2 {
				t.Fatalf("sent to %v", p.sent)
			}
			if c.past { // the dial is held until the window is over
				time.Sleep(window)
			}
			n.take(event{kind: evConnected, id: "r", attempt: 1})
			if !strings.HasSuffix(p.heard(), c.want) {
				t.Errorf("%s; want %s", p.heard(), c.want)
			}
		})
	}
}

// A watch that is refused in the moment in which discovery is named anew, on either side of that: the new one is asked for
// the whole list, the refusal of the old one is none of its, and nothing is asked twice once its list is there.
func TestAWatchRefusedAsDiscoveryIsNamedAnew(t *testing.T) {
	refused, named := event{kind: evWatchFailed, call: 1}, event{kind: evFollow, text: "new:1"}
	for name, order := range map[string][]event{"refused first": {refused, named}, "named first": {named, refused}} {
		for _, ask := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, asked for %v", name, ask), func(t *testing.T) {
				n, w, _ := held(t, entry("s1", wire.Serving))
				n.set.AskList = ask
				n.watch()
				for _, e := range order {
					n.take(e)
				}
				if last := w.watches[len(w.watches)-1]; len(w.watches) != 2 || last.Addr != "new:1" || last.After != Whole {
					t.Fatalf("calls %v", w.watches)
				}
				list := wire.Catalog{Revision: 3, Complete: true, Members: []wire.Member{entry("s2", wire.Serving)}}
				n.take(event{kind: evList, call: 2, list: &list})
				n.take(refused)
				n.pulse(time.Now().Add(time.Minute))
				if len(w.watches) != 2 || n.revision != 3 {
					t.Errorf("calls %v, revision %d", w.watches, n.revision)
				}
			})
		}
	}
}
