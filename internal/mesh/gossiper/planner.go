package gossiper

import (
	"slices"
	"sort"
	"time"

	"clementinerock/internal/mesh/messenger"
)

const (
	successors       = 2                      // alive hosts linked clockwise in the own failure domain
	outsideLinks     = 2                      // links to other failure domains
	maxLinks         = 40                     // open links at which unwanted inbound ones are refused
	replanDelay      = 200 * time.Millisecond // delay that batches changes before links are planned
	replanInterval   = 5 * time.Second        // interval of planning without changes
	unneededDelay    = 10 * time.Second       // delay before an unneeded link is announced or closed
	unneededInterval = time.Minute            // interval of announcements that a link is unneeded
	avoidDuration    = 30 * time.Second       // avoidance of overloaded or unresponsive peers
	minRedialDelay   = 500 * time.Millisecond
	maxRedialDelay   = 10 * time.Second
	minDiscoverDelay = 500 * time.Millisecond
	maxDiscoverDelay = 15 * time.Second
	dialTimeout      = 3 * time.Second // time after which a dial without result may be repeated

	readerDiscoverInterval = 30 * time.Second // interval of searches by linked readers
)

// planner chooses which links this node opens.
type planner struct {
	stale           bool // a change requires a new plan
	plannedAt       time.Time
	wanted          map[string]bool      // peers that this node needs links to
	monitored       map[string]bool      // ring successors whose failure this node detects
	successor       string               // next alive host of the ring
	parent          string               // parent in the tree of the failure domain
	treePeers       map[string]bool      // peers on links of the spanning tree, which stay eager
	dialing         map[string]time.Time // start of the dial by peer
	retries         map[string]retry     // backoff of failed dials by peer
	avoided         map[string]time.Time // start of the avoidance by peer
	discoverAt      time.Time            // last search; without links, earliest next one
	discoverDelay   time.Duration        // backoff of searches without links
	probeRequesters map[string][]string  // peers that requested a probe, by probed host
}

// retry is the backoff of dials to one peer after failed ones.
type retry struct {
	after time.Time
	delay time.Duration
}

func newPlanner() planner {
	return planner{
		stale:         true,
		wanted:        make(map[string]bool),
		monitored:     make(map[string]bool),
		dialing:       make(map[string]time.Time),
		retries:       make(map[string]retry),
		avoided:       make(map[string]time.Time),
		discoverDelay: minDiscoverDelay,
	}
}

// avoid excludes a peer for avoidDuration from the links to other failure domains.
func (p *planner) avoid(name string, now time.Time) {
	p.avoided[name] = now
	p.stale = true
}

// discover searches for peers while the node has no links, with exponential backoff and
// jitter. Once linked, only the nodes that may read the store for their failure domain continue
// to search, at a low rate, so that parts of the mesh that started separately find one another.
func (c *Core) discover() {
	p := &c.planner
	if len(c.links) > 0 {
		p.discoverDelay = minDiscoverDelay
		if _, reads := c.ReaderSlot(); reads && c.now.Sub(p.discoverAt) > readerDiscoverInterval {
			p.discoverAt = c.now
			c.emit(Discover{})
		}
		return
	}
	if c.now.Before(p.discoverAt) {
		return
	}
	c.emit(Discover{})
	p.discoverAt = c.now.Add(time.Duration(c.rng.Int64N(int64(p.discoverDelay))) + p.discoverDelay/2)
	p.discoverDelay = min(2*p.discoverDelay, maxDiscoverDelay)
}

// replan recomputes the wanted links after a change and at intervals, dials the missing ones
// and announces to peers the links that are no longer needed.
func (c *Core) replan() {
	p := &c.planner
	age := c.now.Sub(p.plannedAt)
	if (p.stale && age >= replanDelay) || age >= replanInterval {
		p.plannedAt = c.now
		p.stale = false
		c.plan()
	}
	c.dialWanted()
	c.announceUnneeded()
}

// plan recomputes the wanted links and the links of the spanning tree.
func (c *Core) plan() {
	p := &c.planner
	p.wanted = make(map[string]bool)
	p.monitored = make(map[string]bool)
	p.treePeers = make(map[string]bool)
	p.successor = ""
	p.parent = ""
	for name, at := range p.avoided {
		if c.now.Sub(at) > avoidDuration {
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
		p.treePeers[name] = true
	}
	for name := range p.treePeers {
		if l := c.links[name]; l != nil {
			l.lazy = false
		}
	}
	c.reporter.setChildren(children)
}

// planRing plans links to the next alive hosts clockwise and to the suspects in between.
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
		if p.successor == "" {
			p.successor = name
		}
		alive++
		return alive < successors
	})
}

