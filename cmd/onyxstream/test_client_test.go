package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// testClient is a connection of a client to a node.
type testClient struct {
	t      testing.TB
	conn   *net.TCPConn
	reader *bufio.Reader
}

// dial connects to the node. The connection is closed when the test ends.
func (p *nodeProcess) dial(t testing.TB) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	return &testClient{t, conn.(*net.TCPConn), bufio.NewReader(conn)}
}

// openRequest connects and sends an opening line with a new request id and idempotency key. extraFields is appended to
// the line.
func (p *nodeProcess) openRequest(t testing.TB, extraFields string) *testClient {
	t.Helper()
	n, client := nextID(), p.dial(t)
	client.send(fmt.Sprintf("OPEN id%d key%d c=chat,t=acme,d=2500%s\r\n", n, n, extraFields))
	return client
}

// establish opens count requests, one after another. Each final answer must begin with answer.
func (p *nodeProcess) establish(t testing.TB, count int, answer string) []*testClient {
	t.Helper()
	var clients []*testClient
	for range count {
		client := p.openRequest(t, "")
		client.expectLine(answer)
		clients = append(clients, client)
	}
	return clients
}

// send writes text to the node.
func (c *testClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// expectLine reads a line, which must begin with prefix, and returns it.
func (c *testClient) expectLine(prefix string) string {
	c.t.Helper()
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, prefix) {
		c.t.Fatalf("received %q, error %v; want %q", line, err, prefix)
	}
	return line
}

// expectClose checks that the node closes the connection without sending another byte: by a reset if byReset is true,
// otherwise by a FIN.
func (c *testClient) expectClose(byReset bool) {
	c.t.Helper()
	rest, err := io.ReadAll(c.reader)
	if len(rest) > 0 || byReset != (err != nil) {
		c.t.Errorf("connection closed after %q, error %v; want reset: %v", rest, err, byReset)
	}
}

// waitUntilUsed opens requests until the host has received more opening lines than the given number.
func (p *nodeProcess) waitUntilUsed(t testing.TB, host *fakeHost, before int) {
	t.Helper()
	eventually(t, "the host is used again", func() bool {
		client := p.openRequest(t, "")
		client.expectLine("UP")
		_ = client.conn.Close()
		return len(host.openingLines()) > before
	})
}

// waitUntilServedBy opens requests until the host with this id serves one. Each client disconnects at once, so that the
// connections do not use up the node's sockets.
func (p *nodeProcess) waitUntilServedBy(t testing.TB, hostID string) {
	t.Helper()
	eventually(t, "requests go to "+hostID, func() bool {
		client := p.openRequest(t, "")
		defer client.conn.Close()
		return strings.Contains(client.expectLine("UP "), "from-"+hostID)
	})
}

// waitForPingAnswer waits until eight consecutive PINGs, each on a new connection, get the answer want. One PING is not
// enough: when two processes share the listening socket, either process may accept a connection.
func (p *nodeProcess) waitForPingAnswer(t testing.TB, want string) {
	t.Helper()
	eventually(t, "PING is answered "+want, func() bool {
		for range 8 {
			client := p.dial(t)
			client.send("PING\r\n")
			line, _ := client.reader.ReadString('\n')
			_ = client.conn.Close()
			if line != want {
				return false
			}
		}
		return true
	})
}

// missingAnswer describes a request that got no final answer, or an answer that the protocol does not define.
type missingAnswer struct {
	request  int
	received string
	err      error
}

// request sends one request. It returns the first word of the final answer, or a missingAnswer if there is no valid
// final answer. If the connection cannot be established, it returns neither, because the node has not received the
// request.
func (p *nodeProcess) request(id int) (answer string, missing *missingAnswer) {
	conn, err := net.DialTimeout("tcp", p.addr, waitLimit)
	if err != nil {
		return "", nil
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	_, err = io.WriteString(conn, fmt.Sprintf("OPEN r%d k%d c=chat,t=acme,d=2500\r\n", id, id))
	if err != nil {
		return "", &missingAnswer{id, "", err}
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	word, _, _ := strings.Cut(strings.TrimSpace(line), " ")
	if err != nil || word != "UP" && word != "BUSY" && word != "ERR" {
		return "", &missingAnswer{id, line, err}
	}
	return word, nil
}

// runLoad sends requests from several concurrent clients for the duration. It returns the number of requests per final
// answer, and the requests without a final answer. These requests, and failed connection attempts, count under "".
func (p *nodeProcess) runLoad(clients int, duration time.Duration) (answers map[string]int, missing []missingAnswer) {
	answers = map[string]int{}
	var mu sync.Mutex
	var running sync.WaitGroup
	end := time.Now().Add(duration)
	for range clients {
		running.Go(func() {
			for time.Now().Before(end) {
				answer, noAnswer := p.request(nextID())
				mu.Lock()
				answers[answer]++
				if noAnswer != nil {
					missing = append(missing, *noAnswer)
				}
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	running.Wait()
	return answers, missing
}

// expectAllAnswered fails the test if a request got no final answer.
func expectAllAnswered(t testing.TB, missing []missingAnswer) {
	t.Helper()
	for _, m := range missing {
		t.Errorf("request r%d got no final answer: received %q, error %v", m.request, m.received, m.err)
	}
}
