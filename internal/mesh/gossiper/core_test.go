package gossiper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"clementinerock/internal/config/compiler"
	"clementinerock/internal/config/indexer"
)

func TestConvergenceIsReported(t *testing.T) {
	cases := map[string]struct{ nodes, domains int }{
		"one node":             {1, 1},
		"one failure domain":   {5, 1},
		"deployed size":        {13, 3},
		"more failure domains": {60, 6},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			n := newStartedNetwork(t, test.nodes, test.domains)
			n.readVersion("n000", 1, 8)
			n.readVersion("n000", 2, 8)
			assert.Assert(t, n.runUntil(5*time.Second, func() bool { return n.inForce(2) }), "version 2 is not in force everywhere")
			complete := func() bool {
				for _, core := range n.cores {
					status := core.Status()
					if !status.Complete() || status.Version != 2 || status.Nodes != test.nodes {
						return false
					}
				}
				return true
			}
			assert.Assert(t, n.runUntil(5*time.Second, complete), "status is %+v", n.cores["n000"].Status())
		})
	}
}

func newSingleNode(t *testing.T) (*network, *Core) {
	t.Helper()
	n := newNetwork(1)
	n.start("n000", "z0", "r0")
	return n, n.cores["n000"]
}

func activations(effects []Effect) (activated, refused int) {
	for _, effect := range effects {
		switch effect.(type) {
		case Activate:
			activated++
		case Refuse:
			refused++
		}
	}
	return activated, refused
}

func TestVersionsOnlyRise(t *testing.T) {
	n, core := newSingleNode(t)
	for _, step := range []struct {
		version uint64
		want    int
	}{{2, 1}, {1, 0}, {2, 0}, {3, 1}} {
		head, index := testVersion(step.version, 3)
		activated, _ := activations(core.VersionRead(n.now, head, index))
		assert.Equal(t, activated, step.want, "version %d", step.version)
	}
	assert.Equal(t, core.Head().Version, uint64(3))
}

func TestFaultyVersionIsRefusedWhole(t *testing.T) {
	head, index := testVersion(2, 3)
	items := index.Items()
	unresolved, err := compiler.Decode(items[0].Data)
	assert.NilError(t, err)
	unresolved.Needs = []string{"service-9"}
	cases := map[string]struct {
		index    indexer.Index
		complete bool // the head has the root of this index
	}{
		"incomplete index":                  {index: indexer.New(items[:2])},
		"contract needs an unknown service": {index: index.Apply(indexer.Delta{Set: []indexer.Item{{Name: unresolved.Service, Data: unresolved.Encode()}}}), complete: true},
		"contract under another name":       {index: index.Apply(indexer.Delta{Set: []indexer.Item{{Name: "other", Data: items[1].Data}}}), complete: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			n, core := newSingleNode(t)
			firstHead, complete := testVersion(1, 3)
			core.VersionRead(n.now, firstHead, complete)
			bad := head
			if test.complete {
				bad.Root = test.index.Root()
			}
			activated, refused := activations(core.VersionRead(n.now, bad, test.index))
			assert.Equal(t, activated, 0)
			assert.Equal(t, refused, 1)
			assert.Equal(t, core.Head().Version, uint64(1))
		})
	}
}

// TestPartitionedDomainIsKept partitions a failure domain from the mesh for an hour. Both
// sides must keep the hosts of the other side and only mark their failure domains as lost.
// Once the partition ends, all nodes must get the newest version.
func TestPartitionedDomainIsKept(t *testing.T) {
	n := newStartedNetwork(t, 13, 3)
	n.readVersion("n000", 1, 8)
	inside := func(name string) bool { return n.cores[name].self.record.Host.FailureDomain == "z1" }
	n.partitionBy(func(a, b string) bool { return inside(a) != inside(b) })
	n.readVersion("n000", 2, 8)
	n.run(time.Hour)
	for name, core := range n.cores {
		assert.Equal(t, core.memberCount(), 13, "%s removed hosts", name)
		assert.Equal(t, n.active[name].Version == 2, !inside(name), "%s", name)
	}
	n.heal()
	assert.Assert(t, n.runUntil(30*time.Second, func() bool { return n.inForce(2) }), "version 2 is not in force everywhere")
	assert.Assert(t, n.runUntil(30*time.Second, n.agreed), "%s", n.disagreement())
}

func TestDeadHostIsRemoved(t *testing.T) {
	n := newStartedNetwork(t, 13, 3)
	n.kill("n004")
	assert.Assert(t, n.runUntil(20*time.Second, n.agreed), "%s", n.disagreement())
}

func TestPausedHostIsNotDead(t *testing.T) {
	n := newStartedNetwork(t, 13, 3)
	n.pause("n004")
	n.run(time.Minute)
	clear(n.frozen)
	assert.Assert(t, n.runUntil(30*time.Second, n.agreed), "%s", n.disagreement())
}

func TestStartingNodeIsNotReadyBeforeItsVersion(t *testing.T) {
	n := newStartedNetwork(t, 4, 1)
	core := n.cores["n000"]
	assert.Assert(t, !core.Ready(), "ready without any version")
	core.VersionAnnounced(n.now, 5)
	head, index := testVersion(4, 3)
	core.VersionRead(n.now, head, index)
	assert.Assert(t, !core.Ready(), "ready below an announced version")
	head, index = testVersion(5, 3)
	core.VersionRead(n.now, head, index)
	assert.Assert(t, core.Ready())
	core.VersionAnnounced(n.now, 6)
	assert.Assert(t, core.Ready(), "a ready node stays ready")
}

// TestSameSeedSameRun checks that all decisions depend only on the inputs and the seed.
func TestSameSeedSameRun(t *testing.T) {
	play := func() (map[string]int, map[string]int) {
		n := newNetwork(7)
		n.startNodes(20, 3)
		n.run(20 * time.Second)
		n.readVersion("n003", 1, 8)
		n.kill("n005")
		n.pause("n006")
		n.run(time.Minute)
		clear(n.frozen)
		n.run(time.Minute)
		return n.sent, n.bytes
	}
	sent, bytes := play()
	sentAgain, bytesAgain := play()
	assert.DeepEqual(t, sent, sentAgain)
	assert.DeepEqual(t, bytes, bytesAgain)
}
