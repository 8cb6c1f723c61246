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

// Client sends HTTP requests to one control listener. It keeps connections open between requests and is safe for
// concurrent use.
type Client struct {
	http *http.Client
	base string
}

// The limits of a client's connections and requests.
const (
	maxClientConns        = 4
	dialTimeout           = 5 * time.Second
	handshakeTimeout      = 5 * time.Second
	responseHeaderTimeout = 30 * time.Second
	maxResponseBytes      = 4 << 20 // an instance with thousands of hosts has a long status
)

// Dial returns a client for an address: "unix:PATH", or host and port with a TLS configuration. The client connects
// when it sends its first request.
func Dial(addr string, cfg *tls.Config) (*Client, error) {
	transport := &http.Transport{
		MaxConnsPerHost:       maxClientConns,
		MaxIdleConnsPerHost:   1,
		IdleConnTimeout:       idleTimeout / 2,
		TLSClientConfig:       cfg,
		TLSHandshakeTimeout:   handshakeTimeout,
		ResponseHeaderTimeout: responseHeaderTimeout,
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	if path, ok := strings.CutPrefix(addr, "unix:"); ok {
		transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			return dialer.DialContext(ctx, "unix", path)
		}
		return &Client{&http.Client{Transport: transport}, "http://local"}, nil
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return nil, fmt.Errorf("invalid address %q: want unix:PATH or host:port", addr)
	}
	if cfg == nil {
		return nil, fmt.Errorf("%s: missing certificate for a remote address", addr)
	}
	transport.DialContext = dialer.DialContext
	return &Client{&http.Client{Transport: transport}, "https://" + addr}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status requests the instance's status.
func (c *Client) Status(ctx context.Context) (status Status, err error) {
	err = c.Call(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// Do sends a command and returns the instance's response.
func (c *Client) Do(ctx context.Context, command Command) (response Response, err error) {
	err = c.Call(ctx, http.MethodPost, "/v1/command", command, &response)
	return response, err
}

// RemoteError is an error response: the server received the request and reported an error.
type RemoteError struct {
	Code int // HTTP status code
	Text string
}

func (e *RemoteError) Error() string { return e.Text }

// Call sends one request with in as its JSON body, or without a body if in is nil, and decodes the response into out.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	body, err := c.open(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	switch {
	case err != nil:
		return fmt.Errorf("read response: %w", err)
	case len(text) > maxResponseBytes:
		return fmt.Errorf("response is larger than %d bytes", maxResponseBytes)
	}
	if err := json.Unmarshal(text, out); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// Stream calls handle for each JSON value of a streamed response, until handle returns false or the stream ends.
func (c *Client) Stream(ctx context.Context, path string, handle func(line []byte) bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, err := c.open(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer body.Close()
	decoder := json.NewDecoder(body)
	for {
		var line json.RawMessage
		err := decoder.Decode(&line)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if !handle(line) {
			return nil
		}
	}
}

// open sends a request and returns the body of the response. A status other than 200 is a RemoteError.
func (c *Client) open(ctx context.Context, method, path string, in any) (io.ReadCloser, error) {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response.Body, nil
	}
	defer response.Body.Close()
	return nil, readRemoteError(response)
}

func readRemoteError(response *http.Response) *RemoteError {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxCommandBytes))
	var body errorBody
	if json.Unmarshal(text, &body) != nil || body.Error == "" {
		body.Error = response.Status
	}
	return &RemoteError{Code: response.StatusCode, Text: body.Error}
}
