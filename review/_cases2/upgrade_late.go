package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["6"] = upgradeWithPacedRequests }

// upgradeWithPacedRequests upgrades a node at which connections end, under steady traffic. Each host takes 0.7 s to bring
// a connection up, within the 0.8 s that the class wants. No connection may be cut off without MOVE.
func upgradeWithPacedRequests(s *stage) (violations []string, err error) {
	if err := s.prepare("proxy", 5); err != nil {
		return nil, err
	}
	s.cfg.aim, s.cfg.deadline = 800, 4800
	if err := s.inheritListener(); err != nil {
		return nil, err
	}
	for _, h := range s.hosts {
		h.setUpIn(700 * time.Millisecond)
	}
	old, err := s.startNode("old")
	if err != nil {
		return nil, err
	}
	if err := s.awaitPong(); err != nil {
		return nil, err
	}
	t := startTraffic(s.cfg.listen, s.rec, 100*time.Millisecond)
	defer close(t.stop)
	time.Sleep(8 * time.Second)
	for upgrade := 1; upgrade <= 3 && len(violations) == 0; upgrade++ {
		if s.trouble {
			old, err = s.upgrade(old, fmt.Sprintf("new%d", upgrade))
			if err != nil {
				return nil, err
			}
		}
		time.Sleep(5 * time.Second)
		violations = t.cutOff(s.rec)
	}
	return violations, nil
}

// upgrade starts a process of the node beside the running one, and stops that one once the new one is ready.
func (s *stage) upgrade(old *nodeProcess, name string) (next *nodeProcess, err error) {
	if next, err = s.startNode(name); err != nil {
		return nil, err
	}
	old.signal(syscall.SIGTERM, s.rec)
	select {
	case <-old.exited:
	case <-time.After(3700 * time.Millisecond): // the longest deadline, 3 s at most, and 0.7 s
		old.signal(syscall.SIGKILL, s.rec)
	}
	return next, nil
}

// steadyTraffic opens connections at an even rate, each for 8 s.
type steadyTraffic struct {
	stop    chan struct{}
	mu      sync.Mutex
	clients []*client
}

func startTraffic(addr string, rec *record, every time.Duration) *steadyTraffic {
	t := &steadyTraffic{stop: make(chan struct{})}
	go func() {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-t.stop:
				return
			case <-tick.C:
			}
			go t.open(addr, fmt.Sprintf("r%04d", n), n, rec)
		}
	}()
	return t
}

func (t *steadyTraffic) open(addr, id string, n int, rec *record) {
	c := open(addr, id, fmt.Sprintf("OPEN %s key-%d c=chat,t=acme,d=4800", id, n*7919), rec)
	rec.add("client %s is answered %q", id, c.answer)
	c.stay(8 * time.Second)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clients = append(t.clients, c)
}

// cutOff describes the connections that were ended without MOVE and not by their client.
func (t *steadyTraffic) cutOff(rec *record) (violations []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.clients {
		moved, ended, left := c.state()
		if c.up() && !ended.IsZero() && moved.IsZero() && !left {
			violations = append(violations, fmt.Sprintf("connection %s was cut off at %s without MOVE; its host answers",
				c.id, rec.at(ended)))
		}
	}
	return violations
}
