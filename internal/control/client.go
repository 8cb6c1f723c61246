package control

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Client speaks to one control listener. Its connection is kept between calls.
type Client struct {
	http *http.Client
	base string
}

// mostAnswer bounds what is read of an answer: an instance with thousands of hosts has a long status.
const mostAnswer = 4 << 20

// Dial makes a client for an address: "unix:PATH", or host and port with a TLS configuration. It connects with the
// first call.
func Dial(addr string, cfg *tls.Config) (*Client, error) {
	t := &http.Transport{MaxConnsPerHost: 4, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleFor / 2, TLSClientConfig: cfg,
		TLSHandshakeTimeout: 5 * time.Second, ResponseHeaderTimeout: 30 * time.Second}
	dialer := &net.Dialer{Timeout: 5 * time.Second}
	if path, ok := strings.CutPrefix(addr, "unix:"); ok {
		t.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { return dialer.DialContext(ctx, "unix", path) }
		return &Client{&http.Client{Transport: t}, "http://local"}, nil
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return nil, fmt.Errorf("%q is neither unix:PATH nor host and port", addr)
	}
	if cfg == nil {
		return nil, fmt.Errorf("%s: a remote address needs a certificate", addr)
	}
	t.DialContext = dialer.DialContext
	return &Client{&http.Client{Transport: t}, "https://" + addr}, nil
}

// Close drops the connections that are kept.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status asks how the instance is.
func (c *Client) Status(ctx context.Context) (s Status, err error) {
	return s, c.Call(ctx, http.MethodGet, "/v1/status", nil, &s)
}

// Do gives a command.
func (c *Client) Do(ctx context.Context, cmd Command) (a Answer, err error) {
	return a, c.Call(ctx, http.MethodPost, "/v1/command", cmd, &a)
}

// RemoteError is a refusal that the other side gave a reason for; the call itself went through.
type RemoteError struct {
	Code int
	Text string
}

func (e *RemoteError) Error() string { return e.Text }

// Call makes one call and reads its answer.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	body, err := c.open(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, mostAnswer+1))
	switch {
	case err != nil:
		return fmt.Errorf("the answer broke off: %w", err)
	case len(text) > mostAnswer:
		return fmt.Errorf("the answer is over %d bytes", mostAnswer)
	}
	if err := json.Unmarshal(text, out); err != nil {
		return fmt.Errorf("the answer can't be read: %w", err)
	}
	return nil
}

// Stream reads lines of an answer that stays open, and gives each to f until that says no more.
func (c *Client) Stream(ctx context.Context, path string, f func(line []byte) bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, err := c.open(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer body.Close()
	dec := json.NewDecoder(body)
	for {
		var line json.RawMessage
		if err := dec.Decode(&line); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if !f(line) {
			return nil
		}
	}
}

func (c *Client) open(ctx context.Context, method, path string, in any) (io.ReadCloser, error) {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(text)
	}
	q, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(q)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp.Body, nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, mostBody))
	var e struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(text, &e) != nil || e.Error == "" {
		e.Error = resp.Status
	}
	return nil, &RemoteError{resp.StatusCode, e.Error}
}
