package soaktest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"onyxstream/internal/fakeserver"
)

// Limits are the rules' figures, with what the way to a ledger may take.
type Limits struct {
	Late       time.Duration // an answer may come so long after the client's time
	DrainGrace time.Duration
	Told       time.Duration // after it could be reached, discovery has told of a change by then
	Left       time.Duration // after its client has left, a line may begin for so long
	Ledger     time.Duration // between a deed and its record, on a busy machine
}

// Usual are the limits of the operators' terms.
var Usual = Limits{Late: 500 * time.Millisecond, DrainGrace: 450 * time.Millisecond, Told: 6 * time.Second, Left: 100 * time.Millisecond,
	Ledger: 250 * time.Millisecond}

// Facts are what a judge is told beside the records.
type Facts struct {
	Unsafe map[string]bool // classes that may not be repeated
	Cut    bool            // what a node cut off that stood, without MOVE, is wrong
	// Unreachable are the times in which a node or more could not reach discovery.
	Unreachable []Span
	// Delayed are hosts whose records may come long after the deed: they hung, or their link held bytes back.
	Delayed map[string]bool
	// Crowded are the times in which idle clients filled a node's descriptors: new connections may be shut unread then.
	Crowded map[string][]Span
}

// Span is a time from one moment to another.
type Span struct{ From, To time.Duration }

func (s Span) has(at time.Duration) bool { return s.From <= at && at <= s.To }

// Verdict is what a run comes to.
type Verdict struct {
	Asked, Served, Refused, Failed int
	Exempt                         int      // were shut unread in a crowd, or held by a node that was killed
	Wrong                          []string // broken rules, one line each
}

func (v *Verdict) wrong(format string, args ...any) {
	v.Wrong = append(v.Wrong, fmt.Sprintf(format, args...))
}

// clientPrefix begins the names of clients in the ledger, before the node that they came to.
const clientPrefix = "c-"

// fate is what became of one request, a connection to one node.
type fate struct {
	id, node     string
	asked, heard time.Duration
	patience     time.Duration
	answers      []string
	left, broken time.Duration // 0 for not
}

// Judge finds what the records of a run break.
func Judge(recs []fakeserver.Event, limits Limits, facts Facts) Verdict {
	v := Verdict{}
	fates, receipts, kills := gather(recs)
	for _, f := range fates {
		v.answer(f, receipts, kills, limits, facts)
	}
	v.leavers(recs, fates, limits, facts)
	v.falls(recs)
	v.drains(recs, limits, facts)
	v.repeats(recs, facts)
	return v
}

// gather sorts the records of clients by connection, those of hosts' receipts, and those of kills by node.
func gather(recs []fakeserver.Event) (fates []*fate, receipts map[string]bool, kills map[string][]time.Duration) {
	receipts, kills = map[string]bool{}, map[string][]time.Duration{}
	open := map[string]*fate{}
	for _, r := range recs {
		node, client := strings.CutPrefix(r.Source, clientPrefix)
		f := open[r.Key]
		switch {
		case r.Kind == fakeserver.EventFault && (r.Detail == "kill" || r.Detail == "lose"):
			kills[r.Source] = append(kills[r.Source], r.At)
		case !client && r.Kind == fakeserver.EventEstablished:
			receipts[r.ID+" "+r.Detail] = true
		case !client:
		case r.Kind == fakeserver.EventRequested:
			patience, _ := time.ParseDuration(r.Detail)
			f = &fate{id: r.ID, node: node, asked: r.At, patience: patience}
			open[r.Key] = f
			fates = append(fates, f)
		case f == nil:
		case r.Kind == fakeserver.EventReceived:
			if f.answers = append(f.answers, r.Detail); len(f.answers) == 1 {
				f.heard = r.At
			}
		case r.Kind == fakeserver.EventDisconnected:
			f.left = r.At
		case r.Kind == fakeserver.EventReset:
			f.broken = r.At
		}
	}
	return fates, receipts, kills
}

