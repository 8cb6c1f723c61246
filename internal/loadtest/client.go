package loadtest

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"onyxstream/internal/syserr"
	"onyxstream/internal/wire"
)

// answer is what a try came to. Where it was served, the connection stands.
type answer struct {
	outcome Outcome
	advice  time.Duration // of BUSY; 0 for none
	own     error         // what kept the generator from sending
	id      string
	c       *net.TCPConn
	r       *bufio.Reader
	h       *held
	service time.Duration // from the line's first byte to the answer
}

func (e *engine) close(a *answer) {
	if a.c != nil {
		e.letGo(a.h)
		_ = a.c.Close()
		a.c = nil
	}
}

var runID = strconv.FormatUint(rand.Uint64(), 36)

// newID is an id that no other connection of any generator has.
func (e *engine) newID() string { return runID + "-" + strconv.FormatUint(e.dialled.Add(1), 36) }

// client plays a request to its final answer, and its connection to its end.
func (e *engine) client(r *Request, path string, intended time.Duration) {
	e.clientUntil(r, path, intended, func() {})
}

func (e *engine) clientUntil(r *Request, path string, intended time.Duration, answered func()) {
	defer answered()
	a := e.request(r, path, "")
	if a.outcome == Unsent {
		e.unsent(r, path, a.own)
		return
	}
	e.stats.final(r, path, a.outcome, e.now()-intended, e.classes[r.Class])
	answered()
	if a.outcome == Served {
		e.stats.with(path, r.Class, func(t *tally) { record(t.service, a.service) })
		e.hold(r, path, a, 0)
	}
}

// request tries until there is a final answer.
func (e *engine) request(r *Request, path, mark string) *answer {
	rng := requestRand(e.s.Seed^0x7472696573, r.N)
	wait := e.s.Clients.Wait.AsDuration()
	for try := 0; ; try++ {
		m := mark
		if try > 0 && e.s.Clients.Marks {
			m = joined(m, "r=1")
		}
		a := e.try(r, e.newID(), m, path)
		e.stats.with(path, r.Class, func(t *tally) { t.tries[a.outcome]++ })
		if a.outcome == Served || a.outcome == Unsent || a.outcome == Cut || try >= e.s.Clients.Retries {
			return a
		}
		e.close(a)
		pause := time.Duration((0.5 + rng.Float64()) * float64(wait))
		if a.advice > 0 && *e.s.Clients.Honour {
			pause = a.advice + time.Duration(rng.Float64()*0.1*float64(a.advice))
		}
		if e.s.Clients.Backoff == "exponential" {
			wait = min(wait*2, mostWait)
		}
		if !e.pause(pause) {
			return a
		}
	}
}

// mostWait bounds a backoff that doubles.
const mostWait = time.Minute

func joined(a, b string) string {
	if a == "" {
		return b
	}
	return a + "," + b
}

// pause waits; false where the run ends before.
func (e *engine) pause(d time.Duration) bool {
	if e.ended.Load() {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-e.stop:
		return false
	}
}

// answerSlack is how long after its deadline a client still listens, as the protocol allows an answer to be late.
const answerSlack = 50 * time.Millisecond

