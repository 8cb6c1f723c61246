package lifecycle

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/coldstart"
	"onyxstream/internal/control"
	"onyxstream/internal/ctxtime"
	"onyxstream/internal/node"
	"onyxstream/internal/nodeconfig"
	"onyxstream/internal/pki"
)

const (
	// peerLongPoll is how long a peer without a newer list may delay its response. peerRequestTimeout is the timeout of
	// the whole request to the peer.
	peerLongPoll       = 2 * time.Second
	peerRequestTimeout = 4 * time.Second

	// Limits of the backoff, with jitter, after a request to a peer that failed or returned no newer list. The backoff
	// doubles each time.
	minPeerBackoff = 50 * time.Millisecond
	maxPeerBackoff = 2 * time.Second
	// maxPeerBackoffUnconfirmed limits the backoff while neither discovery nor a peer has confirmed the node's list.
	maxPeerBackoffUnconfirmed = maxPeerBackoff / 4
)

// peerPoller polls peers for a newer endpoint list, one peer at a time.
type peerPoller struct {
	options *nodeconfig.ColdStart
	node    *node.Node
	rng     *rand.Rand
	log     *zap.Logger
}

// run polls peers until the context ends. It polls a peer again as long as the peer returns newer lists. When a request
// fails or returns no newer list, run picks the next peer at random after a backoff.
func (p *peerPoller) run(ctx context.Context) error {
	keys, err := p.openKeys(ctx)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return fmt.Errorf("coldstart: %w", err)
	}
	backoff := minPeerBackoff
	for ctx.Err() == nil {
		peer := p.options.Peers[p.rng.IntN(len(p.options.Peers))]
		succeeded, err := p.pollPeer(ctx, peer, keys)
		if err != nil {
			return fmt.Errorf("coldstart: %w", err)
		}
		if succeeded {
			backoff = minPeerBackoff
		}
		jitter := time.Duration(p.rng.Float64() * float64(backoff))
		if !ctxtime.Sleep(ctx, backoff/2+jitter) {
			return nil
		}
		backoff = min(2*backoff, p.maxBackoff())
	}
	return nil
}

// openKeys opens the client certificate. It returns nil if none is configured, and retries while the system lacks
// resources.
func (p *peerPoller) openKeys(ctx context.Context) (*pki.KeyStore, error) {
	if p.options.Keys == nil {
		return nil, nil
	}
	return retryWhileExhausted(ctx, p.log, func() (*pki.KeyStore, error) { return openKeys(*p.options.Keys, p.log) })
}

func (p *peerPoller) maxBackoff() time.Duration {
	cached := p.node.CachedList()
	if cached == nil || cached.AssumedStart {
		return maxPeerBackoffUnconfirmed
	}
	return maxPeerBackoff
}

// pollPeer polls a peer as long as each request returns a newer list. succeeded reports whether any request did.
func (p *peerPoller) pollPeer(ctx context.Context, peer nodeconfig.Peer, keys *pki.KeyStore) (succeeded bool, err error) {
	var tlsConfig *tls.Config
	if keys != nil {
		tlsConfig = keys.ClientConfig(peer.Name)
	}
	client, err := control.Dial(peer.Addr, tlsConfig)
	if err != nil {
		return false, err
	}
	defer client.Close()
	for ctx.Err() == nil && p.fetchList(ctx, client, peer.Addr) {
		succeeded = true
	}
	return succeeded, nil
}

// fetchList requests the endpoint list of a peer and passes it to the node. It returns false if the request failed or
// the node did not use the list.
func (p *peerPoller) fetchList(ctx context.Context, client *control.Client, address string) bool {
	discoveryName := p.node.DiscoveryName()
	revision, age, unreachable := p.cachedList(discoveryName)
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	list, receivedAt, err := client.List(ctx, discoveryName, revision, age, peerLongPoll, unreachable)
	var remote *control.RemoteError
	switch {
	case err == nil:
	case errors.As(err, &remote) && remote.Code == http.StatusNotFound:
		p.node.PeerContacted() // the peer is up, but has no list
		return false
	default:
		p.log.Debug("fetching endpoint list from peer failed", zap.String("peer", address), zap.Error(err))
		return false
	}
	received := node.PeerList{
		Offer: coldstart.Offer{DiscoveryName: list.DiscoveryName, Revision: list.Revision, Age: list.Age},
		List:  list.List,
		Peer:  address,
		At:    receivedAt,
	}
	for _, host := range list.Unreachable {
		foundAt := receivedAt.Add(-max(host.Age, 0))
		received.Unreachable = append(received.Unreachable, node.UnreachableHost{ID: host.ID, FoundAt: foundAt})
	}
	return p.node.ReceivePeerList(received)
}

// cachedList describes this node's list of a discovery service for a request to a peer: the list's revision, -1 if the
// node has none; its age; and the hosts that the node found unreachable, nil if the list was confirmed since the node
// started.
func (p *peerPoller) cachedList(discoveryName string) (revision int64, age time.Duration, unreachable *[]string) {
	cached := p.node.CachedList()
	if cached == nil || cached.DiscoveryName != discoveryName {
		return -1, 0, nil
	}
	if cached.AssumedStart {
		unreachable = &[]string{}
		for _, host := range cached.Unreachable {
			*unreachable = append(*unreachable, host.ID)
		}
	}
	return cached.List.Revision, max(time.Since(cached.Confirmed), 0), unreachable
}
