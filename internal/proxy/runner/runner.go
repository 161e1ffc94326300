// Package runner assembles the node, the process beside a target. It starts and stops the parts of
// the node and owns its control state: the peers, the configuration and the target's report.
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
	"clementinerock/internal/proxy/exposer"
	"clementinerock/internal/proxy/finder"
	"clementinerock/internal/proxy/forwarder"
	"clementinerock/internal/proxy/matcher"
	"clementinerock/internal/proxy/pacer"
	"clementinerock/internal/proxy/prover"
	"clementinerock/internal/proxy/releaser"
	"clementinerock/internal/proxy/reserver"
	"clementinerock/internal/proxy/retainer"
	"clementinerock/internal/proxy/throttler"
	"clementinerock/internal/proxy/tracker"
	"clementinerock/platform"
)

const (
	tickInterval   = 250 * time.Millisecond // interval between two removals of stale peers and updates of gauges
	eventQueueSize = 256

	// peerTimeout is the time after which a peer is no longer dialed if there is no link to it and
	// neither the store nor another node has listed it.
	peerTimeout = 30 * time.Second

	// unlinkedPeerTimeout is the corresponding time for a peer to which this node keeps no link.
	// It covers several listings of all entries in the store.
	unlinkedPeerTimeout = 2 * time.Minute

	// deliveryPeriod is the time after SIGTERM for which the target still gets calls, so that
	// other nodes have time to choose other targets.
	deliveryPeriod = 1200 * time.Millisecond

	// minServePeriod is the minimum time after SIGTERM for which new requests are served. The
	// platform probes readiness twice within it.
	minServePeriod = 2300 * time.Millisecond

	// maxServePeriod is the maximum time after SIGTERM for which new requests are served.
	maxServePeriod = 3 * time.Second

	// minIdleTime is the time without a request after which clients count as idle.
	minIdleTime = 400 * time.Millisecond

	// answerPeriod is the maximum time, within killMargin, for sending the last responses to clients.
	answerPeriod = 150 * time.Millisecond

	// killMargin is the time before SIGKILL that is reserved for removing this node's entry from
	// the store and closing the remaining connections.
	killMargin = 900 * time.Millisecond

	// maxDrainGrace is the maximum time for which a target that drains or has left still gets calls.
	maxDrainGrace = time.Second

	// paceableShare is the share of the host's bandwidth for the content of messages. The rest is for
	// the headers of packets.
	paceableShare = 0.92

	// maxLoggedName is the maximum length in bytes of the name of an invalid peer in a log line.
	maxLoggedName = 64

	// clientDescriptorShare is the share of the descriptors of the process for clients. The rest is for links,
	// targets, the store and probes.
	clientDescriptorShare = 0.5

	// clientMemoryShare is the share of the memory for connections of clients, of which each takes
	// clientConnMemory: its buffers, stacks, a head of the usual limit, and bodies too small to be counted.
	clientMemoryShare = 0.125
	clientConnMemory  = 32 << 10 // in bytes

	// minBudgetNodes is the minimum number of nodes among which the slack of a service's retry
	// budget is divided.
	minBudgetNodes = 10
)

// Sources of a configuration, as they appear in logs.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// knownPeer is another node that this node may dial.
type knownPeer struct {
	carrier.Peer
	lastSeen time.Time // last time that a link was up or that the store or another node listed it
}

// Node is the process of this program beside a target.
type Node struct {
	Settings platform.Settings
	Log      *zap.Logger
	Meter    *counter.Counter
	Dropped  func() int64 // returns the number of dropped log lines

	self        carrier.Peer
	table       atomic.Pointer[matcher.Table] // active configuration; nil until the first one arrives
	updateCache updateCache
	stopping    atomic.Bool
	knownNodes  atomic.Int64 // number of nodes known now, including this one
	maxNodes    atomic.Int64 // maximum number of nodes known at the same time, including this one
	started     time.Time
	events      chan func()             // events for the control goroutine
	peers       map[string]*knownPeer   // all known peers by address
	peersToLink map[string]carrier.Peer // peers by address to which this node keeps links
	target      tracker.Tracker
	deliverer   *deliverer.Deliverer
	forwarder   *forwarder.Forwarder
	acceptor    *acceptor.Acceptor
	hub         *carrier.Hub
	finder      *finder.Finder
	retainer    *retainer.Retainer
	store       *platform.Store
	storeEra    atomic.Uint64        // era in which this node last wrote again what it owns in the store; 0 for none
	prover      *prover.Prover       // nil unless requests with a withdrawn key must not run
	fresh       bool                 // whether the last check found a sufficient proof of freshness
	registry    *exposer.Registry    // rollouts; nil if the exposure of versions is not limited
	releaser    *releaser.Releaser   // nil likewise
	throttler   *throttler.Throttler // nil if the settings have no usage caps
	memory      *reserver.Reserver   // nil if the settings contain no limit
	shutdown    carrier.Shutdown
	overdue     bool          // whether the grace time of the shutdown was over before its end
	ended       chan struct{} // closed when Run returns
}

