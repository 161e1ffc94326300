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
	tickInterval        = 250 * time.Millisecond
	peerTimeout         = 30 * time.Second        // without a link, after which a node is no longer dialed
	unlinkedPeerTimeout = 2 * time.Minute         // the same for a node to which none is wanted; several readings of all entries
	deliveryPeriod      = 1200 * time.Millisecond // after SIGTERM, while other nodes take note
	minServePeriod      = 2300 * time.Millisecond // after SIGTERM, until the platform has asked twice for readiness
	maxServePeriod      = 3 * time.Second         // after SIGTERM, for which new requests are still served
	minIdleTime         = 400 * time.Millisecond  // without a request before the process ends
	killMargin          = 900 * time.Millisecond  // before SIGKILL, to leave the store and close what is left
	maxDrainGrace       = time.Second             // for which a target that leaves still gets calls
	eventQueueSize      = 256
	minBudgetNodes      = 10 // among which the allowance of repeats is shared at least
)

// Where a configuration came from, in logs.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// knownPeer is what the node knows of another one.
type knownPeer struct {
	carrier.Peer
	lastSeen time.Time // last heard of
}

// Node is the process beside a target.
type Node struct {
	Settings platform.Settings
	Log      *zap.Logger
	Meter    *counter.Counter
	Dropped  func() int64 // log lines that found no room

	self        carrier.Peer
	table       atomic.Pointer[matcher.Table]
	updateCache updateCache
	stopping    atomic.Bool
	maxNodes    atomic.Int64 // nodes known at once, this one included
	started     time.Time
	events      chan func()
	peers       map[string]*knownPeer   // by address
	peersToLink map[string]carrier.Peer // of them, those to which links are kept
	target      tracker.Tracker
	deliverer   *deliverer.Deliverer
	forwarder   *forwarder.Forwarder
	acceptor    *acceptor.Acceptor
	hub         *carrier.Hub
	finder      *finder.Finder
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
		func() (func(), error) { return n.acceptor.Start(n.Settings.Client) },
	}
	for _, start := range starts {
		cleanUp, err := start()
		if err != nil {
			return err
		}
		cleanUps = append(cleanUps, cleanUp)
	}
	stopFinder := n.finder.Start()
	n.addSeeds()
	n.Log.Info("node: started",
		zap.String("node", n.self.Node),
		zap.String("zone", n.self.FailureDomain),
		zap.String("service", n.self.Service),
		zap.String("address", n.self.Address))
	n.loop(stop)
	n.shutDown()
	n.deliverer.Stop()
	stopFinder()
	n.Log.Info("node: stopped", zap.Duration("ran", time.Since(n.started)))
	return nil
}

func (n *Node) build() {
	s := &n.Settings
	n.started = time.Now()
	n.events = make(chan func(), eventQueueSize)
	n.peers = make(map[string]*knownPeer)
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
	n.deliverer.DrainGrace = min(maxDrainGrace, s.Bounds.DrainPeriod/2)
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
		Slack:  b.RetrySlack / float64(max(n.maxNodes.Load(), minBudgetNodes)),
		Window: b.RetryWindow,
	}
}

// loop is the control thread: it alone changes what the node believes of others, of the
// configuration and of its target.
func (n *Node) loop(stop <-chan struct{}) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case event := <-n.events:
			event()
		case now := <-ticker.C:
			n.removeStalePeers(now)
		}
	}
}

// enqueue hands an event to the control thread.
func (n *Node) enqueue(event func()) { n.events <- event }

// addSeeds asks the hosts in the settings before the store has answered.
func (n *Node) addSeeds() {
	seeds := make([]carrier.Peer, 0, len(n.Settings.Seeds))
	for _, address := range n.Settings.Seeds {
		seeds = append(seeds, carrier.Peer{Address: platform.PeerAddress(address, n.Settings.PeerPort)})
	}
	n.AddPeers(seeds)
}

// AddPeers takes in nodes that the store or other nodes know.
func (n *Node) AddPeers(peers []carrier.Peer) {
	n.enqueue(func() {
		changed := false
		for _, peer := range peers {
			changed = n.addPeer(peer) || changed
		}
		if changed {
			n.updateLinks()
		}
	})
}

// addPeer takes in a node and reports whether anything of it is new.
func (n *Node) addPeer(peer carrier.Peer) bool {
	if peer.Address == "" || peer.Address == n.self.Address {
		return false
	}
	k, ok := n.peers[peer.Address]
	if !ok {
		k = &knownPeer{}
		n.peers[peer.Address] = k
	}
	k.lastSeen = time.Now()
	n.maxNodes.Store(max(n.maxNodes.Load(), int64(len(n.peers)+1)))
	if ok && peer.Started <= k.Started {
		return false
	}
	k.Peer = peer
	return true
}

