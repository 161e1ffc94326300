package carrier

import (
	"time"

	"go.uber.org/zap"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/dialer"
)

const (
	minBackoff            = 100 * time.Millisecond
	maxBackoff            = time.Second
	passiveDialDelay      = 600 * time.Millisecond // for which the earlier started of two nodes waits for the other to dial
	domainPingInterval    = time.Second            // between pings of an idle link in the failure domain
	minRemotePingInterval = 2 * time.Second        // between pings of an idle link beyond it, at least
	maxRemotePingRate     = 10                     // links of a node beyond its failure domain that are pinged a second on average
	acceptedPingFactor    = 1.5                    // times as long waits the side that did not dial, which hears the other's pings
	checkInterval         = 100 * time.Millisecond
	maxCheckDelay         = 150 * time.Millisecond // beyond its time, for which this process is to blame
	initialPeerRequests   = 3                      // greetings after the start in which peers are asked for
	hellosPerPeerRequest  = 64                     // of the later greetings, one asks
	spareIdleTimeout      = 5 * time.Second        // after which a link that neither side prefers is closed
)

// dialState is a node that a link is wanted to.
type dialState struct {
	peer    Peer
	nextTry time.Time     // earliest next try
	backoff time.Duration // after a failed try
	active  bool          // a try or its link is under way
}

// SetPeers keeps links to the given peers, by address; others may dial this node. known are all
// nodes that a newcomer is told of.
func (h *Hub) SetPeers(peers map[string]Peer, known []Peer) {
	now := time.Now()
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return
	}
	h.known = known
	for address := range h.dialStates {
		if _, ok := peers[address]; !ok {
			delete(h.dialStates, address)
		}
	}
	for address, peer := range peers {
		if address == h.Self.Address {
			continue
		}
		d, ok := h.dialStates[address]
		if !ok {
			d = &dialState{backoff: minBackoff}
			h.dialStates[address] = d
			if !h.dialsFirst(peer) {
				d.nextTry = now.Add(passiveDialDelay)
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
	for address, d := range h.dialStates {
		if _, ok := linked[address]; ok || d.active || now.Before(d.nextTry) {
			continue
		}
		d.active = true
		go h.dial(address, d)
	}
}

// dial makes one link and returns when it has ended.
func (h *Hub) dial(address string, d *dialState) {
	began := time.Now()
	err := h.connect(address)
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	d.active = false
	if now.Sub(began) > maxBackoff {
		d.backoff = minBackoff
	}
	d.nextTry = now.Add(d.backoff)
	if !h.dialsFirst(d.peer) {
		d.nextTry = d.nextTry.Add(passiveDialDelay)
	}
	if d.backoff < maxBackoff {
		h.Log.Info("link: dialed again later",
			zap.String("address", address),
			zap.Duration("pause", d.nextTry.Sub(now)),
			recorder.Err(err))
	}
	d.backoff = min(2*d.backoff, maxBackoff)
}

func (h *Hub) connect(address string) error {
	conn, err := dialer.Dial(address, dialTimeout, unackedTimeout)
	if err != nil {
		return err
	}
	l := h.newLink(conn)
	l.dialed = true
	peers, err := l.initiate(&hello{Self: h.Self, State: h.Server.State(), RequestPeers: h.shouldRequestPeers()})
	if err != nil {
		_ = conn.Close() // it is dialed again
		return err
	}
	return h.runLink(l, peers)
}

// shouldRequestPeers reports whether the next greeting shouldRequestPeers for the other node's peers. Few do, since the
// answers of all would cost bytes with the square of the number of nodes.
func (h *Hub) shouldRequestPeers() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.helloCount++
	return h.helloCount <= initialPeerRequests || h.helloCount%hellosPerPeerRequest == 0
}

// runChecks judges all links now and then, dials missing ones and catches up with versions that
// a peer has announced.
func (h *Hub) runChecks(stop <-chan struct{}) {
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
		delayed := now.Sub(last) > checkInterval+maxCheckDelay
		last = now
		h.checkLinks(now, delayed)
		h.dialMissing(now)
		h.catchUp()
	}
}

func (h *Hub) checkLinks(now time.Time, delayed bool) {
	h.mu.Lock()
	links := h.links
	var spares []*Link
	if len(h.allLinks) > len(links) {
		spares = h.spares(links)
	}
	h.mu.Unlock()
	for _, l := range links {
		if delayed {
			l.restartPingTimeout(now)
		}
		l.Check(now, h.pingInterval(l, len(links)))
	}
	for _, l := range spares {
		if l.openCalls.Load() == 0 && l.SinceLastFrame(now) > spareIdleTimeout {
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
	for l := range h.allLinks {
		if _, ok := used[l]; !ok {
			spares = append(spares, l)
		}
	}
	return spares
}

// pingInterval returns how long a link may be pingInterval before it is pinged. Beyond the own failure
// domain it grows with the number of links, so that the pings of all nodes grow no faster
// than their number.
func (h *Hub) pingInterval(l *Link, links int) time.Duration {
	pingInterval := domainPingInterval
	if l.Peer.FailureDomain != h.Self.FailureDomain {
		pingInterval = max(minRemotePingInterval, time.Duration(links)*time.Second/maxRemotePingRate)
	}
	if !l.dialed {
		pingInterval = time.Duration(acceptedPingFactor * float64(pingInterval))
	}
	return pingInterval
}
