// Package runner assembles the process beside a target: it owns the control state and
// starts and stops the parts.
package runner

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"clementinerock/internal/node/counter"
	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/acceptor"
	"clementinerock/internal/proxy/budgeter"
	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/deliverer"
	"clementinerock/internal/proxy/finder"
	"clementinerock/internal/proxy/forwarder"
	"clementinerock/internal/proxy/matcher"
	"clementinerock/internal/proxy/tracker"
	"clementinerock/platform"
)

const (
	tick           = 250 * time.Millisecond
	forgetAfter    = 30 * time.Second        // without a link, after which a node is no longer dialed
	forgetUnlinked = 2 * time.Minute         // the same for a node to which none is wanted; several readings of all entries
	deliverOn      = 1200 * time.Millisecond // after SIGTERM, while other nodes take note
	stayFor        = 2300 * time.Millisecond // after SIGTERM, until the platform has asked twice for readiness
	takeFor        = 3 * time.Second         // after SIGTERM, for which new requests are still served
	quietFor       = 400 * time.Millisecond  // without a request before the process ends
	stopMargin     = 900 * time.Millisecond  // before SIGKILL, to leave the store and close what is left
	longestLinger  = time.Second             // for which a target that leaves still gets calls
	eventsBacklog  = 256
	leastNodes     = 10 // among which the allowance of repeats is shared at least
)

// Where a configuration came from, in logs.
const (
	fromStore = "store"
	fromPeer  = "peer"
)

// known is what the node knows of another one.
type known struct {
	carrier.Peer
	seen time.Time // last heard of
}

// Node is the process beside a target.
type Node struct {
	Settings platform.Settings
	Log      *zap.Logger
	Meter    *counter.Counter
	Dropped  func() int64 // log lines that found no room

	self      carrier.Peer
	table     atomic.Pointer[matcher.Table]
	archive   archive
	stopping  atomic.Bool
	most      atomic.Int64 // nodes known at once, this one included
	started   time.Time
	events    chan func()
	peers     map[string]*known       // by address
	wanted    map[string]carrier.Peer // of them, those to which links are kept
	target    tracker.Tracker
	deliverer *deliverer.Deliverer
	forwarder *forwarder.Forwarder
	acceptor  *acceptor.Acceptor
	hub       *carrier.Hub
	finder    *finder.Finder
}

// Run serves until stop is closed and then drains.
func (n *Node) Run(stop <-chan struct{}) error {
	n.build()
	cleanUps := []func(){}
	defer func() {
		for i := len(cleanUps) - 1; i >= 0; i-- {
			cleanUps[i]()
		}
	}()
	starts := []func() (func(), error){
		n.hub.Start,
		n.serveControl,
		n.serveReady,
		n.serveMetrics,
		func() (func(), error) { return n.acceptor.Start(n.Settings.Calls) },
	}
	for _, start := range starts {
		cleanUp, err := start()
		if err != nil {
			return err
		}
		cleanUps = append(cleanUps, cleanUp)
	}
	endFinder := n.finder.Start()
	n.meetSeeds()
	n.Log.Info("node: started",
		zap.String("node", n.self.Node),
		zap.String("zone", n.self.FailureDomain),
		zap.String("service", n.self.Service),
		zap.String("address", n.self.Address))
	n.loop(stop)
	n.drain()
	n.deliverer.Stop()
	endFinder()
	n.Log.Info("node: stopped", zap.Duration("ran", time.Since(n.started)))
	return nil
}

