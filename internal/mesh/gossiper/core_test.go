package gossiper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestConvergenceIsReported(t *testing.T) {
	cases := map[string]struct{ nodes, zones int }{
		"one node":     {1, 1},
		"one zone":     {5, 1},
		"today's size": {13, 3},
		"more zones":   {60, 6},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			n := newFilled(t, 1, test.nodes, test.zones)
			n.learn("n000", 1, 8)
			n.learn("n000", 2, 8)
			assert.Assert(t, n.until(5*time.Second, func() bool { return n.inForce(2) }), "version 2 is not in force everywhere")
			complete := func() bool {
				for _, core := range n.cores {
					status := core.Status()
					if !status.Complete() || status.Version != 2 || status.Nodes != test.nodes {
						return false
					}
				}
				return true
			}
			assert.Assert(t, n.until(5*time.Second, complete), "status is %+v", n.cores["n000"].Status())
		})
	}
}
