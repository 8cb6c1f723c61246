package simadapter

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/jx"

	"onyxstream/balancer"
	"onyxstream/internal/settings"
)

// listCount is the number of numbered server lists in the protocol.
const listCount = 16

// Kinds of reports on an established connection.
const (
	loadReport    = 1 // the value is the load in units of work per second
	latencyReport = 2 // the value is the message latency in milliseconds
)

// eventKind describes how events with one name are processed: by the adapter itself, with handle, or by the instance,
// which gets the event that translate returns. Exactly one of the two functions is set.
type eventKind struct {
	required  fieldSet
	handle    func(a *adapter, instance int, e *event) error
	translate func(a *adapter, e *event) (balancer.Event, error) // may return a nil event, which is ignored
}

var eventKinds = map[string]eventKind{
	"start":      {required: fields(fieldSeed, fieldSettings), handle: (*adapter).startInstance},
	"shutdown":   {handle: (*adapter).stopInstance},
	"defineList": {required: fields(fieldListNumber, fieldServers), handle: (*adapter).defineList},
	"fleet":      {required: fields(fieldListMode, fieldRevision), translate: (*adapter).translateList},
	"arrival":    {required: fields(fieldID, fieldClass, fieldTimeLeft), translate: translateArrival},
	"inherited":  {required: fields(fieldID, fieldClass, fieldServer), translate: translateInherited},
	"deadlineHit": {
		required:  fields(fieldTimerToken),
		translate: translateTimer,
	},
	"opened": {
		required:  fields(fieldID, fieldAttempt, fieldServer, fieldTook),
		translate: translateEstablished,
	},
	"settled": {
		required:  fields(fieldID, fieldAttempt, fieldServer, fieldOutcome, fieldTook, fieldFinal),
		translate: translateAttemptEnded,
	},
	"pong":  {required: fields(fieldServer, fieldOutcome), translate: ignore},
	"inbox": {required: fields(fieldPeer, fieldMessage), translate: translatePeerMessage},
	"heartbeat": {
		required:  fields(fieldID, fieldAttempt, fieldServer, fieldReportKind, fieldReport),
		translate: translateReport,
	},
	"lapsed": {required: fields(fieldID), translate: translateClientDisconnected},
}

// handleEvent decodes an event, passes it to the instance and writes the resulting actions.
func (a *adapter) handleEvent(instance int, d *jx.Decoder) error {
	count := 0
	err := d.ObjBytes(func(d *jx.Decoder, key []byte) error {
		count++
		name := string(key)
		kind, known := eventKinds[name]
		if !known {
			return inField(name, errors.New("unknown event"))
		}
		if err := a.handleKind(instance, kind, d); err != nil {
			return fmt.Errorf("event %s: %w", name, err)
		}
		return nil
	})
	if err == nil && count != 1 {
		err = inField("in", fmt.Errorf("an event must have exactly one name, got %d", count))
	}
	return err
}

func (a *adapter) handleKind(instance int, kind eventKind, d *jx.Decoder) error {
	e := &a.event
	if err := e.decode(a.names, d); err != nil {
		return err
	}
	if err := eventCodec.requireFields(e.present, kind.required); err != nil {
		return err
	}
	if kind.handle != nil {
		return kind.handle(a, instance, e)
	}
	b := a.instances[instance]
	if b == nil {
		return fmt.Errorf("instance %d not started", instance)
	}
	translated, err := kind.translate(a, e)
	if err != nil || translated == nil {
		return err
	}
	a.run(instance, b, translated)
	return nil
}

func (a *adapter) startInstance(instance int, e *event) error {
	s, err := settings.Parse(e.seed, e.settings)
	var wrong *settings.FieldError
	if errors.As(err, &wrong) {
		return inField(strings.TrimSuffix("facts."+wrong.Field, "."), wrong.Err)
	}
	if err != nil {
		return err
	}
	a.instances[instance] = balancer.New(s.Settings)
	return nil
}

func (a *adapter) stopInstance(instance int, _ *event) error {
	delete(a.instances, instance)
	return nil
}

// defineList stores a numbered list of servers for all instances.
func (a *adapter) defineList(_ int, e *event) error {
	if e.listNumber < 0 || e.listNumber >= listCount {
		return inField("buffer", fmt.Errorf("list number %d out of range", e.listNumber))
	}
	a.lists[e.listNumber] = e.servers
	return nil
}

