package gossiper

import (
	"fmt"

	"clementinerock/internal/mesh/messenger"
)

// checkInvariants stops the process if the control state contradicts itself.
func (c *Core) checkInvariants() {
	v := &c.versions
	if len(v.stored) > 0 {
		last := v.stored[len(v.stored)-1]
		if last.head != v.head || last.index.Root() != v.head.Root {
			panic(fmt.Sprintf("version %d in force is not the one held", v.head.Version))
		}
	}
	if v.newest < v.head.Version {
		panic(fmt.Sprintf("version %d in force was never heard of", v.head.Version))
	}
	if c.self.record.Stamp.Health != messenger.Alive {
		panic("node takes itself for " + c.self.record.Stamp.Health.String())
	}
	if len(c.links) > 2*maxLinks {
		panic(fmt.Sprintf("%d links are open", len(c.links)))
	}
}

// checkIndexes stops the process if the table's digest or rings don't match its
// members. It visits every member and is meant for tests.
func (t *table) checkIndexes() {
	root := uint64(0)
	present := 0
	for key, m := range t.members {
		_, placed := t.ring(m.record.Host.FailureDomain).find(key)
		if placed != m.present() {
			panic(m.record.Host.Name + " is not placed by its health")
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
		panic("digest and members differ")
	}
}