// answer judges whether a request that was written whole got one whole answer in time.
func (v *Verdict) answer(f *fate, receipts map[string]bool, kills map[string][]time.Duration, limits Limits, facts Facts) {
	v.Asked++
	by := f.asked + f.patience + limits.Late + limits.Ledger
	if len(f.answers) == 0 {
		killed := slices.ContainsFunc(kills[f.node], func(at time.Duration) bool { return Span{f.asked - time.Second, by}.has(at) })
		crowded := slices.ContainsFunc(facts.Crowded[f.node], func(s Span) bool { return s.has(f.asked) })
		switch {
		case f.left > 0: // it went first
		case killed, crowded && f.broken > 0:
			v.Exempt++
		default:
			v.wrong("%s at %s, asked at %v for %v: no whole answer, broken at %v", f.id, f.node, f.asked, f.patience, f.broken)
		}
		return
	}
	if f.heard > by {
		v.wrong("%s at %s, asked at %v for %v: %q only at %v", f.id, f.node, f.asked, f.patience, f.answers[0], f.heard)
	}
	word, receipt, _ := strings.Cut(f.answers[0], " ")
	switch word {
	case "UP":
		v.Served++
		if !receipts[f.id+" "+receipt] {
			v.wrong("%s: %q is no host's answer", f.id, f.answers[0])
		}
		return
	case "BUSY":
		v.Refused++
	default:
		v.Failed++
	}
	if len(f.answers) > 1 {
		v.wrong("%s: more answers than one: %q", f.id, f.answers)
	}
}

// leavers finds lines that began for clients that had left. A request of the same id that came later is another one.
func (v *Verdict) leavers(recs []fakeserver.Event, fates []*fate, limits Limits, facts Facts) {
	left, last := map[string]time.Duration{}, map[string]time.Duration{}
	for _, f := range fates {
		if last[f.id] = max(last[f.id], f.asked); f.left > 0 && len(f.answers) == 0 {
			left[f.id] = f.left
		}
	}
	for _, r := range recs {
		at, ok := left[r.ID]
		if r.Kind == fakeserver.EventOpened && ok && !facts.Delayed[r.Source] && at > last[r.ID] && r.At > at+limits.Left+limits.Ledger {
			v.wrong("%s: it began at %s at %v, its client left at %v", r.ID, r.Source, r.At, at)
		}
	}
}

// drains finds lines to hosts that drain for good, past the time at which every node counts as told, and the grace.
func (v *Verdict) drains(recs []fakeserver.Event, limits Limits, facts Facts) {
	since := map[string]time.Duration{}
	for _, r := range recs {
		switch at, ok := since[r.Source]; {
		case r.Kind == fakeserver.EventFault && r.Detail == "drains":
			since[r.Source] = ToldBy(r.At, limits.Told, facts.Unreachable)
		case r.Kind == fakeserver.EventOpened && ok && !facts.Delayed[r.Source] && r.At > at+limits.DrainGrace+limits.Ledger:
			v.wrong("%s: it began at %s at %v, which drains, and all count as told at %v", r.ID, r.Source, r.At, at)
		}
	}
}

// falls finds hosts in slow start that all nodes together pushed over.
func (v *Verdict) falls(recs []fakeserver.Event) {
	for _, r := range recs {
		if r.Kind == fakeserver.EventFault && r.Detail == "fell over" {
			v.wrong("%s: it was pushed over at %v", r.Source, r.At)
		}
	}
}

// ToldBy is when all count as told of a change: the first moment before which discovery could be reached for so long on
// end, since the change.
func ToldBy(change, within time.Duration, unreachable []Span) time.Duration {
	from := change
	spans := slices.Clone(unreachable)
	slices.SortFunc(spans, func(a, b Span) int { return int(a.From - b.From) })
	for _, s := range spans {
		if s.To > from && s.From < from+within {
			from = s.To
		}
	}
	return from + within
}

// repeats finds requests that may not be repeated and were, though an earlier host may have run them.
func (v *Verdict) repeats(recs []fakeserver.Event, facts Facts) {
	type place struct{ host, id string }
	first, refused := map[string]string{}, map[place]bool{}
	for _, r := range recs {
		switch {
		case strings.HasPrefix(r.Source, clientPrefix) || !facts.Unsafe[r.Class]:
		case r.Kind == fakeserver.EventRejected:
			refused[place{r.Source, r.ID}] = true
		case r.Kind == fakeserver.EventOpened && !strings.Contains(r.Detail, "mid"):
			if was, ok := first[r.ID]; ok && !refused[place{was, r.ID}] {
				v.wrong("%s: it was sent to %s, may have run, and was sent to %s", r.ID, was, r.Source)
			}
			first[r.ID] = r.Source
		}
	}
}
