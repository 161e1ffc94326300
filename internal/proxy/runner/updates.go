package runner

import (
	"sync"

	"clementinerock/internal/proxy/matcher"
)

const maxCachedVersions = 8 // versions from which an update can be made

// updateCache keeps the latest versions of the configuration and the updates to the newest one
// that other nodes asked for. The zero value is empty.
//
// It answers the pattern in which a version reaches few nodes first and all others ask
// these for the same update at once.
type updateCache struct {
	mu      sync.Mutex
	tables  []*matcher.Table // newest first
	updates map[uint64]*matcher.Update
}

// add takes in a newer version.
func (a *updateCache) add(table *matcher.Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tables = append([]*matcher.Table{table}, a.tables[:min(len(a.tables), maxCachedVersions-1)]...)
	a.updates = make(map[uint64]*matcher.Update)
}

// updateSince returns the update that leads from a version to the newest one, or nil if there is
// none. A version that is not kept gets the whole configuration.
func (a *updateCache) updateSince(version uint64) *matcher.Update {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.tables) == 0 {
		return nil
	}
	base := a.find(version)
	if base == nil {
		version = 0
	}
	update, ok := a.updates[version]
	if !ok {
		computed := a.tables[0].Since(base)
		update = &computed
		a.updates[version] = update
	}
	return update
}

func (a *updateCache) find(version uint64) *matcher.Table {
	for _, table := range a.tables {
		if table.Version == version {
			return table
		}
	}
	return nil
}
