// Package prover keeps a node's proof of freshness: a point of its clock at which the newest configuration in
// the store was no newer than the node's active one. It performs no I/O.
package prover

import (
	"sync"
	"time"

	"clementinerock/internal/node/expirer"
)

// All times of the prover are shares of the limit after which a request with a withdrawn key must not run.
const (
	// marginShare covers the difference between the rates of the clocks of two hosts.
	marginShare = 0.05

	// watchShare is the duration of one watch. A reader's proof is up to two watches old, since a watch proves
	// the state at its start and the next one must end before there is a younger proof.
	watchShare = 0.2

	// readerShare and refreshShare are the ages at which a node asks a peer for a younger proof: a node that
	// reads the store itself, and one that gets its proof from such a node. The first exceeds two watches,
	// since a proof that the peer already sent would be no use. levelShare is added for each further node
	// between the node and the store.
	readerShare  = 0.5
	refreshShare = 0.42
	levelShare   = 0.04

	// readShare is the age at which a node reads the store although others should read it for the node.
	readShare = 0.6

	minWatch = 200 * time.Millisecond // bounds the calls to the store if the limit is short
	maxAge   = time.Hour              // ages above are announced as no proof
)

// Prover keeps the proof of one node. Its methods may be called concurrently.
type Prover struct {
	Clock expirer.Clock // nil for the clock of the host
	Limit time.Duration // time after which no request with a withdrawn key may run

	Version func() uint64 // returns the version of the active configuration, which only rises
	Keys    func() bool   // reports whether the active configuration has keys that may be withdrawn

	mu      sync.Mutex
	started time.Duration // time of the first use; 0 before
	proved  time.Duration // the newest proof
	proven  bool          // whether there is a proof
	highest uint64        // highest version that exists as far as this node knows
}

// Now returns the current time of the clock by which proofs are dated.
func (p *Prover) Now() time.Duration { return p.Clock.Now() }

// ObserveVersion records that a version exists. No proof counts until it is active.
func (p *Prover) ObserveVersion(version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.highest = max(p.highest, version)
}

// Prove records that the newest configuration in the store at a time, or later, was a version or an older
// one. It counts only if the active version is no older. It reports whether this ended a time without a
// sufficient proof.
func (p *Prover) Prove(at time.Duration, version uint64) (regained bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.highest = max(p.highest, version)
	if p.Version() < p.highest || (p.proven && at <= p.proved) {
		return false
	}
	now := p.Clock.Now()
	before := p.fresh(now)
	p.proved, p.proven = at, true
	return !before && p.fresh(now)
}

// fresh reports whether the proof is sufficient. The caller holds mu.
func (p *Prover) fresh(now time.Duration) bool {
	return p.proven && now-p.proved < p.share(1-marginShare)
}

// Fresh reports whether the proof is young enough for requests with a key. Every configuration that is read
// from this node afterwards lacks the keys that were withdrawn too long ago.
func (p *Prover) Fresh() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fresh(p.Clock.Now())
}

// Age returns the age of the proof. It reports false if there is none.
func (p *Prover) Age() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Clock.Now() - p.proved, p.proven
}

// AnnouncedAge returns the age of the proof in ms, rounded up to at least 1, or 0 if there is no useful
// proof.
func (p *Prover) AnnouncedAge() int {
	age, ok := p.Age()
	if !ok || age > maxAge {
		return 0
	}
	return int(age/time.Millisecond) + 1
}

// ProveByPeer records the proof in the answer of a peer to a message that this node sent at the given time:
// the age and the version that the peer announced. The age counts from the sending, since the peer announced
// it later.
func (p *Prover) ProveByPeer(sent time.Duration, announcedAge int, version uint64) (regained bool) {
	if announcedAge <= 0 || announcedAge > int(maxAge/time.Millisecond) {
		p.ObserveVersion(version)
		return false
	}
	return p.Prove(sent-time.Duration(announcedAge)*time.Millisecond, version)
}

// Required reports whether requests need a proof.
func (p *Prover) Required() bool { return p.Keys() }

// Watch returns the duration of one watch of the configuration while proofs are required.
func (p *Prover) Watch() time.Duration { return max(p.share(watchShare), minWatch) }

// WantsRefresh reports whether the node should ask a peer for a younger proof. level is the number of nodes
// between this one and the store; 0 for a node that reads the store itself.
func (p *Prover) WantsRefresh(level int) bool {
	limit := p.share(readerShare)
	if level > 0 {
		limit = min(p.share(refreshShare+float64(level-1)*levelShare), limit)
	}
	if !p.Keys() {
		return false
	}
	age, ok := p.Age()
	return !ok || age > limit
}

// Helps reports whether a proof that a peer announces unasked would end a time without a sufficient proof if
// the peer were asked for it.
func (p *Prover) Helps(announcedAge int, version uint64) bool {
	if announcedAge <= 0 || version > p.Version() || !p.Keys() {
		return false
	}
	return time.Duration(announcedAge)*time.Millisecond < p.share(1-marginShare) && !p.Fresh()
}

// WantsRead reports whether the node should read the store itself although others should read it for the
// node. delay is added to the age of the proof at which it does.
func (p *Prover) WantsRead(delay time.Duration) bool {
	return p.Keys() && p.waited() > p.share(readShare)+delay
}

// waited returns the age of the proof or, if there is none, the time since the first use of this method.
func (p *Prover) waited() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	if p.started == 0 {
		p.started = now
	}
	if !p.proven {
		return now - p.started
	}
	return now - p.proved
}

func (p *Prover) share(share float64) time.Duration { return time.Duration(share * float64(p.Limit)) }
