package multiprocess

import (
	"context"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/hotrestart"
	"onyxstream/internal/node"
	"onyxstream/internal/proxy"
)

const (
	// acceptInterval is how often a process checks for offered connections while another process runs. The clients of
	// offered connections wait until the offer is accepted or withdrawn.
	acceptInterval = 5 * time.Millisecond
	// maxFailedOffers is the number of failed offers after which a process stops the hand-off if no connection was
	// accepted so far. The system may not allow one process to copy the sockets of another.
	maxFailedOffers = 2
	// handOffRetryInterval is the wait after a failed offer, and while no connection is established yet.
	handOffRetryInterval = 20 * time.Millisecond
)

// HandOff offers the established connections to the successor until the deadline, or until hasClients reports that no
// client is left whose connection is established or may still become established. Connections that are left after it
// were not accepted by the successor.
func (c *Coordinator) HandOff(deadline time.Time, hasClients func() bool) {
	handedOff, failedOffers := 0, 0
	baselines := c.pingBaselines()
	for time.Now().Before(deadline) && hasClients() && c.SuccessorReady() {
		connections, release := c.proxy.Quiesce(hotrestart.MaxOffered)
		if len(connections) == 0 {
			time.Sleep(handOffRetryInterval) // requests in flight may still become established
			continue
		}
		accepted, err := c.exchange.Load().Offer(offeredConns(connections), baselines)
		if err != nil {
			c.log.Warn("connection handoff failed", zap.Error(err))
		}
		count := 0
		for i, done := range release {
			done(accepted[i])
			if accepted[i] {
				count++
			}
		}
		handedOff += count
		if count > 0 {
			continue
		}
		time.Sleep(handOffRetryInterval)
		failedOffers++
		if failedOffers >= maxFailedOffers && handedOff == 0 {
			break
		}
	}
	c.log.Info("connections handed off",
		zap.Int("handed_off", handedOff), zap.Int64("established", c.node.EstablishedConnections()))
}

func (c *Coordinator) pingBaselines() (baselines []hotrestart.PingBaseline) {
	for _, baseline := range c.node.PingBaselines() {
		baselines = append(baselines, hotrestart.PingBaseline{
			Host:        string(baseline.Host),
			StartedAtMS: baseline.StartedAtMS,
			BestPing:    baseline.BestPing,
		})
	}
	return baselines
}

// offeredConns describes connections of this process for an offer. A connection that has been closed in the meantime
// has no valid descriptor, so no process accepts it.
func offeredConns(connections []proxy.EstablishedConn) (offered []hotrestart.OfferedConn) {
	for _, connection := range connections {
		client, _ := hotrestart.SocketOf(connection.Client)
		host, _ := hotrestart.SocketOf(connection.HostConn)
		offered = append(offered, hotrestart.OfferedConn{
			Line:       connection.Line,
			Host:       connection.Host,
			Client:     client,
			HostSocket: host,
			Partial:    connection.Partial,
			Load:       connection.Load,
		})
	}
	return offered
}

// AcceptConnections accepts the connections that other processes offer, until this process shuts down or the context
// ends.
func (c *Coordinator) AcceptConnections(ctx context.Context) {
	if c.cfg.Folder == "" {
		return
	}
	failed := false
	for ctx.Err() == nil {
		wait := syncInterval
		if c.store.Load() != nil && !c.soleProcess.Load() && !c.shuttingDown.Load() {
			wait = acceptInterval
			connections, baselines, err := c.exchange.Load().Accept()
			if err != nil && !failed {
				c.log.Warn("accepting offered connections failed", zap.Error(err))
			}
			failed = err != nil
			c.mergePingBaselines(baselines)
			c.resumeConnections(connections)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (c *Coordinator) mergePingBaselines(offered []hotrestart.PingBaseline) {
	if len(offered) == 0 {
		return
	}
	baselines := make([]node.PingBaseline, 0, len(offered))
	for _, baseline := range offered {
		baselines = append(baselines, node.PingBaseline{
			Host:        balancer.ServerID(baseline.Host),
			StartedAtMS: baseline.StartedAtMS,
			BestPing:    baseline.BestPing,
		})
	}
	c.node.MergePingBaselines(baselines)
}

func (c *Coordinator) resumeConnections(connections []hotrestart.AcceptedConn) {
	for _, connection := range connections {
		err := c.proxy.Adopt(proxy.EstablishedConn{
			Line:     connection.Line,
			Host:     connection.Host,
			Client:   connection.ClientConn,
			HostConn: connection.HostConn,
			Partial:  connection.Partial,
			Load:     connection.Load,
		})
		if err != nil {
			c.log.Error("accepted connection could not be resumed, client migrated", zap.Error(err))
		}
	}
}
