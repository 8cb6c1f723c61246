package lifecycle

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"
	"go.uber.org/zap"

	"onyxstream/internal/coldstart"
	"onyxstream/internal/ctxtime"
	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

const (
	listCacheFile = "hosts.list"
	// listCacheInterval is the minimum time between two writes.
	listCacheInterval = time.Second
	// listCacheRefresh limits how often an unchanged list is written again: its last confirmation by discovery must be
	// more than this time after the confirmation in the file.
	listCacheRefresh = time.Minute
)

// listCache stores a node's endpoint list in a persistent folder, for the next start.
type listCache struct {
	folder string // "" disables the cache: run returns at once

	// The last write. Only the goroutine of run uses these fields.
	writtenRevision    int64     // revision of the last list written, -1 for none
	writtenConfirmedAt time.Time // when discovery last confirmed that list
	writeFailed        bool      // whether the last write failed
}

func newListCache(folder string) *listCache { return &listCache{folder: folder, writtenRevision: -1} }

// read returns the cached list of a discovery service, and how long ago the service confirmed it.
func (c *listCache) read(discoveryName string) (list wire.EndpointList, age time.Duration, err error) {
	text, err := os.ReadFile(filepath.Join(c.folder, listCacheFile))
	if err != nil {
		return list, 0, err
	}
	return coldstart.Decode(text, discoveryName, time.Now())
}

// run calls update each time the node publishes its list, at most once per listCacheInterval, until the context ends.
func (c *listCache) run(ctx context.Context, self *node.Node, log *zap.Logger) {
	if c.folder == "" {
		return
	}
	available := self.ListAvailable()
	for {
		replaced := available
		if cached := self.CachedList(); cached != nil {
			replaced = cached.Replaced
			c.update(cached, log)
		}
		select {
		case <-ctx.Done():
			return
		case <-replaced:
		}
		if !ctxtime.Sleep(ctx, listCacheInterval) {
			return
		}
	}
}

// update writes a list that came from discovery or a peer, if the revision differs from that of the last list written
// or if the list was confirmed more than listCacheRefresh after it.
func (c *listCache) update(list *node.CachedList, log *zap.Logger) {
	fromOthers := list.Source == coldstart.SourceDiscovery || list.Source == coldstart.SourcePeer
	changed := list.List.Revision != c.writtenRevision || list.Confirmed.Sub(c.writtenConfirmedAt) > listCacheRefresh
	if !fromOthers || !changed {
		return
	}
	err := c.write(list)
	if err == nil {
		c.writtenRevision = list.List.Revision
		c.writtenConfirmedAt = list.Confirmed
	} else if !c.writeFailed { // logs once, not for each retry
		log.Warn("endpoint list cache write failed", zap.String("folder", c.folder), zap.Error(err))
	}
	c.writeFailed = err != nil
}

func (c *listCache) write(list *node.CachedList) error {
	content := coldstart.CachedList{
		DiscoveryName: list.DiscoveryName,
		Confirmed:     list.Confirmed.UnixMilli(),
		List:          list.List,
	}
	text, err := content.Encode()
	if err != nil {
		return err
	}
	return renameio.WriteFile(filepath.Join(c.folder, listCacheFile), text, 0o600)
}
