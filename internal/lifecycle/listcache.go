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
	// listCacheInterval is the shortest time between two writes.
	listCacheInterval = time.Second
	// listCacheRefresh is how much later a list must have been confirmed to be written again unchanged.
	listCacheRefresh = time.Minute
)

// listCache keeps a node's endpoint list in a persistent folder.
type listCache struct {
	folder string // "" for no cache; run does nothing then

	written     int64     // revision of the list that was written last, -1 for none
	confirmed   time.Time // of that list
	writeFailed bool      // the last write did
}

func newListCache(folder string) *listCache { return &listCache{folder: folder, written: -1} }

// read returns the cached list of a list service, and how long ago the service confirmed it.
func (c *listCache) read(service string) (list wire.EndpointList, age time.Duration, err error) {
	text, err := os.ReadFile(filepath.Join(c.folder, listCacheFile))
	if err != nil {
		return list, 0, err
	}
	return coldstart.Decode(text, service, time.Now())
}

// run writes the node's list whenever it was replaced, or confirmed long after it was written, until the context ends.
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

// update writes a list that came from the service or a peer, unless it is the one written last.
func (c *listCache) update(list *node.CachedList, log *zap.Logger) {
	fromOthers := list.Source == coldstart.SourceDiscovery || list.Source == coldstart.SourcePeer
	changed := list.List.Revision != c.written || list.Confirmed.Sub(c.confirmed) > listCacheRefresh
	if !fromOthers || !changed {
		return
	}
	err := c.write(list)
	if err == nil {
		c.written = list.List.Revision
		c.confirmed = list.Confirmed
	} else if !c.writeFailed { // once, not with each retry
		log.Warn("endpoint list cache write failed", zap.String("folder", c.folder), zap.Error(err))
	}
	c.writeFailed = err != nil
}

func (c *listCache) write(list *node.CachedList) error {
	content := coldstart.CachedList{
		Service:   list.Service,
		Confirmed: list.Confirmed.UnixMilli(),
		List:      list.List,
	}
	text, err := content.Encode()
	if err != nil {
		return err
	}
	return renameio.WriteFile(filepath.Join(c.folder, listCacheFile), text, 0o600)
}
