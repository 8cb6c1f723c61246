package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// List requests an instance's endpoint list of a discovery service. The instance responds when its list has a higher
// revision than the given one, or after timeout at the latest. If the revisions are the same, it responds earlier if its
// list was confirmed more recently than age ago, or comes with an unreachable host that is not in unreachable (nil
// ignores unreachable hosts).
//
// validAt is the earliest time at which the instance can have sent the response. The age of the list counts from
// validAt. Otherwise, a list whose response waited in a socket buffer would seem more recent than it is.
func (c *Client) List(
	ctx context.Context, discoveryName string, revision int64, age, timeout time.Duration, unreachable *[]string,
) (list PeerList, validAt time.Time, err error) {
	start := time.Now()
	path := fmt.Sprintf("/v1/list?service=%s&after=%d&age_ms=%d&within_ms=%d", url.QueryEscape(discoveryName), revision,
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

// check returns an error if the response is invalid, or inconsistent with a request that took elapsed.
func (p *PeerList) check(elapsed time.Duration) error {
	if p.Age < 0 || p.Waited < 0 || p.Waited > elapsed {
		return errors.New("age or waiting time is out of range")
	}
	if len(p.Unreachable) > maxUnreachable {
		return fmt.Errorf("more than %d unreachable hosts", maxUnreachable)
	}
	if p.List == nil {
		return nil
	}
	if err := p.List.Check(); err != nil {
		return fmt.Errorf("invalid peer list: %w", err)
	}
	return nil
}
