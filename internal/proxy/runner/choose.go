package runner

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"clementinerock/internal/proxy/carrier"
)

// maxRemotePerService is to how many nodes beside targets of one service, beyond the failure
// domain, a node keeps links. They take what the own failure domain has no room for.
const maxRemotePerService = 16

// chooseLinks returns the peers, by address, to which a node keeps links: all of its failure
// domain, a few beyond it for each service, and those of which only the address is known.
//
// It answers the growth of the fleet: greetings and pings between failure domains would
// otherwise grow with the square of the number of nodes. Which few are chosen differs from
// node to node and changes little when nodes come and go.
func chooseLinks(self carrier.Peer, known []carrier.Peer) map[string]carrier.Peer {
	chosen := make(map[string]carrier.Peer, len(known))
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

type rankedPeer struct {
	peer carrier.Peer
	rank uint64
}

// rank orders pairs of nodes at random. It is the same from both sides, so that the links
// that one side chooses are those of the other.
func rank(a, b string) uint64 {
	return xxh3.HashString(min(a, b) + "\x00" + max(a, b))
}
