package throttler

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/zeebo/xxh3"

	"clementinerock/internal/proxy/carrier"
)

// candidatesPerDomain is the number of nodes in each failure domain that may hold shards: those with the
// most CPU. All nodes keep links to them while caps are in force.
const candidatesPerDomain = 4

// Candidates returns the nodes that may hold shards among the given ones.
func Candidates(peers []carrier.Peer) []carrier.Peer {
	byDomain := make(map[string][]carrier.Peer)
	for _, p := range peers {
		if p.Node != "" {
			byDomain[p.FailureDomain] = append(byDomain[p.FailureDomain], p)
		}
	}
	var candidates []carrier.Peer
	for _, domain := range byDomain {
		slices.SortFunc(domain, func(a, b carrier.Peer) int {
			return cmp.Or(cmp.Compare(b.MilliCPU, a.MilliCPU), cmp.Compare(xxh3.HashString(a.Node), xxh3.HashString(b.Node)))
		})
		candidates = append(candidates, domain[:min(len(domain), candidatesPerDomain)]...)
	}
	return candidates
}

// Rank returns the number of candidates that are preferred to a node as the holder of a shard, by weighted
// rendezvous hashing: a candidate's chance to be the preferred one is proportional to its CPU.
func Rank(shard int, self carrier.Peer, candidates []carrier.Peer) int {
	rank := 0
	own := score(shard, self)
	for _, c := range candidates {
		if c.Node != self.Node && score(shard, c) > own {
			rank++
		}
	}
	return rank
}

func score(shard int, p carrier.Peer) float64 {
	const hashBits = 53 // of the mantissa
	hash := xxh3.HashString(strconv.Itoa(shard) + "/" + p.Node)
	uniform := (float64(hash>>(64-hashBits)) + 0.5) / (1 << hashBits)
	return -float64(max(p.MilliCPU, 1)) / math.Log(uniform)
}
