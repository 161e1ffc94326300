package gossiper

import (
	"slices"
	"sort"
	"time"

	"clementinerock/internal/mesh/messenger"
)

const (
	successors    = 2                      // alive machines linked clockwise in the own zone
	outsiders     = 2                      // links beyond the own zone
	maxLinks      = 40                     // links beyond this are turned away
	replanDelay   = 200 * time.Millisecond // gathers changes before links are planned
	replanEvery   = 5 * time.Second
	lingerTime    = 10 * time.Second // before an unneeded link is closed
	spareInterval = time.Minute      // between offers to close an unneeded link
	avoidTime     = 30 * time.Second // before an overloaded peer is tried again
	minRedial     = 500 * time.Millisecond
	maxRedial     = 10 * time.Second
	minSeek       = 500 * time.Millisecond
	maxSeek       = 15 * time.Second
	dialDeadline  = 3 * time.Second

	islandInterval = 30 * time.Second // between a linked reader's searches for unknown peers
)

// planner chooses which links this node opens.
type planner struct {
	stale     bool
	planned   time.Time
	wanted    map[string]bool
	monitored map[string]bool // ring successors whose failure this node detects
	nearest   string          // next alive machine of the ring
	parent    string
	pinned    map[string]bool // links of the spanning tree, which never turn lazy
	dialing   map[string]time.Time
	retries   map[string]retry
	avoided   map[string]time.Time
	sought    time.Time
	seekDelay time.Duration
	asked     map[string][]string // who asked for a probe of a machine
}

type retry struct {
	after time.Time
	delay time.Duration
}

func newPlanner() planner {
	return planner{
		stale:     true,
		wanted:    make(map[string]bool),
		monitored: make(map[string]bool),
		dialing:   make(map[string]time.Time),
		retries:   make(map[string]retry),
		avoided:   make(map[string]time.Time),
		seekDelay: minSeek,
	}
}

func (p *planner) avoid(name string, now time.Time) {
	p.avoided[name] = now
	p.stale = true
}

// seek asks for seeds while the node has no links, with full jitter. The readers
// of a zone go on asking at a low rate, so that parts of the mesh that started
// apart find one another.
func (c *Core) seek() {
	p := &c.planner
	if len(c.links) > 0 {
		p.seekDelay = minSeek
		if _, reads := c.ReaderSlot(); reads && c.now.Sub(p.sought) > islandInterval {
			p.sought = c.now
			c.emit(Discover{})
		}
		return
	}
	if c.now.Before(p.sought) {
		return
	}
	c.emit(Discover{})
	p.sought = c.now.Add(time.Duration(c.rng.Int64N(int64(p.seekDelay))) + p.seekDelay/2)
	p.seekDelay = min(2*p.seekDelay, maxSeek)
}

// replan recomputes the wanted links after a change and closes those that
// nobody needs any more.
func (c *Core) replan() {
	p := &c.planner
	age := c.now.Sub(p.planned)
	if (p.stale && age >= replanDelay) || age >= replanEvery {
		p.planned = c.now
		p.stale = false
		c.plan()
	}
	c.dialWanted()
	c.announceUnneeded()
}

func (c *Core) plan() {
	p := &c.planner
	p.wanted = make(map[string]bool)
	p.monitored = make(map[string]bool)
	p.pinned = make(map[string]bool)
	p.nearest = ""
	p.parent = ""
	for name, at := range p.avoided {
		if c.now.Sub(at) > avoidTime {
			delete(p.avoided, name)
		}
	}
	for name := range p.retries {
		if m := c.table.get(name); m == nil || !m.present() {
			delete(p.retries, name)
		}
	}
	c.planRing()
	c.planParent()
	c.planOutside()
	c.planLeaders()
	c.planLost()
	children := c.childNames()
	for _, name := range children {
		p.pinned[name] = true
	}
	for name := range p.pinned {
		if l := c.links[name]; l != nil {
			l.lazy = false
		}
	}
	c.reporter.setChildren(children)
}

func (c *Core) planRing() {
	p := &c.planner
	alive := 0
	c.ownRing().clockwise(c.self.key, func(key messenger.Key) bool {
		m := c.table.members[key]
		name := m.record.Host.Name
		p.wanted[name] = true
		p.monitored[name] = true
		if !m.alive() {
			return true
		}
		if p.nearest == "" {
			p.nearest = name
		}
		alive++
		return alive < successors
	})
}

