// Package runner assembles the process beside a target: it owns the control state and
// starts and stops the parts.
package runner

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"clementinerock/internal/node/counter"
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
	tick          = 250 * time.Millisecond
	forgetAfter   = 5 * time.Second         // a node without an entry and a link is forgotten
	deliverOn     = 1200 * time.Millisecond // after SIGTERM, while other nodes take note
	stayFor       = 2300 * time.Millisecond // after SIGTERM, until the platform has asked twice for readiness
	quietFor      = 400 * time.Millisecond  // without a request before the process ends
	stopMargin    = 1000 * time.Millisecond // before SIGKILL, to end what is left
	longestLinger = time.Second             // for which a target that leaves still gets calls
	eventsBacklog = 256
)

// known is what the node knows of another one.
type known struct {
	carrier.Peer
	entry bool      // has an entry in the store
	seen  time.Time // last heard of
}

// Node is the process beside a target.
type Node struct {
	Settings platform.Settings
	Log      *zap.Logger
	Meter    *counter.Counter
	Dropped  func() int64 // log lines that found no room

	self      carrier.Peer
	table     atomic.Pointer[matcher.Table]
	text      atomic.Pointer[[]byte] // of the table
	stopping  atomic.Bool
	started   time.Time
	events    chan func()
	peers     map[string]*known // by address
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
		zap.String("zone", n.self.Zone),
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
		Node:    s.Node,
		Address: s.Peer,
		Zone:    s.Zone,
		Service: s.Service,
		Started: n.started.UnixNano(),
	}
	n.target = tracker.Tracker{Service: s.Service, Address: s.Target}
	n.deliverer = &deliverer.Deliverer{
		Log:     n.Log,
		Meter:   n.Meter,
		Address: s.Target,
		Version: n.version,
	}
	n.hub = &carrier.Hub{Self: n.self, Server: n, Log: n.Log, Meet: n.meet}
	n.deliverer.Changed = n.hub.Announce
	n.deliverer.Linger = min(longestLinger, s.Bounds.Drain/2)
	n.forwarder = &forwarder.Forwarder{
		Log:     n.Log,
		Meter:   n.Meter,
		Service: s.Service,
		Zone:    s.Zone,
		Local:   n.deliverer,
		Hub:     n.hub,
	}
	n.forwarder.Budget = func() budgeter.Budget { return n.budget() }
	n.acceptor = &acceptor.Acceptor{Log: n.Log, Forwarder: n.forwarder, Table: n.table.Load}
	store, _ := platform.NewStore(s.Store)
	n.finder = &finder.Finder{Log: n.Log, Store: store, Self: n.self, Sink: n}
}

// budget returns this node's share of a service's allowance of repeats.
func (n *Node) budget() budgeter.Budget {
	b := n.Settings.Bounds
	nodes := len(n.hub.Links()) + 1
	return budgeter.Budget{
		Ratio:  b.RetryRatio,
		Slack:  b.RetrySlack / float64(nodes),
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
	n.post(func() {
		for _, address := range n.Settings.Seeds {
			n.learn(carrier.Peer{Address: platform.PeerAddress(address, n.Settings.PeerPort)}, false)
		}
		n.want()
	})
}

// meet takes in nodes that other nodes know.
func (n *Node) meet(peers []carrier.Peer) {
	n.post(func() {
		for _, peer := range peers {
			n.learn(peer, false)
		}
		n.want()
	})
}

// Joined takes in a node's entry in the store.
func (n *Node) Joined(peer carrier.Peer) {
	n.post(func() {
		n.learn(peer, true)
		n.want()
	})
}

// Lapsed takes in that a node's entry in the store is gone.
func (n *Node) Lapsed(node string) {
	n.post(func() {
		for _, k := range n.peers {
			if k.Node == node {
				k.entry = false
				k.seen = time.Now()
			}
		}
	})
}

func (n *Node) learn(peer carrier.Peer, entry bool) {
	if peer.Address == "" || peer.Address == n.self.Address {
		return
	}
	k, ok := n.peers[peer.Address]
	if !ok {
		k = &known{}
		n.peers[peer.Address] = k
	}
	if peer.Started >= k.Started {
		k.Peer = peer
	}
	k.entry = k.entry || entry
	k.seen = time.Now()
}

// forget drops nodes that have neither an entry nor a link for a while.
func (n *Node) forget(now time.Time) {
	dropped := false
	for address, k := range n.peers {
		if n.hub.Linked(address) {
			k.seen = now
			continue
		}
		if !k.entry && now.Sub(k.seen) > forgetAfter {
			delete(n.peers, address)
			n.Log.Info("node: forgotten", zap.String("node", k.Node), zap.String("address", address))
			dropped = true
		}
	}
	if dropped {
		n.want()
	}
}

// want tells the hub which links to keep.
func (n *Node) want() {
	peers := make(map[string]carrier.Peer, len(n.peers))
	for address, k := range n.peers {
		peers[address] = k.Peer
	}
	n.hub.Want(peers)
}

// Config takes in the configuration that the store holds.
func (n *Node) Config(text []byte) { n.post(func() { n.adopt(text, "store") }) }

// Receive takes in a configuration that another node sent.
func (n *Node) Receive(text []byte) { n.post(func() { n.adopt(text, "peer") }) }

// adopt puts a configuration in force if it is sound and newer than the present one.
func (n *Node) adopt(text []byte, from string) {
	table, err := platform.DecodeConfig(text)
	if err != nil {
		n.Log.Error("config: refused", zap.String("from", from), zap.Error(err))
		return
	}
	if current := n.table.Load(); current != nil && table.Version <= current.Version {
		return
	}
	n.table.Store(table)
	n.text.Store(&text)
	n.Log.Info("config: in force",
		zap.Uint64("version", table.Version),
		zap.String("from", from),
		zap.Int("routes", len(table.Routes)))
}

func (n *Node) version() uint64 {
	if table := n.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// State returns what other nodes are told.
func (n *Node) State() carrier.State { return n.deliverer.State() }

// Serve delivers a call of another node.
func (n *Node) Serve(call *carrier.Call, answer func(*carrier.Answer)) func() {
	return n.deliverer.Serve(call, answer)
}

// Void forbids an attempt of another node.
func (n *Node) Void(id []byte, attempt uint64) bool { return n.deliverer.Void(id, attempt) }

// Text returns the text of the configuration in force.
func (n *Node) Text() []byte {
	if text := n.text.Load(); text != nil {
		return *text
	}
	return nil
}

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
	n.Log.Info("node: stopping", zap.Int("requests", n.acceptor.Open()), zap.Int("deliveries", n.deliverer.Busy()))
	n.await(func(spent time.Duration) bool {
		if spent >= deliverOn {
			n.deliverer.Stop()
		}
		quiet := n.acceptor.Open() == 0 && n.acceptor.Quiet() >= quietFor
		return quiet && spent >= stayFor
	}, began)
	n.acceptor.Close()
	n.await(func(time.Duration) bool {
		return n.acceptor.Open() == 0 && n.deliverer.Busy() == 0
	}, began)
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
