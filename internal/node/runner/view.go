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

// catalog keeps the targets that may get calls. Lists that were handed out in a view
// are replaced and never changed.
type catalog struct {
	own       messenger.Host
	byService map[string][]*picker.Target
	byMachine map[string][]*picker.Target
}

func newCatalog(own messenger.Host) catalog {
	return catalog{
		own:       own,
		byService: make(map[string][]*picker.Target),
		byMachine: make(map[string][]*picker.Target),
	}
}

// update replaces the targets of one machine; a nil record takes them all out. A
// target that stays keeps its measurements.
func (g *catalog) update(name string, record *messenger.Record) {
	old := g.byMachine[name]
	for _, t := range old {
		g.remove(t)
	}
	delete(g.byMachine, name)
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
	machine := &record.Host
	fresh := &picker.Target{
		Stats:         statsOf(target.Address, old),
		Service:       target.Service,
		Node:          machine.Name,
		FailureDomain: machine.FailureDomain,
		Peer:          machine.Peer,
		Listen:        target.Address,
		Local:         machine.Name == g.own.Name,
		SameDomain:    machine.FailureDomain == g.own.FailureDomain,
		Slots:         target.Slots,
		Warming:       target.State == messenger.Warming,
		Since:         time.UnixMilli(target.Since),
	}
	list := g.byService[target.Service]
	at, _ := slices.BinarySearchFunc(list, fresh, func(a, b *picker.Target) int { return strings.Compare(a.Listen, b.Listen) })
	g.byService[target.Service] = slices.Insert(slices.Clone(list), at, fresh)
	g.byMachine[machine.Name] = append(g.byMachine[machine.Name], fresh)
}

func statsOf(address string, targets []*picker.Target) *picker.Stats {
	for _, t := range targets {
		if t.Listen == address {
			return t.Stats
		}
	}
	return &picker.Stats{}
}

// buildView publishes a new view of the version in force and the targets known.
func (c *control) buildView(now time.Time) {
	c.builtAt = now
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
