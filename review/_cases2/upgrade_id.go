package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["7"] = upgradeWithForeignIDs }

// upgradeWithForeignIDs upgrades the node while bad clients send the ids of other clients' open requests. No connection
// of the other clients may be cut off without MOVE, as their hosts answer all the time.
func upgradeWithForeignIDs(s *stage) (violations []string, err error) {
	const regular = 12
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
	var clients []*client
	for i := range regular {
		id := fmt.Sprintf("good%02d", i)
		c := open(s.cfg.listen, id, openLine(id, fmt.Sprintf("flow-%d", i*7919)), s.rec)
		s.rec.add("client %s is answered %q", id, c.answer)
		if !c.up() {
			return nil, fmt.Errorf("client %s was not brought up", id)
		}
		c.stay(0)
		clients = append(clients, c)
	}
	stop := make(chan struct{})
	var bad sync.WaitGroup
	if s.trouble {
		for _, c := range clients {
			bad.Add(1)
			go func() {
				defer bad.Done()
				s.useForeignID(c.id, stop)
			}()
		}
	}
	time.Sleep(time.Second)
	if _, err := s.upgrade(old, "new"); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	for _, c := range clients {
		moved, ended, _ := c.state()
		if !ended.IsZero() && moved.IsZero() {
			violations = append(violations, fmt.Sprintf("connection %s was cut off at %s without MOVE; its host answers",
				c.id, s.rec.at(ended)))
		}
	}
	close(stop)
	for _, c := range clients {
		c.leave()
	}
	bad.Wait()
	return violations, nil
}

// useForeignID is a bad client: it sends the id of another client's open request, with a key of its own, and the same
// again 50 ms after it is turned away.
func (s *stage) useForeignID(id string, stop chan struct{}) {
	for try := 0; ; try++ {
		c := open(s.cfg.listen, id, openLine(id, fmt.Sprintf("bad-%s-%d", id, try)), s.rec)
		s.rec.add("bad client with id %s is answered %q", id, c.answer)
		if c.up() {
			c.id = "bad:" + id
			c.stay(0)
			<-stop
			c.leave()
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}