func (a *adapter) translateList(e *event) (balancer.Event, error) {
	kind, known := listKinds[e.listMode]
	if !known {
		return nil, inField("mode", fmt.Errorf("unknown value %q", e.listMode))
	}
	list := balancer.ListEvent{Kind: kind, Revision: e.revision}
	if kind == balancer.ListFailed {
		return list, nil
	}
	if e.present&fields(fieldListNumber) == 0 || e.listNumber < 0 || e.listNumber >= listCount {
		return nil, inField("buffer", errors.New("list number missing or out of range"))
	}
	list.Servers = a.lists[e.listNumber]
	return list, nil
}

func (e *event) arrival() balancer.Arrival {
	return balancer.Arrival{
		ID:        balancer.RequestID(e.id),
		Class:     e.class,
		Tenant:    e.tenant,
		Key:       e.key,
		Group:     e.group,
		TimeLeft:  e.timeLeft,
		Load:      e.load,
		Retry:     e.retry,
		MidFlow:   e.midFlow,
		Reconnect: e.reconnect,
	}
}

func translateArrival(_ *adapter, e *event) (balancer.Event, error) { return e.arrival(), nil }

func translateInherited(_ *adapter, e *event) (balancer.Event, error) {
	return balancer.Inherited{Arrival: e.arrival(), Server: e.server}, nil
}

func translateTimer(_ *adapter, e *event) (balancer.Event, error) {
	return balancer.Timer{Token: e.timerToken}, nil
}

func translateEstablished(_ *adapter, e *event) (balancer.Event, error) {
	return balancer.Established{
		ID:      balancer.RequestID(e.id),
		Attempt: e.attempt,
		Server:  e.server,
		Took:    e.took,
	}, nil
}

func translateAttemptEnded(_ *adapter, e *event) (balancer.Event, error) {
	return balancer.AttemptEnded{
		ID:      balancer.RequestID(e.id),
		Attempt: e.attempt,
		Server:  e.server,
		Took:    e.took,
		Outcome: e.outcome,
		Final:   e.final,
	}, nil
}

func translatePeerMessage(_ *adapter, e *event) (balancer.Event, error) {
	return balancer.PeerMessage{From: e.peer, Data: e.message}, nil
}

// translateReport ignores unknown kinds of reports, which newer simulators may send.
func translateReport(_ *adapter, e *event) (balancer.Event, error) {
	id := balancer.RequestID(e.id)
	switch e.reportKind {
	case loadReport:
		return balancer.LoadReport{ID: id, Load: e.report}, nil
	case latencyReport:
		return balancer.LatencyReport{ID: id, Latency: time.Duration(e.report * float64(time.Millisecond))}, nil
	}
	return nil, nil
}

func translateClientDisconnected(_ *adapter, e *event) (balancer.Event, error) {
	return balancer.ClientDisconnected{ID: balancer.RequestID(e.id)}, nil
}

// ignore translates an event that the balancer doesn't handle into no event.
func ignore(*adapter, *event) (balancer.Event, error) { return nil, nil }

// run passes an event to an instance and writes its actions, or a fault if it panics.
func (a *adapter) run(instance int, b *balancer.Balancer, e balancer.Event) {
	actions, fault := a.decide(b, e)
	if fault == "" && len(actions) == 0 {
		return
	}
	if !a.groupStarted {
		a.groupStarted = true
		a.reply.ObjStart()
		a.reply.FieldStart("i")
		a.reply.Int(instance)
		a.reply.FieldStart("out")
		a.reply.ArrStart()
	}
	if fault != "" {
		encodeFault(&a.reply, fault)
		return
	}
	for _, action := range actions {
		encodeAction(&a.reply, action)
	}
}

// decide returns the actions of an instance for an event, or a fault if the instance panics.
func (a *adapter) decide(b *balancer.Balancer, e balancer.Event) (actions []balancer.Action, fault string) {
	defer func() {
		if cause := recover(); cause != nil {
			fault = fmt.Sprintf("the decision code failed: %v", cause)
		}
	}()
	return b.Handle(a.now, e), ""
}