func (n *Node) build() {
	s := &n.Settings
	n.started = time.Now()
	n.events = make(chan func(), eventsBacklog)
	n.peers = make(map[string]*known)
	n.self = carrier.Peer{
		Node:          s.Node,
		Address:       s.Peer,
		FailureDomain: s.FailureDomain,
		Service:       s.Service,
		Started:       n.started.UnixNano(),
		MilliCPU:      s.MilliCPU,
	}
	n.target = tracker.Tracker{Service: s.Service, Address: s.Target}
	n.deliverer = &deliverer.Deliverer{
		Log:     n.Log,
		Meter:   n.Meter,
		Address: s.Target,
		Version: n.Version,
	}
	n.hub = &carrier.Hub{Self: n.self, Server: n, Log: n.Log, AddPeers: n.AddPeers}
	n.deliverer.OnStateChange = n.hub.Announce
	n.deliverer.DrainGrace = min(longestLinger, s.Bounds.Drain/2)
	n.forwarder = &forwarder.Forwarder{
		Log:           n.Log,
		Meter:         n.Meter,
		Service:       s.Service,
		FailureDomain: s.FailureDomain,
		Local:         n.deliverer,
		Hub:           n.hub,
	}
	n.forwarder.Budget = func() budgeter.Budget { return n.budget() }
	n.acceptor = &acceptor.Acceptor{Log: n.Log, Forwarder: n.forwarder, Table: n.table.Load}
	store, _ := platform.NewStore(s.Store)
	n.finder = &finder.Finder{Log: n.Log, Store: store, Self: n.self, Sink: n, Hub: n.hub}
}

// budget returns this node's share of a service's allowance of repeats. The share goes by
// the most nodes that were ever known, so that one that is cut off or has just started does
// not take itself for the only one.
func (n *Node) budget() budgeter.Budget {
	b := n.Settings.Bounds
	return budgeter.Budget{
		Ratio:  b.RetryRatio,
		Slack:  b.RetrySlack / float64(max(n.most.Load(), leastNodes)),
		Window: b.RetryWindow,
	}
}

// loop is the control thread: it alone changes what the node believes of others, of the
// configuration and of its target.
func (n *Node) loop(stop <-chan struct{}) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case event := <-n.events:
			event()
		case now := <-ticker.C:
			n.forget(now)
		}
	}
}

// post hands an event to the control thread.
func (n *Node) post(event func()) { n.events <- event }

// meetSeeds asks the hosts in the settings before the store has answered.
func (n *Node) meetSeeds() {
	seeds := make([]carrier.Peer, 0, len(n.Settings.Seeds))
	for _, address := range n.Settings.Seeds {
		seeds = append(seeds, carrier.Peer{Address: platform.PeerAddress(address, n.Settings.PeerPort)})
	}
	n.AddPeers(seeds)
}

// AddPeers takes in nodes that the store or other nodes know.
func (n *Node) AddPeers(peers []carrier.Peer) {
	n.post(func() {
		changed := false
		for _, peer := range peers {
			changed = n.learn(peer) || changed
		}
		if changed {
			n.want()
		}
	})
}

// learn takes in a node and reports whether anything of it is new.
func (n *Node) learn(peer carrier.Peer) bool {
	if peer.Address == "" || peer.Address == n.self.Address {
		return false
	}
	k, ok := n.peers[peer.Address]
	if !ok {
		k = &known{}
		n.peers[peer.Address] = k
	}
	k.seen = time.Now()
	n.most.Store(max(n.most.Load(), int64(len(n.peers)+1)))
	if ok && peer.Started <= k.Started {
		return false
	}
	k.Peer = peer
	return true
}

// forget drops nodes that no link could be made to for a while, and those to which no link is
// wanted that the store has not named for longer.
func (n *Node) forget(now time.Time) {
	dropped := false
	linked := n.hub.LinkedAddresses()
	for address, k := range n.peers {
		if _, ok := linked[address]; ok {
			k.seen = now
			continue
		}
		limit := forgetAfter
		if _, ok := n.wanted[address]; !ok {
			limit = forgetUnlinked
		}
		if now.Sub(k.seen) > limit {
			delete(n.peers, address)
			n.Log.Info("node: forgotten", zap.String("node", k.Node), zap.String("address", address))
			dropped = true
		}
	}
	if dropped {
		n.want()
	}
}

// want tells the hub which nodes are known and which links to keep.
func (n *Node) want() {
	known := make([]carrier.Peer, 0, len(n.peers))
	for _, k := range n.peers {
		known = append(known, k.Peer)
	}
	n.wanted = chooseLinks(n.self, known)
	n.hub.SetPeers(n.wanted, known)
}

// ReceiveConfig takes in the configuration that the store holds.
func (n *Node) ReceiveConfig(text []byte) {
	table, err := platform.DecodeConfig(text)
	if err != nil {
		n.Log.Error("config: refused", zap.String("from", fromStore), recorder.Err(err))
		return
	}
	n.post(func() { n.adopt(n.share(table), fromStore) })
}

