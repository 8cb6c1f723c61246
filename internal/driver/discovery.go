package driver

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

const (
	callWait = 3 * time.Second         // for the first answer of a call
	beatWait = 4500 * time.Millisecond // two beats of 2 s and some: a watch silent for longer is broken
)

// Discovery follows the list of hosts.
type Discovery struct {
	addr string
	log  *zap.Logger
	node *node.Node
	asks chan int64 // versions to watch from
}

// NewDiscovery makes a follower of the discovery at an address. Attach must follow before Run.
func NewDiscovery(addr string, log *zap.Logger) *Discovery {
	return &Discovery{addr: addr, log: log, asks: make(chan int64, 1)}
}

// Attach names the node that is told.
func (y *Discovery) Attach(n *node.Node) { y.node = n }

// Watch asks for the changes after a version. It does not block: a newer question takes the place of
// one that has not been looked at.
func (y *Discovery) Watch(after int64) {
	for {
		select {
		case y.asks <- after:
			return
		default:
		}
		select {
		case <-y.asks:
		default:
		}
	}
}

// Run makes the calls until the context ends. A new question ends the watch that is on. The end of a
// call is told as a failure unless this node ended it.
func (y *Discovery) Run(ctx context.Context) error {
	var end context.CancelFunc = func() {}
	defer func() { end() }()
	var over chan struct{} // closed when the call under way has ended
	for {
		select {
		case <-ctx.Done():
			end()
			if over != nil {
				<-over
			}
			return nil
		case after := <-y.asks:
			end()
			if over != nil {
				<-over // so that its news can't come behind those of the new call
			}
			var call context.Context
			call, end = context.WithCancel(ctx)
			over = make(chan struct{})
			go func(over chan struct{}) {
				defer close(over)
				err := y.follow(call, after)
				if call.Err() == nil {
					y.log.Info("the watch of the list ended", zap.Error(err))
					y.node.WatchFailed()
				}
			}(over)
		}
	}
}

func (y *Discovery) follow(ctx context.Context, after int64) (err error) {
	defer func() {
		if p := recover(); p != nil {
			y.log.Error("following the list failed badly", zap.Any("panic", p))
			err = errors.New("panic")
		}
	}()
	dialer := net.Dialer{Timeout: callWait, KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp", y.addr)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { _ = c.SetDeadline(past) })()
	first := time.Now().Add(callWait)
	_ = c.SetDeadline(first)
	if _, err := c.Write(wire.WatchRequest(y.addr, after)); err != nil {
		return err
	}
	buf := wire.GetBuffer()
	defer buf.Free()
	var s wire.Stream
	told := false
	for {
		n, err := c.Read(buf[:])
		if err := s.Feed(buf[:n]); err != nil {
			return err
		}
		for line, ok := s.Next(); ok; line, ok = s.Next() {
			if len(line) == 0 {
				continue
			}
			list, err := wire.ParseCatalog(line)
			if err != nil {
				return err
			}
			told = true
			y.node.Listed(&list)
		}
		switch {
		case s.Ended():
			return errors.New("discovery ended it")
		case err != nil:
			return err
		case told:
			_ = c.SetReadDeadline(time.Now().Add(beatWait))
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}