// Run serves until stop is closed and then shuts down gracefully.
func (n *Node) Run(stop <-chan struct{}) error {
	n.build()
	cleanUps := []func(){}
	defer func() {
		for i := len(cleanUps) - 1; i >= 0; i-- {
			cleanUps[i]()
		}
	}()
	cleanUps = append(cleanUps, func() { close(n.ended) }, n.retainer.Start())
	if n.throttler != nil {
		cleanUps = append(cleanUps, n.throttler.Start())
	}
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
	if n.releaser != nil {
		cleanUps = append(cleanUps, n.releaser.Start())
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
		Started:       n.started.UnixNano(), //nolint:forbidigo // tells processes of the same node apart
		MilliCPU:      s.MilliCPU,
	}
	n.ended = make(chan struct{})
	n.target = tracker.Tracker{Service: s.Service, Address: s.Target, Loading: n.started}
	n.deliverer = &deliverer.Deliverer{
		Log:     n.Log,
		Meter:   n.Meter,
		Address: s.Target,
		Version: n.Version,
		Memory:  s.Memory,
	}
	n.hub = &carrier.Hub{Self: n.self, Server: n, Log: n.Log, AddPeers: n.AddPeers}
	n.deliverer.OnStateChange = n.hub.Announce
	n.deliverer.OnMisdirected = func(run tracker.Run) { n.enqueue(func() { n.target.Misdirected(run) }) }
	n.deliverer.DrainGrace = min(maxDrainGrace, s.Bounds.DrainPeriod/2)
	n.forwarder = &forwarder.Forwarder{
		Log:           n.Log,
		Meter:         n.Meter,
		Service:       s.Service,
		FailureDomain: s.FailureDomain,
		Local:         n.deliverer,
		Hub:           n.hub,
		EvenLoad:      s.Bounds.EvenLoad(),
		Shutdown:      &n.shutdown,
	}
	n.forwarder.Budget = func() budgeter.Budget { return n.budget() }
	n.acceptor = &acceptor.Acceptor{
		Log:       n.Log,
		Meter:     n.Meter,
		Forwarder: n.forwarder,
		Table:     n.table.Load,
		Derived:   n.deliverer.Derived,
	}
	uplink := &pacer.Gate{Rate: paceableShare * s.Bandwidth}
	n.hub.Uplink, n.deliverer.Uplink, n.acceptor.Uplink = uplink, uplink, uplink
	memory := reserver.New(s.Memory, n.Meter)
	n.memory, n.hub.Memory, n.deliverer.Reserver, n.acceptor.Memory = memory, memory, memory, memory
	n.acceptor.MaxConns = maxClientConns(s.Memory, s.MaxDescriptors)
	store, _ := platform.NewStore(s.Store)
	n.store = store
	n.store.OnEra(n.noteStoreEra)
	n.hub.StoreEra = n.receiveStoreEra
	n.finder = &finder.Finder{Log: n.Log, Store: store, Self: n.self, Sink: n, Hub: n.hub}
	n.buildReleaser(store)
	n.retainer = &retainer.Retainer{Log: n.Log, Store: store, Address: s.Target, OnLoad: n.restoreDepartures}
	if s.Bounds.KeyRevocation > 0 {
		n.buildProver()
	}
	if s.Bounds.UsageWindow > 0 {
		n.buildThrottler(store)
	}
}

// maxClientConns returns the maximum number of connections of clients, or 0 for no limit.
func maxClientConns(memory int64, descriptors int) int {
	limit := 0
	if descriptors > 0 {
		limit = max(int(clientDescriptorShare*float64(descriptors)), 1)
	}
	if memory > 0 {
		byMemory := max(int(clientMemoryShare*float64(memory)/clientConnMemory), 1)
		if limit == 0 || byMemory < limit {
			limit = byMemory
		}
	}
	return limit
}

