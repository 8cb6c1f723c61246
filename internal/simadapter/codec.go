// Package simadapter speaks the simulator's wire: it reads batches of events, hands them to the
// decision module's instances and writes back their actions. It decides nothing.
package simadapter

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/go-faster/jx"

	"onyxstream/balancer"
)

// field marks one field of an event as seen.
type field uint32

const (
	fID field = 1 << iota
	fLane
	fRemaining
	fHost
	fTrial
	fResult
	fTimeTaken
	fKind
	fValue
	fHandle
	fSerial
	fBuffer
	fMode
	fRows
	fSeed
	fFacts
	fContent
	fSrc
	fLast
	fStray
)

// fieldNames lists the words of the fields in the order of their bits.
var fieldNames = []string{"id", "lane", "remaining", "host", "trial", "result", "timeTaken", "kind", "value",
	"handle", "serial", "buffer", "mode", "rows", "prng", "facts", "content", "src", "last", "stray"}

// required lists, for each event, the fields it cannot do without.
var required = map[string]field{
	"start":       fSeed | fFacts,
	"defineList":  fBuffer | fRows,
	"fleet":       fMode | fSerial,
	"arrival":     fID | fLane | fRemaining,
	"inherited":   fID | fLane | fHost,
	"deadlineHit": fHandle,
	"opened":      fID | fTrial | fHost | fTimeTaken,
	"pong":        fHost | fResult,
	"settled":     fID | fTrial | fHost | fResult | fTimeTaken | fLast,
	"inbox":       fSrc | fContent,
	"shutdown":    0,
	"heartbeat":   fID | fTrial | fHost | fKind | fValue,
	"lapsed":      fID,
}

var outcomes = map[string]balancer.Outcome{
	"served": balancer.Served, "server_error": balancer.Errored, "turned_away": balancer.Rejected,
	"no_answer": balancer.ResponseTimeout, "no_connection": balancer.ConnectFailed, "connection_lost": balancer.ConnectionReset,
	"called_off": balancer.Cancelled, "not_sent": balancer.NotSent,
}

var states = map[string]balancer.ServerState{"live": balancer.Live, "quiescing": balancer.Draining, "dead": balancer.Removed}

var listKinds = map[string]balancer.ListKind{
	"update": balancer.ListDelta, "replace": balancer.ListSnapshot, "restored": balancer.ListCached, "unavailable": balancer.ListFailed,
}

// event is one event of the wire with the fields of all kinds side by side.
type event struct {
	seen                            field
	id, entity, room, handle, mode  string
	host                            balancer.ServerID
	result                          balancer.Outcome
	lane, billing, trial, kind, src int
	serial                          int64
	buffer                          int
	remaining, timeTaken            time.Duration
	expected, value                 float64
	retry, stray, again, last       bool
	rows                            []balancer.Server
	seed                            uint64
	facts, content                  []byte
}

// wireError says which field is wrong and why.
type wireError struct {
	field string
	err   error
}

func (e *wireError) Error() string { return "field " + strconv.Quote(e.field) + ": " + e.err.Error() }
func (e *wireError) Unwrap() error { return e.err }

func at(field string, err error) error {
	if err == nil {
		return nil
	}
	var inner *wireError
	if errors.As(err, &inner) {
		return err
	}
	return &wireError{field, err}
}

