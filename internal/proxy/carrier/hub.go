package carrier

import (
	"cmp"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/dialer"
	"clementinerock/internal/proxy/pacer"
	"clementinerock/internal/proxy/reserver"
)

const (
	dialTimeout    = 500 * time.Millisecond
	unackedTimeout = 1500 * time.Millisecond // time after which unacknowledged data breaks a connection
	domainFanout   = 2                       // maximum number of nodes that AnnounceInDomain reaches

	acceptRetryDelay = 10 * time.Millisecond

	// fetchTimeout is the time allowed for a peer to send its configuration on request. Until it has
	// passed, the same version or an older one is not requested again.
	fetchTimeout = 250 * time.Millisecond
)

// Hub keeps a link to each peer that SetPeers names and accepts links from other nodes. Links
// carry calls in both directions, whichever side dialed.
type Hub struct {
	Self     Peer
	Server   Server
	Log      *zap.Logger
	AddPeers func([]Peer)       // called with the peers that another node has sent
	Uplink   *pacer.Gate        // paces large bodies; nil for no limit
	Memory   *reserver.Reserver // memory for bodies; nil for no limit
	StoreEra func(uint64)       // called with the era of the store that a peer's state shows, unless it is 0; nil for none
	Prover   Prover             // keeps this node's proof of freshness; nil for none

	// OnRollouts is called with the rollouts that another node announces, if there are any.
	OnRollouts func([]Rollout)
	Credits    CreditServer // exchanges credit for client accounts; nil for none

	mu             sync.Mutex
	dialStates     map[string]*dialState     // by address of the peer
	known          []Peer                    // sent to nodes that request peers; replaced, never changed
	allLinks       map[*Link]struct{}        // all links that are up, including redundant ones
	links          []*Link                   // preferred link of each node; replaced, never changed
	linksByService map[string][]*Link        // the same links, by the service of the node's target
	linked         map[string]struct{}       // memory for the addresses of linked peers
	issuing        map[string]issuingProcess // by node; those that have never issued credit are missing
	ended          map[string]int64          // by node: start time of the process that has ended the last link to it
	closed         bool
	added          uint64       // number of links that were ever registered
	leaseRequests  atomic.Int64 // number of leases that are being renewed for peers
	helloCount     int          // number of hellos sent by connect
	fetchVersion   uint64       // newest version that was requested
	fetchTime      time.Time    // time of the last request for a configuration

	refreshTries int       // number of pings for a younger proof since the proof was young enough
	nextRefresh  time.Time // earliest time of the next such ping
}

// Start accepts links and dials the peers that SetPeers names. The clean-up function closes all
// links.
func (h *Hub) Start() (func(), error) {
	h.dialStates = make(map[string]*dialState)
	h.allLinks = make(map[*Link]struct{})
	listener, err := net.Listen("tcp4", h.Self.Address)
	if err != nil {
		return nil, merry.Prepend(err, "listen for links")
	}
	stop := make(chan struct{})
	go h.acceptLoop(listener)
	go h.runChecks(stop)
	return func() {
		close(stop)
		_ = listener.Close() // no more links are accepted
		h.close()
	}, nil
}

func (h *Hub) close() {
	h.mu.Lock()
	h.closed = true
	links := make([]*Link, 0, len(h.allLinks))
	for l := range h.allLinks {
		links = append(links, l)
	}
	h.dialStates = nil
	h.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
}

// acceptLoop accepts links until the listener is closed.
func (h *Hub) acceptLoop(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			h.Log.Error("link: accept failed", recorder.Err(err))
			time.Sleep(acceptRetryDelay) // probably out of file descriptors until other connections end
			continue
		}
		go h.accept(conn)
	}
}