// planParent plans the link to the parent in the tree of the failure domain.
func (c *Core) planParent() {
	parent, ok := c.ownRing().parent(c.self.key, c.usable)
	if !ok {
		return
	}
	name := c.table.members[parent].record.Host.Name
	c.planner.parent = name
	c.planner.wanted[name] = true
	c.planner.treePeers[name] = true
}

// planLeaders plans the links that connect the leaders of the failure domains in a circle,
// ordered by the names of the failure domains. Together with the trees of the failure domains
// they connect the whole mesh.
func (c *Core) planLeaders() {
	if !c.isLeader() {
		return
	}
	var leaders []string
	own := 0
	for _, domain := range sortedNames(c.table.rings) {
		leader, ok := c.table.rings[domain].leader(c.usable)
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
	c.planner.treePeers[next] = true
	c.planner.treePeers[leaders[(own+count-1)%count]] = true
}

// childNames returns the children of this node in the tree of its failure domain.
func (c *Core) childNames() []string {
	var names []string
	for _, key := range c.ownRing().children(c.self.key, c.usable) {
		names = append(names, c.table.members[key].record.Host.Name)
	}
	return names
}

// outsideDomain is another failure domain that this node may link into.
type outsideDomain struct {
	domain      string
	weight      uint64
	otherRegion bool
}

// planOutside plans links into one other failure domain of the own region and one of another
// region where both exist, and otherwise into two of the kind that exists. It prefers those
// with the highest hash of the node's own name and theirs, so the choice differs by node.
func (c *Core) planOutside() {
	var domains []outsideDomain
	for domain, r := range c.table.rings {
		if domain == c.self.record.Host.FailureDomain || len(r.keys) == 0 || c.domainLost(domain) {
			continue
		}
		region := c.table.members[r.keys[0]].record.Host.Region
		domains = append(domains, outsideDomain{
			domain:      domain,
			weight:      uint64(messenger.KeyOf(c.self.record.Host.Name + "/" + domain)),
			otherRegion: region != c.self.record.Host.Region,
		})
	}
	sort.Slice(domains, func(i, j int) bool { return domains[i].weight > domains[j].weight })
	chosen := pickOutside(domains)
	for _, domain := range chosen {
		c.planLinkInto(domain.domain)
	}
}

// pickOutside alternates between failure domains of the own region and of others.
func pickOutside(domains []outsideDomain) []outsideDomain {
	var near, far, chosen []outsideDomain
	for _, d := range domains {
		if d.otherRegion {
			far = append(far, d)
		} else {
			near = append(near, d)
		}
	}
	for len(chosen) < outsideLinks && len(near)+len(far) > 0 {
		if len(near) > 0 {
			chosen = append(chosen, near[0])
			near = near[1:]
		}
		if len(far) > 0 && len(chosen) < outsideLinks {
			chosen = append(chosen, far[0])
			far = far[1:]
		}
	}
	return chosen
}

// planLinkInto plans a link to the first usable host of a failure domain clockwise of this
// node's own key, so that the links of one failure domain spread evenly over the other.
func (c *Core) planLinkInto(domain string) {
	c.table.ring(domain).clockwise(c.self.key, func(key messenger.Key) bool {
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

// planLost makes the readers of a failure domain dial the hosts of lost ones, a random one
// at each plan, so that the sides of a healed partition are linked again.
func (c *Core) planLost() {
	if _, reads := c.ReaderSlot(); !reads {
		return
	}
	for _, domain := range sortedNames(c.table.rings) {
		r := c.table.rings[domain]
		if len(r.keys) == 0 || slices.ContainsFunc(r.keys, c.usable) {
			continue
		}
		key := r.keys[c.rng.IntN(len(r.keys))]
		if domain != c.self.record.Host.FailureDomain {
			c.planner.wanted[c.table.members[key].record.Host.Name] = true
		}
	}
}

// sortedNames returns the keys of a map in order, so that iteration is deterministic.
func sortedNames[V any](set map[string]V) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
