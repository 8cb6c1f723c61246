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
	"time"

	"onyxstream/internal/ctxtime"
	"onyxstream/internal/fakeserver"
)

const (
	// clientPrefix is the prefix of the source of a client's events.
	clientPrefix = "c-"
	// maxConnectedFor bounds how long a client keeps an established connection.
	maxConnectedFor = 2 * time.Second
)

// clientTimeouts are the possible timeouts of a client's request. Some are shorter than the hang of a host, others are
// longer than the graceful shutdown of a node.
var clientTimeouts = [...]time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 5 * time.Second}

// rollingClient is one client of a rolling restart.
type rollingClient struct {
	id           string
	timeout      time.Duration // timeout of its request
	connectedFor time.Duration // how long it keeps an established connection
	splitOpening bool          // the opening line is sent in two parts
	retry        bool          // the opening line is marked as a retry
}

// drawClient returns a client with random properties.
func drawClient(rng *rand.Rand) rollingClient {
	var client rollingClient
	client.timeout = clientTimeouts[rng.IntN(len(clientTimeouts))]
	client.id = fmt.Sprintf("%016x", rng.Uint64())
	client.connectedFor = time.Duration(rng.Int64N(int64(maxConnectedFor)))
	client.splitOpening = rng.IntN(5) == 0
	client.retry = rng.IntN(2) == 0
	return client
}

// runRollingClient sends a client's request to a node and records each complete line that it receives until the
// connection ends. A request that could not be sent completely is not recorded.
func (c *Cluster) runRollingClient(ctx context.Context, node int, client rollingClient) {
	connection, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.nodes[node].addr)
	if err != nil {
		return // a node that is not running accepts no request
	}
	defer connection.Close()
	if !c.writeOpening(ctx, connection, client) {
		return
	}
	record := func(kind, detail string) {
		c.EventLog.Add(fakeserver.Event{Source: clientPrefix + c.nodes[node].name, Kind: kind, ID: client.id, Detail: detail})
	}
	record(fakeserver.EventRequested, client.timeout.String())
	client.readAnswers(connection, record)
}

// writeOpening sends the opening line and reports whether it was sent completely.
func (c *Cluster) writeOpening(ctx context.Context, connection net.Conn, client rollingClient) bool {
	line := fmt.Sprintf("OPEN %s key%s c=%s,t=%s,d=%d",
		client.id, client.id, c.options.Classes[0].Name, c.options.Tenants[0], client.timeout.Milliseconds())
	if client.retry {
		line += ",r=1"
	}
	line += "\r\n"
	if client.splitOpening {
		half := len(line) / 2
		if _, err := io.WriteString(connection, line[:half]); err != nil {
			return false
		}
		if !ctxtime.Sleep(ctx, client.connectedFor/10) {
			return false
		}
		line = line[half:]
	}
	_, err := io.WriteString(connection, line)
	return err == nil
}

// readAnswers records each complete line, and how the connection ends: by MOVE, by the client after connectedFor, or by
// the node.
func (client rollingClient) readAnswers(connection net.Conn, record func(kind, detail string)) {
	reader := bufio.NewReader(connection)
	_ = connection.SetReadDeadline(time.Now().Add(client.timeout + 2*answerGrace))
	established := false
	for {
		text, err := reader.ReadString('\n')
		if errors.Is(err, os.ErrDeadlineExceeded) {
			record(fakeserver.EventDisconnected, text)
			return
		}
		if err != nil {
			record(fakeserver.EventReset, err.Error()+text)
			return
		}
		if established && text == "MOVE\r\n" {
			record(fakeserver.EventMigrated, "")
			return
		}
		if text == "\r\n" {
			continue
		}
		record(fakeserver.EventReceived, strings.TrimRight(text, "\r\n"))
		if !established {
			established = strings.HasPrefix(text, "UP ")
			_ = connection.SetReadDeadline(time.Now().Add(client.connectedFor))
		}
	}
}
