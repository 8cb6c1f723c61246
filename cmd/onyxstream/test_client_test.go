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

// testClient is a connection to the node.
type testClient struct {
	t      testing.TB
	conn   *net.TCPConn
	reader *bufio.Reader
}

func (p *nodeProcess) dial(t testing.TB) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	return &testClient{t, c.(*net.TCPConn), bufio.NewReader(c)}
}

// openRequest sends an OPEN with a fresh id and key, and more behind the usual.
func (p *nodeProcess) openRequest(t testing.TB, more string) *testClient {
	t.Helper()
	n, client := nextID(), p.dial(t)
	client.send(fmt.Sprintf("OPEN id%d key%d c=chat,t=acme,d=2500%s\r\n", n, n, more))
	return client
}

func (c *testClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// expectLine reads a line and wants it to begin with text.
func (c *testClient) expectLine(text string) string {
	c.t.Helper()
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, text) {
		c.t.Fatalf("heard %q, error %v; want %q", line, err, text)
	}
	return line
}

// expectClose wants the end of the connection: by FIN, or by a reset.
func (c *testClient) expectClose(byReset bool) {
	c.t.Helper()
	rest, err := io.ReadAll(c.reader)
	if len(rest) > 0 || byReset != (err != nil) {
		c.t.Errorf("ended with %q, error %v; want a reset: %v", rest, err, byReset)
	}
}

// waitUntilUsed waits until a host has had more lines than before.
func (p *nodeProcess) waitUntilUsed(t testing.TB, host *fakeHost, before int) {
	t.Helper()
	eventually(t, "it is used again", func() bool {
		client := p.openRequest(t, "")
		client.expectLine("UP")
		_ = client.conn.Close()
		return len(host.openings()) > before
	})
}

// missingAnswer is a request that got none, or not one of the protocol's.
type missingAnswer struct {
	request  int
	received string
	err      error
}

// request sends one request and tells its final answer, or that it got none. A connection that the node's machine did not
// accept is no request.
func (p *nodeProcess) request(n int) (answer string, lost *missingAnswer) {
	c, err := net.DialTimeout("tcp", p.addr, waitLimit)
	if err != nil {
		return "", nil
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	if _, err := io.WriteString(c, fmt.Sprintf("OPEN r%d k%d c=chat,t=acme,d=2500\r\n", n, n)); err != nil {
		return "", &missingAnswer{n, "", err}
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	word, _, _ := strings.Cut(strings.TrimSpace(line), " ")
	if err != nil || word != "UP" && word != "BUSY" && word != "ERR" {
		return "", &missingAnswer{n, line, err}
	}
	return word, nil
}

// runLoad sends requests from several clients at once for a time, and tells how many got which answer, and which got none.
func (p *nodeProcess) runLoad(clients int, length time.Duration) (answers map[string]int, lost []missingAnswer) {
	answers = map[string]int{}
	var mu sync.Mutex
	var all sync.WaitGroup
	until := time.Now().Add(length)
	for range clients {
		all.Go(func() {
			for time.Now().Before(until) {
				answer, none := p.request(nextID())
				mu.Lock()
				if answers[answer]++; none != nil {
					lost = append(lost, *none)
				}
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	all.Wait()
	return answers, lost
}

// waitUntilServedBy waits until a host gets what comes.
func (p *nodeProcess) waitUntilServedBy(t *testing.T, host string) {
	t.Helper()
	eventually(t, "requests go to "+host, func() bool {
		client := p.openRequest(t, "")
		defer client.conn.Close()
		return strings.Contains(client.expectLine("UP "), "from-"+host)
	})
}
