// Package runner assembles a node from its control loop, its links to other nodes, its call path
// and its reader of the store.
package runner

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"clementinerock/internal/call/forwarder"
	"clementinerock/internal/call/picker"
	"clementinerock/internal/call/router"
	"clementinerock/internal/config/approver"
	"clementinerock/internal/config/indexer"
	"clementinerock/internal/mesh/gossiper"
	"clementinerock/internal/mesh/linker"
	"clementinerock/internal/mesh/messenger"
	"clementinerock/internal/mesh/reader"
	"clementinerock/internal/mesh/signer"
	"clementinerock/internal/node/counter"
)

const (
	callProtocol     = "http/1.1"
	serverIdle       = time.Minute
	maxRequestBody   = 4 << 20
	discoveryTimeout = 3 * time.Second
	drainDelay       = 2 * time.Second // minimum time that a leaving node still forwards calls
	drainTimeout     = 30 * time.Second
	drainPoll        = 20 * time.Millisecond
)

// Config holds the settings and dependencies of a node.
type Config struct {
	Host     messenger.Host
	Calls    string // address to accept calls from clients on
	Identity signer.Identity
	Store    reader.Store
	Peers    []string // control addresses of seed nodes, dialed before those in the store
	Gossip   gossiper.Config
	Pick     picker.Policy
	Limit    string // name of the limiter policy
	Hedging  bool
	Log      *zap.Logger
	Seed     uint64            // seed of the control loop's random choices; 0 means a random seed
	Dial     fasthttp.DialFunc // connects to other nodes; nil means TCP
}

// activeVersion is the version in force.
type activeVersion struct {
	head  approver.Head
	index indexer.Index
}

// readerSlot is the number of the reader lease that this node may take, if it is eligible.
type readerSlot struct {
	slot     int
	eligible bool
}

// Node is one running node.
type Node struct {
	host        messenger.Host
	store       reader.Store
	peers       []string
	log         *zap.Logger
	metrics     *counter.Counter
	front       *forwarder.Front
	back        *forwarder.Back
	links       *linker.Linker
	reader      *reader.Reader
	events      chan event
	stop        chan struct{}
	current     atomic.Pointer[activeVersion]
	table       atomic.Pointer[router.Table]
	slot        atomic.Pointer[readerSlot]
	discovering atomic.Bool
	leaving     atomic.Bool
	callAddress string

	ctx   context.Context
	tasks sync.WaitGroup
}

// New starts a node. The clean-up function stops it at once; call Leave first to shut down
// gracefully.
func New(config Config) (*Node, func(), error) {
	n := &Node{
		host:   config.Host,
		store:  config.Store,
		peers:  config.Peers,
		log:    config.Log.With(zap.String("node", config.Host.Name)),
		events: make(chan event, eventQueueSize),
		stop:   make(chan struct{}),
	}
	metrics, closeMetrics := counter.New()
	n.metrics = metrics
	n.current.Store(&activeVersion{})
	n.table.Store(router.New(nil))
	n.slot.Store(&readerSlot{})
	n.back = forwarder.NewBack(config.Limit, n.metrics)
	n.front = forwarder.NewFront(config.Pick, n.back, config.Dial,
		config.Identity.Client(callProtocol, ""), n.metrics)
	n.front.Hedging = config.Hedging
	ctx, cancel := context.WithCancel(context.Background())
	n.ctx = ctx
	cleanups := []func(){closeMetrics, cancel}
	cleanup := func() {
		for i := len(cleanups) - 1; i >= 0; i-- {
			cleanups[i]()
		}
	}
	stopServers, err := n.serve(config)
	if err != nil {
		cleanup()
		return nil, nil, err
	}
	cleanups = append(cleanups, stopServers)
	now := time.Now()
	incarnation := uint64(now.UnixMilli())
	links, closeLinks, err := linker.New(n.host, incarnation, config.Identity, n)
	if err != nil {
		cleanup()
		return nil, nil, err
	}
	n.links = links
	n.host.Control = links.Address()
	seed := config.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	control := newControl(n, n.host, config.Gossip, seed, now)
	control.links = links
	n.tasks.Go(func() { control.run(n.events, n.stop) })
	cleanups = append(cleanups, func() {
		close(n.stop)
		n.tasks.Wait()
	}, closeLinks)
	r, stopReader := reader.New(config.Store, n, n.host, n.log)
	n.reader = r
	cleanups = append(cleanups, stopReader)
	return n, cleanup, nil
}