func (c *Core) planParent() {
	parent, ok := c.ownRing().parent(c.self.key, c.usable)
	if !ok {
		return
	}
	name := c.table.members[parent].record.Host.Name
	c.planner.parent = name
	c.planner.wanted[name] = true
	c.planner.pinned[name] = true
}

// planLeaders links the leaders of the zones to a circle, in the order of the
// zones' names. With the trees of the zones this connects the whole mesh.
func (c *Core) planLeaders() {
	if !c.isLeader() {
		return
	}
	var leaders []string
	own := 0
	for _, zone := range sortedNames(c.table.rings) {
		leader, ok := c.table.rings[zone].leader(c.usable)
		if !ok {
			continue
		}
		if leader == c.self.key {
			own = len(leaders)
		}
		leaders = append(leaders, c.table.members[leader].record.Host.Name)
	}
	count := len(leaders)
	if count < 2 {
		return
	}
	next := leaders[(own+1)%count]
	c.planner.wanted[next] = true
	c.planner.pinned[next] = true
	c.planner.pinned[leaders[(own+count-1)%count]] = true
}

func (c *Core) childNames() []string {
	var names []string
	for _, key := range c.ownRing().children(c.self.key, c.usable) {
		names = append(names, c.table.members[key].record.Host.Name)
	}
	return names
}

type outsideDomain struct {
	domain string
	weight uint64
	abroad bool
}

// planOutside links one zone of the own region and one beyond it where there are
// such, and otherwise two of whichever kind exists.
func (c *Core) planOutside() {
	var domains []outsideDomain
	for domain, r := range c.table.rings {
		if domain == c.self.record.Host.FailureDomain || len(r.keys) == 0 || c.domainLost(domain) {
			continue
		}
		region := c.table.members[r.keys[0]].record.Host.Region
		domains = append(domains, outsideDomain{
			domain: domain,
			weight: uint64(messenger.KeyOf(c.self.record.Host.Name + "/" + domain)),
			abroad: region != c.self.record.Host.Region,
		})
	}
	sort.Slice(domains, func(i, j int) bool { return domains[i].weight > domains[j].weight })
	chosen := pickOutside(domains)
	for _, domain := range chosen {
		c.linkInto(domain.domain)
	}
}

func pickOutside(zones []outsideDomain) []outsideDomain {
	var near, far, chosen []outsideDomain
	for _, z := range zones {
		if z.abroad {
			far = append(far, z)
		} else {
			near = append(near, z)
		}
	}
	for len(chosen) < outsiders && len(near)+len(far) > 0 {
		if len(near) > 0 {
			chosen = append(chosen, near[0])
			near = near[1:]
		}
		if len(far) > 0 && len(chosen) < outsiders {
			chosen = append(chosen, far[0])
			far = far[1:]
		}
	}
	return chosen
}

// linkInto wants a link to the first usable machine of a zone clockwise of this
// node's own key, so that the links of a zone spread evenly over the other.
func (c *Core) linkInto(zone string) {
	c.table.ring(zone).clockwise(c.self.key, func(key messenger.Key) bool {
		m := c.table.members[key]
		name := m.record.Host.Name
		_, avoided := c.planner.avoided[name]
		if !c.usable(key) || avoided {
			return true
		}
		c.planner.wanted[name] = true
		return false
	})
}

// planLost makes the readers of a zone try the machines of lost zones, another one
// at each plan, so that parted sides meet again.
func (c *Core) planLost() {
	if _, reads := c.ReaderSlot(); !reads {
		return
	}
	for _, zone := range sortedNames(c.table.rings) {
		r := c.table.rings[zone]
		if len(r.keys) == 0 || slices.ContainsFunc(r.keys, c.usable) {
			continue
		}
		key := r.keys[c.rng.IntN(len(r.keys))]
		if zone != c.self.record.Host.FailureDomain {
			c.planner.wanted[c.table.members[key].record.Host.Name] = true
		}
	}
}

func sortedNames[V any](set map[string]V) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