// share returns a table with the content of the given one that has unchanged parts in
// common with the table in force, to save memory.
func (n *Node) share(table *matcher.Table) *matcher.Table {
	current := n.table.Load()
	if current == nil || table.Version <= current.Version {
		return table
	}
	update := table.Since(current)
	shared, err := update.Apply(current)
	if err != nil {
		n.Log.Warn("config: nothing shared", zap.Uint64("version", table.Version), recorder.Err(err))
		return table
	}
	return shared
}

// Receive takes in an update that another node sent.
func (n *Node) Receive(update *matcher.Update, again func()) {
	n.post(func() {
		current := n.table.Load()
		if current != nil && update.Version <= current.Version {
			return
		}
		table, err := update.Apply(current)
		if err != nil {
			n.Log.Warn("config: update refused", zap.Uint64("base", update.BaseVersion), recorder.Err(err))
			if update.BaseVersion != 0 {
				again()
			}
			return
		}
		n.adopt(table, fromPeer)
	})
}

// adopt puts a configuration in force if it is newer than the present one.
func (n *Node) adopt(table *matcher.Table, from string) {
	if table.Version <= n.Version() {
		return
	}
	n.table.Store(table)
	n.archive.add(table)
	n.Log.Info("config: in force",
		zap.Uint64("version", table.Version),
		zap.String("from", from),
		zap.Int("routes", len(table.Routes)))
	if from == fromStore {
		n.hub.Announce()
		return
	}
	n.hub.AnnounceInDomain()
}

// UpdateSince returns the update that leads another node from its version to the one in force.
func (n *Node) UpdateSince(version uint64) *matcher.Update { return n.archive.since(version) }

// Version returns the version of the configuration in force, or 0.
func (n *Node) Version() uint64 {
	if table := n.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// State returns what other nodes are told.
func (n *Node) State() carrier.State {
	state := n.deliverer.State()
	state.ReadsStore = n.finder.Connected()
	return state
}

// Serve delivers a call of another node.
func (n *Node) Serve(call *carrier.Call, answer func(*carrier.Answer)) func() {
	return n.deliverer.Serve(call, answer)
}

// Void forbids an attempt of another node.
func (n *Node) Void(id []byte, attempt uint64) bool { return n.deliverer.Void(id, attempt) }

// ready reports whether clients should be sent here.
func (n *Node) ready() bool {
	if n.stopping.Load() || n.table.Load() == nil {
		return false
	}
	return n.deliverer.State().Serving || len(n.hub.Links()) > 0
}

// drain lets clients and other nodes go elsewhere, ends what is in flight and returns
// before the process would be killed.
func (n *Node) drain() {
	began := time.Now()
	n.stopping.Store(true)
	n.acceptor.Stop()
	n.Log.Info("node: stopping", zap.Int("requests", n.acceptor.OpenRequests()), zap.Int("deliveries", n.deliverer.Busy()))
	n.await(func(spent time.Duration) bool {
		if spent >= deliverOn {
			n.deliverer.Stop()
		}
		return spent >= stayFor && (n.quiet() || spent >= takeFor)
	}, began)
	n.acceptor.Refuse()
	n.await(func(time.Duration) bool { return n.quiet() }, began)
	n.acceptor.Close()
	n.await(func(time.Duration) bool {
		return n.acceptor.OpenRequests() == 0 && n.deliverer.Busy() == 0
	}, began)
}

// quiet reports whether no client has sent anything for a while.
func (n *Node) quiet() bool {
	return n.acceptor.OpenRequests() == 0 && n.acceptor.IdleTime() >= quietFor
}

// await goes on serving until done reports true or the process must end. done is given the
// time since began.
func (n *Node) await(done func(spent time.Duration) bool, began time.Time) {
	ticker := time.NewTicker(tick / 5)
	defer ticker.Stop()
	for {
		spent := time.Since(began)
		if done(spent) || spent >= n.Settings.Bounds.Grace-stopMargin {
			return
		}
		select {
		case event := <-n.events:
			event()
		case <-ticker.C:
		}
	}
}
