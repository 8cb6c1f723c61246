package main

import (
	"fmt"
	"time"
)

func init() { cases["8"] = drainTwice }

// drainTwice drains a node at which connections end, by the operators' call, and gives the same call again 2 s later.
// 4 s after the call no client's connection may be held that was not moved.
func drainTwice(s *stage) (violations []string, err error) {
	const connections = 150
	if err := s.prepare("proxy", 4); err != nil {
		return nil, err
	}
	n, err := s.startNode("node")
	if err != nil {
		return nil, err
	}
	if err := s.awaitPong(); err != nil {
		return nil, err
	}
	var clients []*client
	for i := range connections {
		id := fmt.Sprintf("c%02d", i)
		c := open(s.cfg.listen, id, openLine(id, fmt.Sprintf("flow-%d", i*7919)), s.rec)
		if !c.up() {
			return nil, fmt.Errorf("client %s was answered %q", id, c.answer)
		}
		s.rec.add("client %s is answered %q", id, c.answer)
		c.stay(0)
		clients = append(clients, c)
	}
	time.Sleep(2 * time.Second)
	if answer := n.call("drain", s.rec); answer != "YES" {
		return nil, fmt.Errorf("drain was answered %q", answer)
	}
	called := time.Now()
	if s.trouble {
		time.Sleep(2 * time.Second)
		n.call("drain", s.rec)
	}
	bound := called.Add(4*time.Second + 50*time.Millisecond)
	time.Sleep(time.Until(bound))
	s.rec.add("PING is answered %q", ask(s.cfg.listen, "PING"))
	for _, c := range clients {
		if moved, ended, _ := c.state(); moved.IsZero() && ended.IsZero() {
			violations = append(violations, fmt.Sprintf("connection %s is held and was not moved %s after the call", c.id,
				time.Since(called).Round(time.Millisecond)))
		}
	}
	time.Sleep(4 * time.Second)
	for _, c := range clients {
		moved, _, _ := c.state()
		if moved.IsZero() {
			s.rec.add("connection %s: no MOVE within 8 s", c.id)
		} else {
			s.rec.add("connection %s: MOVE %s after the call", c.id, moved.Sub(called).Round(time.Millisecond))
		}
		c.leave()
	}
	return violations, nil
}
