package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The resting connections of the case resting.
const (
	restingClients = 1400
	restingStep    = 25 * time.Millisecond  // between two clients
	restingSpread  = 600 * time.Microsecond // requests come within so much of the usual end
	restingEarly   = 700 * time.Millisecond // without the disruption they come so long before it
)

func init() { cases["resting"] = playResting }

// playResting has clients rest on connections that they have opened, and send their request at about the time at which
// the node ends resting connections. A request that the node read and then closed on with no answer is lost.
func playResting(w *world) (broken []string, err error) {
	if err := w.addHosts(2); err != nil {
		return nil, err
	}
	if err := w.addNodes(2, func() object { return settings("pass", "ask", 3000, 400) }); err != nil {
		return nil, err
	}
	var usual [2]time.Duration // how long a connection rests before the node ends it: a new one, one after a PING
	for i := range usual {
		if usual[i], err = w.restingTime(i == 1); err != nil {
			return nil, err
		}
		w.record.add("verdict", "the node ends a resting connection after %.2f ms, ping %v", ms(usual[i]), i == 1)
	}
	counts := map[string]int{}
	var wg sync.WaitGroup
	for i := range restingClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * restingStep)
			rest := usual[i%2] + time.Duration(rand.Int64N(int64(2*restingSpread))) - restingSpread
			if !w.trouble {
				rest = usual[i%2] - restingEarly
			}
			id := newID()
			outcome := w.restThenOpen(w.nodes[i/2%2], id, i%2 == 1, rest)
			w.mu.Lock()
			defer w.mu.Unlock()
			counts[outcome]++
			if outcome == outcomeLost || !w.trouble && outcome != outcomeAnswered {
				broken = append(broken, fmt.Sprintf("%s: %s", id, outcome))
			}
		}()
	}
	wg.Wait()
	for outcome, count := range counts {
		w.record.add("verdict", "%4d %s", count, outcome)
	}
	return broken, nil
}

// The outcomes of a request on a resting connection.
const (
	outcomeAnswered = "answered"
	outcomeEnded    = "not sent: the client has seen the end before"
	outcomeUnread   = "no answer, the connection was reset: the node has not read it"
	outcomeCrossed  = "no answer and no reset, but the end reached the client while it wrote the line"
	outcomeLost     = "written whole before any sign of the end, read by the node, closed with no answer"
	outcomeOther    = "not played"
)

// restThenOpen opens a connection, rests, and sends a request.
func (w *world) restThenOpen(n *node, id string, ping bool, rest time.Duration) string {
	conn, in, err := openResting(n, ping)
	if err != nil {
		return outcomeOther
	}
	defer conn.Close()
	at := time.Now().Add(rest)
	time.Sleep(time.Until(at) - 2*time.Millisecond)
	for time.Now().Before(at) { // a sleep is not exact enough
	}
	line := fmt.Sprintf("OPEN %s %016x c=chat,t=acme,d=3000", id, rand.Uint64())
	endedBefore, endedAfter, err := writeBetweenChecks(conn, line+"\r\n")
	sentAt := time.Now()
	switch {
	case endedBefore:
		return outcomeEnded
	case err != nil:
		return outcomeOther
	}
	w.record.addAt(sentAt, "client", "sends to %s after %.2f ms of rest: %s; sees an end afterwards: %v", n.name, ms(rest), line, endedAfter)
	_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	answer, err := in.ReadString('\n')
	if err == nil {
		w.record.add("client", "%s: answer %.40q", id, answer)
		return outcomeAnswered
	}
	if errors.Is(err, io.EOF) { // a close over unread bytes resets the connection: see whether a reset follows
		time.Sleep(time.Second)
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		if _, err = in.ReadString('\n'); errors.Is(err, io.EOF) {
			err = socketError(conn)
		}
	}
	w.record.add("client", "%s: no answer, ended: %v", id, err)
	switch {
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return outcomeUnread
	case err != nil:
		return outcomeOther
	case endedAfter:
		return outcomeCrossed
	}
	return outcomeLost
}

// restingTime returns the median time after which the node ends a connection that rests.
func (w *world) restingTime(ping bool) (time.Duration, error) {
	const samples = 15
	var rests []time.Duration
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range samples {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * restingStep)
			conn, in, err := openResting(w.nodes[i%2], ping)
			if err != nil {
				return
			}
			defer conn.Close()
			begin := time.Now()
			_ = conn.SetReadDeadline(begin.Add(8 * time.Second))
			if _, err := in.ReadByte(); errors.Is(err, io.EOF) {
				mu.Lock()
				defer mu.Unlock()
				rests = append(rests, time.Since(begin))
			}
		}()
	}
	wg.Wait()
	if len(rests) < samples {
		return 0, errors.New("the node does not end resting connections within 8 s")
	}
	slices.Sort(rests)
	return rests[samples/2], nil
}

// openResting opens a connection to a node, with a PING that is answered if ping is set.
func openResting(n *node, ping bool) (net.Conn, *bufio.Reader, error) {
	conn, err := net.DialTimeout("tcp", n.addr, time.Second)
	if err != nil {
		return nil, nil, err
	}
	in := bufio.NewReader(conn)
	if ping {
		_, _ = fmt.Fprint(conn, "PING\r\n")
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := in.ReadString('\n'); err != nil {
			conn.Close()
			return nil, nil, err
		}
	}
	return conn, in, nil
}

// writeBetweenChecks writes text, and looks right before and right after it whether the other side has ended the
// connection. It writes nothing if that has happened before.
func writeBetweenChecks(conn net.Conn, text string) (endedBefore, endedAfter bool, err error) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false, false, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		if endedBefore = hasEnded(int(fd)); endedBefore {
			return
		}
		var n int
		if n, err = syscall.Write(int(fd), []byte(text)); err == nil && n < len(text) {
			err = io.ErrShortWrite
		}
		endedAfter = hasEnded(int(fd))
	})
	return endedBefore, endedAfter, errors.Join(err, controlErr)
}

// hasEnded reports whether the end of the connection, or an error, waits to be read.
func hasEnded(fd int) bool {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == nil && n == 0 || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
}

// socketError returns the pending error of a socket.
func socketError(conn net.Conn) (err error) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var code int
		if code, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR); err == nil && code != 0 {
			err = syscall.Errno(code)
		}
	})
	return errors.Join(err, controlErr)
}
