package testcluster

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"onyxstream/internal/ctxtime"
	"onyxstream/internal/fakeserver"
)

// AdmissionProbe is what became of one client that came to one node until it was served. Times are of the rig's clock.
type AdmissionProbe struct {
	Node              int
	FirstSentAt       time.Duration // when it first sent its line
	ServedAt          time.Duration // when UP came; 0 for never
	Rejected          int           // answers BUSY
	WithoutRetryAfter int           // of them, those that did not say when to come back
	Failed            int           // answers ERR, and connections that ended without one
	MaxLatency        time.Duration // that one answer took
	LastAnswer        string        // the last answer, or why there was none
}

// ProbeAdmission has clients come to one node, each until it is served or patience is over; each line waits for deadline. Every
// answer is noted in the ledger under the client's name. It returns when all are through.
func (r *Cluster) ProbeAdmission(ctx context.Context, i, clients int, spread, deadline, patience time.Duration) []AdmissionProbe {
	out := make([]AdmissionProbe, clients)
	done := make(chan struct{})
	for c := range clients {
		go func() {
			defer func() { done <- struct{}{} }()
			out[c].Node = i
			if ctxtime.Sleep(ctx, spread*time.Duration(c)/time.Duration(clients)) {
				ctx, cancel := context.WithTimeout(ctx, patience)
				defer cancel()
				r.probeUntilServed(ctx, &out[c], fmt.Sprintf("c%d-%s", c+1, r.nodes[i].name), deadline)
			}
		}()
	}
	for range clients {
		<-done
	}
	return out
}

// probeRetryInterval is the pause of a client whose node is not there, or that was told nothing.
const probeRetryInterval = 50 * time.Millisecond

func (r *Cluster) probeUntilServed(ctx context.Context, k *AdmissionProbe, name string, deadline time.Duration) {
	class, tenant := r.options.Classes[0].Name, r.options.Tenants[0]
	addr, retry := r.nodes[k.Node].addr, ""
	for try := 0; ctx.Err() == nil; try++ {
		c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
		if err != nil {
			ctxtime.Sleep(ctx, probeRetryInterval)
			continue
		}
		began := r.Clock.Now()
		if k.FirstSentAt == 0 {
			k.FirstSentAt = began
		}
		_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
		fmt.Fprintf(c, "OPEN %s-%d %s c=%s,t=%s,d=%d%s\r\n", name, try, name, class, tenant, deadline.Milliseconds(), retry)
		line, err := bufio.NewReaderSize(c, 256).ReadString('\n')
		k.MaxLatency = max(k.MaxLatency, r.Clock.Now()-began)
		line = strings.TrimRight(line, "\r\n")
		r.Events.Add(fakeserver.Event{Source: name, Kind: fakeserver.EventReceived, Detail: line})
		if k.LastAnswer = line; err != nil {
			k.LastAnswer += err.Error()
		}
		word, rest, _ := strings.Cut(line, " ")
		switch {
		case err == nil && word == "UP":
			k.ServedAt = r.Clock.Now()
			// It stays for a moment and leaves by itself, as a client does that has what it came for.
			ctxtime.Sleep(ctx, deadline)
			_ = c.Close()
			return
		case err == nil && word == "BUSY":
			k.Rejected++
			wait := probeRetryInterval
			if ms, err := strconv.Atoi(rest); err == nil {
				wait = time.Duration(ms) * time.Millisecond
			} else {
				k.WithoutRetryAfter++
			}
			_ = c.Close()
			ctxtime.Sleep(ctx, wait)
		default:
			k.Failed++
			if ctx.Err() == nil {
				r.Events.Add(fakeserver.Event{Source: name, Kind: fakeserver.EventFailed, Detail: k.LastAnswer})
			}
			_ = c.Close()
			ctxtime.Sleep(ctx, probeRetryInterval)
		}
		retry = ",r=1"
	}
}
