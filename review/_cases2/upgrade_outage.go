package main

import (
	"errors"
	"syscall"
	"time"
)

func init() { cases["9"] = upgradeDuringOutage }

const (
	drainGrace = 400 * time.Millisecond // stopSendingWithin of the settings
	slack      = 50 * time.Millisecond  // each time limit is 50 ms longer on sockets
)

// tellDrain has discovery tell that a host drains, and returns when the node had been told.
func (s *stage) tellDrain(h *host) (told time.Time, err error) {
	h.drain()
	revision := s.disc.setPhase(h.id, "DRAINING")
	err = await("the change is written on a watch", func() bool {
		at, ok := s.disc.writtenAt(revision)
		told = at
		return ok
	})
	return told, err
}

// upgradeDuringOutage tells the node that a host drains, takes discovery down for 8 s, and upgrades the node in that
// time. The host may get nothing new from the end of the grace on.
func upgradeDuringOutage(s *stage) (violations []string, err error) {
	if err := s.prepare("pass", 4); err != nil {
		return nil, err
	}
	if err := s.inheritListener(); err != nil {
		return nil, err
	}
	old, err := s.startNode("old")
	if err != nil {
		return nil, err
	}
	if err := s.awaitPong(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go traffic(s.cfg.listen, s.rec, "r", 50*time.Millisecond, 3*time.Second, stop)
	time.Sleep(4 * time.Second)
	leaving := s.hosts[1]
	if len(leaving.openings(s.rec.start)) == 0 {
		return nil, errors.New("the host was not in use")
	}
	told, err := s.tellDrain(leaving)
	if err != nil {
		return nil, err
	}
	s.rec.add("the node has been told that %s drains", leaving.id)
	time.Sleep(2 * time.Second)
	outage := time.Now()
	if s.trouble {
		s.disc.down()
	}
	time.Sleep(time.Second)
	starting := time.Now()
	if _, err := s.startNode("new"); err != nil {
		return nil, err
	}
	ready := time.Now()
	old.signal(syscall.SIGTERM, s.rec)
	select {
	case <-old.exited:
	case <-time.After(3700 * time.Millisecond):
		old.signal(syscall.SIGKILL, s.rec)
	}
	time.Sleep(time.Until(outage.Add(8 * time.Second)))
	violations = s.sentLate(leaving, told.Add(drainGrace+slack), starting)
	// From the new process's start until 2 s after its yes, what discovery tells does not bind.
	return append(violations, s.sentLate(leaving, ready.Add(2*time.Second+slack), outage.Add(8*time.Second))...), nil
}
