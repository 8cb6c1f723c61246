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

const (
	// probeRetryInterval is the pause before a retry if the node is unreachable or the final answer has no Retry-After.
	probeRetryInterval = 50 * time.Millisecond
	dialTimeout        = time.Second
	// probeReadGrace is how long after the deadline of a request a probe still waits for the final answer.
	probeReadGrace = time.Second
	probeBuffer    = 256 // bytes
)

// AdmissionProbe is the result of one client that sent requests to one node until the node established its connection.
// Times are those of the cluster's clock.
type AdmissionProbe struct {
	Node              int           // index of the node
	FirstSentAt       time.Duration // when the first request was sent
	ServedAt          time.Duration // when the connection was established; 0 for never
	Rejected          int           // BUSY answers
	WithoutRetryAfter int           // BUSY answers without a Retry-After
	Failed            int           // ERR answers, and connections that ended without a final answer
	MaxLatency        time.Duration // the longest time from a request to its final answer
	LastAnswer        string        // the last line received, followed by the read error if there was one
}

// ProbeAdmission runs clients against one node and returns when all of them have ended. Their starts are spaced evenly
// over spread. Each client retries until its connection is established or its timeout has passed; deadline is the
// deadline of each request. Final answers are recorded with the client's name as the source.
func (c *Cluster) ProbeAdmission(
	ctx context.Context, node, clients int, spread, deadline, timeout time.Duration,
) []AdmissionProbe {
	probes := make([]AdmissionProbe, clients)
	done := make(chan struct{})
	for i := range clients {
		go func() {
			defer func() { done <- struct{}{} }()
			probes[i].Node = node
			if !ctxtime.Sleep(ctx, spread*time.Duration(i)/time.Duration(clients)) {
				return
			}
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			client := &probeClient{
				cluster:  c,
				result:   &probes[i],
				name:     fmt.Sprintf("c%d-%s", i+1, c.nodes[node].name),
				deadline: deadline,
			}
			client.run(ctx)
		}()
	}
	for range clients {
		<-done
	}
	return probes
}

// probeClient is one client of ProbeAdmission.
type probeClient struct {
	cluster  *Cluster
	result   *AdmissionProbe
	name     string
	deadline time.Duration
}

// run sends requests until a connection is established or the context is done.
func (p *probeClient) run(ctx context.Context) {
	retryField := ""
	addr := p.cluster.nodes[p.result.Node].addr
	for ctx.Err() == nil {
		connection, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
		if err != nil {
			ctxtime.Sleep(ctx, probeRetryInterval)
			continue
		}
		answer, err := p.request(connection, retryField)
		served, wait := p.handleAnswer(ctx, answer, err)
		if served {
			// The client holds the established connection for the length of its deadline.
			ctxtime.Sleep(ctx, p.deadline)
			_ = connection.Close()
			return
		}
		_ = connection.Close()
		ctxtime.Sleep(ctx, wait)
		retryField = ",r=1"
	}
}

// request sends a request with an id that no client of the cluster has used, and returns the first line that the node
// sends, without its line end.
func (p *probeClient) request(connection net.Conn, retryField string) (answer string, err error) {
	clock := p.cluster.Clock
	start := clock.Now()
	if p.result.FirstSentAt == 0 {
		p.result.FirstSentAt = start
	}
	_ = connection.SetDeadline(time.Now().Add(p.deadline + probeReadGrace))
	class, tenant := p.cluster.options.Classes[0].Name, p.cluster.options.Tenants[0]
	fmt.Fprintf(connection, "OPEN %s-%d %s c=%s,t=%s,d=%d%s\r\n",
		p.name, p.cluster.probeRequests.Add(1), p.name, class, tenant, p.deadline.Milliseconds(), retryField)
	line, err := bufio.NewReaderSize(connection, probeBuffer).ReadString('\n')
	p.result.MaxLatency = max(p.result.MaxLatency, clock.Now()-start)
	return strings.TrimRight(line, "\r\n"), err
}

// handleAnswer records a final answer, or the read error if there is no final answer. It reports whether the connection
// is established. If it is not, wait is the time until the retry.
func (p *probeClient) handleAnswer(ctx context.Context, answer string, err error) (served bool, wait time.Duration) {
	p.record(fakeserver.EventReceived, answer)
	p.result.LastAnswer = answer
	if err != nil {
		p.result.LastAnswer += err.Error()
	}
	word, rest, _ := strings.Cut(answer, " ")
	switch {
	case err == nil && word == "UP":
		p.result.ServedAt = p.cluster.Clock.Now()
		return true, 0
	case err == nil && word == "BUSY":
		p.result.Rejected++
		ms, err := strconv.Atoi(rest)
		if err != nil {
			p.result.WithoutRetryAfter++
			return false, probeRetryInterval
		}
		return false, time.Duration(ms) * time.Millisecond
	}
	p.result.Failed++
	if ctx.Err() == nil {
		p.record(fakeserver.EventFailed, p.result.LastAnswer)
	}
	return false, probeRetryInterval
}

func (p *probeClient) record(kind, detail string) {
	p.cluster.EventLog.Add(fakeserver.Event{Source: p.name, Kind: kind, Detail: detail})
}
