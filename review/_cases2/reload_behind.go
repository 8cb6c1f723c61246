package main

import (
	"errors"
	"syscall"
	"time"
)

func init() { cases["9"] = reloadToListBehind }

// reloadToListBehind tells the node that a host drains, and moves discovery by a new configuration. The list at the new
// address runs 6 s behind, so it has the drain later, at the same revision. The host may get nothing new from the end
// of the grace on.
func reloadToListBehind(s *stage) (violations []string, err error) {
	const behind = 6 * time.Second
	if err := s.prepare("pass", 4); err != nil {
		return nil, err
	}
	n, err := s.startNode("node")
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
	next, err := startDiscovery("d2", s.rec, 41, membersOf(s.hosts))
	if err != nil {
		return nil, err
	}
	defer next.down()
	told, err := s.tellDrain(leaving)
	if err != nil {
		return nil, err
	}
	s.rec.add("the node has been told that %s drains", leaving.id)
	if !s.trouble {
		next.setPhase(leaving.id, "DRAINING")
	}
	time.Sleep(2 * time.Second)
	s.cfg.discovery = next.addr()
	if err := s.cfg.write(s.env.config); err != nil {
		return nil, err
	}
	n.signal(syscall.SIGHUP, s.rec)
	_ = s.disc.listener.Close() // the old address takes no new connection
	time.AfterFunc(1500*time.Millisecond, s.disc.down)
	time.Sleep(time.Until(told.Add(behind)))
	if s.trouble {
		next.setPhase(leaving.id, "DRAINING")
	}
	time.Sleep(2 * time.Second)
	return s.sentLate(leaving, told.Add(drainGrace+slack), time.Now()), nil
}
