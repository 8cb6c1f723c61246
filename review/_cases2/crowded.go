package main

import (
	"errors"
	"time"
)

func init() { cases["10"] = crowdedDiscovery }

// crowdedDiscovery starts a node while discovery has many callers: each call waits 3.5 s for its turn and is then
// answered. A host has begun to drain since the list that the node was given. What discovery tells counts as told 6 s
// after it could be reached, and the host may get nothing new from the end of the grace on.
func crowdedDiscovery(s *stage) (violations []string, err error) {
	if err := s.prepare("pass", 4); err != nil {
		return nil, err
	}
	leaving := s.hosts[1]
	leaving.drain()
	s.disc.setPhase(leaving.id, "DRAINING")
	if s.trouble {
		s.disc.wait = 3500 * time.Millisecond
	}
	if _, err := s.startNode("node"); err != nil {
		return nil, err
	}
	if err := s.awaitPong(); err != nil {
		return nil, err
	}
	ready := time.Now()
	stop := make(chan struct{})
	defer close(stop)
	go traffic(s.cfg.listen, s.rec, "r", 100*time.Millisecond, 3*time.Second, stop)
	time.Sleep(20 * time.Second)
	served := 0
	for _, h := range s.hosts {
		served += len(h.openings(ready))
	}
	if served == 0 {
		return nil, errors.New("no request reached a host")
	}
	return s.sentLate(leaving, ready.Add(6*time.Second+drainGrace+slack), time.Now()), nil
}
