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
	domainPingInterval    = time.Second     // idle time before a ping within the failure domain
	minRemotePingInterval = 2 * time.Second // minimum idle time before a ping to another domain
	maxRemotePingRate     = 10              // maximum mean pings per second to other domains
	checkInterval         = 100 * time.Millisecond
	maxCheckDelay         = 150 * time.Millisecond // a longer delay shows that this process was stalled
	initialPeerRequests   = 3                      // number of hellos after the start that request peers
	hellosPerPeerRequest  = 64                     // of this number of later hellos, one requests peers
	spareIdleTimeout      = 5 * time.Second        // idle time before a redundant link is closed

	// passiveDialDelay is the time for which the earlier started of two nodes waits for the other
	// one to dial.
	passiveDialDelay = 600 * time.Millisecond

	// acceptedPingFactor is the ratio of the accepting side's ping interval to the dialing side's.
	// The accepting side needs fewer pings, since it receives those of the dialing side.
	acceptedPingFactor = 1.5
)

// dialState is the state of the attempts to keep a link to one node.
type dialState struct {
	peer    Peer
	nextTry time.Time     // earliest time of the next attempt
	backoff time.Duration // delay between the end of the next attempt and the one after it
	active  bool          // whether an attempt or its link is in progress
}

// SetPeers sets the peers, by address, to which this node keeps links. Other nodes may still
// dial this one. known holds the nodes to list to a node that requests peers.
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

// dialsFirst reports whether this node is the one of the two that dials without delay. The
// later started node does, since the earlier one may not have its address yet.
func (h *Hub) dialsFirst(peer Peer) bool {
	if h.Self.Started != peer.Started {
		return h.Self.Started > peer.Started
	}
	return h.Self.Node > peer.Node
}

// dialMissing dials each peer to which no link is up, unless its next attempt is not due yet.
func (h *Hub) dialMissing(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.linked == nil {
		h.linked = make(map[string]struct{}, len(h.links))
	}
	linked := h.linked
	clear(linked)
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

// dial opens a link, waits until it has ended and schedules the next attempt.
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
		h.Log.Info("link: down, dialing paused",
			zap.String("address", address),
			zap.Duration("pause", d.nextTry.Sub(now)),
			recorder.Err(err))
	}
	d.backoff = min(2*d.backoff, maxBackoff)
}

// connect dials a node, exchanges hellos and runs the link until it ends.
func (h *Hub) connect(address string) error {
	conn, err := dialer.Dial(address, dialTimeout, unackedTimeout)
	if err != nil {
		return err
	}
	l := h.newLink(conn)
	l.dialed = true
	peers, err := l.initiate(&hello{Self: h.Self, State: h.Server.State(), RequestPeers: h.shouldRequestPeers()})
	if err != nil {
		_ = conn.Close() // the caller dials again
		return err
	}
	return h.runLink(l, peers)
}

// shouldRequestPeers reports whether the next hello requests the other node's peers. Few
// hellos do, since the replies to all would cost bytes with the square of the number of nodes.
func (h *Hub) shouldRequestPeers() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.helloCount++
	return h.helloCount <= initialPeerRequests || h.helloCount%hellosPerPeerRequest == 0
}

// runChecks periodically checks all links, dials missing ones and fetches a newer version that a
// peer has announced.
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
		h.refreshProof(now)
	}
}

// checkLinks checks the liveness of all links in use and closes redundant links that are idle.
// If this check is delayed, the process was stalled, so peers get more time to answer pings.
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

// spares returns the redundant links: those that are up beside the preferred ones.
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

// pingInterval returns how long a link may be idle before it is pinged. For links to other
// failure domains it grows with the number of links, so that the pings of all nodes grow no
// faster than the number of nodes.
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
