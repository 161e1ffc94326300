package runner

import (
	"time"

	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/deliverer"
	"clementinerock/internal/proxy/exposer"
	"clementinerock/internal/proxy/releaser"
	"clementinerock/platform"
)

// rolloutMesh is the view of the releaser on this node.
type rolloutMesh struct {
	*carrier.Hub
	*deliverer.Deliverer

	node *Node
}

// buildReleaser adds what executes rollouts, if the operator limits the exposure of versions.
func (n *Node) buildReleaser(store releaser.Store) {
	share := n.Settings.Bounds.ExposureShare
	if share <= 0 {
		return
	}
	n.registry = &exposer.Registry{Share: share, Era: platform.RevisionEra}
	n.deliverer.Registry, n.forwarder.Registry = n.registry, n.registry
	n.releaser = &releaser.Releaser{
		Log:      n.Log,
		Meter:    n.Meter,
		Store:    store,
		Mesh:     &rolloutMesh{Hub: n.hub, Deliverer: n.deliverer, node: n},
		Registry: n.registry,
	}
	n.hub.OnRollouts = n.releaser.ReceiveRollouts
	n.finder.Rollouts = n
}

// LoadRollouts receives all orders and the nodes' records of them from the store. Orders that this node does not know
// were written at most maxAge ago, unless that is 0.
func (n *Node) LoadRollouts(orders, records []platform.Item, maxAge time.Duration) {
	n.enqueue(func() { n.releaser.LoadRollouts(orders, records, maxAge) }) // after the configuration that was read before
}

// ReceiveOrder receives an order that was written to the store at most maxAge ago.
func (n *Node) ReceiveOrder(order platform.Item, maxAge time.Duration) {
	n.enqueue(func() { n.releaser.ReceiveOrder(order, maxAge) })
}

// Targets returns the targets of the linked nodes and of this one.
func (m *rolloutMesh) Targets() []releaser.Target {
	links := m.Links()
	targets := make([]releaser.Target, 0, len(links)+1)
	own := m.State()
	if own.TargetVersion != "" || own.Serving {
		targets = append(targets, targetOf(&m.node.self, &own))
		targets[0].Own = true
	}
	for _, l := range links {
		state, _, _, _ := l.State()
		if state.Slots == 0 && !state.Serving && state.TargetVersion == "" {
			continue // no target has reported to that node
		}
		targets = append(targets, targetOf(&l.Peer, &state))
	}
	return targets
}

// targetOf returns the target of a node with its state.
func targetOf(peer *carrier.Peer, state *carrier.State) releaser.Target {
	return releaser.Target{
		Node:    peer.Node,
		Service: peer.Service,
		Version: state.TargetVersion,
		Serving: state.Serving,
		Busy:    state.InUse + state.Waiting,
		Counts:  state.Counts,
	}
}

// Announce sends the state of this node to all linked nodes without waiting for that.
func (m *rolloutMesh) Announce() { go m.Hub.Announce() }

// AnnounceToReaders sends it to the readers of the store.
func (m *rolloutMesh) AnnounceToReaders() { go m.Hub.AnnounceToReaders() }

// AnnounceInDomain sends it to a few nodes of the failure domain.
func (m *rolloutMesh) AnnounceInDomain() { go m.Hub.AnnounceInDomain() }

// ReaderRank returns whether this node reads the store, and the number of linked readers whose names sort before
// that of this node.
func (m *rolloutMesh) ReaderRank() (rank int, reads bool) {
	if !m.node.finder.Connected() {
		return 0, false
	}
	for _, l := range m.Links() {
		if l.Peer.Node > m.Self.Node {
			break // links are in the order of the names
		}
		if state, _, _, _ := l.State(); state.ReadsStore && !l.Suspect() {
			rank++
		}
	}
	return rank, true
}

// LongestTimeout returns the longest time limit of a request to a service.
func (m *rolloutMesh) LongestTimeout(service string) time.Duration {
	table := m.node.table.Load()
	if table == nil {
		return 0
	}
	longest := time.Duration(0)
	for _, route := range table.Routes {
		for i := range route.WeightedServices {
			if route.WeightedServices[i].Service == service {
				longest = max(longest, route.Timeout)
			}
		}
	}
	return longest
}

// Known reports whether the active configuration has a service, or there is none.
func (m *rolloutMesh) Known(service string) bool {
	table := m.node.table.Load()
	if table == nil {
		return true
	}
	_, ok := table.Services[service]
	return ok
}