// try is one connection up to its answer.
func (e *engine) try(r *Request, id, mark, path string) *answer {
	a := &answer{outcome: Unreachable, id: id}
	deadline := e.classes[r.Class]
	ends := time.Now().Add(deadline + answerSlack)
	addr, err := e.cfg.Address(r.Zone, r.Direct)
	if err != nil {
		return a
	}
	d := net.Dialer{Deadline: ends, KeepAlive: -1}
	if len(e.sources) > 0 {
		d.LocalAddr, d.Control = e.sources[e.dialled.Load()%uint64(len(e.sources))], portLate
	}
	c, err := d.DialContext(e.dials, "tcp", addr)
	switch {
	case err == nil:
	case own(err):
		a.outcome, a.own = Unsent, err
		return a
	case e.ended.Load():
		a.outcome = Cut
		return a
	default:
		return a
	}
	a.c = c.(*net.TCPConn)
	a.h = &held{n: r.N, c: a.c}
	_ = a.c.SetDeadline(ends)
	if !e.holdOn(a.h) {
		a.outcome = Cut
		e.close(a)
		return a
	}
	begin := time.Now()
	if _, err := io.WriteString(a.c, e.opening(r, id, mark, deadline)); err != nil {
		a.outcome = Lost
		e.close(a)
		return a
	}
	a.r = bufio.NewReaderSize(a.c, readSize)
	line, err := readLine(a.r)
	a.service = time.Since(begin)
	_, shut := a.h.shutBy()
	switch {
	case shut && err != nil:
		a.outcome = Cut
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.outcome = Unanswered
	case err != nil:
		a.outcome = Lost
	default:
		a.read(line)
	}
	if a.outcome != Served {
		e.close(a)
		return a
	}
	if e.cfg.Receipt != nil {
		e.cfg.Receipt(id, string(bytes.TrimPrefix(line, []byte("UP "))))
	}
	_ = a.c.SetDeadline(time.Time{})
	if _, shut := a.h.shutBy(); shut { // its own deadline may just have been taken away
		_ = a.c.SetReadDeadline(time.Now())
	}
	return a
}

// portLate has a bound socket take its port when it connects: one that is taken before must be free for every peer.
func portLate(_, _ string, c syscall.RawConn) error {
	const bindAddressNoPort = 24 // IP_BIND_ADDRESS_NO_PORT of Linux
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_IP, bindAddressNoPort, 1) // without it ports run out sooner
	})
}

// readSize is all the memory that a standing connection's lines get: the longest that a client looks into.
const readSize = 256

// own says that an error is the generator's: its descriptors, ports or memory are used up.
func own(err error) bool { return syserr.LacksResources(err) || syserr.LacksAddress(err) }

// opening is a connection's first line.
func (e *engine) opening(r *Request, id, mark string, deadline time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "OPEN %s %s c=%s,t=%s,d=%d", id, r.Key, r.Class, r.Tenant, max(deadline.Milliseconds(), 1))
	if r.Group != "" {
		b.WriteString(",g=" + r.Group)
	}
	if r.Load > 0 && e.s.Fleet != nil {
		fmt.Fprintf(&b, ",h=%g", r.Load*e.s.Fleet.Host.Load)
	}
	if r.Life > 0 {
		fmt.Fprintf(&b, ",life=%d", max(r.Life.Milliseconds(), 1))
	}
	if mark != "" {
		b.WriteString("," + mark)
	}
	b.WriteString("\r\n")
	return b.String()
}

// read takes an answer's line.
func (a *answer) read(line []byte) {
	switch wire.ParseResponse(line) {
	case wire.ResponseEstablished:
		a.outcome = Served
	case wire.ResponseRejected:
		a.outcome = Refused
		if _, text, ok := bytes.Cut(line, []byte(" ")); ok {
			if ms, err := strconv.Atoi(string(text)); err == nil && ms > 0 {
				a.advice = min(time.Duration(ms)*time.Millisecond, mostWait)
			}
		}
	default:
		a.outcome = Failed
	}
}

// readLine reads a line without its end. Of one that is longer than the buffer the beginning is given; it is valid
// until the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		head := bytes.Clone(line[:min(len(line), 64)])
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = r.ReadSlice('\n')
		}
		return head, err
	}
	return bytes.TrimRight(line, "\r\n"), err
}

// ending is why a connection that was up is no more.
type ending uint8

const (
	endWhole   ending = iota // BYE, or its life was over
	endMoved                 // MOVE
	endBroken                // cut off with neither
	endDropped               // by a wave
	endCut                   // by the end of the run
)

// lifeSlack is how long after a connection's life the client waits for the host to say so.
const lifeSlack = time.Second

