package runner

import (
	"sort"
	"time"

	"clementinerock/internal/call/picker"
	"clementinerock/internal/call/router"
	"clementinerock/internal/mesh/messenger"
)

// buildView publishes a new view of the version in force and the targets known.
func (c *control) buildView(now time.Time) {
	c.built = c.core.Revision()
	c.builtAt = now
	view := &router.View{
		Version:  c.core.Head().Version,
		Ready:    c.core.Ready(),
		Draining: c.draining,
		Table:    c.node.table.Load(),
		Targets:  make(map[string][]*picker.Target),
	}
	keep := make(map[string]bool)
	c.core.Reachable(func(record *messenger.Record) {
		for i := range record.Targets {
			c.addTarget(view, record, &record.Targets[i], keep)
		}
	})
	for _, targets := range view.Targets {
		sort.Slice(targets, func(i, j int) bool { return targets[i].Listen < targets[j].Listen })
	}
	c.node.book.Keep(keep)
	c.node.front.SetView(view)
}

func (c *control) addTarget(view *router.View, record *messenger.Record, target *messenger.Target, keep map[string]bool) {
	if target.State != messenger.Serving && target.State != messenger.Warming {
		return
	}
	key := record.Machine.Name + "/" + target.Address
	keep[key] = true
	own := c.node.machine
	view.Targets[target.Service] = append(view.Targets[target.Service], &picker.Target{
		Stats:   c.node.book.Stats(key),
		Service: target.Service,
		Node:    record.Machine.Name,
		Zone:    record.Machine.Zone,
		Peer:    record.Machine.Peer,
		Listen:  target.Address,
		Local:   record.Machine.Name == own.Name,
		Near:    record.Machine.Zone == own.Zone,
		Slots:   target.Slots,
		Warming: target.State == messenger.Warming,
		Since:   time.UnixMilli(target.Since),
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
