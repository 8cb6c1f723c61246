package loadtest

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// The recorder relays all connections of clients, and records each request with its class, tenant, group, lifetime and
// message interval. It does not record health checks.
func TestTraceRecorder_RelayedRequests_Recorded(t *testing.T) {
	addr := startServer(t, func(_ string, c *net.TCPConn, r *bufio.Reader) { establishAndEcho(c, r) })
	path := t.TempDir() + "/t.csv"
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ready, done := make(chan string, 1), make(chan error, 1)
	go func() {
		_, err := RecordLive(ctx, "127.0.0.1:0", addr, path, func(a string) { ready <- a })
		done <- err
	}()
	s := scenario(t, "[groups]\ncount = 3\n", `life = "300ms"`, "life = \"200ms\"\nspread = \"fixed\"\nmessage = \"50ms\"")
	s.Limits.Linger = 5e9
	want := readAll(t, NewSchedule(s))
	recorderAddress := <-ready
	if n := runScenario(t, t.Context(), s, recorderAddress, nil).Classes[0].Outcomes["served"]; n != int64(len(want)) {
		t.Errorf("%d requests served through the recorder, want all of them", n)
	}
	if c, err := net.Dial("tcp", recorderAddress); err == nil { // PING is relayed but not recorded
		_, _ = io.WriteString(c, "PING\r\n")
		_ = c.Close()
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	tr, err := OpenTrace(path, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer tr.Close()
	got := readAll(t, tr)
	if len(got) != len(want) {
		t.Fatalf("%d requests recorded, want %d", len(got), len(want))
	}
	byKey := map[string]Request{}
	for _, r := range want {
		byKey[r.Key] = r
	}
	for _, r := range got {
		w := byKey[r.Key]
		if r.Class != w.Class || r.Group != w.Group || r.Tenant != w.Tenant || r.Lifetime < 200*time.Millisecond || r.MessageInterval <= 0 {
			t.Errorf("request recorded as %+v, sent as %+v", r, w)
		}
	}
}
