package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// connectionLoad opens a request every 3 ms, each on a new connection, until it is stopped.
type connectionLoad struct {
	addr string
	stop chan struct{}
	done chan struct{}

	mu    sync.Mutex
	total int
	lost  []string // for each request that host hb did not serve: its ID, the line received and the error
}

// startConnectionLoad starts to open requests at a node.
func startConnectionLoad(addr string) *connectionLoad {
	load := &connectionLoad{addr: addr, stop: make(chan struct{}), done: make(chan struct{})}
	go load.run()
	return load
}

func (l *connectionLoad) run() {
	defer close(l.done)
	var requests sync.WaitGroup
	defer requests.Wait()
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		case <-time.After(3 * time.Millisecond):
		}
		requests.Go(func() { l.openRequest(i) })
	}
}

// openRequest opens one request and records whether host hb served it.
func (l *connectionLoad) openRequest(id int) {
	conn, err := net.Dial("tcp", l.addr)
	line := make([]byte, 64)
	n := 0
	if err == nil {
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(waitLimit))
		_, _ = fmt.Fprintf(conn, "OPEN u%d k%d c=chat,t=acme,d=2500\r\n", id, id)
		n, err = conn.Read(line)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	if err != nil || !strings.HasPrefix(string(line[:n]), "UP from-hb") {
		l.lost = append(l.lost, fmt.Sprintf("%d: %q, %v", id, line[:n], err))
	}
}

// stopAndWait stops opening requests and waits until those in flight have ended.
func (l *connectionLoad) stopAndWait() {
	close(l.stop)
	<-l.done
}
