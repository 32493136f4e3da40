package autoscaler

import (
	"errors"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

const (
	// catalogCheckInterval is the interval at which CatalogLoop checks whether it must fetch
	// the catalog.
	catalogCheckInterval = time.Second
	// catalogRefreshInterval is the interval at which the cluster leader fetches the catalog.
	catalogRefreshInterval = 20 * time.Second
)

// CatalogLoop fetches the cloud's catalog of machine types until the event loop's context ends. The
// cluster leader fetches it periodically, because prices change. The other controllers fetch it
// only until they have one.
func (a *Autoscaler) CatalogLoop() {
	pause := time.Duration(0)
	for a.loop.Sleep(pause) {
		pause = catalogCheckInterval
		needed, leading := false, false
		a.loop.Do(func() {
			leading = a.Leadership.Held
			needed = len(a.Catalog) == 0 || leading
		})
		if !needed {
			continue
		}
		catalog, err := a.cloud.Catalog()
		if err != nil {
			a.log.Debug("catalog fetch failed", "error", err)
			continue
		}
		a.loop.Do(func() { a.SetCatalog(catalog.Types) })
		if leading {
			a.recordCatalog(catalog)
			pause = catalogRefreshInterval
		}
	}
}

// recordCatalog writes the catalog to the state store, unless it is already recorded. Controllers
// that start while the cloud API is unavailable read it there.
func (a *Autoscaler) recordCatalog(catalog protocol.Catalog) {
	ctx := a.loop.Context()
	if _, err := a.store.Get(ctx, storage.CatalogKey); !errors.Is(err, storage.ErrNotFound) {
		return
	}
	value := storage.Encode(catalog)
	if protocol.JSONSize(value) > a.store.ValueBytes() {
		return // too large for the state store, and only needed while the cloud API is unavailable
	}
	_, err := a.store.Commit(ctx, &protocol.Transaction{
		If:   []protocol.Condition{{Key: storage.CatalogKey, Version: 0}},
		Then: []protocol.Change{{Put: storage.CatalogKey, Value: value}},
	})
	if err != nil {
		a.log.Debug("catalog record write failed", "error", err)
	}
}
