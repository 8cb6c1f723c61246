package lifecycle

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/renameio/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"onyxstream/balancer"
	"onyxstream/internal/coldstart"
	"onyxstream/internal/control"
	"onyxstream/internal/ctxtime"
	"onyxstream/internal/node"
	"onyxstream/internal/pki"
	"onyxstream/internal/tomlfile"
	"onyxstream/internal/wire"
)

// ColdStart turns on how a node comes to its list of hosts where many start at once: calls to the list service are paced,
// and, where it is named, a lasting folder keeps the list and others pass it on.
type ColdStart struct {
	Service string     `toml:"service"` // the name that all nodes know the list service by; its address where it is missing
	Folder  string     `toml:"folder"`  // a lasting folder of this node's own; "" for none
	Peers   []Other    `toml:"peer"`    // other nodes that may have the list sooner
	Keys    *pki.Files `toml:"keys"`    // a certificate that may look, needed for those by host and port
}

// Other is another node's control listener.
type Other struct {
	Name string `toml:"name"` // as its certificate says; of no use on a Unix socket
	Addr string `toml:"addr"` // "unix:PATH", or host and port
}

const (
	mostPeers = 4096
	// pullers is how many others are asked at one time: one of them may be silent.
	pullers = 2
	// pullFor is how long a call waits at another node that has nothing newer, and pullWithin when it is given up.
	pullFor, pullWithin = 2 * time.Second, 4 * time.Second
	// The wait after a call that failed, or brought nothing at once; it doubles to the larger one. Jitter keeps nodes apart.
	pullFirst, pullMost = 50 * time.Millisecond, 2 * time.Second
	// keepEvery bounds how often the folder is written.
	keepEvery = time.Second
	keptName  = "hosts.list"
)

// check says what is wrong with the table.
func (c *ColdStart) check() error {
	if c == nil {
		return nil
	}
	if len(c.Peers) > mostPeers {
		return tomlfile.Wrong("coldstart.peer", "%d are named, %d at most", len(c.Peers), mostPeers)
	}
	for i, p := range c.Peers {
		at := fmt.Sprintf("coldstart.peer[%d].", i)
		if strings.HasPrefix(p.Addr, "unix:") {
			continue
		}
		if _, err := net.ResolveTCPAddr("tcp", p.Addr); err != nil || p.Addr == "" {
			return tomlfile.Wrong(at+"addr", "%q is neither unix:PATH nor host and port", p.Addr)
		}
		if c.Keys == nil || p.Name == "" {
			return tomlfile.Wrong(at+"name", "by host and port it needs the name in the other's certificate, and [coldstart.keys]")
		}
	}
	if c.Folder != "" && !filepath.IsAbs(c.Folder) {
		return tomlfile.Wrong("coldstart.folder", "%q is no absolute path", c.Folder)
	}
	return nil
}

// begin turns a node's cold start on, with the newer of the lists that its configuration and its folder know.
func (c *ColdStart) begin(cfg Config, log *zap.Logger) (service string, known wire.EndpointList, start *coldstart.Scheduler) {
	service = cmp.Or(c.Service, cfg.Discovery)
	known = cfg.Known
	held := coldstart.Offer{Revision: known.Revision, Age: coldstart.UnknownAge, Hosts: len(known.Endpoints)}
	source := coldstart.SourceFile
	if c.Folder != "" {
		list, age, err := c.read(service)
		switch {
		case err == nil && (list.Revision > known.Revision || len(known.Endpoints) == 0):
			known, source = list, coldstart.SourceFolder
			held = coldstart.Offer{Revision: list.Revision, Age: age, Hosts: len(list.Endpoints)}
		case err == nil:
			log.Info("the folder's list is behind the configuration's", zap.Int64("folder", list.Revision), zap.Int64("configuration", known.Revision))
		case !errors.Is(err, fs.ErrNotExist):
			log.Warn("the folder's list is not taken", zap.String("folder", c.Folder), zap.Error(err))
		}
	}
	set := cfg.Settings
	rng := rand.New(rand.NewPCG(set.Seed, uint64(set.NodeIndex)+1))
	// The node's clock is Unix time at its start; the loop begins with New, a moment later.
	start = coldstart.New(coldstart.Config{NodeCount: set.NodeCount, Index: set.NodeIndex, PollInterval: cmp.Or(set.PollInterval, usualAskWithin), Peers: len(c.Peers) > 0,
		Service: service}, rng, time.Duration(time.Now().UnixNano()), source, held)
	return service, known, start
}

// run starts what goes on beside the node: the folder is kept, and others are asked.
func (c *ColdStart) run(ctx context.Context, g *errgroup.Group, n *node.Node, set balancer.Settings, log *zap.Logger) {
	g.Go(func() error {
		c.keep(ctx, n, log)
		return nil
	})
	for i := range min(pullers, len(c.Peers)) {
		rng := rand.New(rand.NewPCG(set.Seed, uint64(set.NodeIndex)<<8+uint64(i)+2))
		g.Go(func() error { return c.pull(ctx, n, rng, log) })
	}
}