// serve starts the servers for clients and for other nodes. The returned function stops them.
func (n *Node) serve(config Config) (func(), error) {
	peerListener, err := net.Listen("tcp", config.Host.Peer)
	if err != nil {
		return nil, merry.Prependf(err, "listen on peer address %s", config.Host.Peer)
	}
	clientListener, err := net.Listen("tcp", config.Calls)
	if err != nil {
		_ = peerListener.Close()
		return nil, merry.Prependf(err, "listen on calls address %s", config.Calls)
	}
	n.host.Peer = peerListener.Addr().String()
	n.callAddress = clientListener.Addr().String()
	tlsListener := tls.NewListener(peerListener, config.Identity.Server(callProtocol))
	backServer := newServer(n.back.Handle)
	frontServer := newServer(n.front.Handle)
	var serving conc.WaitGroup
	serving.Go(func() { _ = backServer.Serve(tlsListener) })
	serving.Go(func() { _ = frontServer.Serve(clientListener) })
	return func() {
		shutdown(frontServer)
		shutdown(backServer)
		serving.Wait()
	}, nil
}

func newServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               handler,
		IdleTimeout:           serverIdle,
		MaxRequestBodySize:    maxRequestBody,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
}

// discardLogger discards the messages that fasthttp logs about broken connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

func shutdown(server *fasthttp.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = server.ShutdownWithContext(ctx)
}

// post sends an event to the control loop. It drops the event if the node is stopping.
func (n *Node) post(e event) {
	select {
	case n.events <- e:
	case <-n.stop:
	}
}

// runInLoop runs a function in the control loop and waits until it returns or the node stops.
func (n *Node) runInLoop(run func(*control)) {
	done := make(chan struct{})
	n.post(loopCall{run: run, done: done})
	select {
	case <-done:
	case <-n.stop:
	}
}

// LinkUp implements linker.Events.
func (n *Node) LinkUp(host messenger.Host, inbound bool) {
	n.post(linkUp{host: host, inbound: inbound})
}

// LinkDown implements linker.Events.
func (n *Node) LinkDown(name string, planned bool) { n.post(linkDown{name: name, planned: planned}) }

// DialFailed implements linker.Events.
func (n *Node) DialFailed(name string) { n.post(dialFailed{name: name}) }

// Probed implements linker.Events.
func (n *Node) Probed(name string, alive bool) { n.post(probed{name: name, alive: alive}) }

// Received implements linker.Events.
func (n *Node) Received(from string, message messenger.Message) {
	n.post(received{from: from, message: message})
}

// VersionRead implements reader.Node.
func (n *Node) VersionRead(head approver.Head, index indexer.Index) {
	n.post(versionRead{head: head, index: index})
}

// Current implements reader.Node.
func (n *Node) Current() (approver.Head, indexer.Index) {
	active := n.current.Load()
	return active.head, active.index
}

// ReaderSlot implements reader.Node.
func (n *Node) ReaderSlot() (slot int, eligible bool) {
	s := n.slot.Load()
	return s.slot, s.eligible
}

// Announce adds or updates a target of this host.
func (n *Node) Announce(target messenger.Target) { n.post(targetAnnounced{target: target}) }

// Withdraw removes the target with the given address.
func (n *Node) Withdraw(address string) { n.post(targetWithdrawn{address: address}) }

// Status returns the convergence of the mesh according to the reports that this node received.
func (n *Node) Status() gossiper.Status {
	var status gossiper.Status
	n.runInLoop(func(c *control) { status = c.core.Status() })
	return status
}

// CallAddress returns the address on which the node accepts calls from clients.
func (n *Node) CallAddress() string { return n.callAddress }

// Host returns the host of the node with the addresses that it listens on.
func (n *Node) Host() messenger.Host { return n.host }

// Front returns the side of the node that faces clients.
func (n *Node) Front() *forwarder.Front { return n.front }

// Traffic returns the bytes of control traffic sent and received.
func (n *Node) Traffic() (sent, received uint64) { return n.links.Traffic() }

// Ready reports whether the node accepts calls.
func (n *Node) Ready() bool { return n.front.Snapshot().Ready }

// DropPackets discards all packets of the node's links, as if its host had lost power.
func (n *Node) DropPackets() { n.links.DropPackets() }

// Metrics returns the node's counters.
func (n *Node) Metrics() *counter.Counter { return n.metrics }

// ErrDrainTimeout is returned by Leave if calls are still open when the drain times out.
var ErrDrainTimeout = merry.Sentinel("drain timed out with calls still open")

// Leave drains the node for a graceful shutdown: its targets get no new calls, and it waits until the
// calls in flight have ended or returns ErrDrainTimeout. Only the first Leave has an effect.
func (n *Node) Leave() error {
	if !n.leaving.CompareAndSwap(false, true) {
		return nil
	}
	n.log.Info("control: graceful shutdown started")
	done := make(chan struct{})
	n.post(leaving{done: done})
	<-done
	time.Sleep(drainDelay)
	n.back.Drain()
	deadline := time.Now().Add(drainTimeout)
	for n.front.OpenCalls() > 0 || n.back.OpenCalls() > 0 {
		if time.Now().After(deadline) {
			return ErrDrainTimeout
		}
		time.Sleep(drainPoll)
	}
	n.runInLoop(func(c *control) { c.perform(c.core.Leave(time.Now())) })
	return nil
}