// accept performs the handshake on a connection that another node dialed and runs the link.
func (h *Hub) accept(conn net.Conn) {
	l := h.newLink(conn)
	other, err := l.accept(&hello{Self: h.Self, State: h.Server.State()}, h.Peers)
	if err != nil {
		_ = conn.Close() // the peer dials again
		h.Log.Info("link: handshake failed",
			zap.String("from", conn.RemoteAddr().String()),
			recorder.Err(err))
		return
	}
	if other.Temporary {
		_ = l.run() // ends when the peer closes the link
		return
	}
	_ = h.runLink(l, nil) // the error is logged; the side that dialed dials again
}

// runLink registers a link, reads its frames until it ends and removes it.
func (h *Hub) runLink(l *Link, peers []Peer) error {
	if !h.add(l) {
		l.Close()
		return errClosed
	}
	l.sendIssuing()
	h.AddPeers(append(peers, l.Peer))
	h.Log.Info("link: up",
		zap.String("node", l.Peer.Node),
		zap.String("address", l.Peer.Address),
		zap.Bool("dialed", l.dialed))
	err := l.run()
	h.remove(l, endedByPeer(err))
	h.Log.Info("link: lost",
		zap.String("node", l.Peer.Node),
		zap.String("address", l.Peer.Address),
		recorder.Err(err))
	return err
}

// add registers a link. It reports false if the hub is closed or the link leads to this node.
func (h *Hub) add(l *Link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || l.Peer.Node == h.Self.Node {
		return false
	}
	h.added++
	l.order = h.added
	h.allLinks[l] = struct{}{}
	delete(h.ended, l.Peer.Node)
	h.selectLinks()
	return true
}

// remove removes a link that has ended. byPeer says whether the peer has ended it.
func (h *Hub) remove(l *Link, byPeer bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.allLinks, l)
	h.selectLinks()
	for other := range h.allLinks {
		if other.Peer.Node == l.Peer.Node {
			return
		}
	}
	if byPeer {
		if h.ended == nil {
			h.ended = make(map[string]int64)
		}
		h.ended[l.Peer.Node] = l.Peer.Started
	}
}

// endedByPeer reports whether the error of a link shows that its other end was closed or has ended, so that the peer
// counts it as lost too.
func endedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// Ended reports whether a process of a node has ended its last link to this node, and no link came up since.
func (h *Hub) Ended(node string, started int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	ended, ok := h.ended[node]
	return ok && ended == started
}

// selectLinks selects for each node the link that both sides prefer.
func (h *Hub) selectLinks() {
	best := make(map[string]*Link, len(h.allLinks))
	for l := range h.allLinks {
		if other := best[l.Peer.Node]; other == nil || h.preferred(l, other) {
			best[l.Peer.Node] = l
		}
	}
	links := make([]*Link, 0, len(best))
	for _, l := range best {
		links = append(links, l)
	}
	slices.SortFunc(links, func(a, b *Link) int { return cmp.Compare(a.Peer.Node, b.Peer.Node) })
	h.links = links
	h.linksByService = make(map[string][]*Link)
	for _, l := range links {
		h.linksByService[l.Peer.Service] = append(h.linksByService[l.Peer.Service], l)
	}
}

// preferred reports whether link a to a node is preferred to link b: the link that came up later if
// they lead to two processes, since only the later one can have completed its handshake, and among
// links to the same process the one dialed by the later started of the two nodes. Both sides choose the
// same link, so that the others become idle.
func (h *Hub) preferred(a, b *Link) bool {
	if a.Peer.Started != b.Peer.Started {
		return a.order > b.order
	}
	if a.dialed != b.dialed {
		return a.dialed == h.dialsFirst(a.Peer)
	}
	return a.id > b.id
}

// Peers returns the known nodes that have a name. A seed has only an address until it is linked.
func (h *Hub) Peers() []Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(h.known), func(p Peer) bool { return p.Node == "" })
}

// Links returns the links that are up, one for each node, in the order of the nodes' names.
// The slice must not be changed.
func (h *Hub) Links() []*Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.links
}

// LinksTo returns the links to the nodes whose target belongs to a service. The slice must not
// be changed.
func (h *Hub) LinksTo(service string) []*Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.linksByService[service]
}

