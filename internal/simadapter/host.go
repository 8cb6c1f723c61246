package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-faster/jx"

	"onyxstream/balancer"
	"onyxstream/internal/settings"
)

// lists is how many numbered lists the wire has.
const lists = 16

// host keeps the instances of one process and the lists that the wire numbers.
type host struct {
	instances map[int]*balancer.Balancer
	names     map[string]balancer.ServerID
	lists     [lists][]balancer.Server
	dec       jx.Decoder
	reply     jx.Encoder
	now       time.Duration
	ev        event
	acted     bool // the instance in hand has written an action
}

// Serve answers batches until the input ends. The error of a malformed line names its serial, the
// field and the reason; no reply is written to such a line.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{instances: map[int]*balancer.Balancer{}, names: map[string]balancer.ServerID{}}
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<16)
	var line []byte
	for n := 1; ; n++ {
		line = line[:0]
		var err error
		for {
			var part []byte
			part, err = r.ReadSlice('\n')
			line = append(line, part...)
			if !errors.Is(err, bufio.ErrBufferFull) {
				break
			}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if len(line) > 0 && !(len(line) == 1 && line[0] == '\n') {
			if err := h.batch(line); err != nil {
				return fmt.Errorf("line %d: %w", n, err)
			}
			if _, err := w.Write(append(h.reply.Bytes(), '\n')); err != nil {
				return err
			}
			if err := w.Flush(); err != nil {
				return err
			}
		}
		if err != nil {
			return nil
		}
	}
}

// batch handles one line and leaves the reply in h.reply.
func (h *host) batch(line []byte) error {
	h.dec.ResetBytes(line)
	h.reply.Reset()
	var serial int64
	var seenT, seenSerial, seenGroups bool
	var early jx.Raw // groups that came before the clock
	err := h.dec.ObjBytes(func(d *jx.Decoder, key []byte) error {
		var err error
		switch string(key) {
		case "t":
			seenT = true
			h.now, err = duration(d)
		case "serial":
			seenSerial = true
			serial, err = d.Int64()
		case "groups":
			seenGroups = true
			if !seenT || !seenSerial {
				early, err = d.Raw()
				break
			}
			h.open(serial)
			err = d.Arr(h.group)
		default:
			err = d.Skip()
		}
		return at(string(key), err)
	})
	if err == nil && early != nil && seenT && seenSerial {
		h.open(serial)
		err = jx.DecodeBytes(early).Arr(h.group)
	}
	if err == nil {
		for _, need := range []struct {
			name string
			seen bool
		}{{"t", seenT}, {"serial", seenSerial}, {"groups", seenGroups}} {
			if !need.seen {
				err = at(need.name, errors.New("missing"))
				break
			}
		}
	}
	if err == nil {
		if rest := h.dec.Skip(); !errors.Is(rest, io.EOF) && !errors.Is(rest, io.ErrUnexpectedEOF) {
			err = errors.New("text after the batch")
		}
	}
	if err != nil {
		if seenSerial {
			return fmt.Errorf("serial %d: %w", serial, err)
		}
		return fmt.Errorf("serial unknown: %w", err)
	}
	h.reply.ArrEnd()
	h.reply.ObjEnd()
	return nil
}

func (h *host) open(serial int64) {
	h.reply.ObjStart()
	h.reply.FieldStart("serial")
	h.reply.Int64(serial)
	h.reply.FieldStart("groups")
	h.reply.ArrStart()
}

// group handles the events of one instance.
func (h *host) group(d *jx.Decoder) error {
	inst, seen := 0, false
	var early jx.Raw
	h.acted = false
	err := d.ObjBytes(func(d *jx.Decoder, key []byte) error {
		var err error
		switch string(key) {
		case "i":
			seen = true
			inst, err = d.Int()
		case "in":
			if !seen {
				early, err = d.Raw()
				break
			}
			err = d.Arr(func(d *jx.Decoder) error { return h.event(inst, d) })
		default:
			err = d.Skip()
		}
		return at(string(key), err)
	})
	if err == nil && !seen {
		err = at("i", errors.New("missing"))
	}
	if err == nil && early != nil {
		err = jx.DecodeBytes(early).Arr(func(d *jx.Decoder) error { return h.event(inst, d) })
	}
	if h.acted {
		h.reply.ArrEnd()
		h.reply.ObjEnd()
	}
	return err
}

