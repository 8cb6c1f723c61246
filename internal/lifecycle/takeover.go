package lifecycle

import (
	"context"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/hotrestart"
	"onyxstream/internal/node"
	"onyxstream/internal/proxy"
)

// offerAt is how often a process looks for connections that another one offers, while there is another one: their
// clients wait for it.
const offerAt = 5 * time.Millisecond

// give hands the connections that stand to the process that takes over, until none is left or the time is up. Where the
// system does not let one process reach into another, it gives up at the second try.
func (s *shared) give(n *node.Node, by time.Time) {
	given, refused := 0, 0
	var facts []hotrestart.PingBaseline
	for _, f := range n.PingBaselines() {
		facts = append(facts, hotrestart.PingBaseline{Host: string(f.Host), StartedAtMS: f.StartedAtMS, BestPing: f.BestPing})
	}
	for time.Now().Before(by) && n.EstablishedConnections()+n.InFlightRequests() > 0 && s.ready() {
		standing, done := s.driver.Quiesce(hotrestart.MaxOffered)
		if len(standing) == 0 {
			time.Sleep(poll) // what is being brought up goes over once it stands
			continue
		}
		taken, err := s.exchange.Load().Offer(offers(standing), facts)
		if err != nil {
			s.log.Warn("connections are not taken over", zap.Error(err))
		}
		none := true
		for i, f := range done {
			f(taken[i])
			if none = none && !taken[i]; taken[i] {
				given++
			}
		}
		if none {
			time.Sleep(poll)
			if refused++; refused >= 2 && given == 0 {
				break
			}
		}
	}
	s.log.Info("connections were handed over", zap.Int("given", given), zap.Int64("left", n.EstablishedConnections()))
}

func offers(standing []proxy.EstablishedConn) (out []hotrestart.OfferedConn) {
	for _, c := range standing {
		o := hotrestart.OfferedConn{Line: c.Line, Host: c.Host, Partial: c.Partial, Load: c.Load}
		o.Client, _ = hotrestart.SocketOf(c.Client) // one that is closed meanwhile has no descriptor, and is not taken
		o.Peer, _ = hotrestart.SocketOf(c.Peer)
		out = append(out, o)
	}
	return out
}

// adopt takes up what other processes offer, until this one is told to stop.
func (s *shared) adopt(ctx context.Context) {
	if s.folder == "" {
		return
	}
	failed := false
	for ctx.Err() == nil {
		wait := lookAt
		if store := s.store(); store != nil && !s.alone.Load() && !s.ends.Load() {
			wait = offerAt
			all, facts, err := s.exchange.Load().Accept()
			if err != nil && !failed {
				s.log.Warn("connections of another process can't be taken over", zap.Error(err))
			}
			failed = err != nil
			if len(facts) > 0 {
				learnt := make([]node.PingBaseline, 0, len(facts))
				for _, f := range facts {
					learnt = append(learnt, node.PingBaseline{Host: balancer.ServerID(f.Host), StartedAtMS: f.StartedAtMS, BestPing: f.BestPing})
				}
				s.node.MergePingBaselines(learnt)
			}
			for _, t := range all {
				err := s.driver.Adopt(proxy.EstablishedConn{Line: t.Line, Host: t.Host, Client: t.ClientConn, Peer: t.PeerConn,
					Partial: t.Partial, Load: t.Load})
				if err != nil {
					s.log.Error("a connection that was taken over can't go on: its client is sent away", zap.Error(err))
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}
