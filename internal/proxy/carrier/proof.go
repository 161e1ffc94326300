package carrier

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// refreshPause is the time between two pings for a younger proof of freshness while none has brought one.
	refreshPause = 200 * time.Millisecond

	// refreshFanout is the number of nodes that ask one node of their failure domain for its proof. At one
	// ping a second from each, it keeps the frames for this below 2 KB per second and node.
	refreshFanout = 16

	// refreshSteps is the number of pings after which the order of the nodes that are asked repeats: twice
	// the parent, whose proof may just be about to be replaced, then one of another failure domain and one of
	// the own.
	refreshSteps = 4

	// maxPingTimes is the number of pings without a pong after which a link is closed. A pong that waits
	// behind large answers for 10 s leaves some 40.
	maxPingTimes = 256
)

// Prover keeps this node's proof of freshness, see prover.Prover.
type Prover interface {
	Now() time.Duration
	ObserveVersion(version uint64)
	Required() bool
	WantsRefresh(level int) bool
	Helps(announcedAge int, version uint64) bool
	ProveByPeer(sent time.Duration, announcedAge int, version uint64) (regained bool)
}

// proofTime returns the current time of the prover's clock, or 0 if there is no prover.
func (l *Link) proofTime() time.Duration {
	if l.hub.Prover == nil {
		return 0
	}
	return l.hub.Prover.Now()
}

// observeState passes on the version and the era that a state shows.
func (l *Link) observeState(state *State) {
	if l.hub.StoreEra != nil && state.StoreEra > 0 {
		l.hub.StoreEra(state.StoreEra)
	}
	if l.hub.Prover != nil {
		l.hub.Prover.ObserveVersion(state.Version)
	}
}

// prove passes on the proof in a state of the peer that answers a message sent at the given time. A proof
// that ends a time without one is announced to neighbours that may lack one too.
func (l *Link) prove(sent time.Duration, state *State) {
	if l.hub.Prover == nil || !l.hub.Prover.ProveByPeer(sent, state.ProofAge, state.Version) {
		return
	}
	if l.hub.Prover.Required() {
		go l.hub.AnnounceInDomain()
	}
}

// recordPing records the time of a ping that is about to be sent.
func (l *Link) recordPing() {
	if l.hub.Prover == nil {
		return
	}
	l.mu.Lock()
	l.pingTimes = append(l.pingTimes, l.proofTime())
	excess := len(l.pingTimes) > maxPingTimes
	l.mu.Unlock()
	if excess {
		l.Close()
	}
}

// proveByPong passes on the proof in a pong. The peer answers pings in the order of their arrival, and the
// n-th ping is written after the n-th time was recorded, so the oldest time is no later than the ping that
// this pong answers.
func (l *Link) proveByPong(state *State) {
	l.mu.Lock()
	if len(l.pingTimes) == 0 {
		l.mu.Unlock()
		return
	}
	sent := l.pingTimes[0]
	l.pingTimes = l.pingTimes[1:]
	l.mu.Unlock()
	l.prove(sent, state)
}

// askForProof pings the peer if it has announced a proof while this node lacks one. The announcement itself
// proves nothing, since it may have been delayed.
func (l *Link) askForProof(state *State) {
	if l.hub.Prover != nil && l.pingSent.Load() == 0 && l.hub.Prover.Helps(state.ProofAge, state.Version) {
		l.sendPing(time.Now())
	}
}

// refreshProof pings a peer for a younger proof if the proof of this node has reached the age for that.
//
// The nodes of a failure domain form a tree by rank, whose root reads the store, and each asks its parent.
// So one message a second per node suffices, and no node answers more than refreshFanout others. While the
// parent has no younger proof, the node also asks others at random, of other failure domains and of its own.
func (h *Hub) refreshProof(now time.Time) {
	if h.Prover == nil || now.Before(h.nextRefresh) || !h.Prover.Required() {
		return
	}
	var near, far []*Link // in the own failure domain, and in others
	for _, l := range h.Links() {
		switch {
		case l.Suspect():
		case l.Peer.FailureDomain == h.Self.FailureDomain:
			near = append(near, l)
		default:
			far = append(far, l)
		}
	}
	rank := 0
	for _, l := range near {
		if l.Peer.Outranks(&h.Self) {
			rank++
		}
	}
	if !h.Prover.WantsRefresh(refreshLevel(rank)) {
		h.refreshTries = 0
		return
	}
	h.nextRefresh = now.Add(refreshPause)
	if l := proofSource(near, far, rank, h.refreshTries); l != nil && l.pingSent.Load() == 0 {
		l.sendPing(now)
	}
	h.refreshTries++
}

// refreshLevel returns the number of nodes between the node with a rank and the store.
func refreshLevel(rank int) int {
	level := 0
	for ; rank > 0; rank = (rank - 1) / refreshFanout {
		level++
	}
	return level
}

// proofSource returns the link to the node to ask for a younger proof, or nil if there is none. near and far
// are the links to the own failure domain and to others, rank is the number of nodes of the own one that
// precede this node, and tries is the number of nodes asked before.
func proofSource(near, far []*Link, rank, tries int) *Link {
	step := tries % refreshSteps
	if step <= 1 && rank > 0 {
		ranked := slices.SortedFunc(slices.Values(near), func(a, b *Link) int {
			if a.Peer.Outranks(&b.Peer) {
				return -1
			}
			return 1 // the names differ
		})
		return ranked[(rank-1)/refreshFanout]
	}
	links := near
	if len(near) == 0 || (step%2 == 0 && len(far) > 0) {
		links = far
	}
	if len(links) == 0 {
		return nil
	}
	return links[rand.N(len(links))]
}
