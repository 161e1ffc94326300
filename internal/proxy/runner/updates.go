package runner

import (
	"sync"

	"clementinerock/internal/proxy/matcher"
)

// maxCachedVersions is the maximum number of stored versions. Updates from older versions contain
// the whole configuration.
const maxCachedVersions = 8

// updateCache stores the latest versions of the configuration and the updates to the newest one
// that other nodes have requested. The zero value is empty.
//
// It is designed for the load after a new version has reached a few nodes: all other nodes request
// the same update from them at once, and each update is computed only once.
type updateCache struct {
	mu      sync.Mutex
	tables  []*matcher.Table           // newest first
	updates map[uint64]*matcher.Update // by base version; 0 for the whole configuration
}

// add stores a newer version and drops the updates to the previous one.
func (c *updateCache) add(table *matcher.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tables = append([]*matcher.Table{table}, c.tables[:min(len(c.tables), maxCachedVersions-1)]...)
	c.updates = make(map[uint64]*matcher.Update)
}

// updateSince returns the update from a version to the newest one, or nil if no version is stored.
// If the given version is not stored, the update contains the whole configuration.
func (c *updateCache) updateSince(version uint64) *matcher.Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.tables) == 0 {
		return nil
	}
	base := c.find(version)
	if base == nil {
		version = 0
	}
	update, ok := c.updates[version]
	if !ok {
		computed := c.tables[0].Since(base)
		update = &computed
		c.updates[version] = update
	}
	return update
}

// find returns a stored version, or nil if it is not stored.
func (c *updateCache) find(version uint64) *matcher.Table {
	for _, table := range c.tables {
		if table.Version == version {
			return table
		}
	}
	return nil
}
