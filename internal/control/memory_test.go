package control

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// postUnreachable sends the head of a POST to /v1/list and the given part of its body, on a connection of its own.
func postUnreachable(t *testing.T, path string, length int, part string) net.Conn {
	t.Helper()
	conn, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	head := "POST /v1/list?service=s&after=4&age_ms=0&within_ms=50 HTTP/1.1\r\nHost: n1\r\nContent-Length: %d\r\n\r\n%s"
	if _, err := fmt.Fprintf(conn, head, length, part); err != nil {
		t.Fatal(err)
	}
	return conn
}

func readStatus(t *testing.T, conn net.Conn) int {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(2 * bodyTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Many requesters that stop in the middle of a large body must not take more memory than the budget allows, and must
// not keep short commands from being served after they have ended.
func TestBodies_ManyIncomplete_RejectedAtBudget(t *testing.T) {
	instance := newFakeListInstance()
	path, c := startServer(t, instance)
	instance.setList("s", 4, time.Minute)
	const size = maxPeerListRequestBytes / 2
	var incomplete []net.Conn
	for range maxPendingBodyBytes / size {
		incomplete = append(incomplete, postUnreachable(t, path, size, `{"dead":[`))
	}
	time.Sleep(50 * time.Millisecond)
	if status := readStatus(t, postUnreachable(t, path, size, "")); status != http.StatusServiceUnavailable {
		t.Errorf("request over the budget: status %d, want 503", status)
	}
	for _, conn := range incomplete {
		_ = conn.Close()
	}
	known := []string{"h1"}
	for deadline := time.Now().Add(2 * bodyTimeout); ; time.Sleep(10 * time.Millisecond) {
		_, _, err := c.List(t.Context(), "s", 4, 0, 50*time.Millisecond, &known)
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("request after the incomplete ones have ended: %v, want a response", err)
		}
	}
}

// A body with a great many short strings takes a multiple of its length when it is decoded, so it must be rejected before.
func TestPeerListBody_ManyShortIDs_Rejected(t *testing.T) {
	instance := newFakeListInstance()
	path, _ := startServer(t, instance)
	instance.setList("s", 4, time.Minute)
	ids := strings.TrimSuffix(strings.Repeat(`"a",`, maxUnreachable+1), ",")
	body := `{"dead":[` + ids + `]}`
	if status := readStatus(t, postUnreachable(t, path, len(body), body)); status != http.StatusBadRequest {
		t.Errorf("%d ids: status %d, want 400", maxUnreachable+1, status)
	}
}

// A header with as many short fields as the old limit of 16 KiB allowed took 400 KB.
func TestHeader_ManyShortFields_Rejected(t *testing.T) {
	path, _ := startServer(t, newFakeListInstance())
	conn, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var head strings.Builder
	head.WriteString("GET /v1/status HTTP/1.1\r\nHost: n1\r\n")
	for i := 0; head.Len() < 8<<10; i++ {
		fmt.Fprintf(&head, "%x:\r\n", i)
	}
	_, _ = io.WriteString(conn, head.String())
	if status := readStatus(t, conn); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d, want 431", status)
	}
}
