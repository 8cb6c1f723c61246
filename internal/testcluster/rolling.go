package testcluster

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"onyxstream/internal/ctxtime"
	"onyxstream/internal/fakeserver"
	"onyxstream/internal/tomlfile"
)

// RollingRestart is a rolling restart under load, drawn by its seed: all nodes are told to stop, a tenth at a time, each is
// killed when the platform would kill it, and started again; hosts hang and are replaced meanwhile.
type RollingRestart struct {
	Seed   uint64
	Length time.Duration // that clients come for
	Rate   float64       // clients a second, at all nodes
	Kill   bool          // nodes are killed at once, with all they owe: the judge has to see it
}

const (
	clientPrefix = "c-"
	// pickableAfterStop is how long clients go on coming to a node that was told to stop: the longest that the platform names.
	pickableAfterStop = 400 * time.Millisecond
	// killTimeout is when a node that was told to stop is killed: the longest deadline, 3 s at most, and 0.7 s.
	killTimeout     = 3700 * time.Millisecond
	maxConnectedFor = 2 * time.Second
)

// rollingClient is one client.
type rollingClient struct {
	id                     string
	patience, connectedFor time.Duration
	splitOpening, retry    bool // its line comes in two pieces; it says that it was turned away before
}

// nodePicker says which nodes clients are dealt to.
type nodePicker struct {
	mu       sync.Mutex
	excluded map[int]bool
}

func (d *nodePicker) setExcluded(i int, out bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.excluded[i] = out
}

func (d *nodePicker) pick(n, nodes int) (int, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k := range nodes {
		if i := (n + k) % nodes; !d.excluded[i] {
			return i, true
		}
	}
	return 0, false
}

// RunRollingRestart plays it and returns once all clients have had their answers, or none will come any more. The rig must be ready.
func (r *Cluster) RunRollingRestart(ctx context.Context, x RollingRestart) error {
	draw := rand.New(rand.NewPCG(x.Seed, 0x726f6c6c))
	d := &nodePicker{excluded: map[int]bool{}}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wg sync.WaitGroup
	r.PlayFaults(ctx, r.drawHostFaults(draw, x.Length))
	wave := max(len(r.nodes)/10, 1)
	order := draw.Perm(len(r.nodes))
	pause := x.Length * 2 / 3 / time.Duration((len(order)+wave-1)/wave)
	wg.Go(func() {
		for at := 0; at < len(order) && ctxtime.Sleep(ctx, pause); at += wave {
			for _, i := range order[at:min(at+wave, len(order))] {
				wg.Go(func() {
					if err := r.restartNode(ctx, d, i, x.Kill); err != nil {
						cancel(err)
					}
				})
			}
		}
	})
	begin := time.Now()
	for at := time.Duration(0); at < x.Length; at += time.Duration(draw.ExpFloat64() / x.Rate * float64(time.Second)) {
		if !ctxtime.Sleep(ctx, time.Until(begin.Add(at))) {
			break
		}
		// Some wait for less than a host's hang lasts, some for longer than a node does that is told to stop.
		patience := []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 5 * time.Second}[draw.IntN(4)]
		a := rollingClient{id: fmt.Sprintf("%016x", draw.Uint64()), patience: patience, connectedFor: time.Duration(draw.Int64N(int64(maxConnectedFor))),
			splitOpening: draw.IntN(5) == 0, retry: draw.IntN(2) == 0}
		if i, ok := d.pick(draw.IntN(len(r.nodes)), len(r.nodes)); ok {
			wg.Go(func() { r.runRollingClient(ctx, i, a) })
		}
	}
	wg.Wait()
	err := context.Cause(ctx)
	r.faults.stop() // nothing of the time line is left that counts
	return errors.Join(err, r.Err())
}

// drawHostFaults draws what becomes of the hosts: some hang, and half of them are replaced.
func (r *Cluster) drawHostFaults(draw *rand.Rand, length time.Duration) (line []FaultSpec) {
	hosts := len(r.Hosts())
	order := draw.Perm(hosts)
	at := func(part float64) tomlfile.Duration { return tomlfile.Duration(part * float64(length)) }
	hang := max(hosts/3, 1)
	for _, i := range order[:hang] {
		line = append(line, FaultSpec{At: at(0.1 + 0.3*draw.Float64()), Kind: "hang", Target: fmt.Sprint("h", i+1), Duration: at(0.6)})
	}
	for k, i := range order[hang : hang+hosts/2] {
		when := at(0.2 + 0.5*float64(k)/float64(hosts))
		line = append(line, FaultSpec{At: when, Kind: "add", Target: fmt.Sprint("h", hosts+k+1)},
			FaultSpec{At: when, Kind: "drain", Target: fmt.Sprint("h", i+1), Period: tomlfile.Duration(time.Second)})
	}
	return line
}

// restartNode restarts a node as the platform does.
func (r *Cluster) restartNode(ctx context.Context, d *nodePicker, i int, kill bool) error {
	p := r.nodes[i]
	r.recordFault(p.name, "stop")
	over := time.AfterFunc(pickableAfterStop, func() { d.setExcluded(i, true) })
	defer over.Stop()
	how := syscall.SIGTERM
	if kill {
		how = syscall.SIGKILL
	}
	p.end(how, killTimeout)
	d.setExcluded(i, true)
	r.recordFault(p.name, "starts")
	if err := p.start(); err != nil {
		return err
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for fakeserver.Ping(ready, p.addr, time.Second) != nil {
		if !ctxtime.Sleep(ready, 20*time.Millisecond) {
			return fmt.Errorf("%s does not come back: %w", p.name, ready.Err())
		}
	}
	d.setExcluded(i, false)
	return nil
}

// runRollingClient is one client: it asks a node, notes each whole line, and stays for a while where it is served. A line that could
// not be written whole was not taken on.
func (r *Cluster) runRollingClient(ctx context.Context, i int, a rollingClient) {
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", r.nodes[i].addr)
	if err != nil {
		return // a node that is not there takes nothing on
	}
	defer c.Close()
	note := func(what, text string) {
		r.Events.Add(fakeserver.Event{Source: clientPrefix + r.nodes[i].name, Kind: what, ID: a.id, Detail: text})
	}
	line := fmt.Sprintf("OPEN %s key%s c=%s,t=%s,d=%d", a.id, a.id, r.options.Classes[0].Name, r.options.Tenants[0], a.patience.Milliseconds())
	if a.retry {
		line += ",r=1"
	}
	line += "\r\n"
	if a.splitOpening {
		if _, err := io.WriteString(c, line[:len(line)/2]); err != nil || !ctxtime.Sleep(ctx, a.connectedFor/10) {
			return
		}
		line = line[len(line)/2:]
	}
	if _, err := io.WriteString(c, line); err != nil {
		return
	}
	note(fakeserver.EventRequested, a.patience.String())
	in := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(a.patience + 2*answerGrace))
	up := false
	for {
		text, err := in.ReadString('\n')
		switch {
		case err == nil && up && text == "MOVE\r\n":
			note(fakeserver.EventMigrated, "")
			return
		case err == nil && text == "\r\n":
		case err == nil:
			note(fakeserver.EventReceived, strings.TrimRight(text, "\r\n"))
			if !up {
				up = strings.HasPrefix(text, "UP ")
				_ = c.SetReadDeadline(time.Now().Add(a.connectedFor))
			}
		case errors.Is(err, os.ErrDeadlineExceeded):
			note(fakeserver.EventDisconnected, text)
			return
		default:
			note(fakeserver.EventReset, err.Error()+text)
			return
		}
	}
}