// LinkedAddresses returns the addresses of the peers to which a link is up.
func (h *Hub) LinkedAddresses() map[string]struct{} {
	links := h.Links()
	linked := make(map[string]struct{}, len(links))
	for _, l := range links {
		linked[l.Peer.Address] = struct{}{}
	}
	return linked
}

// DialTemporary opens a new link to the node at an address for a single request, beside the
// link that carries calls. The clean-up function closes it.
func (h *Hub) DialTemporary(address string) (*Link, func(), error) {
	conn, err := dialer.Dial(address, dialTimeout, unackedTimeout)
	if err != nil {
		return nil, nil, err
	}
	l := h.newLink(conn)
	if _, err := l.initiate(&hello{Self: h.Self, State: h.Server.State(), Temporary: true}); err != nil {
		_ = conn.Close() // the error is returned
		return nil, nil, err
	}
	go func() { _ = l.run() }() // returns when the link is closed
	return l, l.Close, nil
}

// Announce sends the current state to all linked nodes.
func (h *Hub) Announce() {
	for _, l := range h.Links() {
		l.SendState()
	}
}

// AnnounceToReaders sends the current state to the linked nodes that read the store.
func (h *Hub) AnnounceToReaders() {
	for _, l := range h.Links() {
		if l.state.Load().ReadsStore {
			l.SendState()
		}
	}
}

// AnnounceInDomain sends the current state to a few nodes of the failure domain: those that
// follow this one in the order of names. So a version that a peer sent reaches them even if the
// nodes that read it from the store do not reach them.
func (h *Hub) AnnounceInDomain() {
	links := h.Links()
	first, _ := slices.BinarySearchFunc(links, h.Self.Node, func(l *Link, node string) int {
		return cmp.Compare(l.Peer.Node, node)
	})
	sent := 0
	for i := range links {
		l := links[(first+i)%len(links)]
		if l.Peer.FailureDomain != h.Self.FailureDomain {
			continue
		}
		l.SendState()
		if sent++; sent == domainFanout {
			return
		}
	}
}

// handleNewerVersion is called when a peer announces a newer configuration. It requests it at
// once if the peer is in the same failure domain or no node of that domain is linked; otherwise
// the next check requests it.
func (h *Hub) handleNewerVersion(l *Link) {
	if l.Peer.FailureDomain == h.Self.FailureDomain {
		h.fetch(l)
		return
	}
	inDomain := slices.ContainsFunc(h.Links(), func(other *Link) bool {
		return other.Peer.FailureDomain == h.Self.FailureDomain
	})
	if !inDomain {
		h.fetch(l)
	}
}

// catchUp requests a newer configuration from a peer that has one, preferably from one in the
// same failure domain.
func (h *Hub) catchUp() {
	var source *Link
	version := h.Server.Version()
	for _, l := range h.Links() {
		if l.state.Load().Version <= version || l.Suspect() {
			continue
		}
		if source == nil || l.Peer.FailureDomain == h.Self.FailureDomain {
			source = l
		}
		if l.Peer.FailureDomain == h.Self.FailureDomain {
			break
		}
	}
	if source != nil {
		h.fetch(source)
	}
}

// fetch requests a peer's configuration, unless that version or a newer one was requested within
// fetchTimeout.
func (h *Hub) fetch(l *Link) {
	version := l.state.Load().Version
	now := time.Now()
	h.mu.Lock()
	if version <= h.fetchVersion && now.Sub(h.fetchTime) < fetchTimeout {
		h.mu.Unlock()
		return
	}
	h.fetchVersion, h.fetchTime = version, now
	h.mu.Unlock()
	go l.fetch(h.Server.Version())
}

// recordFetchProgress records that a part of a requested configuration has arrived, so that it is not
// requested again from another peer.
func (h *Hub) recordFetchProgress() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fetchTime = time.Now()
}
