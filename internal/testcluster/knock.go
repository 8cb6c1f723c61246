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

// Knock is what became of one client that came to one node until it was served. Times are of the rig's clock.
type Knock struct {
	Node     int
	First    time.Duration // when it first sent its line
	Served   time.Duration // when UP came; 0 for never
	Refused  int           // answers BUSY
	NoAdvice int           // of them, those that did not say when to come back
	Failed   int           // answers ERR, and connections that ended without one
	Longest  time.Duration // that one answer took
	Last     string        // the last answer, or why there was none
}

// Knocks has clients come to one node, each until it is served or patience is over; each line waits for deadline. Every
// answer is noted in the ledger under the client's name. It returns when all are through.
func (r *Rig) Knocks(ctx context.Context, i, clients int, spread, deadline, patience time.Duration) []Knock {
	out := make([]Knock, clients)
	done := make(chan struct{})
	for c := range clients {
		go func() {
			defer func() { done <- struct{}{} }()
			out[c].Node = i
			if ctxtime.Sleep(ctx, spread*time.Duration(c)/time.Duration(clients)) {
				ctx, cancel := context.WithTimeout(ctx, patience)
				defer cancel()
				r.probe(ctx, &out[c], fmt.Sprintf("c%d-%s", c+1, r.nodes[i].name), deadline)
			}
		}()
	}
	for range clients {
		<-done
	}
	return out
}

// knockAgain is the pause of a client whose node is not there, or that was told nothing.
const knockAgain = 50 * time.Millisecond

func (r *Rig) probe(ctx context.Context, k *Knock, name string, deadline time.Duration) {
	class, tenant := r.opt.Classes[0].Name, r.opt.Tenants[0]
	addr, retry := r.nodes[k.Node].addr, ""
	for try := 0; ctx.Err() == nil; try++ {
		c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
		if err != nil {
			ctxtime.Sleep(ctx, knockAgain)
			continue
		}
		began := r.Clock.Now()
		if k.First == 0 {
			k.First = began
		}
		_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
		fmt.Fprintf(c, "OPEN %s-%d %s c=%s,t=%s,d=%d%s\r\n", name, try, name, class, tenant, deadline.Milliseconds(), retry)
		line, err := bufio.NewReaderSize(c, 256).ReadString('\n')
		k.Longest = max(k.Longest, r.Clock.Now()-began)
		line = strings.TrimRight(line, "\r\n")
		r.Ledger.Add(fakeserver.Event{Source: name, Kind: fakeserver.EventReceived, Detail: line})
		if k.Last = line; err != nil {
			k.Last += err.Error()
		}
		word, rest, _ := strings.Cut(line, " ")
		switch {
		case err == nil && word == "UP":
			k.Served = r.Clock.Now()
			// It stays for a moment and leaves by itself, as a client does that has what it came for.
			ctxtime.Sleep(ctx, deadline)
			_ = c.Close()
			return
		case err == nil && word == "BUSY":
			k.Refused++
			wait := knockAgain
			if ms, err := strconv.Atoi(rest); err == nil {
				wait = time.Duration(ms) * time.Millisecond
			} else {
				k.NoAdvice++
			}
			_ = c.Close()
			ctxtime.Sleep(ctx, wait)
		default:
			k.Failed++
			if ctx.Err() == nil {
				r.Ledger.Add(fakeserver.Event{Source: name, Kind: fakeserver.EventFailed, Detail: k.Last})
			}
			_ = c.Close()
			ctxtime.Sleep(ctx, knockAgain)
		}
		retry = ",r=1"
	}
}
