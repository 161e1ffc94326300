package carrier

import (
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/dialer"
)

const (
	dialLimit     = 500 * time.Millisecond
	unackedLimit  = 1500 * time.Millisecond // a peer that acknowledges no byte for so long is taken for dead
	firstBackoff  = 100 * time.Millisecond
	longBackoff   = time.Second
	idlePing      = time.Second // between pings of an idle link
	linksPerPing  = 20          // links of a node that are pinged in idlePing on average
	checkInterval = 100 * time.Millisecond
	checkLate     = 150 * time.Millisecond // beyond its time, for which this process is to blame
	fetchPause    = 250 * time.Millisecond // in which a peer answers a request for its configuration
)

// Hub keeps a link to each known node and accepts theirs.
type Hub struct {
	Self   Peer
	Server Server
	Log    *zap.Logger
	Meet   func([]Peer) // called with peers that other nodes know

	mu       sync.Mutex
	wanted   map[string]*dialing // by address
	links    []*Link             // that this node dialed
	accepted map[*Link]struct{}
	closed   bool
	fetching uint64    // newest version that was asked for
	fetched  time.Time // when
}

type dialing struct {
	peer    Peer
	stopped chan struct{}
}

// Start listens for links. The clean-up function closes all of them.
func (h *Hub) Start() (func(), error) {
	h.wanted = make(map[string]*dialing)
	h.accepted = make(map[*Link]struct{})
	listener, err := net.Listen("tcp4", h.Self.Address)
	if err != nil {
		return nil, merry.Prepend(err, "listen for links")
	}
	stop := make(chan struct{})
	go h.accept(listener)
	go h.check(stop)
	return func() {
		close(stop)
		_ = listener.Close() // no more links are wanted
		h.close()
	}, nil
}

func (h *Hub) close() {
	h.mu.Lock()
	h.closed = true
	links := append([]*Link(nil), h.links...)
	for l := range h.accepted {
		links = append(links, l)
	}
	for _, d := range h.wanted {
		close(d.stopped)
	}
	h.wanted = nil
	h.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
}

func (h *Hub) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go h.welcome(conn)
	}
}

func (h *Hub) welcome(conn net.Conn) {
	l := h.newLink(conn)
	peers, err := l.greet(h.Self, h.Peers())
	if err != nil {
		_ = conn.Close() // the peer dials again
		h.Log.Info("link: greeting failed", zap.String("from", conn.RemoteAddr().String()), recorder.Err(err))
		return
	}
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		l.Close()
		return
	}
	h.accepted[l] = struct{}{}
	h.mu.Unlock()
	h.Meet(append(peers, l.Peer))
	_ = l.run() // the dialing side logs why it ended
	h.mu.Lock()
	delete(h.accepted, l)
	h.mu.Unlock()
}

// Peers returns all nodes that links are wanted to.
func (h *Hub) Peers() []Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	peers := make([]Peer, 0, len(h.wanted))
	for _, d := range h.wanted {
		if d.peer.Node != "" {
			peers = append(peers, d.peer)
		}
	}
	return peers
}

// Want keeps links to exactly the given peers, by address.
func (h *Hub) Want(peers map[string]Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	for address, d := range h.wanted {
		if _, ok := peers[address]; !ok {
			close(d.stopped)
			delete(h.wanted, address)
			h.drop(address)
		}
	}
	for address, peer := range peers {
		if d, ok := h.wanted[address]; ok {
			d.peer = peer
			continue
		}
		if address == h.Self.Address {
			continue
		}
		d := &dialing{peer: peer, stopped: make(chan struct{})}
		h.wanted[address] = d
		go h.dial(address, d.stopped)
	}
}

// drop closes the links to an address.
func (h *Hub) drop(address string) {
	for _, l := range h.links {
		if l.Peer.Address == address {
			go l.Close()
		}
	}
}

