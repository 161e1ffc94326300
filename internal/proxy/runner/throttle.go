package runner

import (
	"clementinerock/internal/node/expirer"
	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/throttler"
)

// minLocalNodes is the minimum number of nodes among which the tolerance of an account is divided for the
// time without an issuer.
const minLocalNodes = 10

// buildThrottler builds the part that limits the usage of client accounts.
func (n *Node) buildThrottler(store throttler.Store) {
	b := n.Settings.Bounds
	n.throttler = &throttler.Throttler{
		Log:      n.Log,
		Meter:    n.Meter,
		Bounds:   throttler.Bounds{Window: b.UsageWindow, Over: b.UsageOver, Slack: b.UsageSlack},
		Self:     n.self,
		Store:    store,
		Clock:    expirer.SinceBoot,
		Table:    n.table.Load,
		Remotes:  n.remotes,
		Announce: n.hub.Announce,
		Known:    func() int { return int(n.knownNodes.Load()) },
		Ended:    func(p throttler.Process) bool { return n.hub.Ended(p.Node, p.Started) },
		Nodes:    func() int { return int(max(n.maxNodes.Load(), minLocalNodes)) },
	}
	n.forwarder.Limiter = n.throttler
	n.hub.Credits = n.throttler
}

// updateIssuers passes the nodes that may issue credit to the throttler and returns them. There are none
// while no caps are in force.
func (n *Node) updateIssuers(known []carrier.Peer) []carrier.Peer {
	if n.throttler == nil || !throttler.Active(n.table.Load()) {
		return nil
	}
	candidates := throttler.Candidates(append([]carrier.Peer{n.self}, known...))
	n.throttler.SetCandidates(candidates)
	return candidates
}

// remotes returns the nodes to which a link is up.
func (n *Node) remotes() []throttler.Remote {
	links := n.hub.Links()
	remotes := make([]throttler.Remote, 0, len(links))
	for _, l := range links {
		state, _, _, _ := l.State()
		remotes = append(remotes, throttler.Remote{
			Peer:         l.Peer,
			Issuing:      n.hub.Issuing(&l.Peer),
			Send:         l.RequestCredit,
			Suspect:      l.Suspect(),
			RequestParts: l.RequestParts,
			ReadsStore:   state.ReadsStore,
			RenewLease:   l.RenewLease,
		})
	}
	return remotes
}
