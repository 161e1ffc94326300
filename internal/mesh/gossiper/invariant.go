package gossiper

import (
	"fmt"

	"clementinerock/internal/mesh/messenger"
)

// checkInvariants panics if the control state is inconsistent.
func (c *Core) checkInvariants() {
	v := &c.versions
	if len(v.stored) > 0 {
		last := v.stored[len(v.stored)-1]
		if last.head != v.head || last.index.Root() != v.head.Root {
			panic(fmt.Sprintf("version %d in force is not the last one stored", v.head.Version))
		}
	}
	if v.newest < v.head.Version {
		panic(fmt.Sprintf("version %d in force is above the newest one announced", v.head.Version))
	}
	if c.self.record.Stamp.Health != messenger.Alive {
		panic("node's own record has health " + c.self.record.Stamp.Health.String())
	}
	if len(c.links) > 2*maxLinks {
		panic(fmt.Sprintf("%d open links exceed the limit", len(c.links)))
	}
}

// checkIndexes panics if the digest or the rings differ from the members. It visits every
// member and is meant for tests.
func (t *table) checkIndexes() {
	root := uint64(0)
	present := 0
	for key, m := range t.members {
		_, placed := t.ring(m.record.Host.FailureDomain).find(key)
		if placed != m.present() {
			panic(m.record.Host.Name + ": presence in the ring does not match its health")
		}
		if m.present() {
			root ^= m.keyStamp().Sum()
			present++
		}
	}
	keys := 0
	for _, r := range t.rings {
		keys += len(r.keys)
	}
	if root != t.root || keys != present {
		panic("digest or rings do not match the members")
	}
}