// event decodes one event, lets the instance decide and writes its actions.
func (h *host) event(inst int, d *jx.Decoder) error {
	count := 0
	err := d.ObjBytes(func(d *jx.Decoder, key []byte) error {
		count++
		name := string(key)
		need, known := required[name]
		if !known {
			return at(name, errors.New("unknown event"))
		}
		if err := h.ev.decode(d, h.names); err != nil {
			return fmt.Errorf("event %s: %w", name, err)
		}
		if lack := h.ev.missing(need); lack != "" {
			return fmt.Errorf("event %s: %w", name, at(lack, errors.New("missing")))
		}
		if err := h.dispatch(inst, name); err != nil {
			return fmt.Errorf("event %s: %w", name, err)
		}
		return nil
	})
	if err == nil && count != 1 {
		err = at("in", fmt.Errorf("an event has one name, not %d", count))
	}
	return err
}

// dispatch hands the event in h.ev to the instance.
func (h *host) dispatch(inst int, name string) error {
	e := &h.ev
	switch name {
	case "start":
		s, err := settings.Parse(e.seed, e.facts)
		var wrong *settings.FieldError
		if errors.As(err, &wrong) {
			return at(strings.TrimSuffix("facts."+wrong.Field, "."), wrong.Err)
		}
		if err != nil {
			return err
		}
		h.instances[inst] = balancer.New(s.Settings)
		return nil
	case "shutdown":
		delete(h.instances, inst)
		return nil
	case "defineList":
		if e.buffer < 0 || e.buffer >= lists {
			return at("buffer", fmt.Errorf("%d is not a list's number", e.buffer))
		}
		h.lists[e.buffer] = e.rows
		return nil
	}
	b := h.instances[inst]
	if b == nil {
		return fmt.Errorf("instance %d has not been started", inst)
	}
	ev, err := h.translate(name)
	if err != nil || ev == nil {
		return err
	}
	h.run(inst, b, ev)
	return nil
}

// translate turns the event in h.ev into the module's own; nil where the module has no use for it.
func (h *host) translate(name string) (balancer.Event, error) {
	e := &h.ev
	id := balancer.RequestID(e.id)
	arrival := balancer.Arrival{ID: id, Class: e.lane, Tenant: e.billing, Key: e.entity, Group: e.room, TimeLeft: e.remaining,
		Load: e.expected, Retry: e.retry, MidFlow: e.stray, Reconnect: e.again}
	switch name {
	case "fleet":
		kind, ok := listKinds[e.mode]
		if !ok {
			return nil, at("mode", fmt.Errorf("unknown word %q", e.mode))
		}
		ev := balancer.ListEvent{Kind: kind, Revision: e.serial}
		if kind != balancer.ListFailed {
			if e.seen&fBuffer == 0 || e.buffer < 0 || e.buffer >= lists {
				return nil, at("buffer", errors.New("not a list's number"))
			}
			ev.Servers = h.lists[e.buffer]
		}
		return ev, nil
	case "arrival":
		return arrival, nil
	case "inherited":
		return balancer.Inherited{Arrival: arrival, Server: e.host}, nil
	case "deadlineHit":
		return balancer.Timer{Token: e.handle}, nil
	case "opened":
		return balancer.Established{ID: id, Attempt: e.trial, Server: e.host, Took: e.timeTaken}, nil
	case "settled":
		return balancer.AttemptEnded{ID: id, Attempt: e.trial, Server: e.host, Took: e.timeTaken,
			Outcome: e.result, Final: e.last}, nil
	case "pong":
		return nil, nil // nothing is probed
	case "heartbeat":
		if e.kind == 1 {
			return balancer.LoadReport{ID: id, Load: e.value}, nil
		}
		if e.kind == 2 {
			return balancer.LatencyReport{ID: id, Latency: time.Duration(e.value * float64(time.Millisecond))}, nil
		}
		return nil, nil // a kind of note that came later than this code
	case "inbox":
		return balancer.PeerMessage{From: e.src, Data: e.content}, nil
	case "lapsed":
		return balancer.ClientDisconnected{ID: id}, nil
	}
	return nil, nil
}

// run lets an instance decide. A failure inside the module is told as a fault with its cause.
func (h *host) run(inst int, b *balancer.Balancer, ev balancer.Event) {
	var fault string
	actions := func() (out []balancer.Action) {
		defer func() {
			if p := recover(); p != nil {
				fault = fmt.Sprintf("the decision code failed: %v", p)
			}
		}()
		return b.Handle(h.now, ev)
	}()
	if fault == "" && len(actions) == 0 {
		return
	}
	if !h.acted {
		h.acted = true
		h.reply.ObjStart()
		h.reply.FieldStart("i")
		h.reply.Int(inst)
		h.reply.FieldStart("out")
		h.reply.ArrStart()
	}
	if fault != "" {
		h.reply.ObjStart()
		h.reply.FieldStart("fault")
		h.reply.ObjStart()
		str(&h.reply, "noteText", fault)
		h.reply.ObjEnd()
		h.reply.ObjEnd()
		return
	}
	for _, a := range actions {
		encode(&h.reply, a)
	}
}
