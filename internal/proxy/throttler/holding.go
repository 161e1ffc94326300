package throttler

import (
	"math/rand/v2"
	"slices"
	"time"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/carrier"
)

// keep holds the shards of which this node is the preferred candidate.
func (t *Throttler) keep() {
	defer close(t.released)
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.stop:
			return
		case <-t.release:
			t.keeper.Release("node is stopping")
			t.async(t.Announce)
			return
		case <-ticker.C:
			t.keepOnce()
		}
	}
}

// keepOnce renews the lease and takes shards if that is due, and announces changes.
func (t *Throttler) keepOnce() {
	if t.stopping.Load() {
		return // keep releases the shards
	}
	switch {
	case !t.updateActive():
		t.keeper.Release("no caps are in force")
	case t.demoted():
		t.keeper.Release("other nodes are preferred")
	default:
		t.keeper.Step(t.wanted())
	}
	if issuing := t.Issuing(); issuing.Changes != t.announced {
		t.announced = issuing.Changes
		t.Meter.Gauge("throttle_shards", float64(len(shardList(issuing.Shards))))
		t.async(t.Announce)
		t.borrowOnce() // the parts were returned with the change
	}
}

// updateActive reports whether caps are in force, and records since when.
func (t *Throttler) updateActive() bool {
	active := Active(t.Table())
	t.mu.Lock()
	defer t.mu.Unlock()
	if !active {
		t.activeSince = 0
	} else if t.activeSince == 0 {
		t.activeSince = t.Clock()
	}
	return active
}

// wanted returns the shards that this node should try to take: those without an issuer of which it is the
// preferred candidate that responds, and others if no one has taken them for longer.
func (t *Throttler) wanted() (wanted [Shards]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	t.refresh(now)
	var alive []carrier.Peer
	var extra time.Duration
	for shard := range Shards {
		if t.entry.Issuer(shard) != (Process{}) {
			t.missingSince[shard] = 0
			continue
		}
		if t.missingSince[shard] == 0 {
			t.missingSince[shard] = now
		}
		if alive == nil {
			alive, extra = t.aliveCandidates()
		}
		isCandidate := slices.ContainsFunc(alive, func(c carrier.Peer) bool { return c.Node == t.Self.Node })
		delay := time.Duration(Rank(shard, t.Self, alive))*rankDelay + extra
		wanted[shard] = isCandidate && now-t.activeSince >= settleTime && now-t.missingSince[shard] >= delay
	}
	return wanted
}

// demoted reports whether this node has been no candidate for demotionDelay, while at least half of the
// candidates respond.
func (t *Throttler) demoted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	isSelf := func(c carrier.Peer) bool { return c.Node == t.Self.Node }
	if len(t.candidates) == 0 || slices.ContainsFunc(t.candidates, isSelf) {
		t.demotedSince = 0
		return false
	}
	now := t.Clock()
	if t.demotedSince == 0 {
		t.demotedSince = now
	}
	if now-t.demotedSince < demotionDelay || t.keeper.Held() == 0 {
		return false
	}
	_, extra := t.aliveCandidates()
	return extra == 0
}

// aliveCandidates returns the candidates that respond, and the delay for a node that may be partitioned.
func (t *Throttler) aliveCandidates() (alive []carrier.Peer, extra time.Duration) {
	responding := map[string]struct{}{t.Self.Node: {}}
	peers := []carrier.Peer{t.Self}
	for _, r := range t.remotes {
		if !r.Suspect && !r.Issuing.NoMore {
			responding[r.Peer.Node] = struct{}{}
			peers = append(peers, r.Peer)
		}
	}
	for _, c := range t.candidates {
		if _, ok := responding[c.Node]; ok {
			alive = append(alive, c)
		}
	}
	if 2*len(alive) < len(t.candidates) {
		extra = partitionDelay
	}
	if len(alive) == 0 {
		return Candidates(peers), extra
	}
	return alive, extra
}

// RenewLease renews a lease of another node in the store. See carrier.CreditServer.
func (t *Throttler) RenewLease(lease uint64) bool {
	err := t.Store.RenewLease(lease)
	if err != nil {
		t.Log.Info("throttle: lease of a peer not renewed", recorder.Err(err))
	}
	return err == nil
}

// maxRenewers is the maximum number of peers that are asked in turn to renew a lease.
const maxRenewers = 2

// renewByPeer asks other nodes to renew the lease of this one, first those that read the store.
func (t *Throttler) renewByPeer(lease uint64) bool {
	remotes := slices.DeleteFunc(t.Remotes(), func(r Remote) bool { return r.Suspect })
	rand.Shuffle(len(remotes), func(i, j int) { remotes[i], remotes[j] = remotes[j], remotes[i] })
	slices.SortStableFunc(remotes, func(a, b Remote) int {
		switch {
		case a.ReadsStore == b.ReadsStore:
			return 0
		case a.ReadsStore:
			return -1
		}
		return 1
	})
	for _, r := range remotes[:min(len(remotes), maxRenewers)] {
		if r.RenewLease != nil && r.RenewLease(lease) {
			return true
		}
	}
	return false
}
