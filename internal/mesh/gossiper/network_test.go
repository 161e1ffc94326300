package gossiper

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"clementinerock/internal/config/approver"
	"clementinerock/internal/config/compiler"
	"clementinerock/internal/config/indexer"
	"clementinerock/internal/config/parser"
	"clementinerock/internal/mesh/messenger"
)

// network simulates the links between cores, with a simulated clock.
type network struct {
	now             time.Time
	rng             *rand.Rand
	config          Config
	cores           map[string]*Core
	frozen          map[string]bool        // nodes that neither tick nor answer
	links           map[[2]string]int      // generation of an open link, by ordered pair
	separated       func(a, b string) bool // whether a partition separates two nodes
	loss            float64                // share of messages lost
	queue           deliveries
	serial          int                      // last number given to a delivery or a link
	active          map[string]approver.Head // version in force by node
	activationCount int                      // over all nodes
	sent            map[string]int           // messages by sender
	bytes           map[string]int           // encoded size of the messages by sender
	lastTick        time.Time
}

// delivery is an event that is due at a time on the simulated clock.
type delivery struct {
	due    time.Time
	serial int
	run    func()
}

// deliveries is a heap of events, ordered by time and then by the order of their creation.
type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if d[i].due.Equal(d[j].due) {
		return d[i].serial < d[j].serial
	}
	return d[i].due.Before(d[j].due)
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

const (
	testLatency = 2 * time.Millisecond
	testTick    = 100 * time.Millisecond
	testIdle    = 30 * time.Second
	testTimeout = time.Second
)

