package runner

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"clementinerock/internal/call/picker"
	"clementinerock/internal/call/router"
	"clementinerock/internal/mesh/messenger"
)

// catalog holds the targets that may receive calls. Published snapshots share the lists in
// byService, so a changed list is replaced and never modified.
type catalog struct {
	own       messenger.Host
	byService map[string][]*picker.Target
	byHost    map[string][]*picker.Target
}

func newCatalog(own messenger.Host) catalog {
	return catalog{
		own:       own,
		byService: make(map[string][]*picker.Target),
		byHost:    make(map[string][]*picker.Target),
	}
}

// update replaces the targets of one host; a nil record removes them all. A target whose address
// stays keeps its measurements.
func (g *catalog) update(name string, record *messenger.Record) {
	old := g.byHost[name]
	for _, t := range old {
		g.remove(t)
	}
	delete(g.byHost, name)
	if record == nil {
		return
	}
	for i := range record.Targets {
		target := &record.Targets[i]
		if target.State == messenger.Serving || target.State == messenger.Warming {
			g.add(record, target, old)
		}
	}
}

func (g *catalog) remove(target *picker.Target) {
	list := g.byService[target.Service]
	if len(list) <= 1 {
		delete(g.byService, target.Service)
		return
	}
	rest := make([]*picker.Target, 0, len(list))
	for _, t := range list {
		if t != target {
			rest = append(rest, t)
		}
	}
	g.byService[target.Service] = rest
}

func (g *catalog) add(record *messenger.Record, target *messenger.Target, old []*picker.Target) {
	host := &record.Host
	added := &picker.Target{
		Stats:         statsOf(target.Address, old),
		Service:       target.Service,
		Node:          host.Name,
		FailureDomain: host.FailureDomain,
		Peer:          host.Peer,
		Listen:        target.Address,
		Local:         host.Name == g.own.Name,
		SameDomain:    host.FailureDomain == g.own.FailureDomain,
		Slots:         target.Slots,
		Warming:       target.State == messenger.Warming,
		Since:         time.UnixMilli(target.Since),
	}
	list := g.byService[target.Service]
	at, _ := slices.BinarySearchFunc(list, added,
		func(a, b *picker.Target) int { return strings.Compare(a.Listen, b.Listen) })
	g.byService[target.Service] = slices.Insert(slices.Clone(list), at, added)
	g.byHost[host.Name] = append(g.byHost[host.Name], added)
}

// statsOf returns the measurements of the target with the given address, or new ones.
func statsOf(address string, targets []*picker.Target) *picker.Stats {
	for _, t := range targets {
		if t.Listen == address {
			return t.Stats
		}
	}
	return &picker.Stats{}
}

// publishSnapshot publishes the routes of the version in force and the current targets.
func (c *control) publishSnapshot(now time.Time) {
	c.publishedAt = now
	c.core.TakeChanges(c.catalog.update)
	c.node.front.SetSnapshot(&router.Snapshot{
		Version:  c.core.Head().Version,
		Ready:    c.core.Ready(),
		Draining: c.draining,
		Table:    c.node.table.Load(),
		Targets:  maps.Clone(c.catalog.byService),
	})
}

func sortedAddresses(targets map[string]localTarget) []string {
	addresses := make([]string, 0, len(targets))
	for address := range targets {
		addresses = append(addresses, address)
	}
	sort.Strings(addresses)
	return addresses
}
