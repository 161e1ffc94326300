package runner

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"clementinerock/internal/proxy/carrier"
)

// maxRemotePerService is the maximum number of nodes in other failure domains to which a node keeps
// links, for each service of their targets. They receive the calls that the targets in its own
// failure domain cannot take.
const maxRemotePerService = 16

// chooseLinks returns the peers, by address, to which a node keeps links: all peers in its failure
// domain, a limited number per service in other failure domains, and peers of which only the
// address is known. While usage caps are in force, it also keeps links to the nodes that may issue credit.
//
// The limit is needed for large fleets: otherwise, the number of handshakes and pings between
// failure domains would grow with the square of the number of nodes. The choice differs from node
// to node and changes little when nodes join or leave.
func chooseLinks(self carrier.Peer, known, issuers []carrier.Peer) map[string]carrier.Peer {
	chosen := make(map[string]carrier.Peer, len(known))
	for _, peer := range issuers {
		if peer.Address != self.Address {
			chosen[peer.Address] = peer
		}
	}
	remote := make(map[string][]rankedPeer)
	for _, peer := range known {
		if peer.Node == "" || peer.FailureDomain == self.FailureDomain {
			chosen[peer.Address] = peer
			continue
		}
		remote[peer.Service] = append(remote[peer.Service], rankedPeer{peer: peer, rank: rank(self.Node, peer.Node)})
	}
	for _, peers := range remote {
		slices.SortFunc(peers, func(a, b rankedPeer) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.peer.Node, b.peer.Node))
		})
		for _, r := range peers[:min(len(peers), maxRemotePerService)] {
			chosen[r.peer.Address] = r.peer
		}
	}
	return chosen
}

// rankedPeer is a peer with its rank.
type rankedPeer struct {
	peer carrier.Peer
	rank uint64
}

// rank returns a pseudo-random rank of a pair of nodes. It is the same for both nodes, so that they
// tend to choose the same links.
func rank(a, b string) uint64 {
	return xxh3.HashString(min(a, b) + "\x00" + max(a, b))
}
