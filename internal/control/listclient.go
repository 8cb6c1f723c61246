package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// List polls an instance for its endpoint list of a service. It is answered once the instance's list has a higher
// revision than the one given, was confirmed more recently than age ago, or has other unreachable hosts than those
// given (nil where they don't matter), and after timeout at the latest.
//
// validAt is the earliest time at which the answer can have been true, so that an answer that lay unread is not taken
// for younger than it is.
func (c *Client) List(
	ctx context.Context, service string, revision int64, age, timeout time.Duration, unreachable *[]string,
) (list PeerList, validAt time.Time, err error) {
	start := time.Now()
	path := fmt.Sprintf("/v1/list?service=%s&after=%d&age_ms=%d&within_ms=%d", url.QueryEscape(service), revision,
		min(age, maxDuration).Milliseconds(), timeout.Milliseconds())
	method := http.MethodGet
	var body any
	if unreachable != nil {
		method = http.MethodPost
		body = knownUnreachable{(*unreachable)[:min(len(*unreachable), maxUnreachable)]}
	}
	if err := c.Call(ctx, method, path, body, &list); err != nil {
		return list, start, err
	}
	if err := list.check(time.Since(start)); err != nil {
		return list, start, err
	}
	if list.List != nil {
		list.List.Complete = true
		list.List.Revision = list.Revision
	}
	return list, start.Add(list.Waited), nil
}

// check returns an error for an answer that can't be true of a call that took elapsed.
func (p *PeerList) check(elapsed time.Duration) error {
	if p.Age < 0 || p.Waited < 0 || p.Waited > elapsed {
		return errors.New("the answer's times can't be true")
	}
	if len(p.Unreachable) > maxUnreachable {
		return fmt.Errorf("the answer has over %d unreachable hosts", maxUnreachable)
	}
	if p.List == nil {
		return nil
	}
	if err := p.List.Check(); err != nil {
		return fmt.Errorf("the peer's list: %w", err)
	}
	return nil
}
