package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// stage holds what all cases have in common.
type stage struct {
	rec     *record
	trouble bool
	env     environment
	hosts   []*host
	disc    *discovery
	cfg     nodeConfig
	nodes   []*nodeProcess
	closing sync.Once
}

// caseTimeout is after how long a case that has not ended is given up.
const caseTimeout = 110 * time.Second

// cases maps the number of a case to its play, which returns the rule's violations.
var cases = map[string]func(*stage) (violations []string, err error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases-2 CASE RECORD")
		return cannotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	s := &stage{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	defer s.close()
	s.giveUpInTime()
	violations, err := cases[os.Args[1]](s)
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return cannotRun
	}
	for _, violation := range violations {
		rec.add("RULE BROKEN: %s", violation)
	}
	if len(violations) > 0 {
		fmt.Printf("rule broken, %d times; the first: %s\n", len(violations), violations[0])
		return broken
	}
	rec.add("the rule held")
	fmt.Println("rule held")
	return held
}

// prepare starts the hosts and discovery at revision 41, and sets the configuration of the node.
func (s *stage) prepare(mode string, hosts int) (err error) {
	if s.env, err = newEnvironment(); err != nil {
		return err
	}
	for i := range hosts {
		h, err := startHost(fmt.Sprintf("s-%d", i), s.rec)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	if s.disc, err = startDiscovery("d1", s.rec, 41, membersOf(s.hosts)); err != nil {
		return err
	}
	s.cfg = nodeConfig{mode: mode, discovery: s.disc.addr(), known: memberList{41, true, membersOf(s.hosts)}}
	s.cfg.listen, err = freeAddr()
	return err
}

// inheritListener opens the clients' listening socket, as the platform does on days with upgrades.
func (s *stage) inheritListener() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer listener.Close()
	s.cfg.listen = listener.Addr().String()
	s.env.listener, err = listener.(*net.TCPListener).File()
	return err
}

// startNode writes the configuration, starts a process, and waits until it answers yes to ready.
func (s *stage) startNode(name string) (*nodeProcess, error) {
	if err := s.cfg.write(s.env.config); err != nil {
		return nil, err
	}
	management, err := freeAddr()
	if err != nil {
		return nil, err
	}
	p, err := s.env.start(name, management, s.rec)
	if err != nil {
		return nil, err
	}
	s.nodes = append(s.nodes, p)
	if err := await(name+" is ready", func() bool { return ask(management, "ready") == "YES" }); err != nil {
		return nil, err
	}
	s.rec.add("process %s is ready", name)
	return p, nil
}

// awaitPong waits until the node answers the front.
func (s *stage) awaitPong() error {
	return await("PONG", func() bool { return ask(s.cfg.listen, "PING") == "PONG" })
}

// giveUpInTime ends the case and its processes after caseTimeout, or when a signal asks for it.
func (s *stage) giveUpInTime() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-signals:
		case <-time.After(caseTimeout):
		}
		s.rec.add("the case was given up")
		s.close()
		os.Exit(cannotRun)
	}()
}

func (s *stage) close() { s.closing.Do(s.end) }

// end ends all processes of the case and removes its files.
func (s *stage) end() {
	for _, p := range s.nodes {
		p.kill()
	}
	if s.env.listener != nil {
		_ = s.env.listener.Close()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept:", s.env.folder)
	} else if s.env.folder != "" {
		_ = os.RemoveAll(s.env.folder)
	}
}

// sentLate describes the requests that a host got after the rule on drains bound.
func (s *stage) sentLate(h *host, from, to time.Time) (violations []string) {
	for _, o := range h.openings(from) {
		if o.at.Before(to) {
			violations = append(violations, fmt.Sprintf("%s sent to %s at %s; nothing new was allowed from %s on",
				o.id, h.id, s.rec.at(o.at), s.rec.at(from)))
		}
	}
	return violations
}
