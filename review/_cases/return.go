package main

import (
	"fmt"
	"time"
)

// slackMS is added to each time limit on sockets.
const slackMS = 50

// load opens connections at an even rate over all nodes in use, until stop is closed.
func (w *world) load(rate int, fields string, life time.Duration, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		if n := w.pick(i); n != nil {
			w.open(n, fields, life, time.Second)
		}
	}
}

// lateOpenings returns the OPEN lines that reached hosts later than the grace after the time at which their drain
// counts as told.
func (w *world) lateOpenings(hosts []*host, told time.Time, grace time.Duration) (broken []string) {
	latest := told.Add(grace + slackMS*time.Millisecond)
	cut := 0
	for _, h := range hosts {
		for _, o := range h.openings() {
			if !o.at.After(latest) {
				continue
			}
			broken = append(broken, fmt.Sprintf("%s: OPEN %s came %.0f ms after its drain was told, %.0f ms are allowed",
				h.id, o.id, ms(o.at.Sub(told)), ms(latest.Sub(told))))
			if h.holds(o.id) {
				cut++
			}
		}
	}
	w.record.add("verdict", "%d late OPEN lines, %d of their connections still open at the host", len(broken), cut)
	return broken
}

func init() { cases["return"] = playReturn }

// playReturn has discovery down for 8 s, as lists are pushed. Two hosts begin to drain meanwhile: what the agent has
// counts as told once it is back.
func playReturn(w *world) (broken []string, err error) {
	const grace = 50 * time.Millisecond
	const down = 8 * time.Second
	if err := w.addHosts(6); err != nil {
		return nil, err
	}
	err = w.addNodes(6, func() object { return settings("pass", "push", 3200, ms(grace)) })
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	go w.load(90, "c=chat,t=acme,d=3200", 3*time.Second, stop)
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.discovery.down()
	}
	time.Sleep(down / 2)
	draining := w.hosts[:2]
	w.discovery.change("DRAINING", draining...)
	told := time.Now()
	time.Sleep(down / 2)
	if w.trouble {
		if err := w.discovery.up(); err != nil {
			return nil, err
		}
		told = time.Now()
	}
	w.record.addAt(told, "told", "the drain of %s and %s counts as told", draining[0].id, draining[1].id)
	time.Sleep(2 * time.Second)
	broken = w.lateOpenings(draining, told, grace)
	for _, h := range draining {
		h.stop()
	}
	time.Sleep(time.Second)
	close(stop)
	w.clients.Wait()
	return broken, nil
}