// removeStalePeers drops nodes that no link could be made to for a while, and those to which no link is
// wanted that the store has not named for longer.
func (n *Node) removeStalePeers(now time.Time) {
	removed := false
	linked := n.hub.LinkedAddresses()
	for address, k := range n.peers {
		if _, ok := linked[address]; ok {
			k.lastSeen = now
			continue
		}
		limit := peerTimeout
		if _, ok := n.peersToLink[address]; !ok {
			limit = unlinkedPeerTimeout
		}
		if now.Sub(k.lastSeen) > limit {
			delete(n.peers, address)
			n.Log.Info("node: forgotten", zap.String("node", k.Node), zap.String("address", address))
			removed = true
		}
	}
	if removed {
		n.updateLinks()
	}
}

// updateLinks tells the hub which nodes are known and which links to keep.
func (n *Node) updateLinks() {
	known := make([]carrier.Peer, 0, len(n.peers))
	for _, k := range n.peers {
		known = append(known, k.Peer)
	}
	n.peersToLink = chooseLinks(n.self, known)
	n.hub.SetPeers(n.peersToLink, known)
}

// ReceiveConfig takes in the configuration that the store holds.
func (n *Node) ReceiveConfig(text []byte) {
	table, err := platform.DecodeConfig(text)
	if err != nil {
		n.Log.Error("config: refused", zap.String("from", sourceStore), recorder.Err(err))
		return
	}
	n.enqueue(func() { n.activate(n.shareUnchanged(table), sourceStore) })
}

// shareUnchanged returns a table with the content of the given one that has unchanged parts in
// common with the table in force, to save memory.
func (n *Node) shareUnchanged(table *matcher.Table) *matcher.Table {
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
func (n *Node) Receive(update *matcher.Update, fetchFull func()) {
	n.enqueue(func() {
		current := n.table.Load()
		if current != nil && update.Version <= current.Version {
			return
		}
		table, err := update.Apply(current)
		if err != nil {
			n.Log.Warn("config: update refused", zap.Uint64("base", update.BaseVersion), recorder.Err(err))
			if update.BaseVersion != 0 {
				fetchFull()
			}
			return
		}
		n.activate(table, sourcePeer)
	})
}

// activate puts a configuration in force if it is newer than the present one.
func (n *Node) activate(table *matcher.Table, source string) {
	if table.Version <= n.Version() {
		return
	}
	n.table.Store(table)
	n.updateCache.add(table)
	n.Log.Info("config: in force",
		zap.Uint64("version", table.Version),
		zap.String("from", source),
		zap.Int("routes", len(table.Routes)))
	if source == sourceStore {
		n.hub.Announce()
		return
	}
	n.hub.AnnounceInDomain()
}

// UpdateSince returns the update that leads another node from its version to the one in force.
func (n *Node) UpdateSince(version uint64) *matcher.Update { return n.updateCache.updateSince(version) }

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

// shutDown lets clients and other nodes go elsewhere, ends what is in flight and returns
// before the process would be killed.
func (n *Node) shutDown() {
	began := time.Now()
	n.stopping.Store(true)
	n.acceptor.Stop()
	n.Log.Info("node: stopping", zap.Int("requests", n.acceptor.OpenRequests()), zap.Int("deliveries", n.deliverer.Busy()))
	n.serveUntil(func(elapsed time.Duration) bool {
		if elapsed >= deliveryPeriod {
			n.deliverer.Stop()
		}
		return elapsed >= minServePeriod && (n.clientsIdle() || elapsed >= maxServePeriod)
	}, began)
	n.acceptor.Refuse()
	n.serveUntil(func(time.Duration) bool { return n.clientsIdle() }, began)
	n.acceptor.Close()
	n.serveUntil(func(time.Duration) bool {
		return n.acceptor.OpenRequests() == 0 && n.deliverer.Busy() == 0
	}, began)
}

// clientsIdle reports whether no client has sent anything for a while.
func (n *Node) clientsIdle() bool {
	return n.acceptor.OpenRequests() == 0 && n.acceptor.IdleTime() >= minIdleTime
}

// serveUntil goes on serving until done reports true or the process must end. done is given the
// time since began.
func (n *Node) serveUntil(done func(elapsed time.Duration) bool, began time.Time) {
	ticker := time.NewTicker(tickInterval / 5)
	defer ticker.Stop()
	for {
		elapsed := time.Since(began)
		if done(elapsed) || elapsed >= n.Settings.Bounds.StopGracePeriod-killMargin {
			return
		}
		select {
		case event := <-n.events:
			event()
		case <-ticker.C:
		}
	}
}
