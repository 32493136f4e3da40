package autoscaler

import (
	"errors"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

const (
	// catalogCheckInterval is how often it is checked whether the catalog is to be fetched.
	catalogCheckInterval = time.Second
	// catalogRefreshInterval is how often the leader fetches the catalog.
	catalogRefreshInterval = 20 * time.Second
)

// CatalogLoop fetches the cloud's machine types until the event loop's context ends. Only the
// leader fetches them again and again, for the prices; the others do until they know them.
func (a *Autoscaler) CatalogLoop() {
	pause := time.Duration(0)
	for a.loop.Sleep(pause) {
		pause = catalogCheckInterval
		wanted, leading := false, false
		a.loop.Do(func() {
			leading = a.Leadership.Held
			wanted = len(a.Catalog) == 0 || leading
		})
		if !wanted {
			continue
		}
		catalog, err := a.cloud.Catalog()
		if err != nil {
			a.log.Debug("catalog not available", "error", err)
			continue
		}
		a.loop.Do(func() { a.SetCatalog(catalog.Types) })
		if leading {
			a.recordCatalog(catalog)
			pause = catalogRefreshInterval
		}
	}
}

// recordCatalog records the machine types, if they are not on record yet, for controllers that
// start while the cloud's interface is down.
func (a *Autoscaler) recordCatalog(catalog protocol.Catalog) {
	ctx := a.loop.Context()
	if _, err := a.store.Get(ctx, storage.CatalogKey); !errors.Is(err, storage.ErrNotFound) {
		return
	}
	value := storage.Encode(catalog)
	if protocol.JSONSize(value) > a.store.ValueBytes() {
		return // the record only helps while the cloud is down
	}
	_, err := a.store.Commit(ctx, &protocol.Transaction{
		If:   []protocol.Condition{{Key: storage.CatalogKey, Version: 0}},
		Then: []protocol.Change{{Put: storage.CatalogKey, Value: value}},
	})
	if err != nil {
		a.log.Debug("catalog not recorded", "error", err)
	}
}
