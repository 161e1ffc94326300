package carrier

import (
	"time"

	"go.uber.org/zap"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/dialer"
)

const (
	firstBackoff  = 100 * time.Millisecond
	longBackoff   = time.Second
	acceptWait    = 600 * time.Millisecond // for which the earlier started of two nodes waits for the other to dial
	nearPing      = time.Second            // between pings of an idle link in the failure domain
	farPing       = 2 * time.Second        // between pings of an idle link beyond it, at least
	linksPerPing  = 10                     // links of a node beyond its failure domain that are pinged a second on average
	acceptedPing  = 1.5                    // times as long waits the side that did not dial, which hears the other's pings
	checkInterval = 100 * time.Millisecond
	checkLate     = 150 * time.Millisecond // beyond its time, for which this process is to blame
	firstAsks     = 3                      // greetings after the start in which peers are asked for
	askEvery      = 64                     // of the later greetings, one asks
	spareIdle     = 5 * time.Second        // after which a link that neither side prefers is closed
)

// dialing is a node that a link is wanted to.
type dialing struct {
	peer  Peer
	next  time.Time     // earliest next try
	pause time.Duration // after a failed try
	busy  bool          // a try or its link is under way
}

// Want keeps links to the given peers, by address; others may dial this node. known are all
// nodes that a newcomer is told of.
func (h *Hub) Want(peers map[string]Peer, known []Peer) {
	now := time.Now()
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return
	}
	h.known = known
	for address := range h.wanted {
		if _, ok := peers[address]; !ok {
			delete(h.wanted, address)
		}
	}
	for address, peer := range peers {
		if address == h.Self.Address {
			continue
		}
		d, ok := h.wanted[address]
		if !ok {
			d = &dialing{pause: firstBackoff}
			h.wanted[address] = d
			if !h.dialsFirst(peer) {
				d.next = now.Add(acceptWait)
			}
		}
		d.peer = peer
	}
	h.mu.Unlock()
	h.dialMissing(now)
}

// dialsFirst reports whether this node, of the two, dials without waiting: the later one
// knows the earlier, but need not be known to it yet.
func (h *Hub) dialsFirst(peer Peer) bool {
	if h.Self.Started != peer.Started {
		return h.Self.Started > peer.Started
	}
	return h.Self.Node > peer.Node
}

// dialMissing dials the wanted nodes that no link is up to.
func (h *Hub) dialMissing(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	linked := make(map[string]struct{}, len(h.links))
	for _, l := range h.links {
		linked[l.Peer.Address] = struct{}{}
	}
	for address, d := range h.wanted {
		if _, ok := linked[address]; ok || d.busy || now.Before(d.next) {
			continue
		}
		d.busy = true
		go h.dial(address, d)
	}
}

// dial makes one link and returns when it has ended.
func (h *Hub) dial(address string, d *dialing) {
	began := time.Now()
	err := h.connect(address)
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	d.busy = false
	if now.Sub(began) > longBackoff {
		d.pause = firstBackoff
	}
	d.next = now.Add(d.pause)
	if !h.dialsFirst(d.peer) {
		d.next = d.next.Add(acceptWait)
	}
	if d.pause < longBackoff {
		h.Log.Info("link: dialed again later",
			zap.String("address", address),
			zap.Duration("pause", d.next.Sub(now)),
			recorder.Err(err))
	}
	d.pause = min(2*d.pause, longBackoff)
}

func (h *Hub) connect(address string) error {
	conn, err := dialer.Dial(address, dialLimit, unackedLimit)
	if err != nil {
		return err
	}
	l := h.newLink(conn)
	l.dialed = true
	peers, err := l.greet(&hello{Self: h.Self, State: h.Server.State(), Ask: h.asks()})
	if err != nil {
		_ = conn.Close() // it is dialed again
		return err
	}
	return h.serve(l, peers)
}

// asks reports whether the next greeting asks for the other node's peers. Few do, since the
// answers of all would cost bytes with the square of the number of nodes.
func (h *Hub) asks() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked++
	return h.asked <= firstAsks || h.asked%askEvery == 0
}

// check judges all links now and then, dials missing ones and catches up with versions that
// a peer has announced.
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
		h.checkLinks(now, late)
		h.dialMissing(now)
		h.catchUp()
	}
}

func (h *Hub) checkLinks(now time.Time, late bool) {
	h.mu.Lock()
	links := h.links
	var spares []*Link
	if len(h.all) > len(links) {
		spares = h.spares(links)
	}
	h.mu.Unlock()
	for _, l := range links {
		if late {
			l.postpone(now)
		}
		l.Check(now, h.idle(l, len(links)))
	}
	for _, l := range spares {
		if l.open.Load() == 0 && l.Heard(now) > spareIdle {
			l.Close()
		}
	}
}

// spares returns the links that are up beside the preferred ones.
func (h *Hub) spares(preferred []*Link) []*Link {
	used := make(map[*Link]struct{}, len(preferred))
	for _, l := range preferred {
		used[l] = struct{}{}
	}
	var spares []*Link
	for l := range h.all {
		if _, ok := used[l]; !ok {
			spares = append(spares, l)
		}
	}
	return spares
}

// idle returns how long a link may be idle before it is pinged. Beyond the own failure
// domain it grows with the number of links, so that the pings of all nodes grow no faster
// than their number.
func (h *Hub) idle(l *Link, links int) time.Duration {
	idle := nearPing
	if l.Peer.FailureDomain != h.Self.FailureDomain {
		idle = max(farPing, time.Duration(links)*time.Second/linksPerPing)
	}
	if !l.dialed {
		idle = time.Duration(acceptedPing * float64(idle))
	}
	return idle
}
