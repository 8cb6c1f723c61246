package proxy

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

// What discovery has counts as told toldWithin after it had it and could be reached, whatever failed before. A watch that
// falls silent is given up after beatWait; a call that is under way as discovery comes back may be lost, and is given up
// after callWait. From there the next call is made within balancer.MaxRepollDelay, or node.MaxRewatchDelay where the list need not be
// asked for, and what is left of toldWithin is for its answer.
const (
	toldWithin = 6 * time.Second
	callWait   = 3 * time.Second         // for the first answer of a watch, from the start of its dial
	listWait   = 1500 * time.Millisecond // for the whole list, first: a discovery that was just named is to be told of soon
	beatWait   = 3 * time.Second         // a beat of 2 s and half of one: a watch that brings nothing whole for longer is broken
)

// Discovery follows the list of hosts.
type Discovery struct {
	log  *zap.Logger
	node *node.Node
	asks chan node.ListRequest
	slow atomic.Bool // the last call for the whole list was given up: the next one waits for longer
}

// NewDiscovery makes a follower of discovery. Attach must follow before Run.
func NewDiscovery(log *zap.Logger) *Discovery {
	return &Discovery{log: log, asks: make(chan node.ListRequest, 1)}
}

// Attach names the node that is told.
func (y *Discovery) Attach(n *node.Node) { y.node = n }

// Watch makes a call. It does not block: a newer one takes the place of one that has not been looked at.
func (y *Discovery) Watch(q node.ListRequest) {
	for {
		select {
		case y.asks <- q:
			return
		default:
		}
		select {
		case <-y.asks:
		default:
		}
	}
}

// call is a call under way.
type call struct {
	node.ListRequest
	cancel context.CancelFunc
	over   chan struct{} // closed when it has ended
	told   atomic.Bool   // it has brought its first list
	prev   *call         // goes on until then, so that no news is missed between the two
}

// end ends a call and waits for it, so that its news can't come behind those of the next one.
func (c *call) end() {
	if c != nil {
		c.cancel()
		<-c.over
	}
}

// Run makes the calls until the context ends. A new call ends the one before once it has brought its first list. The
// end of a call is told as a failure unless this node ended it.
func (y *Discovery) Run(ctx context.Context) error {
	var now *call
	for {
		select {
		case <-ctx.Done():
			if now != nil {
				now.end()
				now.prev.end()
			}
			return nil
		case q := <-y.asks:
			prev := now
			if now != nil && !now.told.Load() {
				if now.end(); !now.told.Load() {
					prev = now.prev
				}
			}
			y.log.Debug("discovery is asked", zap.Int64("after", q.AfterRevision))
			now = &call{ListRequest: q, over: make(chan struct{}), prev: prev}
			var on context.Context
			on, now.cancel = context.WithCancel(ctx)
			go func(c *call) {
				defer close(c.over)
				err := y.follow(on, c)
				if on.Err() == nil {
					y.log.Info("the watch of the list ended", zap.String("discovery", c.Addr), zap.Error(err))
					var refused *wire.StatusError
					if errors.As(err, &refused) {
						y.node.WatchFailed(c.Sequence, refused.RetryAfter)
						return
					}
					y.node.WatchFailed(c.Sequence, 0)
				}
			}(now)
		}
	}
}

// tell hands over what a call brought. With its first list the call before it ends.
func (y *Discovery) tell(c *call, list *wire.EndpointList) {
	if !c.told.Load() {
		c.prev.end()
		c.prev = nil
		c.told.Store(true)
	}
	y.log.Debug("news of the list", zap.Int64("revision", list.Revision), zap.Int("members", len(list.Endpoints)),
		zap.Bool("whole", list.Complete))
	y.node.ListReceived(c.Sequence, list)
}

func (y *Discovery) follow(ctx context.Context, c *call) (err error) {
	defer func() {
		if p := recover(); p != nil {
			y.log.Error("following the list failed badly", zap.Any("panic", p))
			err = errors.New("panic")
		}
	}()
	after := c.AfterRevision
	if after == node.NoRevision {
		list, err := y.whole(ctx, c.Addr)
		if err != nil {
			return err
		}
		after = list.Revision
		y.tell(c, &list)
	}
	return y.watch(ctx, c, after)
}

// dial opens a connection to discovery, on which all is to be over after wait, the dial counted in; done closes it.
func dial(ctx context.Context, addr string, wait time.Duration) (c *net.TCPConn, done func(), err error) {
	by := time.Now().Add(wait)
	dialer := net.Dialer{Deadline: by, KeepAlive: -1}
	any, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	c = any.(*net.TCPConn)
	_ = c.SetDeadline(by)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(past) })
	return c, func() { stop(); _ = c.Close() }, nil
}

// whole asks for the whole list.
func (y *Discovery) whole(ctx context.Context, addr string) (list wire.EndpointList, err error) {
	wait := listWait
	if y.slow.Load() {
		wait = callWait
	}
	defer func() { y.slow.Store(err != nil && timedOut(err)) }()
	c, done, err := dial(ctx, addr, wait)
	if err != nil {
		return list, err
	}
	defer done()
	if _, err := c.Write(wire.ListRequest(addr)); err != nil {
		return list, err
	}
	buf := wire.GetBuffer()
	defer buf.Release()
	var s wire.WatchStream
	for !s.Ended() {
		n, err := c.Read(buf[:])
		if err := s.Feed(buf[:n]); err != nil {
			return list, err
		}
		if err != nil && !s.Closed() {
			return list, err
		}
	}
	list, err = wire.ParseEndpointList(s.Body())
	list.Complete = true
	return list, err
}

// watch follows the changes after a version.
func (y *Discovery) watch(ctx context.Context, call *call, after int64) error {
	c, done, err := dial(ctx, call.Addr, callWait)
	if err != nil {
		return err
	}
	defer done()
	if _, err := c.Write(wire.WatchRequest(call.Addr, after)); err != nil {
		return err
	}
	buf := wire.GetBuffer()
	defer buf.Release()
	var s wire.WatchStream
	for {
		n, err := c.Read(buf[:])
		if n == 0 && err != nil && timedOut(err) && ctx.Err() == nil {
			n, err = awaited(c, buf[:], err)
		}
		if err := s.Feed(buf[:n]); err != nil {
			return err
		}
		whole, wrong := y.news(call, &s)
		switch {
		case wrong != nil:
			return wrong
		case s.Ended():
			return errors.New("discovery ended it")
		case err != nil:
			return err
		case whole && call.told.Load(): // parts of what never ends are no sign of life
			err = extend(ctx, c, beatWait)
		default:
			err = ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// extend gives a watch more time, unless its context has ended. That is looked at last: an end that came just before has
// set a deadline that this one takes the place of, and the next call would wait for this one until the next beat.
func extend(ctx context.Context, c net.Conn, by time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(by))
	return ctx.Err()
}

// news takes what has come whole, and reports whether anything has.
func (y *Discovery) news(call *call, s *wire.WatchStream) (whole bool, err error) {
	for line, ok := s.Next(); ok; line, ok = s.Next() {
		whole = true
		if len(line) == 0 {
			y.node.Heartbeat(call.Sequence)
			continue
		}
		list, err := wire.ParseEndpointList(line)
		if err != nil {
			return whole, err
		}
		y.tell(call, &list)
	}
	return whole, nil
}

// awaited reads what has come of a watch whose time is up: where this node stood still itself, the watch did not.
func awaited(c *net.TCPConn, into []byte, late error) (int, error) {
	n, err := arrived(c, into)
	if n == 0 && err == nil {
		err = late
	}
	return n, err
}
