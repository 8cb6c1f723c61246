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
	// peerLongPoll is how long a peer that has nothing newer may hold a call; peerCallTimeout is when the call is
	// given up.
	peerLongPoll    = 2 * time.Second
	peerCallTimeout = 4 * time.Second

	// The backoff after a call that failed or brought nothing; it doubles, with jitter.
	minPeerBackoff = 50 * time.Millisecond
	maxPeerBackoff = 2 * time.Second
	// maxPeerBackoffUnconfirmed bounds it while the node has no list that the service or a peer confirmed.
	maxPeerBackoffUnconfirmed = maxPeerBackoff / 4
)

// peerPoller polls peers for their endpoint list, one at a time.
type peerPoller struct {
	options *nodeconfig.ColdStart
	node    *node.Node
	rng     *rand.Rand
	log     *zap.Logger
}

// run polls until the context ends. A peer that has a newer list is polled again; after one that has none, or fails,
// the next peer is drawn at random.
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

// openKeys opens the client certificate; nil where none is configured. It retries while the system lacks resources.
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

// pollPeer polls a peer for as long as that brings newer lists; succeeded tells whether one call did.
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
	for ctx.Err() == nil && p.requestList(ctx, client, peer.Addr) {
		succeeded = true
	}
	return succeeded, nil
}

// requestList makes one call to a peer; it returns false where the node gained nothing by it.
func (p *peerPoller) requestList(ctx context.Context, client *control.Client, address string) bool {
	service := p.node.DiscoveryName()
	revision, age, unreachable := p.cachedList(service)
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	list, receivedAt, err := client.List(ctx, service, revision, age, peerLongPoll, unreachable)
	var remote *control.RemoteError
	switch {
	case err == nil:
	case errors.As(err, &remote) && remote.Code == http.StatusNotFound:
		p.node.PeerContacted() // it runs, but has no list
		return false
	default:
		p.log.Debug("peer endpoint list request failed", zap.String("peer", address), zap.Error(err))
		return false
	}
	received := node.PeerList{
		Offer: coldstart.Offer{Service: list.Service, Revision: list.Revision, Age: list.Age},
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

// cachedList returns what a peer needs to know of the list that the node has from a service: its revision, -1 for
// none, its age, and the hosts found unreachable, nil where the node does not look for them.
func (p *peerPoller) cachedList(service string) (revision int64, age time.Duration, unreachable *[]string) {
	cached := p.node.CachedList()
	if cached == nil || cached.Service != service {
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