// hold keeps a connection that is up, and comes again where it is moved or broken, at most as often as the scenario says.
func (e *engine) hold(r *Request, path string, a *answer, returned int) {
	for {
		up := time.Now()
		end, back := e.standing(r, path, a)
		e.close(a)
		e.stats.with(path, r.Class, func(t *tally) {
			switch end {
			case endWhole:
				t.ended++
			case endMoved:
				t.moved++
			case endBroken:
				t.broken++
			case endDropped:
				t.dropped++
			case endCut:
				t.cut++
			}
		})
		if end == endWhole || end == endCut || returned >= e.s.Clients.Returns {
			return
		}
		returned++
		r.Life = max(r.Life-time.Since(up), time.Millisecond)
		if end == endBroken && e.s.Clients.MidFlow {
			if b := e.try(r, a.id, "mid=1", path); b.outcome == Served {
				a = b
				continue
			} else {
				e.close(b)
			}
		}
		if a = e.comeBack(r, path, back); a == nil {
			return
		}
	}
}

// comeBack is a client that comes again after so long; nil where it is not served.
func (e *engine) comeBack(r *Request, path string, after time.Duration) *answer {
	if !e.pause(after) {
		return nil
	}
	meant := e.now()
	e.stats.bucket(meant, func(b *bucket) { b.back++ })
	a := e.request(r, path, "again=1")
	e.stats.with(path, r.Class, func(t *tally) {
		t.returns++
		if a.outcome == Served {
			record(t.back, e.now()-meant)
		}
	})
	if a.outcome != Served {
		e.close(a)
		return nil
	}
	return a
}

// comeBackWait is how soon a client comes again.
func (e *engine) comeBackWait(r *Request) time.Duration {
	from, to := e.s.Clients.Comeback[0].AsDuration(), e.s.Clients.Comeback[1].AsDuration()
	return from + time.Duration(requestRand(e.s.Seed^0x6261636b, r.N).Float64()*float64(to-from))
}

// standing reads a connection until it ends, and says how soon the client comes again.
func (e *engine) standing(r *Request, path string, a *answer) (end ending, back time.Duration) {
	e.count(1)
	defer e.count(-1)
	a.h.up.Store(true)
	life := time.AfterFunc(r.Life+lifeSlack, func() { a.h.shut(endWhole) })
	defer life.Stop()
	if r.Message > 0 {
		defer e.speak(r, path, a)()
	}
	for {
		line, err := readLine(a.r)
		if err != nil {
			switch why, ok := a.h.shutBy(); {
			case !ok:
				return endBroken, e.comeBackWait(r)
			case why == endDropped:
				return why, time.Duration(a.h.back.Load())
			default:
				return why, 0
			}
		}
		switch wire.ParseResponse(line) {
		case wire.ResponseClosed:
			return endWhole, 0
		case wire.ResponseMigrate:
			return endMoved, e.comeBackWait(r)
		}
		if at, ok := sentAt(line); ok {
			e.stats.with(path, r.Class, func(t *tally) {
				t.answered++
				record(t.message, e.now()-at)
			})
		}
	}
}

func (e *engine) count(by int64) {
	e.stats.mu.Lock()
	defer e.stats.mu.Unlock()
	e.stats.open += by
}

// sentAt reads of a line that came back when it was meant to be sent.
func sentAt(line []byte) (time.Duration, bool) {
	text, ok := bytes.CutPrefix(line, []byte("M "))
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseInt(string(text), 36, 64)
	return time.Duration(n), err == nil
}

// speak sends lines at their times, and returns what ends that. A line that is due while the one before is still
// being written is sent late, and its time counts from when it was due.
func (e *engine) speak(r *Request, path string, a *answer) (stop func()) {
	c := a.c // the answer forgets it when it is closed, and a line may be due at that moment
	due := e.now() + time.Duration(requestRand(e.s.Seed^0x6d7367, r.N).Float64()*float64(r.Message))
	var over atomic.Bool
	var timer atomic.Pointer[time.Timer]
	say := func() {
		if over.Load() {
			return
		}
		e.stats.with(path, r.Class, func(t *tally) { t.sent++ })
		if _, err := io.WriteString(c, "M "+strconv.FormatInt(int64(due), 36)+"\r\n"); err != nil {
			return
		}
		due += r.Message
		timer.Load().Reset(max(due-e.now(), 0))
	}
	t := time.AfterFunc(time.Hour, say)
	timer.Store(t)
	t.Reset(max(due-e.now(), 0))
	return func() {
		over.Store(true)
		t.Stop()
	}
}