// usualAskWithin stands in where the settings name no longest time between questions.
const usualAskWithin = 10 * time.Second

func (c *ColdStart) read(service string) (list wire.EndpointList, age time.Duration, err error) {
	text, err := os.ReadFile(filepath.Join(c.Folder, keptName))
	if err != nil {
		return list, 0, err
	}
	return coldstart.Decode(text, service, time.Now())
}

// keep writes the list into the folder whenever there is another one, or it was confirmed long after it was written.
func (c *ColdStart) keep(ctx context.Context, n *node.Node, log *zap.Logger) {
	if c.Folder == "" {
		return
	}
	wrote, at, failed := int64(-1), time.Time{}, false
	empty := n.ListAvailable()
	for {
		fresh := empty
		if h := n.CachedList(); h != nil {
			fresh = h.Replaced
			worth := h.Source == coldstart.SourceService || h.Source == coldstart.SourcePeer
			if worth && (h.List.Revision != wrote || h.Confirmed.Sub(at) > time.Minute) {
				err := write(c.Folder, h)
				if err == nil {
					wrote, at = h.List.Revision, h.Confirmed
				} else if !failed { // a full disk is told once, not each second
					log.Warn("the list can't be kept", zap.String("folder", c.Folder), zap.Error(err))
				}
				failed = err != nil
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-fresh:
		}
		if !ctxtime.Sleep(ctx, keepEvery) {
			return
		}
	}
}

func write(folder string, h *node.CachedList) error {
	text, err := coldstart.CachedList{Service: h.Service, Confirmed: h.Confirmed.UnixMilli(), List: h.List}.Encode()
	if err != nil {
		return err
	}
	return renameio.WriteFile(filepath.Join(folder, keptName), text, 0o600)
}

// pull asks others for their list, one after another, for as long as the node runs. One that brings something is asked
// again; from one that does not, the call goes on to another, drawn anew.
func (c *ColdStart) pull(ctx context.Context, n *node.Node, rng *rand.Rand, log *zap.Logger) error {
	var own *pki.KeyStore
	if c.Keys != nil {
		open := func() (*pki.KeyStore, error) {
			return pki.Open(*c.Keys, func(err error) { log.Error("renewed keys can't be taken", zap.Error(err)) })
		}
		var err error
		if own, err = whileScarce(ctx, log, open); ctx.Err() != nil {
			return nil
		} else if err != nil {
			return fmt.Errorf("coldstart: %w", err)
		}
	}
	wait := pullFirst
	for ctx.Err() == nil {
		other := c.Peers[rng.IntN(len(c.Peers))]
		var cfg *tls.Config
		if own != nil {
			cfg = own.ClientConfig(other.Name)
		}
		peer, err := control.Dial(other.Addr, cfg)
		if err != nil {
			return fmt.Errorf("coldstart: %w", err)
		}
		for ctx.Err() == nil && c.ask(ctx, n, peer, other.Addr, log) {
			wait = pullFirst
		}
		peer.Close()
		if !ctxtime.Sleep(ctx, wait/2+time.Duration(rng.Float64()*float64(wait))) {
			return nil
		}
		wait = min(2*wait, pullMost)
		if h := n.CachedList(); h == nil || h.AssumedStart { // whoever has been told is to be found soon
			wait = min(wait, pullMost/4)
		}
	}
	return nil
}

// ask makes one call to another node; false where that brought nothing.
func (c *ColdStart) ask(ctx context.Context, n *node.Node, peer *control.Client, addr string, log *zap.Logger) bool {
	service, after, age, dead := n.ListService(), int64(-1), time.Duration(0), (*[]string)(nil)
	if h := n.CachedList(); h != nil && h.Service == service {
		after, age = h.List.Revision, max(time.Since(h.Confirmed), 0)
		if h.AssumedStart {
			dead = &[]string{}
			for _, d := range h.Unreachable {
				*dead = append(*dead, d.ID)
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, pullWithin)
	defer cancel()
	p, at, err := peer.List(ctx, service, after, age, pullFor, dead)
	var refused *control.RemoteError
	switch {
	case err == nil:
	case errors.As(err, &refused) && refused.Code == http.StatusNotFound:
		n.PeerContacted() // it is there, and has none
		return false
	default:
		log.Debug("another node could not be asked for its list", zap.String("from", addr), zap.Error(err))
		return false
	}
	passed := node.PeerList{Offer: coldstart.Offer{Service: p.Service, Revision: p.Revision, Age: p.Age}, List: p.List, Peer: addr, At: at}
	for _, d := range p.Unreachable {
		passed.Unreachable = append(passed.Unreachable, node.UnreachableHost{ID: d.ID, FoundAt: at.Add(-max(d.Age, 0))})
	}
	return n.ReceivePeerList(passed)
}