// budget returns this node's share of a service's retry budget. The slack is divided by the largest
// number of nodes that were ever known, so that a node that is partitioned or has just started does
// not use the slack of all nodes.
func (n *Node) budget() budgeter.Budget {
	b := n.Settings.Bounds
	return budgeter.Budget{
		Ratio:  b.RetryRatio,
		Slack:  b.RetrySlack / float64(max(n.maxNodes.Load(), minBudgetNodes)),
		Window: b.RetryWindow,
	}
}

// loop handles events on the control goroutine until stop is closed. Only this goroutine modifies
// the peers, the configuration and the target's report.
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
			n.recordHoldings()
			n.recordFreshness()
		}
	}
}

// enqueue passes an event to the control goroutine. It blocks while the queue is full.
func (n *Node) enqueue(event func()) { n.events <- event }

// addSeeds adds the hosts in the settings as peers, so that links come up before the store has
// responded.
func (n *Node) addSeeds() {
	seeds := make([]carrier.Peer, 0, len(n.Settings.Seeds))
	for _, address := range n.Settings.Seeds {
		seeds = append(seeds, carrier.Peer{Address: platform.PeerAddress(address, n.Settings.PeerPort)})
	}
	n.AddPeers(seeds)
}

// AddPeers adds peers that the store or another node has listed.
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

// addPeer adds a peer, or updates it if its process started later than the known one. It reports
// whether anything changed.
func (n *Node) addPeer(peer carrier.Peer) bool {
	if peer.Address == "" || peer.Address == n.self.Address {
		return false
	}
	if err := peer.Check(); err != nil {
		n.Log.Warn("node: invalid peer ignored", zap.String("node", peer.Node[:min(len(peer.Node), maxLoggedName)]), recorder.Err(err))
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

// removeStalePeers removes peers that have had no link and have not been listed for their timeout.
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
			n.Log.Info("node: stale peer removed", zap.String("node", k.Node), zap.String("address", address))
			removed = true
		}
	}
	if removed {
		n.updateLinks()
	}
}

// updateLinks chooses the peers to keep links to and passes them to the hub, with all known peers.
func (n *Node) updateLinks() {
	n.knownNodes.Store(int64(len(n.peers) + 1))
	known := make([]carrier.Peer, 0, len(n.peers))
	for _, k := range n.peers {
		known = append(known, k.Peer)
	}
	n.peersToLink = chooseLinks(n.self, known, n.updateIssuers(known))
	n.hub.SetPeers(n.peersToLink, known)
}

// ReceiveConfig decodes and activates the configuration in the store. It returns its version, and whether it
// is valid.
func (n *Node) ReceiveConfig(text []byte) (version uint64, valid bool) {
	table, odd, err := platform.DecodeConfig(text)
	if err != nil {
		n.Log.Error("config: invalid configuration in the store ignored",
			zap.String("from", sourceStore),
			recorder.Err(err))
		n.Meter.Add("config_refused", 1)
		return 0, false
	}
	n.reportOddities(table.Version, &odd)
	n.enqueue(func() { n.activate(n.shareUnchanged(table), sourceStore) })
	return table.Version, true
}

// reportOddities logs and counts the parts of a configuration that are used in a reduced form.
func (n *Node) reportOddities(version uint64, odd *platform.ConfigOddities) {
	if len(odd.UnknownKinds) > 0 {
		n.Log.Warn("config: requests of routes of unknown kinds are run at most once",
			zap.Uint64("version", version),
			zap.Int("routes", len(odd.UnknownKinds)),
			zap.String("kind", odd.UnknownKinds[0]))
	}
	if len(odd.Accounts) > 0 {
		n.Log.Warn("config: client accounts with missing, ambiguous or invalid fields are used without these",
			zap.Uint64("version", version),
			zap.Int("accounts", len(odd.Accounts)),
			zap.String("account", odd.Accounts[0]))
		n.Meter.Add("config_odd_accounts", int64(len(odd.Accounts)))
	}
}

// shareUnchanged returns a table with the content of the given one. To save memory, it shares the
// unchanged routes with the active table.
func (n *Node) shareUnchanged(table *matcher.Table) *matcher.Table {
	current := n.table.Load()
	if current == nil || table.Version <= current.Version {
		return table
	}
	update := table.Since(current)
	shared, err := update.Apply(current)
	if err != nil {
		n.Log.Warn("config: unchanged routes could not be shared with the active version",
			zap.Uint64("version", table.Version),
			recorder.Err(err))
		return table
	}
	return shared
}

