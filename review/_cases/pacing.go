package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"time"
)

func init() { cases["pacing"] = playPacing }

// The world of the case pacing. Times are in milliseconds, as on the wire.
const (
	pacingLength    = 76_000.0
	pacingHangFrom  = 4_000.0  // hosts begin to hang, with the disruption
	pacingHangFor   = 18_000.0 // the same hosts hang for so long, then others
	pacingDeadline  = 1800.0
	pacingAim       = 300.0
	pacingSlack     = 16.0  // rules.answerSlack
	pacingMargin    = 250.0 // what this program, which plays in real time, may be late itself
	pacingRate      = 4.0   // arrivals a second at each instance
	pacingSetup     = 60.0
	pacingHosts     = 12
	pacingHanging   = 5 // hosts that take requests and answer none, with the disruption
	pacingInstances = 30
)

// simulation plays the instances of one adapter in real time, by the simulator's wire.
type simulation struct {
	w      *world
	in     io.Writer
	out    *bufio.Reader
	begin  time.Time
	serial int
	due    []dueEvent
	open   map[string]*simRequest
	broken []string
	counts map[string]int
}

// dueEvent is something that happens at a time. apply gives the event for the instance, or nil.
type dueEvent struct {
	at       float64
	instance int
	apply    func(now float64) object
}

type simRequest struct {
	id       string
	instance int
	deadline float64
	trial    int
	answered bool // it has its final answer, or a stream
	lapsed   bool
}

// playPacing has hosts hang. A request has to get its final answer before its client's time is up.
func playPacing(w *world) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(w.root, "deploy/balancer.toml"))
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^sim = "([^"]*)"`).FindSubmatch(text)
	if match == nil {
		return nil, errors.New("deploy file: no sim command")
	}
	cmd := exec.Command("/bin/sh", "-c", string(match[1]))
	cmd.Dir = w.root
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	defer func() {
		_ = in.Close()
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}()
	s := &simulation{w: w, in: in, out: bufio.NewReaderSize(out, 1<<20), begin: time.Now(), open: map[string]*simRequest{},
		counts: map[string]int{}}
	if err := s.play(); err != nil {
		return nil, err
	}
	w.record.add("verdict", "%v", s.counts)
	return s.broken, nil
}

func (s *simulation) now() float64 { return ms(time.Since(s.begin)) }

// play starts all instances and plays until the end.
func (s *simulation) play() error {
	rows := []object{}
	for i := range pacingHosts {
		rows = append(rows, object{"host": hostName(i), "rackZone": 0, "hw": 0, "unitGroup": 0, "mode": "live", "units": 1.0,
			"since": nil})
	}
	events := map[int][]object{}
	for i := range pacingInstances {
		set := settings("pass", "push", pacingDeadline, 400)
		set["index"], set["groupSize"] = i, pacingInstances
		set["lanes"].([]object)[0]["aim"] = pacingAim
		events[i] = []object{
			{"start": object{"prng": rand.Int64N(1 << 40), "facts": set}},
			{"defineList": object{"buffer": 0, "rows": rows}},
			{"fleet": object{"mode": "restored", "serial": 1, "buffer": 0}},
		}
		s.arriveLater(i, s.now()+rand.Float64()*500)
	}
	if err := s.batch(events); err != nil {
		return err
	}
	for s.now() < pacingLength {
		wait := 20.0
		if len(s.due) > 0 {
			wait = min(s.due[0].at-s.now(), wait)
		}
		time.Sleep(time.Duration(max(wait, 4) * float64(time.Millisecond)))
		now := s.now()
		events := map[int][]object{}
		for len(s.due) > 0 && s.due[0].at <= now {
			d := s.due[0]
			s.due = s.due[1:]
			if event := d.apply(now); event != nil {
				events[d.instance] = append(events[d.instance], event)
			}
		}
		if len(events) > 0 {
			if err := s.batch(events); err != nil {
				return err
			}
		}
	}
	return nil
}

func hostName(i int) string { return fmt.Sprint("host-", i+1) }

// hangs reports whether a host takes requests and answers none at a time.
func (s *simulation) hangs(host string, now float64) bool {
	if !s.w.trouble || now < pacingHangFrom {
		return false
	}
	turn := int((now - pacingHangFrom) / pacingHangFor)
	for i := range pacingHanging {
		if host == hostName((i*7+turn)%pacingHosts) {
			return true
		}
	}
	return false
}

