package runner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"clementinerock/internal/proxy/carrier"
)

func fleet(nodes int) []carrier.Peer {
	peers := make([]carrier.Peer, nodes)
	for i := range peers {
		peers[i] = carrier.Peer{
			Node:          fmt.Sprint("n", i),
			Address:       fmt.Sprint("a", i),
			FailureDomain: fmt.Sprint("z", i%3),
			Service:       fmt.Sprint("s", i%5),
		}
	}
	return peers
}

// TestChooseLinks grows a fleet: links beyond the failure domain stay bounded, and each
// service beyond it can be reached.
func TestChooseLinks(t *testing.T) {
	for name, nodes := range map[string]int{"small": 15, "70": 70, "300": 300, "1000": 1000} {
		t.Run(name, func(t *testing.T) {
			peers := fleet(nodes)
			asked := make(map[string]int)
			for _, self := range peers {
				far := make(map[string]int)
				for address, peer := range chooseLinks(self, peers) {
					assert.Equal(t, address, peer.Address)
					if peer.FailureDomain != self.FailureDomain {
						far[peer.Service]++
						asked[peer.Node]++
					}
				}
				assert.Equal(t, len(far), 5)
				for service, number := range far {
					assert.Assert(t, number <= farPerService, "%s: %d", service, number)
				}
			}
			for node, number := range asked {
				assert.Assert(t, number <= 3*5*farPerService, "%s is chosen by %d", node, number)
			}
		})
	}
}

// TestChooseLinksKeepsSeeds keeps addresses of which nothing is known, and most links when a
// node joins.
func TestChooseLinksKeepsSeeds(t *testing.T) {
	peers := fleet(301)
	seed := carrier.Peer{Address: "seed"}
	before := chooseLinks(peers[0], append([]carrier.Peer{seed}, peers[:300]...))
	_, ok := before["seed"]
	assert.Assert(t, ok)
	after := chooseLinks(peers[0], append([]carrier.Peer{seed}, peers...))
	dropped := 0
	for address := range before {
		if _, ok := after[address]; !ok {
			dropped++
		}
	}
	assert.Assert(t, dropped <= 1, "%d links dropped", dropped)
}