func newNetwork(seed uint64) *network {
	start := time.UnixMilli(1_700_000_000_000)
	return &network{
		now:       start,
		lastTick:  start,
		rng:       rand.New(rand.NewPCG(seed, 1)),
		cores:     make(map[string]*Core),
		frozen:    make(map[string]bool),
		links:     make(map[[2]string]int),
		separated: func(string, string) bool { return false },
		active:    make(map[string]approver.Head),
		sent:      make(map[string]int),
		bytes:     make(map[string]int),
	}
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (n *network) names() []string {
	names := make([]string, 0, len(n.cores))
	for name := range n.cores {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (n *network) sortedLinks() [][2]string {
	links := make([][2]string, 0, len(n.links))
	for link := range n.links {
		links = append(links, link)
	}
	sort.Slice(links, func(i, j int) bool {
		if links[i][0] != links[j][0] {
			return links[i][0] < links[j][0]
		}
		return links[i][1] < links[j][1]
	})
	return links
}

// after calls run when the delay has passed on the simulated clock.
func (n *network) after(delay time.Duration, run func()) {
	n.serial++
	heap.Push(&n.queue, delivery{due: n.now.Add(delay), serial: n.serial, run: run})
}

// start starts a node. Links that an earlier process of the same name left open are closed.
func (n *network) start(name, domain, region string) {
	for _, link := range n.sortedLinks() {
		if link[0] != name && link[1] != name {
			continue
		}
		delete(n.links, link)
		peer := link[0]
		if peer == name {
			peer = link[1]
		}
		n.down(peer, name, false)
	}
	host := messenger.Host{Name: name, FailureDomain: domain, Region: region, Control: "c/" + name, Peer: "p/" + name}
	core := New(host, n.config, rand.New(rand.NewPCG(n.rng.Uint64(), 2)), n.now)
	n.cores[name] = core
	delete(n.active, name)
	delete(n.frozen, name)
}

// startNodes starts nodes in the given number of failure domains. Two of them share a region.
func (n *network) startNodes(count, domains int) {
	for i := range count {
		domain := i % domains
		n.start(fmt.Sprintf("n%03d", i), fmt.Sprintf("z%d", domain), fmt.Sprintf("r%d", domain/2))
	}
}

// kill stops a node without closing its links. They time out at its peers.
func (n *network) kill(name string) {
	delete(n.cores, name)
	for _, link := range n.sortedLinks() {
		generation := n.links[link]
		if link[0] == name || link[1] == name {
			n.timeOut(link, generation)
		}
	}
}

// timeOut closes a link after its idle timeout, unless it was closed or reopened by then.
func (n *network) timeOut(link [2]string, generation int) {
	n.after(testIdle, func() {
		if n.links[link] != generation {
			return
		}
		delete(n.links, link)
		n.down(link[0], link[1], false)
		n.down(link[1], link[0], false)
	})
}

// down reports a closed link to the node at one end.
func (n *network) down(at, peer string, planned bool) {
	if core := n.cores[at]; core != nil {
		n.perform(at, core.LinkDown(n.now, peer, planned))
	}
}

// perform executes the effects that a core returned.
func (n *network) perform(from string, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Send:
			n.deliver(from, effect)
		case Dial:
			n.dial(from, effect.Host.Name)
		case Close:
			link := pair(from, effect.Name)
			if n.links[link] != 0 {
				delete(n.links, link)
				n.after(testLatency, func() { n.down(effect.Name, from, true) })
			}
		case Probe:
			n.probe(from, effect.Host.Name)
		case Discover:
			n.discover(from)
		case Activate:
			n.activate(from, effect)
		}
	}
}

// discover dials a random node that is not in the table of the searching node.
func (n *network) discover(from string) {
	var unknown []string
	for _, name := range n.names() {
		if !n.cores[from].HasControlAddress("c/" + name) {
			unknown = append(unknown, name)
		}
	}
	if len(unknown) > 0 {
		n.dial(from, unknown[n.rng.IntN(len(unknown))])
	}
}

// activate records the version in force at a node and panics if it is not newer than the
// last one or incomplete.
func (n *network) activate(name string, version Activate) {
	if version.Head.Version <= n.active[name].Version {
		panic(fmt.Sprintf("%s replaced version %d with version %d", name, n.active[name].Version, version.Head.Version))
	}
	if version.Index.Root() != version.Head.Root {
		panic(fmt.Sprintf("%s activated incomplete contents of version %d", name, version.Head.Version))
	}
	n.active[name] = version.Head
	n.activationCount++
}

// canReach reports whether both nodes run and no partition separates them.
func (n *network) canReach(a, b string) bool {
	return n.cores[a] != nil && n.cores[b] != nil && !n.separated(a, b)
}

// deliver sends a message over an open link. Random loss, a closed or reopened link, a
// partition and a frozen receiver drop it.
func (n *network) deliver(from string, send Send) {
	data, err := send.Message.Encode()
	if err != nil {
		panic(err)
	}
	n.sent[from]++
	n.bytes[from] += len(data)
	link := pair(from, send.To)
	generation := n.links[link]
	if generation == 0 || n.rng.Float64() < n.loss {
		return
	}
	n.after(testLatency, func() {
		core := n.cores[send.To]
		if n.links[link] != generation || !n.canReach(from, send.To) || n.frozen[send.To] {
			return
		}
		message, err := messenger.Decode(data)
		if err != nil {
			panic(err)
		}
		n.perform(send.To, core.Receive(n.now, from, &message))
	})
}

func (n *network) dial(from, to string) {
	n.after(testLatency, func() {
		if n.cores[from] == nil || n.links[pair(from, to)] != 0 {
			return
		}
		if !n.canReach(from, to) || n.frozen[to] {
			n.after(testTimeout, func() {
				if core := n.cores[from]; core != nil {
					n.perform(from, core.DialFailed(n.now, to))
				}
			})
			return
		}
		n.serial++
		n.links[pair(from, to)] = n.serial
		n.perform(from, n.cores[from].LinkUp(n.now, n.cores[to].self.record.Host, false))
		n.perform(to, n.cores[to].LinkUp(n.now, n.cores[from].self.record.Host, true))
	})
}

func (n *network) probe(from, to string) {
	alive := n.canReach(from, to) && !n.frozen[to]
	delay := testLatency
	if !alive {
		delay = testTimeout
	}
	n.after(delay, func() {
		if core := n.cores[from]; core != nil {
			n.perform(from, core.Probed(n.now, to, alive))
		}
	})
}

// pause freezes a node. Its links time out if it stays frozen for the idle timeout.
func (n *network) pause(name string) {
	n.frozen[name] = true
	for _, link := range n.sortedLinks() {
		generation := n.links[link]
		if link[0] != name && link[1] != name {
			continue
		}
		n.after(testIdle, func() {
			if n.frozen[name] && n.links[link] == generation {
				delete(n.links, link)
				n.down(link[0], link[1], false)
				n.down(link[1], link[0], false)
			}
		})
	}
}

// partitionBy partitions the network. Links between the partitions time out.
func (n *network) partitionBy(separated func(a, b string) bool) {
	n.separated = separated
	for _, link := range n.sortedLinks() {
		generation := n.links[link]
		if separated(link[0], link[1]) {
			n.timeOut(link, generation)
		}
	}
}

func (n *network) heal() { n.separated = func(string, string) bool { return false } }

// run advances the clock, delivers what is due and ticks the nodes that are not frozen.
func (n *network) run(duration time.Duration) {
	end := n.now.Add(duration)
	for n.now.Before(end) {
		next := n.lastTick.Add(testTick)
		for len(n.queue) > 0 && !n.queue[0].due.After(next) {
			d := heap.Pop(&n.queue).(delivery)
			if d.due.After(n.now) {
				n.now = d.due
			}
			d.run()
		}
		n.now = next
		n.lastTick = next
		for _, name := range n.names() {
			if !n.frozen[name] {
				n.perform(name, n.cores[name].Tick(n.now))
			}
		}
	}
}

// runUntil runs the network until done returns true, and reports whether it did within the
// limit.
func (n *network) runUntil(limit time.Duration, done func() bool) bool {
	end := n.now.Add(limit)
	for n.now.Before(end) {
		if done() {
			return true
		}
		n.run(testTick)
	}
	return done()
}

// agreed reports whether the table of every node holds exactly the running nodes, all alive.
func (n *network) agreed() bool {
	for _, core := range n.cores {
		alive := 0
		for _, m := range core.table.members {
			if !m.present() {
				continue
			}
			if !core.usable(m.key) || n.cores[m.record.Host.Name] == nil {
				return false
			}
			alive++
		}
		if alive != len(n.cores) {
			return false
		}
	}
	return true
}

// inForce reports whether every running node has the version or a newer one in force.
func (n *network) inForce(version uint64) bool {
	for name := range n.cores {
		if n.active[name].Version < version {
			return false
		}
	}
	return true
}

// testVersion returns a version with the given number of services. The contract of one service
// depends on the version's number.
func testVersion(version uint64, services int) (approver.Head, indexer.Index) {
	var items []indexer.Item
	for i := range services {
		contract := compiler.Contract{
			Service: fmt.Sprintf("service-%d", i),
			Owner:   "owner",
			Zones:   []string{"z0"},
			Slots:   6,
			Routes: []compiler.Route{{
				Operation: "show", Method: "GET", Path: fmt.Sprintf("/service-%d/*", i),
				Effect: parser.EffectLookup, Work: parser.WorkShort, Timeout: time.Second,
			}},
		}
		if uint64(i) == version%uint64(services) {
			contract.Contact = fmt.Sprintf("contact-%d", version)
		}
		items = append(items, indexer.Item{Name: contract.Service, Data: contract.Encode()})
	}
	index := indexer.New(items)
	return approver.Head{Version: version, Root: index.Root(), Operation: "op"}, index
}

// readVersion makes a node read a version from the store.
func (n *network) readVersion(name string, version uint64, services int) {
	head, index := testVersion(version, services)
	n.perform(name, n.cores[name].VersionRead(n.now, head, index))
}

// newStartedNetwork returns a network whose nodes have all found one another.
func newStartedNetwork(t *testing.T, count, domains int) *network {
	t.Helper()
	n := newNetwork(1)
	n.startNodes(count, domains)
	if !n.runUntil(time.Minute, n.agreed) {
		t.Fatalf("the tables of %d nodes do not hold all of them", count)
	}
	return n
}