// Receive applies and activates an update from another node. If the update cannot be applied, it
// calls refetch to request the whole configuration, unless the update contains it.
func (n *Node) Receive(update *matcher.Update, refetch func()) {
	n.enqueue(func() {
		current := n.table.Load()
		if current != nil && update.Version <= current.Version {
			return
		}
		table, err := update.Apply(current)
		if err != nil {
			n.Log.Warn("config: update from a peer could not be applied",
				zap.Uint64("base", update.BaseVersion),
				recorder.Err(err))
			if update.BaseVersion != 0 {
				refetch()
			}
			return
		}
		n.activate(table, sourcePeer)
	})
}

// activate makes a configuration the active one if it is newer, and announces it: to all linked
// peers if it was read from the store, otherwise only to a few in the failure domain.
func (n *Node) activate(table *matcher.Table, source string) {
	if table.Version <= n.Version() {
		return
	}
	capped := throttler.Active(n.table.Load())
	n.table.Store(table)
	n.updateCache.add(table)
	if n.throttler != nil && throttler.Active(table) != capped {
		n.updateLinks()
	}
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

// UpdateSince returns the update from a version to the active one, or nil if no version is active.
func (n *Node) UpdateSince(version uint64) *matcher.Update { return n.updateCache.updateSince(version) }

// Version returns the version of the active configuration, or 0 if there is none.
func (n *Node) Version() uint64 {
	if table := n.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// State returns the state of this node and its target as it is sent to other nodes.
func (n *Node) State() carrier.State {
	state := n.deliverer.State()
	state.ReadsStore = n.finder.Connected()
	state.StoreEra = n.currentStoreEra()
	if n.throttler != nil {
		state.Issuing = n.throttler.Issuing()
	}
	return state
}

// Serve delivers a call from another node. See deliverer.Deliverer.Serve.
func (n *Node) Serve(call *carrier.Call, answer func(*carrier.Answer)) carrier.Delivery {
	return n.deliverer.Serve(call, answer)
}

// Void marks an attempt of another node as never to be delivered. See deliverer.Deliverer.Void.
func (n *Node) Void(id []byte, attempt uint64) bool { return n.deliverer.Void(id, attempt) }

// ready reports whether clients may send requests to this node: it is not stopping, a configuration
// is active, and the target or a link is available.
func (n *Node) ready() bool {
	if n.stopping.Load() || n.table.Load() == nil {
		return false
	}
	return n.deliverer.State().Serving || len(n.hub.Links()) > 0
}

// shutDown performs the graceful shutdown after SIGTERM. It moves clients and other nodes
// elsewhere, waits for open requests and deliveries, and returns before SIGKILL.
func (n *Node) shutDown() {
	began := time.Now()
	n.stopping.Store(true)
	n.shutdown.Begin(began.Add(n.Settings.Bounds.StopGracePeriod - killMargin))
	n.acceptor.Stop()
	if n.throttler != nil {
		go n.throttler.Release(minServePeriod)
	}
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
	n.endRequests()
}

// endRequests ends all requests, and refuses the calls of other nodes that have not started. It waits until the last
// responses to clients are sent, for answerPeriod at most.
func (n *Node) endRequests() {
	n.acceptor.Refuse()
	n.deliverer.Stop()
	n.shutdown.Finish()
	ticker := time.NewTicker(answerPeriod / 10)
	defer ticker.Stop()
	for end := time.Now().Add(answerPeriod); n.acceptor.OpenRequests() > 0 && time.Now().Before(end); {
		select {
		case event := <-n.events:
			event()
		case <-ticker.C:
		}
	}
	if open := n.acceptor.OpenRequests(); open > 0 {
		n.Log.Warn("node: stopped before all requests were answered", zap.Int("requests", open))
	}
}

// clientsIdle reports whether no request is open and none has arrived for minIdleTime.
func (n *Node) clientsIdle() bool {
	return n.acceptor.OpenRequests() == 0 && n.acceptor.IdleTime() >= minIdleTime
}

// serveUntil handles events until done returns true or the process must end. The argument of done
// is the time since began.
func (n *Node) serveUntil(done func(elapsed time.Duration) bool, began time.Time) {
	ticker := time.NewTicker(tickInterval / 5)
	defer ticker.Stop()
	var recorded time.Duration
	for {
		elapsed := time.Since(began)
		if done(elapsed) {
			return
		}
		if elapsed >= n.Settings.Bounds.StopGracePeriod-killMargin {
			n.reportOverdue(elapsed)
			return
		}
		if elapsed-recorded >= tickInterval {
			recorded = elapsed
			n.recordHoldings()
		}
		select {
		case event := <-n.events:
			event()
		case <-ticker.C:
		}
	}
}