// dial keeps a link to a peer until it is no longer wanted.
func (h *Hub) dial(address string, stopped <-chan struct{}) {
	pause := firstBackoff
	for {
		started := time.Now()
		err := h.connect(address, stopped)
		if time.Since(started) > longBackoff {
			pause = firstBackoff
		}
		timer := time.NewTimer(pause)
		select {
		case <-stopped:
			timer.Stop()
			return
		case <-timer.C:
		}
		if pause < longBackoff {
			h.Log.Info("link: lost", zap.String("address", address), recorder.Err(err))
		}
		pause = min(2*pause, longBackoff)
	}
}

// connect makes one link and returns when it has ended.
func (h *Hub) connect(address string, stopped <-chan struct{}) error {
	conn, err := dialer.Dial(address, dialLimit, unackedLimit)
	if err != nil {
		return err
	}
	l := h.newLink(conn)
	peers, err := l.greet(h.Self, h.Peers())
	if err != nil {
		_ = conn.Close() // it is dialed again
		return err
	}
	if !h.add(l, stopped) {
		l.Close()
		return errClosed
	}
	h.Meet(append(peers, l.Peer))
	h.Log.Info("link: up", zap.String("node", l.Peer.Node), zap.String("address", l.Peer.Address))
	err = l.run()
	h.remove(l)
	return err
}

func (h *Hub) add(l *Link, stopped <-chan struct{}) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-stopped:
		return false
	default:
	}
	if h.closed || l.Peer.Node == h.Self.Node {
		return false
	}
	l.heard.Store(time.Now().UnixNano())
	h.links = append(append([]*Link(nil), h.links...), l)
	return true
}

func (h *Hub) remove(l *Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	links := make([]*Link, 0, len(h.links))
	for _, other := range h.links {
		if other != l {
			links = append(links, other)
		}
	}
	h.links = links
}

// Links returns the links that are up. The slice must not be changed.
func (h *Hub) Links() []*Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.links
}

// Linked reports whether a link to an address is up.
func (h *Hub) Linked(address string) bool {
	for _, l := range h.Links() {
		if l.Peer.Address == address {
			return true
		}
	}
	return false
}

// Redial returns a link to the node at an address, made anew. The clean-up function ends
// it.
func (h *Hub) Redial(address string) (*Link, func(), error) {
	conn, err := dialer.Dial(address, dialLimit, unackedLimit)
	if err != nil {
		return nil, nil, err
	}
	l := h.newLink(conn)
	if _, err := l.greet(h.Self, nil); err != nil {
		_ = conn.Close() // the caller learns of the failure
		return nil, nil, err
	}
	go func() { _ = l.run() }() // ends with the link
	return l, l.Close, nil
}

// Announce tells all nodes that dialed this one its present state.
func (h *Hub) Announce() {
	h.mu.Lock()
	links := make([]*Link, 0, len(h.accepted))
	for l := range h.accepted {
		links = append(links, l)
	}
	h.mu.Unlock()
	for _, l := range links {
		l.Tell()
	}
}

// check closes links that are silent.
func (h *Hub) check(stop <-chan struct{}) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		now := time.Now()
		late := now.Sub(last) > checkInterval+checkLate
		last = now
		links := h.Links()
		for _, l := range links {
			if late {
				l.postpone(now)
			}
			l.Check(now, h.idle(l, len(links)))
		}
	}
}

// idle returns how long a link may be idle before it is pinged. Beyond the own failure
// domain it grows with the number of links, so that the pings of all nodes grow no faster
// than their number.
func (h *Hub) idle(l *Link, links int) time.Duration {
	if l.Peer.Zone == h.Self.Zone {
		return idlePing
	}
	return max(idlePing, time.Duration(links)*idlePing/linksPerPing)
}

// newer asks a peer for its configuration, unless another one was asked a moment ago.
func (h *Hub) newer(l *Link, version uint64) {
	now := time.Now()
	h.mu.Lock()
	if version <= h.fetching && now.Sub(h.fetched) < fetchPause {
		h.mu.Unlock()
		return
	}
	h.fetching, h.fetched = version, now
	h.mu.Unlock()
	go l.fetch(h.Server.Version())
}