// later has something happen to an instance at a time.
func (s *simulation) later(instance int, at float64, apply func(now float64) object) {
	i, _ := slices.BinarySearchFunc(s.due, at, func(d dueEvent, at float64) int {
		if d.at <= at {
			return -1
		}
		return 1
	})
	s.due = slices.Insert(s.due, i, dueEvent{at: at, instance: instance, apply: apply})
}

// arriveLater has clients arrive at an instance, the first of them at a time.
func (s *simulation) arriveLater(instance int, at float64) {
	s.later(instance, at, func(now float64) object {
		s.arriveLater(instance, now+rand.ExpFloat64()*1000/pacingRate)
		r := &simRequest{id: "c:" + newID(), instance: instance, deadline: now + pacingDeadline}
		s.open[r.id] = r
		s.counts["arrived"]++
		s.w.record.add("client", "%s arrives at instance %d at %.0f, its time is up at %.0f", r.id, instance, now, r.deadline)
		s.later(instance, r.deadline+pacingSlack+pacingMargin, func(now float64) object {
			if r.answered {
				return nil
			}
			r.lapsed = true
			s.broken = append(s.broken, fmt.Sprintf("%s at instance %d: no final answer %.0f ms after its time, %d attempts",
				r.id, instance, now-r.deadline, r.trial))
			s.counts["overdue"]++
			return object{"lapsed": object{"id": r.id}}
		})
		return object{"arrival": object{"id": r.id, "lane": 0, "billing": 0, "entity": newID(), "remaining": pacingDeadline,
			"expected": nil, "room": nil, "isRetry": false, "stray": false, "again": false}}
	})
}

// batch sends the events of instances and carries out the actions of the reply.
func (s *simulation) batch(events map[int][]object) error {
	s.serial++
	now := s.now()
	groups := []object{}
	for instance, in := range events {
		groups = append(groups, object{"i": instance, "in": in})
	}
	text, err := json.Marshal(object{"t": now, "serial": s.serial, "groups": groups})
	if err != nil {
		return err
	}
	if _, err := s.in.Write(append(text, '\n')); err != nil {
		return err
	}
	line, err := s.out.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("the adapter ended: %w", err)
	}
	var reply struct {
		Groups []struct {
			I   int
			Out []map[string]struct {
				ID, Host, Handle, NoteText string
				Cap, Instant               float64
			}
		}
	}
	if err := json.Unmarshal(line, &reply); err != nil {
		return fmt.Errorf("reply %.200q: %w", line, err)
	}
	for _, group := range reply.Groups {
		for _, actions := range group.Out {
			for name, a := range actions {
				r := s.open[a.ID]
				switch name {
				case "transmit":
					s.transmit(now, r, a.Host, a.Cap)
				case "notNow", "endFailed":
					if r != nil && !r.answered && !r.lapsed {
						r.answered = true
						s.counts[name]++
					}
					s.w.record.add("adapter", "instance %d: %s %s", group.I, name, a.ID)
				case "arm":
					s.later(group.I, a.Instant, func(float64) object { return object{"deadlineHit": object{"handle": a.Handle}} })
				case "sayLog":
					s.w.record.add("adapter", "instance %d: log: %s", group.I, a.NoteText)
				case "fault":
					return fmt.Errorf("fault: %s", a.NoteText)
				}
			}
		}
	}
	return nil
}

// transmit makes an attempt. It ends at its cap where the host hangs.
func (s *simulation) transmit(now float64, r *simRequest, host string, limit float64) {
	trial := r.trial
	r.trial++
	left := r.deadline - now
	if limit > 0 {
		left = min(left, limit)
	}
	s.counts["sent"]++
	s.w.record.add("adapter", "instance %d: transmit %s to %s, cap %.0f", r.instance, r.id, host, limit)
	settled := func(at float64, result string) object {
		s.w.record.add("host", "%s at %s: %s", r.id, host, result)
		return object{"settled": object{"id": r.id, "timeTaken": at - now, "trial": trial, "host": host, "result": result,
			"last": r.answered || r.lapsed, "load": nil}}
	}
	took := pacingSetup * (0.7 + 0.6*rand.Float64())
	if s.hangs(host, now) || took > left {
		s.later(r.instance, now+left, func(at float64) object { return settled(at, "no_answer") })
		return
	}
	s.later(r.instance, now+took, func(at float64) object {
		if r.lapsed || r.answered {
			return settled(at, "called_off")
		}
		r.answered = true
		s.counts["opened"]++
		s.w.record.add("host", "%s at %s: opened", r.id, host)
		return object{"opened": object{"id": r.id, "trial": trial, "host": host, "timeTaken": at - now}}
	})
}
