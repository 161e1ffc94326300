package carrier

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/dialer"
)

const (
	dialTimeout    = 500 * time.Millisecond
	unackedTimeout = 1500 * time.Millisecond // a peer that acknowledges no byte for so long is taken for dead
	fetchTimeout   = 250 * time.Millisecond  // in which a peer answers a request for its configuration
	domainFanout   = 2                       // nodes of the failure domain that are told of a version that a peer sent
)

// Hub keeps one link to each known node. Links carry calls in both directions, whichever
// side dialed.
type Hub struct {
	Self     Peer
	Server   Server
	Log      *zap.Logger
	AddPeers func([]Peer) // called with peers that other nodes know

	mu             sync.Mutex
	dialStates     map[string]*dialState // by address
	known          []Peer                // replaced, never changed
	allLinks       map[*Link]struct{}
	links          []*Link            // the one to use for each node; replaced, never changed
	linksByService map[string][]*Link // the same, by the service of the target beside the node
	closed         bool
	helloCount     int       // greetings in which peers were asked for
	fetchVersion   uint64    // newest version that was asked for
	fetchTime      time.Time // when
}

// Start listens for links. The clean-up function closes all of them.
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
		_ = listener.Close() // no more links are wanted
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

func (h *Hub) acceptLoop(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go h.accept(conn)
	}
}

// accept serves a link that another node dialed.
func (h *Hub) accept(conn net.Conn) {
	l := h.newLink(conn)
	other, err := l.accept(&hello{Self: h.Self, State: h.Server.State()}, h.Peers)
	if err != nil {
		_ = conn.Close() // the peer dials again
		h.Log.Info("link: greeting failed", zap.String("from", conn.RemoteAddr().String()), recorder.Err(err))
		return
	}
	if other.Temporary {
		_ = l.run() // ends when the peer has its answer
		return
	}
	_ = h.runLink(l, nil) // the reason is logged; the side that dialed tries again
}

// runLink uses a link until it ends.
func (h *Hub) runLink(l *Link, peers []Peer) error {
	if !h.add(l) {
		l.Close()
		return errClosed
	}
	h.AddPeers(append(peers, l.Peer))
	h.Log.Info("link: up",
		zap.String("node", l.Peer.Node),
		zap.String("address", l.Peer.Address),
		zap.Bool("dialed", l.dialed))
	err := l.run()
	h.remove(l)
	h.Log.Info("link: lost",
		zap.String("node", l.Peer.Node),
		zap.String("address", l.Peer.Address),
		recorder.Err(err))
	return err
}

func (h *Hub) add(l *Link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || l.Peer.Node == h.Self.Node {
		return false
	}
	h.allLinks[l] = struct{}{}
	h.selectLinks()
	return true
}

func (h *Hub) remove(l *Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.allLinks, l)
	h.selectLinks()
}

// selectLinks takes for each node the link that both sides prefer.
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

// preferred reports whether one of two links to a node goes before the other: the one to its
// later start, and of those to the same start the one that the later of both nodes dialed.
// Both sides choose the same, so the other links fall idle.
func (h *Hub) preferred(a, b *Link) bool {
	if a.Peer.Started != b.Peer.Started {
		return a.Peer.Started > b.Peer.Started
	}
	if a.dialed != b.dialed {
		return a.dialed == h.dialsFirst(a.Peer)
	}
	return a.id > b.id
}

// Peers returns all nodes that are known by name.
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

// LinksTo returns the links to nodes beside targets of a service. The slice must not be
// changed.
func (h *Hub) LinksTo(service string) []*Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.linksByService[service]
}

// LinkedAddresses returns the addresses to which a link is up.
func (h *Hub) LinkedAddresses() map[string]struct{} {
	links := h.Links()
	linked := make(map[string]struct{}, len(links))
	for _, l := range links {
		linked[l.Peer.Address] = struct{}{}
	}
	return linked
}

// DialTemporary returns a link to the node at an address, made anew for one question. The clean-up
// function ends it.
func (h *Hub) DialTemporary(address string) (*Link, func(), error) {
	conn, err := dialer.Dial(address, dialTimeout, unackedTimeout)
	if err != nil {
		return nil, nil, err
	}
	l := h.newLink(conn)
	if _, err := l.initiate(&hello{Self: h.Self, State: h.Server.State(), Temporary: true}); err != nil {
		_ = conn.Close() // the caller learns of the failure
		return nil, nil, err
	}
	go func() { _ = l.run() }() // ends with the link
	return l, l.Close, nil
}

// Announce tells all nodes the present state.
func (h *Hub) Announce() {
	for _, l := range h.Links() {
		l.SendState()
	}
}

// AnnounceInDomain tells a few nodes of the failure domain the present state: those that follow
// this one in the order of names. A version that a peer sent reaches them even if the nodes
// that read it from the store don't.
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

// handleNewerVersion is called when a peer has a handleNewerVersion configuration. It is asked for at once if it is
// near or nobody near could be asked; the next check asks otherwise.
func (h *Hub) handleNewerVersion(l *Link) {
	if l.Peer.FailureDomain == h.Self.FailureDomain {
		h.fetch(l)
		return
	}
	inDomain := slices.ContainsFunc(h.Links(), func(other *Link) bool { return other.Peer.FailureDomain == h.Self.FailureDomain })
	if !inDomain {
		h.fetch(l)
	}
}

// catchUp asks a peer that has a newer configuration for it, one of the same failure domain
// before others.
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

// fetch asks a peer for its configuration, unless another one was asked a moment ago.
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
