package lifecycle

import (
	"cmp"
	"context"
	"errors"
	"io/fs"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"onyxstream/balancer"
	"onyxstream/internal/coldstart"
	"onyxstream/internal/node"
	"onyxstream/internal/nodeconfig"
	"onyxstream/internal/wire"
)

const (
	// defaultPollInterval is used when the settings have no poll interval.
	defaultPollInterval = 10 * time.Second
	// peerPollers is how many peers are polled concurrently, so that one hanging peer does not block polling.
	peerPollers = 2
)

// coldStart holds the parts from which a node with cold start is built.
type coldStart struct {
	discoveryName string            // name of the discovery service
	known         wire.EndpointList // the configured or the cached endpoint list
	scheduler     *coldstart.Scheduler
}

// newColdStart chooses the newer of the configured and the cached endpoint list, or the cached list if the configured
// one is empty. It also creates the scheduler of the list requests to discovery.
func newColdStart(options *nodeconfig.ColdStart, cfg nodeconfig.Config, log *zap.Logger) coldStart {
	discoveryName := cmp.Or(options.DiscoveryName, cfg.Discovery)
	known := cfg.KnownEndpoints
	source := coldstart.SourceFile
	age := coldstart.UnknownAge
	if options.Folder != "" {
		cache := newListCache(options.Folder)
		cached, cachedAge, err := cache.read(discoveryName)
		switch {
		case err == nil && (cached.Revision > known.Revision || len(known.Endpoints) == 0):
			known, source, age = cached, coldstart.SourceFolder, cachedAge
		case err == nil:
			log.Info("cached endpoint list ignored: not newer than the configured list",
				zap.Int64("cached_revision", cached.Revision), zap.Int64("configured_revision", known.Revision))
		case !errors.Is(err, fs.ErrNotExist):
			log.Warn("cached endpoint list rejected", zap.String("folder", options.Folder), zap.Error(err))
		}
	}
	offer := coldstart.Offer{Revision: known.Revision, Age: age, Hosts: len(known.Endpoints)}
	return coldStart{
		discoveryName: discoveryName,
		known:         known,
		scheduler:     newScheduler(options, cfg, discoveryName, source, offer),
	}
}

func newScheduler(
	options *nodeconfig.ColdStart, cfg nodeconfig.Config,
	discoveryName string, source coldstart.Source, known coldstart.Offer,
) *coldstart.Scheduler {
	settings := cfg.Settings
	config := coldstart.Config{
		NodeCount:     settings.NodeCount,
		Index:         settings.NodeIndex,
		PollInterval:  cmp.Or(settings.PollInterval, defaultPollInterval),
		Peers:         len(options.Peers) > 0,
		DiscoveryName: discoveryName,
	}
	rng := rand.New(rand.NewPCG(settings.Seed, uint64(settings.NodeIndex)+1))
	// The event loop's clock starts at the Unix time of node.New, which is called right after this.
	return coldstart.New(config, rng, time.Duration(time.Now().UnixNano()), source, known)
}

// startColdStartTasks starts the background tasks of a cold start: the list cache and the peer pollers.
func startColdStartTasks(
	ctx context.Context, group *errgroup.Group, options *nodeconfig.ColdStart,
	self *node.Node, settings balancer.Settings, log *zap.Logger,
) {
	group.Go(func() error {
		newListCache(options.Folder).run(ctx, self, log)
		return nil
	})
	for i := range min(peerPollers, len(options.Peers)) {
		seed := uint64(settings.NodeIndex)<<8 + uint64(i) + 2
		poller := &peerPoller{
			options: options,
			node:    self,
			rng:     rand.New(rand.NewPCG(settings.Seed, seed)),
			log:     log,
		}
		group.Go(func() error { return poller.run(ctx) })
	}
}