// duration reads milliseconds.
func duration(d *jx.Decoder) (time.Duration, error) {
	ms, err := d.Float64()
	if err == nil && math.Abs(ms) > 1e12 {
		err = errors.New("out of range")
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond, err
}

// decode reads the object of one event. names interns host names.
func (e *event) decode(d *jx.Decoder, names map[string]balancer.ServerID) error {
	*e = event{}
	return d.ObjBytes(func(d *jx.Decoder, key []byte) error {
		if d.Next() == jx.Null {
			if string(key) == "room" || string(key) == "entity" || string(key) == "load" {
				return d.Null()
			}
			return d.Skip()
		}
		var err error
		switch string(key) {
		case "id":
			e.seen |= fID
			e.id, err = d.Str()
		case "lane":
			e.seen |= fLane
			e.lane, err = d.Int()
		case "billing":
			e.billing, err = d.Int()
		case "entity":
			e.entity, err = d.Str()
		case "room":
			e.room, err = d.Str()
		case "remaining":
			e.seen |= fRemaining
			e.remaining, err = duration(d)
		case "expected":
			e.expected, err = d.Float64()
		case "isRetry":
			e.retry, err = d.Bool()
		case "stray":
			e.seen |= fStray
			e.stray, err = d.Bool()
		case "again":
			e.again, err = d.Bool()
		case "host":
			e.seen |= fHost
			e.host, err = intern(d, names)
		case "trial":
			e.seen |= fTrial
			e.trial, err = d.Int()
		case "result":
			e.seen |= fResult
			e.result, err = word(d, outcomes)
		case "timeTaken":
			e.seen |= fTimeTaken
			e.timeTaken, err = duration(d)
		case "last":
			e.seen |= fLast
			e.last, err = d.Bool()
		case "kind":
			e.seen |= fKind
			e.kind, err = d.Int()
		case "value":
			e.seen |= fValue
			e.value, err = d.Float64()
		case "handle":
			e.seen |= fHandle
			e.handle, err = d.Str()
		case "serial":
			e.seen |= fSerial
			e.serial, err = d.Int64()
		case "buffer":
			e.seen |= fBuffer
			e.buffer, err = d.Int()
		case "mode":
			e.seen |= fMode
			e.mode, err = d.Str()
		case "rows":
			e.seen |= fRows
			err = d.Arr(func(d *jx.Decoder) error {
				row, err := decodeRow(d, names)
				e.rows = append(e.rows, row)
				return err
			})
		case "prng":
			e.seen |= fSeed
			e.seed, err = seed(d)
		case "facts":
			e.seen |= fFacts
			e.facts, err = d.Raw()
		case "src":
			e.seen |= fSrc
			e.src, err = d.Int()
		case "content":
			e.seen |= fContent
			e.content, err = d.Base64()
		default:
			err = d.Skip()
		}
		return at(string(key), err)
	})
}

// missing names the first required field that the event lacks, or "".
func (e *event) missing(need field) string {
	for i, name := range fieldNames {
		if bit := field(1) << i; need&bit != 0 && e.seen&bit == 0 {
			return name
		}
	}
	return ""
}

func seed(d *jx.Decoder) (uint64, error) {
	n, err := d.Num()
	if err != nil {
		return 0, err
	}
	if v, err := strconv.ParseUint(string(n), 10, 64); err == nil {
		return v, nil
	}
	v, err := strconv.ParseInt(string(n), 10, 64)
	return uint64(v), err
}

func word[T any](d *jx.Decoder, known map[string]T) (T, error) {
	b, err := d.StrBytes()
	v, ok := known[string(b)]
	if err == nil && !ok {
		err = fmt.Errorf("unknown word %q", b)
	}
	return v, err
}

func intern(d *jx.Decoder, names map[string]balancer.ServerID) (balancer.ServerID, error) {
	b, err := d.StrBytes()
	if err != nil {
		return "", err
	}
	if s, ok := names[string(b)]; ok {
		return s, nil
	}
	s := string(b)
	names[s] = balancer.ServerID(s)
	return balancer.ServerID(s), nil
}

func decodeRow(d *jx.Decoder, names map[string]balancer.ServerID) (balancer.Server, error) {
	row := balancer.Server{Weight: 1}
	named, stated := false, false
	err := d.ObjBytes(func(d *jx.Decoder, key []byte) error {
		if d.Next() == jx.Null {
			return d.Null()
		}
		var err error
		switch string(key) {
		case "host":
			named = true
			row.ID, err = intern(d, names)
		case "rackZone":
			row.Zone, err = d.Int()
		case "unitGroup":
			row.Cell, err = d.Int()
		case "mode":
			stated = true
			row.State, err = word(d, states)
		case "units":
			row.Weight, err = d.Float64()
		case "since":
			row.StartedAt, err = duration(d)
		default:
			err = d.Skip()
		}
		return at(string(key), err)
	})
	switch {
	case err != nil:
	case !named:
		err = at("host", errors.New("missing"))
	case !stated:
		err = at("mode", errors.New("missing"))
	}
	return row, err
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// encode writes one action.
func encode(w *jx.Encoder, a balancer.Action) {
	w.ObjStart()
	switch a := a.(type) {
	case balancer.Send:
		w.FieldStart("transmit")
		w.ObjStart()
		str(w, "id", string(a.ID))
		str(w, "host", string(a.Server))
		num(w, "cap", millis(a.Timeout))
	case balancer.Reject:
		w.FieldStart("notNow")
		w.ObjStart()
		str(w, "id", string(a.ID))
		if a.RetryAfter > 0 {
			num(w, "pause", millis(a.RetryAfter))
		}
	case balancer.Fail:
		w.FieldStart("endFailed")
		w.ObjStart()
		str(w, "id", string(a.ID))
	case balancer.Cancel:
		w.FieldStart("abandon")
		w.ObjStart()
		str(w, "id", string(a.ID))
		w.FieldStart("trial")
		w.Int(a.Attempt)
	case balancer.Migrate:
		w.FieldStart("redirect")
		w.ObjStart()
		str(w, "id", string(a.ID))
	case balancer.SetTimer:
		w.FieldStart("arm")
		w.ObjStart()
		num(w, "instant", millis(a.At))
		str(w, "handle", a.Token)
	case balancer.WatchList:
		w.FieldStart("keepInformed")
		w.ObjStart()
		w.FieldStart("active")
		w.Bool(true)
	case balancer.Log:
		w.FieldStart("sayLog")
		w.ObjStart()
		str(w, "noteText", a.Text)
	}
	w.ObjEnd()
	w.ObjEnd()
}

func str(w *jx.Encoder, name, v string) {
	w.FieldStart(name)
	w.Str(v)
}

func num(w *jx.Encoder, name string, v float64) {
	w.FieldStart(name)
	w.Float64(v)
}
