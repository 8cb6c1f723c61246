package control

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// A requester that sends requests at full speed on one connection took most of the processor, so that clients of the
// node got their answers late. It must be delayed, and other requesters must be served meanwhile.
func TestRequests_FloodOnOneConnection_Delayed(t *testing.T) {
	path, c := startServer(t, &fakeInstance{})
	conn, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const duration = time.Second
	start := time.Now()
	_ = conn.SetDeadline(start.Add(duration))
	go func() {
		requests := strings.Repeat("GET /v1/unknown HTTP/1.1\r\nHost: n1\r\n\r\n", 100)
		for err := error(nil); err == nil; {
			_, err = io.WriteString(conn, requests)
		}
	}()
	others := make(chan error, 1)
	go func() {
		var status Status
		for range 5 {
			if err := c.Call(t.Context(), "GET", "/v1/status", nil, &status); err != nil {
				others <- fmt.Errorf("request of another requester: %w", err)
				return
			}
		}
		others <- nil
	}()
	var responses bytes.Buffer
	_, _ = io.Copy(&responses, conn)
	served := bytes.Count(responses.Bytes(), []byte("HTTP/1.1 404"))
	allowed := requestBurst + int(maxRequestsPerSecond*time.Since(start).Seconds()) + 1
	if served == 0 || served > allowed {
		t.Errorf("%d requests processed, want some and at most %d", served, allowed)
	}
	if err := <-others; err != nil {
		t.Error(err)
	}
}

// When the server is closed, a connection with further requests must be ended: if its requests were answered without
// a delay, they could keep the process from ending.
func TestLimitRate_ContextEnded_ConnectionAborted(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	handler := LimitRate(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		t.Error("a request is processed after the server was closed")
	}))
	defer func() {
		if err, _ := recover().(error); !errors.Is(err, http.ErrAbortHandler) {
			t.Errorf("the handler ended with %v, want ErrAbortHandler", err)
		}
	}()
	request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/v1/status", nil)
	handler.ServeHTTP(httptest.NewRecorder(), request)
}
