package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The rolling restarts of the case shutdown.
const (
	shutdownNodes    = 8
	shutdownAtOnce   = 2 // nodes that restart at the same time
	shutdownRounds   = 10
	shutdownDeadline = 300 * time.Millisecond // the longest deadline of all classes
	clientsPerNode   = 6
	// The platform: the front goes on for up to 0.4 s after SIGTERM, SIGKILL comes after the longest deadline and 0.7 s.
	frontNotice = 300 * time.Millisecond
	killAfter   = shutdownDeadline + 700*time.Millisecond
)

func init() { cases["shutdown"] = playShutdown }

// playShutdown restarts the nodes with SIGTERM, two at a time, while clients hold connections that end at the nodes. A
// connection whose host still answers has to be moved: cut off without MOVE or held at SIGKILL, it is lost.
func playShutdown(w *world) (broken []string, err error) {
	if err := w.addHosts(3); err != nil {
		return nil, err
	}
	err = w.addNodes(shutdownNodes, func() object { return settings("proxy", "ask", ms(shutdownDeadline), 400) })
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	for i := range shutdownNodes * clientsPerNode {
		load.Add(1)
		go func() { // a client that comes again whenever its connection has ended
			defer load.Done()
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				picked := w.pick(n)
				if picked == nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				c := &client{id: newID(), node: picked}
				c.run(w.record, fmt.Sprintf("c=chat,t=acme,d=%d", shutdownDeadline.Milliseconds()), 15*time.Second,
					500*time.Millisecond)
				w.mu.Lock()
				w.done = append(w.done, c)
				w.mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	var restarts atomic.Int64
	var rolling sync.WaitGroup
	errs := make([]error, shutdownAtOnce)
	for part := range shutdownAtOnce {
		rolling.Add(1)
		go func() {
			defer rolling.Done()
			for i := part; i < shutdownRounds*shutdownNodes; i += shutdownAtOnce {
				if w.trouble {
					if errs[part] = restart(w.nodes[i%shutdownNodes]); errs[part] != nil {
						return
					}
					restarts.Add(1)
				}
				time.Sleep(200*time.Millisecond + time.Duration(rand.Int64N(int64(400*time.Millisecond))))
			}
		}()
	}
	rolling.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	close(stop)
	load.Wait()
	established, moved := 0, 0
	for _, c := range w.done {
		if c.receipt == "" {
			continue
		}
		established++
		switch {
		case c.moved:
			moved++
		case c.left:
		default: // no host of this case ends a connection or stops to answer
			broken = append(broken, fmt.Sprintf("%s at %s, UP %s: ended without MOVE (%s)", c.id, c.node.name, c.receipt, c.end))
		}
	}
	w.record.add("verdict", "%d restarts, %d connections brought up, %d moved", restarts.Load(), established, moved)
	return broken, nil
}

// restart ends a node as the platform does at a planned restart, and starts it again.
func restart(n *node) error {
	n.signal(syscall.SIGTERM)
	time.AfterFunc(frontNotice, func() { n.setInUse(false) })
	if !n.awaitExit(killAfter) {
		n.signal(syscall.SIGKILL)
		n.awaitExit(5 * time.Second)
	}
	time.Sleep(frontNotice) // also after an early end
	n.setInUse(false)
	return n.start()
}
